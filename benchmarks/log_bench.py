"""Measures the replicated log: commits, restarts, and slopes for capacity planning.

The replicas run in one process with an in-memory transport, each with real files in
its own folder. Latencies therefore exclude the network; the sync time of the disk in
the same run is reported beside them. ``--sync-seconds`` simulates a slower disk. The
output is JSON. Run it from the root of the repository.
"""

import argparse
import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.log_fleet import COMMAND_BYTES, Fleet, measure_sync, percentiles
from sesameford import log_replica
from sesameford.claims import (
    Claim,
    ClaimOwner,
    ClaimsMachine,
    Completion,
    encode_claim_command,
)
from sesameford.errors import StorageError
from sesameford.log_replica import SNAPSHOT_ENTRIES
from sesameford.log_service import LogService

PARTS = ("commits", "restart", "slopes", "claims")
BATCHES = (1, 16, 256)
RESTART_CHANGES = (100, 10_000, 100_000)
_SNAPSHOT_BYTES = log_replica.SNAPSHOT_BYTES


async def commit_rounds(
    leader: LogService, batch: int, changes: int, label: str
) -> list[float]:
    """Propose changes in rounds of one batch and return the seconds of each round."""
    times = []
    for number in range(changes // batch):
        started_at = time.perf_counter()
        await asyncio.gather(
            *(
                leader.propose(f"{label}-{number}-{row}", "blob", bytes(COMMAND_BYTES))
                for row in range(batch)
            )
        )
        times.append(time.perf_counter() - started_at)
    return times


async def measure_commits(folder: Path, changes: int, in_thread: bool) -> list[dict]:
    """Return latency and throughput for each batch size and number of replicas."""
    rows = []
    for size in (3, 5):
        fleet = Fleet(folder / f"commits-{size}-{in_thread}", size, in_thread)
        leader = await fleet.start()
        for batch in BATCHES:
            disk = measure_sync(folder, rounds=100)
            started_at = time.perf_counter()
            cpu_before = time.process_time()
            batch_changes = max(changes, 20 * batch)
            times = await commit_rounds(leader, batch, batch_changes, f"b{batch}")
            elapsed = time.perf_counter() - started_at
            count = len(times) * batch
            rows.append(
                {
                    "replicas": size,
                    "sync_in_thread": in_thread,
                    "batch": batch,
                    "sync_of_the_disk_p50_ms": disk["p50_ms"],
                    **percentiles(times),
                    "changes_per_second": round(count / elapsed),
                    "processor_ms_per_change_all_replicas": round(
                        (time.process_time() - cpu_before) * 1000 / count, 4
                    ),
                }
            )
        await fleet.stop()
    return rows


async def measure_restart(folder: Path, changes: int, snapshot: bool) -> dict:
    """Return the time that one replica takes to restart after a number of changes.

    Args:
        folder: Folder for the replica's files.
        changes: Number of changes before the restart.
        snapshot: Whether the replica takes snapshots.
    """
    log_replica.SNAPSHOT_BYTES = _SNAPSHOT_BYTES if snapshot else sys.maxsize
    fleet_folder = folder / f"restart-{changes}-{snapshot}"
    snapshot_entries = min(SNAPSHOT_ENTRIES, changes // 2) if snapshot else changes * 2
    fleet = Fleet(fleet_folder, 1, False, snapshot_entries)
    leader = await fleet.start()
    await commit_rounds(leader, 100, changes, "r")
    await fleet.stop()
    restarted = Fleet(fleet_folder, 1, False, snapshot_entries)
    started_at = time.perf_counter()
    leader = await restarted.start()
    while leader.status().applied_index < leader.status().last_index:
        await asyncio.sleep(0)
    elapsed = time.perf_counter() - started_at
    disk_bytes = sum(file.stat().st_size for file in (fleet_folder / "r0").iterdir())
    status = leader.status()
    await restarted.stop()
    return {
        "changes": changes,
        "snapshot_index": status.snapshot_index,
        "restart_ms": round(elapsed * 1000, 1),
        "replayed_entries": status.last_index - status.snapshot_index,
        "disk_bytes": disk_bytes,
    }


async def measure_slope(folder: Path, replicas: int, size_bytes: int) -> dict:
    """Return CPU time and bytes of one change of a size, and of an idle fleet."""
    fleet = Fleet(folder / f"slope-{replicas}-{size_bytes}", replicas, False)
    leader = await fleet.start()
    await commit_rounds(leader, 1, 20, "warm")
    cpu_before = time.process_time()
    sent, messages = fleet.sent_bytes, fleet.sent_messages
    count = 200
    for number in range(count):
        await leader.propose(f"s-{number}", "blob", bytes(size_bytes))
    cpu_seconds = time.process_time() - cpu_before
    row = {
        "replicas": replicas,
        "command_bytes": size_bytes,
        "processor_ms_per_change_and_replica": round(
            cpu_seconds * 1000 / count / replicas, 4
        ),
        "sent_bytes_per_change_all_replicas": round((fleet.sent_bytes - sent) / count),
        "messages_per_change_all_replicas": round(
            (fleet.sent_messages - messages) / count, 2
        ),
    }
    sent, messages = fleet.sent_bytes, fleet.sent_messages
    cpu_before, started_at = time.process_time(), time.perf_counter()
    await asyncio.sleep(2.0)
    elapsed = time.perf_counter() - started_at
    row["idle_sent_bytes_per_second_all_replicas"] = round(
        (fleet.sent_bytes - sent) / elapsed
    )
    row["idle_messages_per_second_all_replicas"] = round(
        (fleet.sent_messages - messages) / elapsed, 1
    )
    row["idle_processor_percent_of_a_core_per_replica"] = round(
        (time.process_time() - cpu_before) / elapsed / replicas * 100, 3
    )
    await fleet.stop()
    return row


def claim_command(number: int) -> bytes:
    """Return the log command that claims the key of one request."""
    owner = ClaimOwner(f"r{number % 8}", 1_700_000_000_000, f"request-{number:020d}")
    key = f"{number:032x}"
    return encode_claim_command(
        Claim(f"customer-{number % 2200}", key, bytes(16), owner, float(number) / 100)
    )


def completion_command(number: int, claim_index: int) -> bytes:
    """Return the log command that completes a keyed request; its router has the answer.

    Args:
        number: Number of the request.
        claim_index: Log index of the claim.
    """
    customer, key = f"customer-{number % 2200}", f"{number:032x}"
    at_seconds = float(number) / 100
    return encode_claim_command(
        Completion(customer, key, claim_index, None, at_seconds)
    )


async def measure_claims(folder: Path, replicas: int, batch: int) -> dict:
    """Return the cost of one keyed request: its claim and its completion together."""
    fleet = Fleet(folder / f"claims-{replicas}-{batch}", replicas, False)
    leader = await fleet.start()
    leader_id = leader.leader_id() or ""
    cpu_before, sent = time.process_time(), fleet.sent_bytes
    leader_sent = fleet.sent_bytes_by[leader_id]
    requests = 512

    async def run_request(number: int) -> None:
        await leader.propose(f"c-{number}", "claims", claim_command(number))
        command = completion_command(number, 1)
        await leader.propose(f"d-{number}", "claims", command)

    for first in range(0, requests, batch):
        await asyncio.gather(*(run_request(first + row) for row in range(batch)))
    row = {
        "replicas": replicas,
        "requests_at_once": batch,
        "processor_ms_per_request_and_replica": round(
            (time.process_time() - cpu_before) * 1000 / requests / replicas, 4
        ),
        "sent_bytes_per_request_all_replicas": round(
            (fleet.sent_bytes - sent) / requests
        ),
        "sent_bytes_per_request_leader": round(
            (fleet.sent_bytes_by[leader_id] - leader_sent) / requests
        ),
    }
    await fleet.stop()
    return row


def measure_claims_snapshot(claims: int) -> dict:
    """Return size and time of a snapshot of some claims, made on the event loop."""
    machine = ClaimsMachine()
    for number in range(claims):
        machine.apply(number + 1, claim_command(number))
    started_at = time.perf_counter()
    size_bytes = len(machine.snapshot())
    elapsed = time.perf_counter() - started_at
    return {
        "claims": claims,
        "kept": len(machine),
        "snapshot_bytes": size_bytes,
        "snapshot_ms": round(elapsed * 1000, 1),
    }


def slow_down_syncs(seconds: float) -> None:
    """Delay each sync of the log, as a slower disk would."""
    from sesameford import log_storage

    original_sync = log_storage.sync_data

    def slow_sync(descriptor: int, file: Path, offset_bytes: int) -> None:
        time.sleep(seconds)
        original_sync(descriptor, file, offset_bytes)

    log_storage.sync_data = slow_sync


async def measure(arguments: argparse.Namespace, folder: Path) -> dict:
    """Run the requested parts and return their results by name."""
    report: dict = {"sync_of_the_disk": measure_sync(folder)}
    if "commits" in arguments.parts:
        report["commits"] = [
            *await measure_commits(folder, arguments.changes, in_thread=False),
            *await measure_commits(folder, arguments.changes, in_thread=True),
        ]
    if "restart" in arguments.parts:
        report["restart"] = [
            await measure_restart(folder, changes, snapshot)
            for changes in RESTART_CHANGES
            for snapshot in (False, True)
        ]
    if "slopes" in arguments.parts:
        report["slopes"] = [
            await measure_slope(folder, replicas, size_bytes)
            for replicas in (3, 5, 7)
            for size_bytes in (200, 2_000, 20_000)
        ]
    if "claims" in arguments.parts:
        report["claims"] = [
            await measure_claims(folder, replicas, batch)
            for replicas in (3, 5)
            for batch in (1, 32)
        ]
        report["claims_snapshots"] = [
            measure_claims_snapshot(claims) for claims in (1_000, 10_000, 50_000)
        ]
    return report


def main() -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, help="where to write; default temporary")
    parser.add_argument("--changes", type=int, default=2000)
    parser.add_argument("--sync-seconds", type=float, default=0.0)
    parser.add_argument(
        "--parts", nargs="+", default=["commits", "restart", "slopes", "claims"]
    )
    arguments = parser.parse_args()
    if arguments.sync_seconds:
        slow_down_syncs(arguments.sync_seconds)
    try:
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            report = uvloop.run(measure(arguments, Path(folder)))
    except StorageError as error:
        print(error, file=sys.stderr)
        return 1
    print(json.dumps(report, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
