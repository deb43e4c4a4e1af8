"""Fakes at the interfaces of the log: a state machine, a network, a clock."""

from asyncio import sleep
from collections.abc import Callable
from pathlib import Path

from sesameford.log_service import LogService, make_log_service
from sesameford.messages import Message


class ListMachine:
    """A state machine that stores every command and answers with the list's length."""

    name = "list"

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def snapshot(self) -> bytes:
        return b"\0".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = snapshot.split(b"\0") if snapshot else []


class Fleet:
    """Log services in virtual time on a network that can disconnect instances."""

    def __init__(self, disks: dict[str, Path | None]) -> None:
        self.now_seconds = 100.0
        self.disks = disks
        self.cut: set[str] = set()
        self.queue: list[tuple[str, str, Message]] = []
        self.machines: dict[str, ListMachine] = {}
        self.services: dict[str, LogService] = {}
        for instance_id in disks:
            self.start(instance_id)

    def start(self, instance_id: str, reopens: bool = False) -> LogService:
        """Start an instance from the content of its disk.

        Args:
            instance_id: The instance.
            reopens: Whether it reopens its data folder after a failure.
        """

        def new_machines() -> list[ListMachine]:
            self.machines[instance_id] = ListMachine()
            return [self.machines[instance_id]]

        replicas = tuple(name for name, disk in self.disks.items() if disk)
        service = make_log_service(
            instance_id,
            replicas,
            self.disks[instance_id],
            new_machines(),
            self._sender(instance_id),
            lambda: self.now_seconds,
            seed=len(self.services),
            sync_in_thread=False,
            make_initial_machines=new_machines if reopens else None,
        )
        service.start()
        self.services[instance_id] = service
        return service

    async def run(
        self, seconds: float, until: Callable[[], bool] | None = None
    ) -> bool:
        """Advance virtual time; return True as soon as a condition holds."""
        end_seconds = self.now_seconds + seconds
        while self.now_seconds < end_seconds:
            if until is not None and until():
                return True
            self.now_seconds += 0.05
            for service in list(self.services.values()):
                service.tick(self.now_seconds)
            for _ in range(6):
                await sleep(0)
                self._deliver()
        return until is not None and until()

    def leader(self) -> str | None:
        """Return the leader that is connected, or None."""
        for instance_id, service in self.services.items():
            if service.role() == "leader" and instance_id not in self.cut:
                return instance_id
        return None

    def _sender(self, sender_id: str) -> Callable[[str, Message], None]:
        return lambda receiver_id, message: self.queue.append(
            (sender_id, receiver_id, message)
        )

    def _deliver(self) -> None:
        queue, self.queue = self.queue, []
        for sender_id, receiver_id, message in queue:
            if self.cut & {sender_id, receiver_id}:
                continue
            service = self.services.get(receiver_id)
            if service is not None:
                service.handle_message(sender_id, 1, message, self.now_seconds)
