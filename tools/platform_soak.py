"""The fault soak of the platform's programs: ``python -m tools.platform_soak``.

    python -m tools.platform_soak --seeds 1-50 [--seconds 20] [--jobs 3]

Each seed runs real processes on loopback under drawn faults that overlap and repeat:
processes killed, paused, stopped as planned and told of changed settings, disks lost,
data centres of servers evacuated and restored, servers that crash, drain and answer
wrongly, connections that are delayed, reset and silenced. Callers keep their
connections until the process is gone. What callers, servers and the operator see is
checked against the promises; each line of findings names its seed, and the logs of that
seed are kept.
"""

import argparse
import asyncio
import json
import shutil
import subprocess
import sys
from collections.abc import Callable, Coroutine
from random import Random
from signal import Signals
from time import monotonic

from aiohttp import ClientSession, TCPConnector

from standins.platform_fleet import (
    DATA_CENTRES,
    REPLICAS,
    ROOT,
    HeartbeatServer,
    PlatformFleet,
    Program,
    make_platform_fleet,
)
from standins.platform_server import Fault
from tools.platform_soak_callers import Callers, make_callers
from tools.platform_soak_verdict import Records, Span, findings

RUN_FOLDER = ROOT / "run" / "platform-soak"
ROUTERS = 3
SERVERS = 4
CALLERS = 16
START_LIMIT_SECONDS = 20.0
# After the last fault everything has to be served again within this.
RECOVERY_SECONDS = 12.0
# Servers work this long before an answer and before each event.
WORK_SECONDS = 0.05
WRONG_ANSWERS = (
    Fault.TWICE,
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.CUT_STREAM,
    Fault.CLOSE,
    Fault.SHED,
    Fault.ERROR,
    Fault.SILENT,
)


class PlatformSoak:
    """One seed: the deployment, its callers, the faults and what was recorded."""

    def __init__(self, fleet: PlatformFleet, seed: int, seconds: float) -> None:
        self.fleet = fleet
        self.records = Records()
        self.callers: Callers = make_callers(fleet, self.records, CALLERS, seed)
        self._random = Random(seed)
        self._seconds = seconds
        self._version = 10
        self._core_is_touched = asyncio.Lock()
        self._is_evacuating = asyncio.Lock()

    async def run(self) -> list[str]:
        """Play the seed; return what was found."""
        await self._start()
        self.callers.begin()
        until_seconds = monotonic() + self._seconds
        faults: set[asyncio.Task[None]] = set()
        while monotonic() < until_seconds:
            act = self._random.choice(self._acts())
            task = asyncio.create_task(act())
            faults.add(task)
            await asyncio.sleep(self._random.uniform(0.2, 1.5))
        await asyncio.gather(*faults)
        found = await self._recovered()
        await self.callers.end()
        found += await self._read_back()
        return found + findings(self.records, self.fleet)

    async def _start(self) -> None:
        for number in range(1, REPLICAS + 1):
            self.fleet.add("replica", number)
        for number in range(1, ROUTERS + 1):
            self.fleet.add("router", number)
        programs = list(self.fleet.programs)
        self._random.shuffle(programs)
        for program in programs:
            await self.fleet.start(program)
        self.fleet.is_new = False
        for _ in range(SERVERS):
            await self._add_server()
        async with asyncio.timeout(START_LIMIT_SECONDS):
            while not await self._declare():
                await asyncio.sleep(0.2)
            while not await self.callers.all_served():
                await asyncio.sleep(0.2)

    async def _add_server(self) -> None:
        one = await self.fleet.add_server()
        one.server.pause_seconds = WORK_SECONDS
        self.records.servers.append(one)

    # --- faults ---------------------------------------------------------------

    def _acts(self) -> tuple[Callable[[], Coroutine[None, None, None]], ...]:
        return (
            self._kill_router,
            self._stop_router,
            self._pause_process,
            self._change_settings,
            self._kill_replica,
            self._kill_core,
            self._crash_server,
            self._drain_server,
            self._wrong_answers,
            self._harm_connections,
            self._evacuate,
            self._change,
            self._change,
            self._race,
        )

    def _router(self) -> Program | None:
        """Return a router that nothing else happens to, or None."""
        free = [one for one in self.fleet.routers if one.name not in self.records.busy]
        return self._random.choice(free) if len(free) > 1 else None

    async def _kill_router(self) -> None:
        if router := self._router():
            with self.records.fault(router.name):
                await self.fleet.kill(router)
                await asyncio.sleep(self._random.uniform(0.1, 1.0))
                await self.fleet.start(router)
                await self.callers.until_ready(router)

    async def _stop_router(self) -> None:
        if router := self._router():
            with self.records.planned_stop(router.name):
                code = await self.fleet.stop(router)
            self.records.exit_codes.append((router.name, code))
            with self.records.fault(router.name):
                await self.fleet.start(router)
                await self.callers.until_ready(router)

    async def _pause_process(self) -> None:
        program = self._router()
        if program is None:
            return
        name = program.name
        with self.records.fault(name), self.records.pause(name):
            program.signal(Signals.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.3, 2.5))
            program.signal(Signals.SIGCONT)
            await asyncio.sleep(1.0)

    async def _change_settings(self) -> None:
        program = self._random.choice(self.fleet.programs)
        seeds = [one.control for one in self.fleet.replicas]
        self._random.shuffle(seeds)
        self.fleet.write_settings(program, seeds)
        if self._random.random() < 0.5:
            program.signal(Signals.SIGHUP)

    async def _kill_replica(self) -> None:
        """End one replica, at times with its disk; one at a time loses it."""
        if self._core_is_touched.locked():
            return
        async with self._core_is_touched:
            replica = self._random.choice(self.fleet.replicas)
            with self.records.fault("core"):
                lose_disk = self._random.random() < 0.4
                await self.fleet.kill(replica, lose_disk)
                await asyncio.sleep(self._random.uniform(0.1, 1.5))
                await self.fleet.start(replica)
                await asyncio.sleep(4.0)

    async def _kill_core(self) -> None:
        if self._core_is_touched.locked():
            return
        async with self._core_is_touched:
            with self.records.fault("core"):
                for replica in self.fleet.replicas:
                    await self.fleet.kill(replica)
                for replica in self.fleet.replicas:
                    await self.fleet.start(replica)
                await asyncio.sleep(4.0)

    def _server(self) -> HeartbeatServer | None:
        ready = [one for one in self.fleet.servers if one.state == "ready"]
        return self._random.choice(ready) if len(ready) > 2 else None

    async def _crash_server(self) -> None:
        if server := self._server():
            with self.records.fault("servers"):
                await self.fleet.crash_server(server)
                await asyncio.sleep(0.5)
                await self._add_server()

    async def _drain_server(self) -> None:
        if server := self._server():
            await self.fleet.drain_server(server)
            await asyncio.sleep(4.0)
            if server in self.fleet.servers:
                await self.fleet.crash_server(server)
            await self._add_server()

    async def _wrong_answers(self) -> None:
        if server := self._server():
            with self.records.fault("servers"):
                server.server.fault = self._random.choice(WRONG_ANSWERS)
                await asyncio.sleep(self._random.uniform(0.3, 1.5))
                server.server.fault = Fault.NONE

    async def _harm_connections(self) -> None:
        server = self._server()
        if server is None:
            return
        with self.records.fault("servers"):
            match self._random.randrange(3):
                case 0:
                    server.proxy.silence_open_flows()
                case 1:
                    server.proxy.reset_all()
                case _:
                    server.proxy.faults.delay_seconds = self._random.uniform(0.05, 0.5)
            await asyncio.sleep(1.0)
            server.proxy.faults.delay_seconds = 0.0

    # --- changes --------------------------------------------------------------

    async def _change(self) -> None:
        await self._declare()

    async def _evacuate(self) -> None:
        """Evacuate a data centre and restore it, with orders that come again.

        Both orders are sent until they are acknowledged, to any replica; what is
        recorded as evacuated ends when the opposite is sent for the first time.
        """
        if self._is_evacuating.locked():
            return
        async with self._is_evacuating:
            place = DATA_CENTRES[-1]
            if not await self._order(place, evacuated=True):
                return
            span = Span(place, monotonic())
            self.records.evacuations.append(span)
            await asyncio.sleep(self._random.uniform(0.5, 5.0))
            if self._random.random() < 0.5:
                await self._order(place, evacuated=True)
            span.to_seconds = monotonic()
            while not await self._order(place, evacuated=False):
                await asyncio.sleep(0.3)

    async def _order(self, place: str, evacuated: bool) -> bool:
        """Send an order until it is acknowledged."""
        for _ in range(12):
            replica = self._random.choice(self.fleet.replicas)
            status = await self.fleet.evacuate(replica, place, evacuated)
            if status == 200:
                return True
            if 400 <= status < 500:
                self.records.refused_changes.append(f"evacuation: {status}")
                return False
            await asyncio.sleep(0.3)
        return False

    async def _race(self) -> None:
        await asyncio.gather(*(self._declare() for _ in range(2)))

    async def _declare(self) -> bool:
        """Send a new configuration until it is acknowledged, to any replica."""
        self._version += self._random.randint(1, 3)
        self.records.changes_under_way += 1
        try:
            return await self._send_change(self._version)
        finally:
            self.records.changes_under_way -= 1

    async def _send_change(self, version: int) -> bool:
        for _ in range(8):
            replica = self._random.choice(self.fleet.replicas)
            status = await self.fleet.declare(replica, version, version % 2 == 0)
            if status == 200:
                self.records.acknowledged(version, monotonic())
                return True
            if 400 <= status < 500:
                self.records.refused_changes.append(f"{version}: {status}")
                return False
            await asyncio.sleep(0.3)
        self.records.is_unsure = True
        return False

    async def _read_back(self) -> list[str]:
        for replica in self.fleet.replicas:
            version = await self.fleet.declared_version(replica)
            newest = self.records.newest_version
            if version is not None and version >= newest:
                return []
        return [f"no replica reads back version {newest} or a newer one"]

    async def _recovered(self) -> list[str]:
        """Wait until every router serves again."""
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                while not await self.callers.all_served():
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return [f"not all routers serve {RECOVERY_SECONDS} s after the last fault"]
        return []


async def play(seed: int, seconds: float, net: int) -> list[str]:
    """Play one seed in this process; return what was found.

    Args:
        seed: Draws faults and requests.
        seconds: How long faults come.
        net: The second number of the IP numbers used.
    """
    folder = RUN_FOLDER / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    async with ClientSession(connector=TCPConnector(force_close=True)) as session:
        fleet = make_platform_fleet(folder, net, session)
        soak = PlatformSoak(fleet, seed, seconds)
        try:
            found = await soak.run()
        finally:
            await fleet.close()
        print(json.dumps({"seed": seed, "findings": found, **soak.records.counts()}))
    if not found:
        shutil.rmtree(folder, ignore_errors=True)
    return found


def _many(seeds: range, seconds: float, jobs: int) -> int:
    """Play many seeds in processes of their own; return how many found something."""
    waiting = list(seeds)
    running: list[subprocess.Popen[bytes]] = []
    failed = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.pop(0)
            command = [sys.executable, "-m", "tools.platform_soak", "--seeds"]
            command += [str(seed), "--seconds", str(seconds)]
            running.append(subprocess.Popen(command, cwd=ROOT))
        running[0].wait()
        for one in [one for one in running if one.poll() is not None]:
            running.remove(one)
            failed += one.returncode != 0
    print(json.dumps({"seeds": len(seeds), "with_findings": failed}))
    return failed


def main() -> int:
    """Play the seeds that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="one, or first-last")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if len(seeds) > 1:
        return min(_many(seeds, arguments.seconds, arguments.jobs), 1)
    net = 20 + seeds[0] % 200
    return 1 if asyncio.run(play(seeds[0], arguments.seconds, net)) else 0


if __name__ == "__main__":
    sys.exit(main())
