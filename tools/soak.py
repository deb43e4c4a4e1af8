"""``make soak``: true outcomes under kills, silent flows, cuts and a rolling restart.

Callers send more than 20,000 requests to real daemons while routers and targets are
killed, open connections go silent, a data centre is cut off and all instances are
restarted one by one. The stand-ins note every start in a file that outlives them;
that is the oracle for what callers were told. The last line is one flat JSON object.
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
from tools.soak_callers import Caller, Sent
from tools.soak_verdict import judge, print_cut
from tools.trees import Customer, make_tree

RUN_FOLDER = ROOT / "run" / "soak"
SHAPE = Shape("soak", ("a", "b", "c"), 6, 3, 6, 3, tokens_per_second=800.0)
CALLERS = 48
MOST_SECONDS = 165.0
WANTED_REQUESTS = 20_500
POISON_RESENDS = 20
READY_POLL_SECONDS = 0.2
DOWN_SECONDS = 2.0
NUISANCE_SECONDS = 0.3
SEED = 11


class Soak:
    """One run: the fleet, the callers, the faults and what was seen."""

    def __init__(self, fleet: FaultyFleet, customer: Customer) -> None:
        self.fleet = fleet
        self.customer = customer
        self.sent: list[Sent] = []
        self.ready: list[Member] = []
        self.events: Counter[str] = Counter()
        self.killed: list[tuple[str, float, float]] = []
        self.planned: list[tuple[str, float, float]] = []
        self.exit_codes: list[int] = []
        self.over = asyncio.Event()
        self._random = random.Random(SEED)

    def log(self, text: str) -> None:
        """Say what happens."""
        print(f"{time.monotonic() - self.began_at:6.1f} s  {text}", flush=True)

    async def run(self) -> None:
        """Load the fleet and bring the faults about."""
        self.began_at = time.monotonic()
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            balancer = asyncio.create_task(self._balance(session))
            while not self.ready:
                await asyncio.sleep(READY_POLL_SECONDS)
            callers = [
                asyncio.create_task(self._call(session, number))
                for number in range(CALLERS)
            ]
            nuisances = asyncio.create_task(self._bring_nuisances())
            await self._bring_faults()
            nuisances.cancel()
            await self._poison(session)
            while (
                len(self.sent) < WANTED_REQUESTS
                and time.monotonic() - self.began_at < MOST_SECONDS
            ):
                await asyncio.sleep(0.5)
            self.over.set()
            await asyncio.gather(*callers)
            balancer.cancel()

    async def _balance(self, session: ClientSession) -> None:
        """Know the instances that say they are ready, as a balancer does."""
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

    async def _call(self, session: ClientSession, number: int) -> None:
        """One caller: request after request, of all kinds."""
        caller = Caller(session, self.fleet.shape, self.customer, number, SEED)
        while not self.over.is_set():
            sent = await caller.send_next(lambda: self.ready)
            self.sent.extend(sent)

    async def _bring_nuisances(self) -> None:
        """All the while break connections to the targets in one way or another."""
        proxies = list(self.fleet.proxies.values())
        while True:
            await asyncio.sleep(NUISANCE_SECONDS)
            proxy = self._random.choice(proxies)
            what = self._random.choice(("silence", "reset", "cut", "half_close"))
            self.events[f"brought_{what}"] += 1
            if what == "silence":
                proxy.silence_open_flows()
            elif what == "reset":
                proxy.reset_all()
            else:
                await self._cut_answers(proxy, what)

    async def _cut_answers(self, proxy: FaultProxy, what: str) -> None:
        """End answers early for a moment, with a reset or in the ordinary way."""
        after_bytes = self._random.randrange(0, 900)
        if what == "cut":
            proxy.faults.cut_answer_after_bytes = after_bytes
        else:
            proxy.faults.half_close_answer_after_bytes = after_bytes
        try:
            await asyncio.sleep(NUISANCE_SECONDS)
        finally:
            proxy.faults.cut_answer_after_bytes = None
            proxy.faults.half_close_answer_after_bytes = None

    async def _bring_faults(self) -> None:
        """The faults of the run, one after another."""
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
        began_at = time.monotonic()
        await self.fleet.kill(member)
        self.killed.append((member.url, began_at - 0.5, time.monotonic() + 0.5))
        await asyncio.sleep(DOWN_SECONDS)
        await self.fleet.launch(member)
        await self.fleet.wait_ready([member])
        await asyncio.sleep(2.0)

    async def _restart(self, member: Member) -> None:
        """Stop an instance by signal, twice, and start it again."""
        began_at = time.monotonic()
        assert member.process is not None
        member.process.terminate()
        await asyncio.sleep(0.3)
        code = await self.fleet.stop(member)
        ended_at = time.monotonic()
        self.exit_codes.append(code)
        self.planned.append((member.url, began_at, ended_at))
        self.log(f"{member.member_id} stopped in {ended_at - began_at:.1f} s: {code}")
        await self.fleet.launch(member)
        await self.fleet.wait_ready([member])

    async def _poison(self, session: ClientSession) -> None:
        """Send a request that crashes engines again and again, through all."""
        caller = Caller(session, self.fleet.shape, self.customer, CALLERS, SEED)
        told: Counter[str] = Counter()
        members = list(self.fleet.instances.values())
        for resend in range(POISON_RESENDS):
            sent = await caller.send_poison(members[resend % len(members)])
            told[f"{sent.outcome}/{sent.reason}"] += 1
        dead = [
            member
            for member in self.fleet.targets.values()
            if member.kind == "engine" and not member.alive
        ]
        self.events["targets_lost_to_poison"] = len(dead)
        self.log(f"poison cost {len(dead)} engines; told {dict(told)}")
        for member in dead:
            await self.fleet.launch(member)


async def run_soak() -> int:
    """Run the soak and print its verdict.

    Returns:
        0 if nothing untrue was told and nothing was lost.
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
    print_cut(soak.sent, soak.planned)
    verdict = judge(soak.sent, _journals(RUN_FOLDER), soak.killed, soak.planned)
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


def _journals(folder: Path) -> Counter[str]:
    """Return how often each mark was started, over all targets and their lives."""
    starts: Counter[str] = Counter()
    for file in folder.glob("*.journal"):
        starts.update(file.read_text(encoding="utf-8").split())
    return starts


def main() -> int:
    """Run the soak."""
    return asyncio.run(run_soak())


if __name__ == "__main__":
    sys.exit(main())
