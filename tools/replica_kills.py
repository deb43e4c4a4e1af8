"""Kills each replica in turn under a stream of changes, and counts what was lost.

``make kills`` starts 8 real daemons with 3 replicas. While changes follow one another,
each replica is killed (SIGKILL) and started again on its data folder, twice round.
Each accepted change is sent a second time, under its id, through another instance. In
the end every instance has to be at the last revision, and the history, asked for
through each replica, has to name all accepted changes once and in their order. The
last line is one JSON object.
"""

import asyncio
import json
import sys
from argparse import ArgumentParser
from collections.abc import Mapping, Sequence
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from aiohttp import ClientSession, ClientTimeout

from benchmarks.spread_bench import SHAPE, change
from tools.fleet import Fleet

DOWN_SECONDS = 1.5
UP_SECONDS = 2.0
ROUNDS = 2
PACE_SECONDS = 0.02
SETTLE_SECONDS = 5.0
CUSTOMERS = 16


async def kill_in_turn(fleet: Fleet) -> int:
    """Kill and restart each replica, and return how often that was done."""
    replicas = list(fleet.instances.values())[: fleet.shape.replicas]
    kills = 0
    for _ in range(ROUNDS):
        for replica in replicas:
            await fleet.restart_empty(replica, DOWN_SECONDS)
            await fleet.wait_ready([replica])
            await asyncio.sleep(UP_SECONDS)
            kills += 1
    return kills


async def drive(fleet: Fleet, session: ClientSession) -> Mapping[str, int]:
    """Send changes until all kills are done, then compare what is known where."""
    await fleet.wait_up()
    revision = (await change(fleet, session, 0, 0, CUSTOMERS)).revision
    await fleet.wait_ready()
    killing = asyncio.create_task(kill_in_turn(fleet))
    accepted = [revision]
    other_answers = 0
    number = 0
    while not killing.done():
        number += 1
        made = await change(fleet, session, number, revision, CUSTOMERS)
        again = await change(fleet, session, number, revision, CUSTOMERS)
        other_answers += made.revision != again.revision
        revision = made.revision
        accepted.append(revision)
        await asyncio.sleep(PACE_SECONDS)
    kills = await killing
    await asyncio.sleep(SETTLE_SECONDS)
    return {
        "kills": kills,
        "accepted": len(accepted),
        "other_answers_to_resends": other_answers,
        "out_of_order": sum(
            later != earlier + 1 for earlier, later in pairwise(accepted)
        ),
        **await compare(fleet, session, len(accepted)),
    }


async def compare(
    fleet: Fleet, session: ClientSession, accepted: int
) -> Mapping[str, int]:
    """Return how many instances are behind and how many histories are wrong."""
    wanted = [f"change-{number}" for number in range(accepted)]
    behind = wrong = 0
    for position, member in enumerate(fleet.instances.values()):
        status = await get(session, f"{member.operators_url}/status")
        behind += status["revision"] != accepted
        if position < fleet.shape.replicas:
            wrong += await read_history(session, member.operators_url) != wanted
    return {"instances_behind": behind, "wrong_histories": wrong}


async def read_history(session: ClientSession, url: str) -> list[str]:
    """Return the ids of all accepted changes, oldest first, as one instance tells."""
    ids: list[str] = []
    before = ""
    while True:
        rows: Sequence[Mapping[str, Any]] = await get(
            session, f"{url}/tree/history{before}"
        )
        if not rows:
            return ids[::-1]
        ids += [row["change_id"] for row in rows]
        before = f"?before={rows[-1]['revision']}"


async def get(session: ClientSession, url: str) -> Any:
    """Return the JSON of a page."""
    async with session.get(url) as answer:
        answer.raise_for_status()
        return await answer.json()


async def run() -> Mapping[str, int]:
    """Start the daemons and return the counts."""
    with TemporaryDirectory() as folder:
        async with Fleet(SHAPE, Path(folder)) as fleet:
            headers = {"Authorization": f"Bearer {fleet.keys.operator}"}
            timeout = ClientTimeout(total=5.0)
            async with ClientSession(headers=headers, timeout=timeout) as session:
                return await drive(fleet, session)


def main() -> int:
    """Print the counts; 1 where something was lost, doubled or told wrongly."""
    ArgumentParser(description=__doc__).parse_args()
    counts = asyncio.run(run())
    print(json.dumps(counts))
    right = {"kills", "accepted"}
    return int(any(count for name, count in counts.items() if name not in right))


if __name__ == "__main__":
    sys.exit(main())
