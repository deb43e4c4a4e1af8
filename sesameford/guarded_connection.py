"""The connections of a listener: what each waits for, and what it holds."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from sesameford.connection_memory import (
    CONNECTION_BYTES,
    HANDLER_BYTES,
    TLS_BYTES,
    ConnectionMemory,
    HeldConnection,
)
from sesameford.guard_limits import GuardLimits

# Two records of TLS; by default the loop reads half a megabyte ahead.
TLS_READ_BUFFER_BYTES = 32_768
# Above this fraction of the connection limit, the connection of a refused request is
# closed. Otherwise callers of a burst that retry on new connections would hold all
# connections with their idle ones, and other callers would be cut off without an
# answer.
CROWDED_FRACTION = 0.5


class Stage(Enum):
    """What a connection waits for, in the order in which they are evicted."""

    FIRST_BYTE = "the first byte of its first request"
    HEAD = "the end of a head"
    IDLE = "the next request"
    BODY = "the end of a body"
    UNREAD = "its caller to read an answer"
    ANSWER = "its answer"


TIMED_STAGES = (Stage.FIRST_BYTE, Stage.HEAD)


@dataclass(slots=True)
class GuardCounts:
    """The open connections of a listener, by stage and IP address, and aborted ones.

    In each stage they are in the order in which they came to it.
    """

    open: int = 0
    by_address: dict[str, int] = field(default_factory=dict)
    refused: int = 0
    too_slow: int = 0
    evicted: int = 0
    by_stage: dict[Stage, dict["GuardedConnection", float]] = field(
        default_factory=lambda: {stage: {} for stage in Stage}
    )


def is_crowded(counts: GuardCounts, limits: GuardLimits) -> bool:
    """Return whether too many connections are open to keep idle ones."""
    return counts.open > CROWDED_FRACTION * limits.connections


class GuardedConnection:
    """A counted connection: the stage that it is in, and what it holds."""

    def __init__(
        self,
        transport: asyncio.Transport,
        counts: GuardCounts,
        memory: ConnectionMemory,
        watch_timeout: Callable[[Stage, float], None],
        now: Callable[[], float],
    ) -> None:
        self.transport = transport
        # Called with a stage that has a timeout, and when it began.
        self._watch_timeout = watch_timeout
        self.held = HeldConnection(self._evict)
        self.memory = memory
        # Refuses the request of which a part has come; returns whether it could.
        self.refuse: Callable[[], bool] | None = None
        self._counts = counts
        self._now = now
        self._stage = Stage.FIRST_BYTE
        self._enter(Stage.FIRST_BYTE)
        self._connection_bytes = CONNECTION_BYTES
        if transport.get_extra_info("ssl_object") is not None:
            _bound_tls(transport)
            self._connection_bytes += TLS_BYTES
        memory.hold_objects(self.held, self._connection_bytes, now())

    @property
    def stage(self) -> Stage:
        """Return what the connection waits for."""
        return self._stage

    def set_stage(self, stage: Stage) -> None:
        """Record that the connection waits for something else now."""
        if stage is not self._stage and not self.held.is_closed:
            self.leave_stage()
            self._enter(stage)

    def hold_received(self, received_bytes: int) -> None:
        """Set what the connection holds of a request that has not come in whole."""
        self.memory.hold_received(self.held, received_bytes, self._now())

    def start_running(self, request_bytes: int) -> bool:
        """Record that a request has come in whole; return whether it may run."""
        return self.memory.start_running(self.held, request_bytes)

    def hold_handler(self, kept_bytes: int) -> None:
        """Record that the library has a handler for the connection.

        Args:
            kept_bytes: What the handler keeps of a request that has ended.
        """
        object_bytes = self._connection_bytes + HANDLER_BYTES + kept_bytes
        if object_bytes == self.held.object_bytes:
            return
        self.memory.hold_objects(self.held, object_bytes, self._now())

    def end_request(self) -> None:
        """Record that a request has ended, and holds nothing any more."""
        self.memory.end_request(self.held)

    def hold_unsent(self, unsent_bytes: int) -> None:
        """Set what the connection holds of an answer that was not sent yet."""
        if unsent_bytes or self.held.unsent_bytes:
            self.memory.hold_unsent(self.held, unsent_bytes, self._now())

    def close(self) -> None:
        """Record that the connection has closed: it waits for nothing from now on."""
        self.leave_stage()
        self.memory.close(self.held)
        # These refer back to it and would keep it, with all that it holds, until the
        # interpreter looks for cycles.
        self.refuse = None
        self.held.evict = _evict_nothing

    def leave_stage(self) -> None:
        """Record that the connection waits for nothing any more."""
        self._counts.by_stage[self._stage].pop(self, None)

    def _enter(self, stage: Stage) -> None:
        self._stage = stage
        now_seconds = self._now()
        self._counts.by_stage[stage][self] = now_seconds
        if stage in TIMED_STAGES:
            self._watch_timeout(stage, now_seconds)

    def _evict(self) -> None:
        if self.refuse is None or not self.refuse():
            self.transport.abort()


def _evict_nothing() -> None:
    """Do nothing, for a connection that is closed."""


def _bound_tls(transport: asyncio.Transport) -> None:
    """Bound what TLS reads ahead of a protocol that has paused reading."""
    # Only transports with TLS have this method, and no base class declares it.
    set_limits: Callable[[int], None] = transport.set_read_buffer_limits  # type: ignore
    set_limits(TLS_READ_BUFFER_BYTES)
