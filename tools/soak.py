"""``make soak``: checks reported outcomes under kills, partitions and restarts.

Callers send more than 20,000 requests to real daemons while routers and targets are
killed, open connections go silent, a data centre is partitioned and all instances are
restarted one by one. The stand-ins write every start to a journal file that survives
a kill; these journals are the oracle for the outcomes that callers received. The last
line printed is one flat JSON object.
"""

import asyncio
import json
import random
import shutil
import sys
import time
from collections import Counter
from pathlib import Path

import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from standins.fault_proxy import FaultProxy
from tools.demo import apply_tree, wait_for_targets
from tools.faulty_fleet import FaultyFleet
from tools.members import Member
from tools.shapes import ROOT, Shape
from tools.soak_callers import Caller, SentRequest
from tools.soak_verdict import make_verdict, print_cut_requests
from tools.trees import Customer, make_tree

RUN_FOLDER = ROOT / "run" / "soak"
SHAPE = Shape("soak", ("a", "b", "c"), 6, 3, 6, 3, tokens_per_second=800.0)
CALLERS = 48
MAX_RUN_SECONDS = 165.0
MIN_REQUESTS = 20_500
POISON_RESENDS = 20
READY_POLL_SECONDS = 0.2
DOWN_SECONDS = 2.0
CONNECTION_FAULT_SECONDS = 0.3
SEED = 11


class Soak:
    """One run with its fleet, callers and faults, and the records of all three.

    ``killed`` and ``planned`` hold the URL of an instance with the start and the end of
    its kill or planned stop, in monotonic seconds.
    """

    def __init__(self, fleet: FaultyFleet, customer: Customer) -> None:
        self.fleet = fleet
        self.customer = customer
        self.sent: list[SentRequest] = []
        self.ready: list[Member] = []
        self.events: Counter[str] = Counter()
        self.killed: list[tuple[str, float, float]] = []
        self.planned: list[tuple[str, float, float]] = []
        self.exit_codes: list[int] = []
        self.finished = asyncio.Event()
        self._random = random.Random(SEED)

    def log(self, text: str) -> None:
        """Print a line with the seconds since the start of the run."""
        print(f"{time.monotonic() - self.started_at:6.1f} s  {text}", flush=True)

    async def run(self) -> None:
        """Run the callers and inject all faults."""
        self.started_at = time.monotonic()
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            balancer = asyncio.create_task(self._poll_readiness(session))
            while not self.ready:
                await asyncio.sleep(READY_POLL_SECONDS)
            callers = [
                asyncio.create_task(self._run_caller(session, number))
                for number in range(CALLERS)
            ]
            connection_faults = asyncio.create_task(self._inject_connection_faults())
            await self._inject_process_faults()
            connection_faults.cancel()
            await self._send_poison(session)
            while (
                len(self.sent) < MIN_REQUESTS
                and time.monotonic() - self.started_at < MAX_RUN_SECONDS
            ):
                await asyncio.sleep(0.5)
            self.finished.set()
            await asyncio.gather(*callers)
            balancer.cancel()

    async def _poll_readiness(self, session: ClientSession) -> None:
        """Update the list of ready instances at intervals, as a load balancer does."""
        while True:
            members = list(self.fleet.instances.values())
            answers = await asyncio.gather(
                *(self._is_ready(session, member) for member in members)
            )
            self.ready = [
                member
                for member, is_ready in zip(members, answers, strict=True)
                if is_ready
            ]
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _is_ready(self, session: ClientSession, member: Member) -> bool:
        try:
            async with session.get(
                f"{member.url}/readyz", timeout=ClientTimeout(total=1.0)
            ) as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    async def _run_caller(self, session: ClientSession, number: int) -> None:
        """Send requests of all kinds one after another until the run is finished."""
        caller = Caller(session, self.fleet.shape, self.customer, number, SEED)
        while not self.finished.is_set():
            sent = await caller.send_next(lambda: self.ready)
            self.sent.extend(sent)

    async def _inject_connection_faults(self) -> None:
        """Break connections to random targets at intervals, in a random way."""
        proxies = list(self.fleet.proxies.values())
        while True:
            await asyncio.sleep(CONNECTION_FAULT_SECONDS)
            proxy = self._random.choice(proxies)
            fault = self._random.choice(("silence", "reset", "cut", "half_close"))
            self.events[f"brought_{fault}"] += 1
            if fault == "silence":
                proxy.silence_open_flows()
            elif fault == "reset":
                proxy.reset_all()
            else:
                await self._cut_answers(proxy, fault)

    async def _cut_answers(self, proxy: FaultProxy, fault: str) -> None:
        """End answers early for a short time, by a reset or an orderly close."""
        after_bytes = self._random.randrange(0, 900)
        if fault == "cut":
            proxy.faults.cut_answer_after_bytes = after_bytes
        else:
            proxy.faults.half_close_answer_after_bytes = after_bytes
        try:
            await asyncio.sleep(CONNECTION_FAULT_SECONDS)
        finally:
            proxy.faults.cut_answer_after_bytes = None
            proxy.faults.half_close_answer_after_bytes = None

    async def _inject_process_faults(self) -> None:
        """Run the kills, the partition and the rolling restart one after another."""
        fleet = self.fleet
        await asyncio.sleep(4.0)
        self.log(f"silent flows: {fleet.silence()}")
        await self._kill_target("engine2-b")
        await self._kill_instance("r5-b")
        self.log(f"silent flows: {fleet.silence()}")
        await self._kill_target("service2-b")
        self.log("data centre c is cut off")
        await fleet.cut("c")
        await asyncio.sleep(5.0)
        self.log(f"silent flows: {fleet.silence()}")
        await self._kill_target("engine3-c")
        await fleet.heal("c")
        self.log("data centre c is joined again")
        await asyncio.sleep(3.0)
        await self._kill_instance("r1-a")
        await self._kill_target("engine4-a")
        self.log(f"silent flows: {fleet.silence()}")
        for member in list(fleet.instances.values()):
            await self._restart(member)

    async def _kill_target(self, member_id: str) -> None:
        self.log(f"kill target {member_id}")
        self.events["targets_killed"] += 1
        await self.fleet.restart_empty(self.fleet.targets[member_id], DOWN_SECONDS)
        await asyncio.sleep(3.0)

    async def _kill_instance(self, member_id: str) -> None:
        self.log(f"kill instance {member_id}")
        self.events["instances_killed"] += 1
        member = self.fleet.instances[member_id]
        started_at = time.monotonic()
        await self.fleet.kill(member)
        self.killed.append((member.url, started_at - 0.5, time.monotonic() + 0.5))
        await asyncio.sleep(DOWN_SECONDS)
        await self.fleet.launch(member)
        await self.fleet.wait_ready([member])
        await asyncio.sleep(2.0)

    async def _restart(self, member: Member) -> None:
        """Stop an instance with two SIGTERM signals and start it again."""
        started_at = time.monotonic()
        assert member.process is not None
        member.process.terminate()
        await asyncio.sleep(0.3)
        code = await self.fleet.stop(member)
        ended_at = time.monotonic()
        self.exit_codes.append(code)
        self.planned.append((member.url, started_at, ended_at))
        self.log(f"{member.member_id} stopped in {ended_at - started_at:.1f} s: {code}")
        await self.fleet.launch(member)
        await self.fleet.wait_ready([member])

    async def _send_poison(self, session: ClientSession) -> None:
        """Send a request that crashes engines repeatedly, through every instance."""
        caller = Caller(session, self.fleet.shape, self.customer, CALLERS, SEED)
        outcomes: Counter[str] = Counter()
        members = list(self.fleet.instances.values())
        for resend in range(POISON_RESENDS):
            sent = await caller.send_poison(members[resend % len(members)])
            outcomes[f"{sent.outcome}/{sent.reason}"] += 1
        dead = [
            member
            for member in self.fleet.targets.values()
            if member.kind == "engine" and not member.alive
        ]
        self.events["targets_lost_to_poison"] = len(dead)
        self.log(f"poison crashed {len(dead)} engines; outcomes {dict(outcomes)}")
        for member in dead:
            await self.fleet.launch(member)


async def run_soak() -> int:
    """Run the soak and print its verdict.

    Returns:
        0 if every reported outcome was true, nothing was lost and all planned stops
        ended with exit code 0; else 1.
    """
    shutil.rmtree(RUN_FOLDER, ignore_errors=True)
    customer = Customer("desk", "staff", 1.0, ())
    fleet = FaultyFleet(SHAPE, RUN_FOLDER, lambda position: position % 2 == 0)
    async with fleet:
        await fleet.wait_up()
        tree = yaml.safe_load(make_tree(SHAPE, (customer,), "leased"))
        tree["fleet"] |= {"silence_seconds": 1.0, "balancer_delay_seconds": 1.0}
        await apply_tree(fleet, yaml.safe_dump(tree))
        await fleet.wait_ready()
        await wait_for_targets(fleet)
        soak = Soak(fleet, customer)
        await soak.run()
        codes = await fleet.stop_all()
    print_cut_requests(soak.sent, soak.planned)
    verdict = make_verdict(
        soak.sent, _read_journals(RUN_FOLDER), soak.killed, soak.planned
    )
    verdict |= dict(soak.events)
    planned_codes = [*soak.exit_codes, *(codes[name] for name in fleet.instances)]
    verdict["planned_stops_not_0"] = sum(code != 0 for code in planned_codes)
    print(json.dumps(verdict), flush=True)
    must_be_zero = (
        "doubled",
        "falsely_not_run",
        "crossed",
        "truncated_told_complete",
        "cut_by_planned_stop",
        "lost",
        "planned_stops_not_0",
    )
    return int(any(verdict[name] for name in must_be_zero))


def _read_journals(folder: Path) -> Counter[str]:
    """Return how often each mark was started, over all targets and their restarts."""
    starts: Counter[str] = Counter()
    for file in folder.glob("*.journal"):
        starts.update(file.read_text(encoding="utf-8").split())
    return starts


def main() -> int:
    """Run the soak and return the exit code."""
    return asyncio.run(run_soak())


if __name__ == "__main__":
    sys.exit(main())
