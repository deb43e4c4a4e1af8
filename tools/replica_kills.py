"""Kills the replicas in turn during tree changes and checks that no change is lost.

``make kills`` starts 8 real daemons, 3 of them replicas. While a client sends changes
one after another, each replica is killed (SIGKILL) twice and restarted on its data
folder. Each accepted change is sent a second time with the same id, through another
instance. At the end every instance must be at the last revision, and the history read
from each replica must list all accepted changes once and in order. The last line
printed is one JSON object.
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

from benchmarks.spread_bench import SHAPE, send_change
from tools.fleet import Fleet

DOWN_SECONDS = 1.5
UP_SECONDS = 2.0
ROUNDS = 2
CHANGE_INTERVAL_SECONDS = 0.02
SETTLE_SECONDS = 5.0
CUSTOMERS = 16


async def kill_in_turn(fleet: Fleet) -> int:
    """Kill and restart each replica in turn and return the number of kills."""
    replicas = list(fleet.instances.values())[: fleet.shape.replicas]
    kills = 0
    for _ in range(ROUNDS):
        for replica in replicas:
            await fleet.restart_empty(replica, DOWN_SECONDS)
            await fleet.wait_ready([replica])
            await asyncio.sleep(UP_SECONDS)
            kills += 1
    return kills


async def run_kills(fleet: Fleet, session: ClientSession) -> Mapping[str, int]:
    """Send changes until all kills are done, then compare the instances.

    Returns:
        The counts that are printed, by name.
    """
    await fleet.wait_up()
    revision = (await send_change(fleet, session, 0, 0, CUSTOMERS)).revision
    await fleet.wait_ready()
    killing = asyncio.create_task(kill_in_turn(fleet))
    accepted = [revision]
    different_answers = 0
    number = 0
    while not killing.done():
        number += 1
        first = await send_change(fleet, session, number, revision, CUSTOMERS)
        resent = await send_change(fleet, session, number, revision, CUSTOMERS)
        different_answers += first.revision != resent.revision
        revision = first.revision
        accepted.append(revision)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    kills = await killing
    await asyncio.sleep(SETTLE_SECONDS)
    return {
        "kills": kills,
        "accepted": len(accepted),
        "other_answers_to_resends": different_answers,
        "out_of_order": sum(
            later != earlier + 1 for earlier, later in pairwise(accepted)
        ),
        **await compare_instances(fleet, session, len(accepted)),
    }


async def compare_instances(
    fleet: Fleet, session: ClientSession, accepted: int
) -> Mapping[str, int]:
    """Count the instances at another revision and the replicas with a wrong history.

    Args:
        fleet: The running fleet.
        session: Client session with the operator's key.
        accepted: Number of changes accepted, which is the expected revision.
    """
    expected_ids = [f"change-{number}" for number in range(accepted)]
    behind = wrong = 0
    for position, member in enumerate(fleet.instances.values()):
        status = await get_json(session, f"{member.operators_url}/status")
        behind += status["revision"] != accepted
        if position < fleet.shape.replicas:
            wrong += await read_history(session, member.operators_url) != expected_ids
    return {"instances_behind": behind, "wrong_histories": wrong}


async def read_history(session: ClientSession, url: str) -> list[str]:
    """Return the ids of all accepted changes, oldest first, from one instance."""
    ids: list[str] = []
    before = ""
    while True:
        rows: Sequence[Mapping[str, Any]] = await get_json(
            session, f"{url}/tree/history{before}"
        )
        if not rows:
            return ids[::-1]
        ids += [row["change_id"] for row in rows]
        before = f"?before={rows[-1]['revision']}"


async def get_json(session: ClientSession, url: str) -> Any:
    """Return the JSON body of a page.

    Raises:
        ClientResponseError: The status is 400 or above.
    """
    async with session.get(url) as answer:
        answer.raise_for_status()
        return await answer.json()


async def run() -> Mapping[str, int]:
    """Start the daemons, run the kills and return the counts."""
    with TemporaryDirectory() as folder:
        async with Fleet(SHAPE, Path(folder)) as fleet:
            headers = {"Authorization": f"Bearer {fleet.keys.operator}"}
            timeout = ClientTimeout(total=5.0)
            async with ClientSession(headers=headers, timeout=timeout) as session:
                return await run_kills(fleet, session)


def main() -> int:
    """Print the counts and return the exit code: 1 if any count shows a fault."""
    ArgumentParser(description=__doc__).parse_args()
    counts = asyncio.run(run())
    print(json.dumps(counts))
    not_faults = {"kills", "accepted"}
    return int(any(count for name, count in counts.items() if name not in not_faults))


if __name__ == "__main__":
    sys.exit(main())
