"""Measures the replicated log: commits, restarts, and slopes for capacity.

Replicas run in one process, each with real files in a folder of its own, joined by
a transport in memory. Latency therefore leaves the network out and is given beside
the disk's own sync time of the same run. ``--sync-seconds`` adds the sync time of
a slower disk. Prints JSON; run it from the root of the repository.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median, quantiles

import uvloop
from msgspec.msgpack import encode

from sesameford import log_replica
from sesameford.errors import StorageError
from sesameford.fencing import FencingMachine
from sesameford.log_replica import SNAPSHOT_ENTRIES
from sesameford.log_service import LogService, make_log_service
from sesameford.messages import Message

BATCHES = (1, 16, 256)
RESTART_CHANGES = (100, 10_000, 100_000)
COMMAND_BYTES = 200
TICK_SECONDS = 0.05
_SNAPSHOT_BYTES = log_replica.SNAPSHOT_BYTES


class BlobMachine:
    """Keeps the newest commands of a fixed number of keys."""

    name = "blob"
    keys = 1000

    def __init__(self) -> None:
        self.rows: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Keep a command and answer with its index."""
        self.rows[index % self.keys] = command
        return b"%d" % index

    def snapshot(self) -> bytes:
        """Return all rows, which have one length."""
        return b"".join(self.rows.values())

    def restore(self, snapshot: bytes) -> None:
        """Forget all rows; the measurement does not read them."""
        self.rows = {}


class Fleet:
    """Replicas in one process on the loop's clock."""

    def __init__(
        self,
        folder: Path,
        size: int,
        sync_in_thread: bool,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ) -> None:
        self._snapshot_entries = snapshot_entries
        self.names = tuple(f"r{number}" for number in range(size))
        self.sent_messages = 0
        self.sent_bytes = 0
        self.services = {
            name: make_log_service(
                name,
                self.names,
                folder / name,
                (BlobMachine(), FencingMachine()),
                self._sender(name),
                time.monotonic,
                seed=position,
                sync_in_thread=sync_in_thread,
            )
            for position, name in enumerate(self.names)
        }
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> LogService:
        """Start all replicas and return the leader."""
        for service in self.services.values():
            service.start()
            replica = service._replica
            if replica is not None:
                replica._snapshot_entries = self._snapshot_entries
        self._ticker = asyncio.create_task(self._tick())
        while True:
            for service in self.services.values():
                if service.role() == "leader" and service.status().commit_index:
                    return service
            await asyncio.sleep(TICK_SECONDS)

    async def stop(self) -> None:
        """Stop all replicas."""
        if self._ticker is not None:
            self._ticker.cancel()
        for service in self.services.values():
            await service.stop()

    async def _tick(self) -> None:
        while True:
            for service in self.services.values():
                service.tick(time.monotonic())
            await asyncio.sleep(TICK_SECONDS)

    def _sender(self, sender: str) -> Callable[[str, Message], None]:
        def send(receiver: str, message: Message) -> None:
            self.sent_messages += 1
            self.sent_bytes += len(encode(message))
            service = self.services[receiver]
            loop = asyncio.get_running_loop()
            loop.call_soon(service.received, sender, 1, message, time.monotonic())

        return send


def sync_seconds(folder: Path, rounds: int = 200) -> dict[str, float]:
    """Return the disk's own time for appending and syncing one command."""
    times = []
    descriptor = os.open(folder / "sync-probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        for _ in range(rounds):
            begun = time.perf_counter()
            os.write(descriptor, bytes(COMMAND_BYTES))
            os.fdatasync(descriptor)
            times.append(time.perf_counter() - begun)
    finally:
        os.close(descriptor)
    return percentiles(times)


def percentiles(seconds: Sequence[float]) -> dict[str, float]:
    """Return median, 99th percentile and maximum in milliseconds."""
    return {
        "p50_ms": round(median(seconds) * 1000, 3),
        "p99_ms": round(quantiles(seconds, n=100, method="inclusive")[98] * 1000, 3),
        "maximum_ms": round(max(seconds) * 1000, 3),
    }


async def commit_rounds(
    leader: LogService, batch: int, changes: int, label: str
) -> list[float]:
    """Propose in rounds of one batch and return each round's time in seconds."""
    times = []
    for number in range(changes // batch):
        begun = time.perf_counter()
        await asyncio.gather(
            *(
                leader.propose(f"{label}-{number}-{row}", "blob", bytes(COMMAND_BYTES))
                for row in range(batch)
            )
        )
        times.append(time.perf_counter() - begun)
    return times


async def measure_commits(folder: Path, changes: int, in_thread: bool) -> list[dict]:
    """Return latency and throughput for each batch and number of replicas."""
    rows = []
    for size in (3, 5):
        fleet = Fleet(folder / f"commits-{size}-{in_thread}", size, in_thread)
        leader = await fleet.start()
        for batch in BATCHES:
            disk = sync_seconds(folder, rounds=100)
            begun = time.perf_counter()
            processor = time.process_time()
            rounds_changes = max(changes, 20 * batch)
            times = await commit_rounds(leader, batch, rounds_changes, f"b{batch}")
            elapsed = time.perf_counter() - begun
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
                        (time.process_time() - processor) * 1000 / count, 4
                    ),
                }
            )
        await fleet.stop()
    return rows


async def measure_restart(folder: Path, changes: int, snapshot: bool) -> dict:
    """Return how long one replica takes to start after a number of changes."""
    log_replica.SNAPSHOT_BYTES = _SNAPSHOT_BYTES if snapshot else sys.maxsize
    target = folder / f"restart-{changes}-{snapshot}"
    snapshot_entries = min(SNAPSHOT_ENTRIES, changes // 2) if snapshot else changes * 2
    fleet = Fleet(target, 1, False, snapshot_entries)
    leader = await fleet.start()
    await commit_rounds(leader, 100, changes, "r")
    await fleet.stop()
    again = Fleet(target, 1, False, snapshot_entries)
    begun = time.perf_counter()
    leader = await again.start()
    while leader.status().applied_index < leader.status().last_index:
        await asyncio.sleep(0)
    elapsed = time.perf_counter() - begun
    disk_bytes = sum(file.stat().st_size for file in (target / "r0").iterdir())
    status = leader.status()
    await again.stop()
    return {
        "changes": changes,
        "snapshot_index": status.snapshot_index,
        "restart_ms": round(elapsed * 1000, 1),
        "replayed_entries": status.last_index - status.snapshot_index,
        "disk_bytes": disk_bytes,
    }


async def measure_slope(folder: Path, replicas: int, size_bytes: int) -> dict:
    """Return processor time and bytes of one change of a size, and of idling."""
    fleet = Fleet(folder / f"slope-{replicas}-{size_bytes}", replicas, False)
    leader = await fleet.start()
    await commit_rounds(leader, 1, 20, "warm")
    processor = time.process_time()
    sent, messages = fleet.sent_bytes, fleet.sent_messages
    count = 200
    for number in range(count):
        await leader.propose(f"s-{number}", "blob", bytes(size_bytes))
    processor_seconds = time.process_time() - processor
    row = {
        "replicas": replicas,
        "command_bytes": size_bytes,
        "processor_ms_per_change_and_replica": round(
            processor_seconds * 1000 / count / replicas, 4
        ),
        "sent_bytes_per_change_all_replicas": round((fleet.sent_bytes - sent) / count),
        "messages_per_change_all_replicas": round(
            (fleet.sent_messages - messages) / count, 2
        ),
    }
    sent, messages = fleet.sent_bytes, fleet.sent_messages
    processor, begun = time.process_time(), time.perf_counter()
    await asyncio.sleep(2.0)
    elapsed = time.perf_counter() - begun
    row["idle_sent_bytes_per_second_all_replicas"] = round(
        (fleet.sent_bytes - sent) / elapsed
    )
    row["idle_messages_per_second_all_replicas"] = round(
        (fleet.sent_messages - messages) / elapsed, 1
    )
    row["idle_processor_percent_of_a_core_per_replica"] = round(
        (time.process_time() - processor) / elapsed / replicas * 100, 3
    )
    await fleet.stop()
    return row


def slow_down_syncs(seconds: float) -> None:
    """Let each sync of the log take at least so long, as on a slower disk."""
    from sesameford import log_storage

    real = log_storage.sync_data

    def slow(descriptor: int, file: Path, offset_bytes: int) -> None:
        time.sleep(seconds)
        real(descriptor, file, offset_bytes)

    log_storage.sync_data = slow


async def measure(arguments: argparse.Namespace, folder: Path) -> dict:
    """Return all that was asked for."""
    report: dict = {"sync_of_the_disk": sync_seconds(folder)}
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
    return report


def main() -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, help="where to write; default temporary")
    parser.add_argument("--changes", type=int, default=2000)
    parser.add_argument("--sync-seconds", type=float, default=0.0)
    parser.add_argument("--parts", nargs="+", default=["commits", "restart", "slopes"])
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
