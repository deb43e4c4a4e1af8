"""Log replicas in one process for the benchmarks, and the sync time of the disk."""

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median, quantiles

from msgspec.msgpack import encode

from sesameford.claims import ClaimsMachine
from sesameford.fencing import FencingMachine
from sesameford.log_replica import SNAPSHOT_ENTRIES
from sesameford.log_service import LogService, make_log_service
from sesameford.messages import Message

COMMAND_BYTES = 200
TICK_SECONDS = 0.05


class BlobMachine:
    """A state machine that stores the newest command of each of 1,000 keys."""

    name = "blob"
    keys = 1000

    def __init__(self) -> None:
        self.rows: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Store a command and return its index."""
        self.rows[index % self.keys] = command
        return b"%d" % index

    def snapshot(self) -> bytes:
        """Return the concatenation of all rows, which have the same length."""
        return b"".join(self.rows.values())

    def restore(self, snapshot: bytes) -> None:
        """Clear all rows; the benchmarks do not read them after a restore."""
        self.rows = {}


class Fleet:
    """Log replicas in one process that exchange messages in memory.

    Args:
        folder: Parent of the replicas' data folders.
        size: Number of replicas.
        sync_in_thread: Whether the replicas sync their files in a thread.
        snapshot_entries: Number of applied entries after which a snapshot is due.
    """

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
        self.sent_bytes_by: Counter[str] = Counter()
        self.services = {
            name: make_log_service(
                name,
                self.names,
                folder / name,
                (BlobMachine(), FencingMachine(), ClaimsMachine()),
                self._make_sender(name),
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

    def _make_sender(self, sender: str) -> Callable[[str, Message], None]:
        def send(receiver: str, message: Message) -> None:
            self.sent_messages += 1
            size_bytes = len(encode(message))
            self.sent_bytes += size_bytes
            self.sent_bytes_by[sender] += size_bytes
            service = self.services[receiver]
            loop = asyncio.get_running_loop()
            loop.call_soon(service.handle_message, sender, 1, message, time.monotonic())

        return send


def measure_sync(folder: Path, rounds: int = 200) -> dict[str, float]:
    """Return percentiles of the disk's time to append and sync one command."""
    times = []
    descriptor = os.open(folder / "sync-probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        for _ in range(rounds):
            started_at = time.perf_counter()
            os.write(descriptor, bytes(COMMAND_BYTES))
            os.fdatasync(descriptor)
            times.append(time.perf_counter() - started_at)
    finally:
        os.close(descriptor)
    return percentiles(times)


def percentiles(seconds: Sequence[float]) -> dict[str, float]:
    """Return the median, the 99th percentile and the maximum in milliseconds."""
    return {
        "p50_ms": round(median(seconds) * 1000, 3),
        "p99_ms": round(quantiles(seconds, n=100, method="inclusive")[98] * 1000, 3),
        "maximum_ms": round(max(seconds) * 1000, 3),
    }
