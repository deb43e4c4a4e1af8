"""Measures the delay until a tree change is in force on every one of 8 real daemons.

Changes are sent at a fixed interval, each to the next instance. Half way through, the
leader of the log is killed and restarted after `DOWN_SECONDS`. The delay of a change
is the time from its first sending until the slowest live daemon logs that this or a
later revision is in force. Run with ``python -m benchmarks.spread_bench``.
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
# A daemon takes about a second to parse a tree of 22,000 customers.
ATTEMPT_TIMEOUT_SECONDS = 5.0
CHANGE_TIMEOUT_SECONDS = 30.0
QUANTILES = (0.5, 0.99, 1.0)


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change, with the Unix times of its first sending and its answer."""

    revision: int
    sent_at: float
    answered_at: float
    attempts: int


@dataclass(slots=True)
class Run:
    """The changes of one run, and the kill of the leader if there was one.

    ``killed`` is the id of the killed instance; times are Unix times.
    """

    changes: list[AcceptedChange] = field(default_factory=list)
    killed: str = ""
    killed_at: float = 0.0
    back_at: float = 0.0


def make_change_text(number: int, customers: int) -> str:
    """Return the tree of a change; the changes differ in one customer's share."""
    return make_text(customers) + f"    other:\n      share: {number + 1}\n"


async def send_change(
    fleet: Fleet,
    session: ClientSession,
    number: int,
    base_revision: int,
    customers: int,
) -> AcceptedChange:
    """Send a change until it is accepted, each time to another instance.

    Args:
        fleet: The running fleet.
        session: Client session with the operator's key.
        number: Number of the change, which is part of its id.
        base_revision: The revision that the change builds on.
        customers: Number of customers in the tree.

    Raises:
        SystemExit: The change was rejected, or not accepted in time.
    """
    body = {
        "change_id": f"change-{number}",
        "base_revision": base_revision,
        "declared": make_change_text(number, customers),
    }
    members = list(fleet.instances.values())
    sent_at = time()
    attempts = 0
    while time() - sent_at < CHANGE_TIMEOUT_SECONDS:
        member = members[(number + attempts) % len(members)]
        attempts += 1
        try:
            async with session.post(
                f"{member.operators_url}/tree/changes", json=body
            ) as response:
                answer = await response.json(content_type=None)
                if response.status == 200:
                    return AcceptedChange(answer["revision"], sent_at, time(), attempts)
                if response.status != 503:
                    raise SystemExit(f"change {number}: {response.status} {answer}")
        except (ClientError, TimeoutError, OSError):
            await asyncio.sleep(0.02)
    raise SystemExit(f"change {number} had no answer in {CHANGE_TIMEOUT_SECONDS:g} s")


async def find_leader(fleet: Fleet, session: ClientSession) -> Member:
    """Return the instance that is the leader of the log.

    Raises:
        SystemExit: No instance reports a leader.
    """
    for member in fleet.instances.values():
        async with session.get(f"{member.operators_url}/status") as response:
            status: Mapping[str, Any] = await response.json()
        if status["log"]["leader_id"]:
            return fleet.instances[status["log"]["leader_id"]]
    raise SystemExit("no instance reports a leader")


async def run_changes(
    fleet: Fleet, count: int, interval_seconds: float, kill: bool, customers: int
) -> Run:
    """Send the changes, and with ``kill`` kill and restart the leader half way."""
    run = Run()
    headers = {"Authorization": f"Bearer {fleet.keys.operator}"}
    timeout = ClientTimeout(total=ATTEMPT_TIMEOUT_SECONDS)
    async with ClientSession(headers=headers, timeout=timeout) as session:
        await fleet.wait_up()
        restart: asyncio.Task[None] | None = None
        first = await send_change(fleet, session, 0, 0, customers)
        revision = first.revision
        await fleet.wait_ready()
        for number in range(1, count + 1):
            if kill and number == count // 2:
                leader = await find_leader(fleet, session)
                run.killed, run.killed_at = leader.member_id, time()
                restart = asyncio.create_task(fleet.restart_empty(leader, DOWN_SECONDS))
                await asyncio.sleep(0)
            started_at = monotonic()
            accepted = await send_change(fleet, session, number, revision, customers)
            revision = accepted.revision
            run.changes.append(accepted)
            await asyncio.sleep(max(0.0, interval_seconds - (monotonic() - started_at)))
        if restart is not None:
            await restart
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        run.back_at = time()
    return run


def read_in_force_times(log_file: Path) -> tuple[list[int], list[float]]:
    """Return the revisions that came into force, ascending, and their Unix times."""
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


def change_delays(fleet: Fleet, run: Run) -> dict[str, list[float]]:
    """Return the seconds of each change until its answer and until it is in force.

    Raises:
        SystemExit: A daemon never reached the revision of a change.
    """
    logs = {
        name: read_in_force_times(member.log_file)
        for name, member in fleet.instances.items()
    }
    delays: dict[str, list[float]] = {"answered": [], "in force on all": []}
    for accepted in run.changes:
        slowest = 0.0
        for name, (revisions, times) in logs.items():
            position = bisect_left(revisions, accepted.revision)
            if position == len(revisions):
                raise SystemExit(f"{name} never had revision {accepted.revision}")
            # The killed instance is left out, since it was not live. The check above
            # shows that it reached this revision after its restart.
            if name != run.killed or accepted.answered_at < run.killed_at:
                slowest = max(slowest, times[position])
        delays["answered"].append(accepted.answered_at - accepted.sent_at)
        delays["in force on all"].append(slowest - accepted.sent_at)
    return delays


def quantiles(values: Sequence[float]) -> list[float]:
    """Return p50, p99 and the maximum of seconds, in milliseconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return [1000 * ordered[round(quantile * last)] for quantile in QUANTILES]


async def measure(
    count: int, interval_seconds: float, kill: bool, customers: int
) -> dict[str, Any]:
    """Run once and return the figures by name."""
    with TemporaryDirectory() as folder:
        async with Fleet(SHAPE, Path(folder)) as fleet:
            run = await run_changes(fleet, count, interval_seconds, kill, customers)
            delays = change_delays(fleet, run)
    return {
        "customers": customers,
        "changes": len(run.changes),
        "killed": run.killed,
        "sent more than once": sum(change.attempts > 1 for change in run.changes),
        **{
            f"{name} p50/p99/max ms": quantiles(seconds)
            for name, seconds in delays.items()
        },
    }


def main() -> int:
    """Print the figures of one run without and one run with a killed leader."""
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
                shown = " / ".join(f"{figure:.0f}" for figure in value)
            print(f"{name}: {shown}")
        print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
