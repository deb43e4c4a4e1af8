"""The fault soak of the platform's programs: ``python -m tools.platform_soak``.

    python -m tools.platform_soak --seeds 1-50 [--seconds 20] [--jobs 3]

Each seed runs real processes on loopback under random faults that overlap and repeat:
processes are killed, one or all at once, paused, stopped as planned and notified of
changed settings, disks are lost, data centres of servers are evacuated and restored,
servers crash, drain, request backoff and answer wrongly, one request and one part of
prompts crash the servers that run them, connections are delayed, reset and silenced.
Some servers are slow, so that calls outlast the grace of a stop, at whose end a process
is killed. Callers keep their connections until the process has ended. Seeds with an odd
number have a small retry budget. What callers, servers and the operator observe is
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
from contextlib import ExitStack
from random import Random
from signal import Signals
from time import monotonic

from aiohttp import ClientSession, TCPConnector

from sesameford.settings import RetryBudgetSettings
from standins.platform_fleet import (
    DATA_CENTRES,
    ROOT,
    HeartbeatServer,
    PlatformFleet,
    Program,
    make_platform_fleet,
)
from standins.platform_server import CrashManner, Fault, crashes_its_server
from tools.platform_soak_callers import CUSTOMERS, Callers, make_callers
from tools.platform_soak_records import Records, Span
from tools.platform_soak_verdict import findings

RUN_FOLDER = ROOT / "run" / "platform-soak"
ROUTERS = 3
SERVERS = 4
CALLERS = 16
START_LIMIT_SECONDS = 20.0
# Servers of both serve side by side.
SOFTWARE_VERSIONS = ("v1", "v2")
SMALL_RETRY_BUDGET = RetryBudgetSettings(fraction=0.02, spare_requests=8)
# Seeds that run beside each other, or beside tests, need IP numbers of their own.
FIRST_NET, NETS = 20, 150
# After the last fault every router has to serve again within this time.
RECOVERY_LIMIT_SECONDS = 12.0
# The time that a server works before an answer and before each event.
SERVICE_SECONDS = (0.05, 0.05, 0.05, 1.2)
# Shorter than the deadlines of calls, and than the streams of a slow server.
GRACE_SECONDS = 4.0
# How long servers that crash after an answer do so later.
CRASH_DELAYS_SECONDS = (0.0, 0.02, 0.3)
WRONG_ANSWERS = (
    Fault.TWICE,
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.CUT_STREAM,
    Fault.CUT_UNFRAMED_STREAM,
    Fault.CLOSE,
    Fault.SHED,
    Fault.ERROR,
    Fault.SILENT,
)


class PlatformSoak:
    """The run of one seed: the deployment, its callers, the faults and the records."""

    def __init__(self, fleet: PlatformFleet, seed: int, seconds: float) -> None:
        self.fleet = fleet
        self.records = Records()
        fleet.bounds["grace_s"] = GRACE_SECONDS
        if seed % 2:
            self.records.retry_budget = SMALL_RETRY_BUDGET
            fleet.set_retry_budget(SMALL_RETRY_BUDGET)
        self.callers: Callers = make_callers(fleet, self.records, CALLERS, seed)
        self._random = Random(seed)
        self._seconds = seconds
        self._version = 10
        self._core_fault_lock = asyncio.Lock()
        self._evacuation_lock = asyncio.Lock()
        self._replacements: set[asyncio.Task[None]] = set()

    async def run(self) -> list[str]:
        """Run the seed and return the findings."""
        await self._start()
        watch = asyncio.create_task(self.records.watch_loop())
        self.callers.start()
        end_seconds = monotonic() + self._seconds
        faults: set[asyncio.Task[None]] = set()
        while monotonic() < end_seconds:
            action = self._random.choice(self._fault_actions())
            task = asyncio.create_task(action())
            faults.add(task)
            await asyncio.sleep(self._random.uniform(0.2, 1.5))
        await asyncio.gather(*faults)
        found = await self._wait_for_recovery()
        await self.callers.stop()
        watch.cancel()
        await asyncio.gather(*self._replacements)
        found += await self._check_read_back()
        return found + findings(self.records, self.fleet)

    async def _start(self) -> None:
        self.fleet.add_programs(ROUTERS)
        programs = list(self.fleet.programs)
        self._random.shuffle(programs)
        await self.fleet.found(programs)
        for _ in range(SERVERS):
            await self._add_server()
        async with asyncio.timeout(START_LIMIT_SECONDS):
            while not await self._declare():
                await asyncio.sleep(0.2)
            while not await self.callers.is_every_router_serving():
                await asyncio.sleep(0.2)

    async def _add_server(self) -> None:
        server = await self.fleet.add_server(self._random.choice(SOFTWARE_VERSIONS))
        server.server.pause_seconds = self._random.choice(SERVICE_SECONDS)
        server.server.crashes = crashes_its_server
        server.server.crash_manner = self._random.choice(list(CrashManner))
        server.server.crash_delay_seconds = self._random.choice(CRASH_DELAYS_SECONDS)
        server.server.on_crash = lambda: self._replace_crashed(server)
        self.records.servers.append(server)

    def _replace_crashed(self, server: HeartbeatServer) -> None:
        """Start another server in place of one that crashed under a request."""
        task = asyncio.create_task(self._replace_after_crash(server))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _replace_after_crash(self, server: HeartbeatServer) -> None:
        with self.records.record_fault("servers"):
            if server in self.fleet.servers:
                await self.fleet.crash_server(server)
                await asyncio.sleep(self._random.uniform(0.5, 2.0))
                await self._add_server()

    # --- faults ---------------------------------------------------------------

    def _fault_actions(self) -> tuple[Callable[[], Coroutine[None, None, None]], ...]:
        return (
            self._kill_router,
            self._kill_routers,
            self._kill_all,
            self._stop_router,
            self._pause_process,
            self._change_settings,
            self._kill_replica,
            self._kill_core,
            self._crash_server,
            self._drain_server,
            self._drain_by_answers,
            self._request_backoff,
            self._request_backoff,
            self._answer_wrongly,
            self._disturb_connections,
            self._evacuate,
            self._change_configuration,
            self._change_configuration,
            self._race_changes,
        )

    def _choose_router(self) -> Program | None:
        """Return a router without a running fault or stop, or None."""
        free = [
            router
            for router in self.fleet.routers
            if router.name not in self.records.disturbed
        ]
        return self._random.choice(free) if len(free) > 1 else None

    async def _kill_router(self) -> None:
        if router := self._choose_router():
            with self.records.record_fault(router.name):
                await self.fleet.kill(router)
                await asyncio.sleep(self._random.uniform(0.1, 1.0))
                await self.fleet.start(router)
                await self.callers.wait_until_ready(router)

    def _are_all_routers_free(self) -> bool:
        """Return whether no router has a running fault or stop."""
        names = (router.name for router in self.fleet.routers)
        return self.records.disturbed.isdisjoint(names)

    async def _kill_routers(self) -> None:
        """Kill all routers at once, sometimes again as they have started."""
        routers = self.fleet.routers
        if not self._are_all_routers_free():
            return
        for _ in range(self._random.randint(1, 3)):
            with ExitStack() as stack:
                for router in routers:
                    stack.enter_context(self.records.record_fault(router.name))
                await self.fleet.kill_and_start(routers)
                await asyncio.sleep(self._random.uniform(0.5, 2.5))

    async def _kill_all(self) -> None:
        """Kill all processes at once."""
        if self._core_fault_lock.locked():
            return
        routers = self.fleet.routers
        if not self._are_all_routers_free():
            return
        async with self._core_fault_lock:
            with ExitStack() as stack:
                for name in ("core", *(router.name for router in routers)):
                    stack.enter_context(self.records.record_fault(name))
                await self.fleet.kill_and_start(self.fleet.programs)
                await asyncio.sleep(4.0)

    async def _stop_router(self) -> None:
        if router := self._choose_router():
            with self.records.record_planned_stop(router.name):
                code = await self.fleet.stop(router)
            self.records.exit_codes.append((router.name, code))
            with self.records.record_fault(router.name):
                await self.fleet.start(router)
                await self.callers.wait_until_ready(router)

    async def _pause_process(self) -> None:
        program = self._choose_router()
        if program is None:
            return
        name = program.name
        with self.records.record_fault(name), self.records.record_pause(name):
            program.signal(Signals.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.3, 2.5))
            program.signal(Signals.SIGCONT)
            await asyncio.sleep(1.0)

    async def _change_settings(self) -> None:
        program = self._random.choice(self.fleet.programs)
        seeds = [replica.control for replica in self.fleet.replicas]
        self._random.shuffle(seeds)
        self.fleet.write_settings(program, seeds)
        if self._random.random() < 0.5:
            program.signal(Signals.SIGHUP)

    async def _kill_replica(self) -> None:
        """Kill one replica, sometimes with its disk; only one at a time loses it."""
        if self._core_fault_lock.locked():
            return
        async with self._core_fault_lock:
            replica = self._random.choice(self.fleet.replicas)
            with self.records.record_fault("core"):
                lose_disk = self._random.random() < 0.4
                await self.fleet.kill(replica, lose_disk)
                await asyncio.sleep(self._random.uniform(0.1, 1.5))
                await self.fleet.start(replica)
                await asyncio.sleep(4.0)

    async def _kill_core(self) -> None:
        if self._core_fault_lock.locked():
            return
        async with self._core_fault_lock:
            with self.records.record_fault("core"):
                await self.fleet.kill_and_start(self.fleet.replicas)
                await asyncio.sleep(4.0)

    def _choose_server(self) -> HeartbeatServer | None:
        ready = [
            server
            for server in self.fleet.servers
            if server.state == "ready" and not server.server.is_draining
        ]
        return self._random.choice(ready) if len(ready) > 2 else None

    async def _crash_server(self) -> None:
        if server := self._choose_server():
            with self.records.record_fault("servers"):
                await self.fleet.crash_server(server)
                await asyncio.sleep(0.5)
                await self._add_server()

    async def _drain_server(self) -> None:
        if server := self._choose_server():
            server.server.is_draining = True
            await self.fleet.drain_server(server)
            await self._replace_after(server, 4.0)

    async def _drain_by_answers(self) -> None:
        """Drain a server whose heartbeats keep saying that it is ready."""
        if server := self._choose_server():
            server.server.is_draining = True
            await self._replace_after(server, self._random.uniform(3.0, 5.0))

    async def _replace_after(self, server: HeartbeatServer, seconds: float) -> None:
        await asyncio.sleep(seconds)
        with self.records.record_fault("servers"):
            if server in self.fleet.servers:
                await self.fleet.crash_server(server)
            await self._add_server()

    async def _request_backoff(self) -> None:
        """Let a server reject all calls and request backoff, of changing length."""
        if server := self._choose_server():
            with self.records.record_fault("servers"):
                server.server.fault = self._random.choice((Fault.SHED, Fault.BUSY))
                for _ in range(self._random.randint(1, 3)):
                    server.server.retry_after = f"{self._random.uniform(0.2, 4.0):.2f}"
                    await asyncio.sleep(self._random.uniform(0.2, 1.0))
                server.server.fault = Fault.NONE
                server.server.retry_after = None

    async def _answer_wrongly(self) -> None:
        if server := self._choose_server():
            with self.records.record_fault("servers"):
                server.server.fault = self._random.choice(WRONG_ANSWERS)
                await asyncio.sleep(self._random.uniform(0.3, 1.5))
                server.server.fault = Fault.NONE

    async def _disturb_connections(self) -> None:
        server = self._choose_server()
        if server is None:
            return
        link = self.records.record_fault(server.server.target_id)
        with self.records.record_fault("servers"), link:
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

    async def _change_configuration(self) -> None:
        await self._declare()

    async def _evacuate(self) -> None:
        """Evacuate a data centre and restore it, with repeated orders.

        Both orders are sent to any replica until they are acknowledged. The recorded
        evacuation ends when the restoring order is sent for the first time.
        """
        if self._evacuation_lock.locked():
            return
        async with self._evacuation_lock:
            data_centre = DATA_CENTRES[-1]
            if not await self._send_evacuation(data_centre, evacuated=True):
                return
            span = Span(data_centre, monotonic())
            self.records.evacuations.append(span)
            await asyncio.sleep(self._random.uniform(0.5, 5.0))
            if self._random.random() < 0.5:
                await self._send_evacuation(data_centre, evacuated=True)
            span.to_seconds = monotonic()
            while not await self._send_evacuation(data_centre, evacuated=False):
                await asyncio.sleep(0.3)

    async def _send_evacuation(self, data_centre: str, evacuated: bool) -> bool:
        """Send an order until it is acknowledged."""
        for _ in range(12):
            replica = self._random.choice(self.fleet.replicas)
            status = await self.fleet.evacuate(replica, data_centre, evacuated)
            if status == 200:
                return True
            if 400 <= status < 500:
                self.records.refused_changes.append(f"evacuation: {status}")
                return False
            await asyncio.sleep(0.3)
        return False

    async def _race_changes(self) -> None:
        await asyncio.gather(*(self._declare() for _ in range(2)))

    async def _declare(self) -> bool:
        """Send a new configuration to any replica until it is acknowledged."""
        self._version += self._random.randint(1, 3)
        self.records.changes_in_progress += 1
        try:
            return await self._send_change(self._version)
        finally:
            self.records.changes_in_progress -= 1

    async def _send_change(self, version: int) -> bool:
        for _ in range(8):
            replica = self._random.choice(self.fleet.replicas)
            status = await self.fleet.declare(replica, version, version % 2 == 0)
            if status == 200:
                self.records.record_acknowledgement(version, monotonic())
                return True
            if 400 <= status < 500:
                self.records.refused_changes.append(f"{version}: {status}")
                return False
            await asyncio.sleep(0.3)
        self.records.is_outcome_unknown = True
        return False

    async def _check_read_back(self) -> list[str]:
        for replica in self.fleet.replicas:
            version = await self.fleet.declared_version(replica)
            newest = self.records.newest_version
            if version is not None and version >= newest:
                return []
        return [f"no replica reads back version {newest} or a newer one"]

    async def _wait_for_recovery(self) -> list[str]:
        """Wait until every router serves again."""
        try:
            async with asyncio.timeout(RECOVERY_LIMIT_SECONDS):
                while not await self.callers.is_every_router_serving():
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return [
                f"not all routers serve {RECOVERY_LIMIT_SECONDS} s after the last fault"
            ]
        return []


async def run_seed(seed: int, seconds: float, net: int) -> list[str]:
    """Run one seed in this process and return the findings.

    Args:
        seed: The seed of the random faults and requests.
        seconds: How long faults are injected.
        net: The second number of the IP numbers used.
    """
    folder = RUN_FOLDER / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    async with ClientSession(connector=TCPConnector(force_close=True)) as session:
        fleet = make_platform_fleet(folder, net, session)
        fleet.keys = CUSTOMERS
        soak = PlatformSoak(fleet, seed, seconds)
        try:
            found = await soak.run()
        finally:
            await fleet.close()
        print(json.dumps({"seed": seed, "findings": found, **soak.records.counts()}))
    if not found:
        shutil.rmtree(folder, ignore_errors=True)
    return found


def _run_seeds_in_processes(seeds: range, seconds: float, jobs: int) -> int:
    """Run each seed in its own process; return how many seeds have findings."""
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
        for process in [child for child in running if child.poll() is not None]:
            running.remove(process)
            failed += process.returncode != 0
    print(json.dumps({"seeds": len(seeds), "with_findings": failed}))
    return failed


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="one, or first-last")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if len(seeds) > 1:
        return min(_run_seeds_in_processes(seeds, arguments.seconds, arguments.jobs), 1)
    net = FIRST_NET + seeds[0] % NETS
    return 1 if asyncio.run(run_seed(seeds[0], arguments.seconds, net)) else 0


if __name__ == "__main__":
    sys.exit(main())
