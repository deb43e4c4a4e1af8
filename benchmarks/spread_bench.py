"""Measures how long a change takes to be in force on every one of 8 real daemons.

Changes follow one another at a steady pace, each sent to the next instance; half
way through, the log's leader is killed, and started again a little later. A change
counts from when it was first sent until the slowest live daemon logged that it, or
a later one, is in force. Run with ``python -m benchmarks.spread_bench``.
"""

import asyncio
import json
import sys
from argparse import ArgumentParser
from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, time
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from benchmarks.tree_bench import make_text
from tools.fleet import Fleet
from tools.members import Member
from tools.shapes import Shape

SHAPE = Shape("spread", ("a", "b", "c"), 8, 3, 0, 0, one_way_seconds=0.0012)
DOWN_SECONDS = 3.0
SETTLE_SECONDS = 5.0
# A tree of 22,000 customers alone takes a second or so to read.
TRY_TIMEOUT_SECONDS = 5.0
GIVE_UP_SECONDS = 30.0
BOUNDS = (0.5, 0.99, 1.0)


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change: when it was first sent and when its answer came."""

    revision: int
    sent_at: float
    answered_at: float
    tries: int


@dataclass(slots=True)
class Run:
    """What happened in one run."""

    changes: list[Change] = field(default_factory=list)
    killed: str = ""
    killed_at: float = 0.0
    back_at: float = 0.0


def declared(number: int, customers: int) -> str:
    """Return the tree of a change; all differ in one customer's share."""
    return make_text(customers) + f"    other:\n      share: {number + 1}\n"


async def change(
    fleet: Fleet,
    session: ClientSession,
    number: int,
    base_revision: int,
    customers: int,
) -> Change:
    """Send a change until it is answered, each time to another instance."""
    body = {
        "change_id": f"change-{number}",
        "base_revision": base_revision,
        "declared": declared(number, customers),
    }
    members = list(fleet.instances.values())
    sent_at = time()
    tries = 0
    while time() - sent_at < GIVE_UP_SECONDS:
        member = members[(number + tries) % len(members)]
        tries += 1
        try:
            async with session.post(
                f"{member.operators_url}/tree/changes", json=body
            ) as response:
                answer = await response.json(content_type=None)
                if response.status == 200:
                    return Change(answer["revision"], sent_at, time(), tries)
                if response.status != 503:
                    raise SystemExit(f"change {number}: {response.status} {answer}")
        except (ClientError, TimeoutError, OSError):
            await asyncio.sleep(0.02)
    raise SystemExit(f"change {number} had no answer in {GIVE_UP_SECONDS:g} s")


async def find_leader(fleet: Fleet, session: ClientSession) -> Member:
    """Return the member that leads the log."""
    for member in fleet.instances.values():
        async with session.get(f"{member.operators_url}/status") as response:
            status: Mapping[str, Any] = await response.json()
        if status["log"]["leader_id"]:
            return fleet.instances[status["log"]["leader_id"]]
    raise SystemExit("no instance knows of a leader")


async def drive(
    fleet: Fleet, count: int, pace_seconds: float, kill: bool, customers: int
) -> Run:
    """Send the changes and kill the leader half way."""
    run = Run()
    headers = {"Authorization": f"Bearer {fleet.keys.operator}"}
    timeout = ClientTimeout(total=TRY_TIMEOUT_SECONDS)
    async with ClientSession(headers=headers, timeout=timeout) as session:
        await fleet.wait_up()
        restart: asyncio.Task[None] | None = None
        first = await change(fleet, session, 0, 0, customers)
        revision = first.revision
        await fleet.wait_ready()
        for number in range(1, count + 1):
            if kill and number == count // 2:
                leader = await find_leader(fleet, session)
                run.killed, run.killed_at = leader.member_id, time()
                restart = asyncio.create_task(fleet.restart_empty(leader, DOWN_SECONDS))
                await asyncio.sleep(0)
            begin = monotonic()
            made = await change(fleet, session, number, revision, customers)
            revision = made.revision
            run.changes.append(made)
            await asyncio.sleep(max(0.0, pace_seconds - (monotonic() - begin)))
        if restart is not None:
            await restart
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        run.back_at = time()
    return run


def in_force_times(log_file: Path) -> tuple[list[int], list[float]]:
    """Return the revisions that came into force, ascending, and when."""
    revisions: list[int] = []
    times: list[float] = []
    for line in log_file.read_text(encoding="utf-8").splitlines():
        if '"tree in force"' not in line:
            continue
        record = json.loads(line)
        revision = int(record["revision"])
        if revisions and revision <= revisions[-1]:
            continue
        revisions.append(revision)
        times.append(datetime.fromisoformat(record["at"]).timestamp())
    return revisions, times


def delays(fleet: Fleet, run: Run) -> dict[str, list[float]]:
    """Return the delays of all changes: until answered, and until in force."""
    logs = {
        name: in_force_times(member.log_file)
        for name, member in fleet.instances.items()
    }
    found: dict[str, list[float]] = {"answered": [], "in force on all": []}
    for made in run.changes:
        slowest = 0.0
        for name, (revisions, times) in logs.items():
            position = bisect_left(revisions, made.revision)
            if position == len(revisions):
                raise SystemExit(f"{name} never had revision {made.revision}")
            # The killed one was not live; that it came to the newest revision
            # after its restart has just been checked.
            if name != run.killed or made.answered_at < run.killed_at:
                slowest = max(slowest, times[position])
        found["answered"].append(made.answered_at - made.sent_at)
        found["in force on all"].append(slowest - made.sent_at)
    return found


def quantiles(values: Sequence[float]) -> list[float]:
    """Return p50, p99 and the maximum, in milliseconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return [1000 * ordered[round(bound * last)] for bound in BOUNDS]


async def measure(
    count: int, pace_seconds: float, kill: bool, customers: int
) -> dict[str, Any]:
    """Run once and return the figures."""
    with TemporaryDirectory() as folder:
        async with Fleet(SHAPE, Path(folder)) as fleet:
            run = await drive(fleet, count, pace_seconds, kill, customers)
            found = delays(fleet, run)
    return {
        "customers": customers,
        "changes": len(run.changes),
        "killed": run.killed,
        "sent more than once": sum(one.tries > 1 for one in run.changes),
        **{f"{name} p50/p99/max ms": quantiles(one) for name, one in found.items()},
    }


def main() -> int:
    """Print the figures of a run without and of one with a killed leader."""
    parser = ArgumentParser(description="Measure the spread of changes.")
    parser.add_argument("--changes", type=int, default=500)
    parser.add_argument("--pace-seconds", type=float, default=0.04)
    parser.add_argument("--customers", type=int, default=16)
    arguments = parser.parse_args()
    for kill in (False, True):
        figures = asyncio.run(
            measure(
                arguments.changes, arguments.pace_seconds, kill, arguments.customers
            )
        )
        for name, value in figures.items():
            shown = value
            if isinstance(value, list):
                shown = " / ".join(f"{one:.0f}" for one in value)
            print(f"{name}: {shown}")
        print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
