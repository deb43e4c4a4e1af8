"""Log replicas in one process for the benches, and the disk's own sync time."""

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
        self.sent_bytes_by: Counter[str] = Counter()
        self.services = {
            name: make_log_service(
                name,
                self.names,
                folder / name,
                (BlobMachine(), FencingMachine(), ClaimsMachine()),
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
            size_bytes = len(encode(message))
            self.sent_bytes += size_bytes
            self.sent_bytes_by[sender] += size_bytes
            service = self.services[receiver]
            loop = asyncio.get_running_loop()
            loop.call_soon(service.handle_message, sender, 1, message, time.monotonic())

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
