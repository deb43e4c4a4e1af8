"""What all connections of an instance hold together, and who is evicted if too much.

Each caller may send a body of a legal size, stop short of its end and stay. A bound for
each of them bounds nothing together: the process would be ended for its memory, with
all that other callers have open there. And if those who come next were refused, the
ones that stay would keep everybody out. So who has held most for longest is evicted.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from sesameford.errors import SesamefordError
from sesameford.room_queue import make_room_queue

logger = logging.getLogger(__name__)

BYTES_PER_MEGABYTE = 1_000_000
# What a program needs for itself, with the tables of a large deployment.
PROGRAM_BYTES = 60_000_000
DAEMON_BYTES = 80_000_000
# The other part of what is left is for objects around the bytes, for the copy that is
# made of a whole body, and for bytes that wait in the sockets.
HELD_FRACTION = 0.6
# A single body of the usual limit, and some requests beside it.
MIN_LIMIT_BYTES = 6_500_000
DEFAULT_LIMIT_BYTES = 128_000_000
# Requests at targets can't be evicted, so they leave a part to the others.
RUNNING_FRACTION = 0.7
# Answers that are held to their end are beside the limit, in a part of the other part.
ANSWERS_FRACTION = 0.5
# One that holds less is never refused for what the others hold.
SMALL_REQUEST_BYTES = 100_000
# After it has run full, so much of the limit is held, so that it isn't full at once.
FREED_FRACTION = 0.875
# A connection that has waited for less is not idle: its request is on its way.
IDLE_SECONDS = 0.25
LOG_INTERVAL_SECONDS = 1.0
# A connection with its transport, and the library's handler of its requests.
CONNECTION_BYTES = 5_000
HANDLER_BYTES = 9_000
# What TLS keeps for a connection, from the beginning of its handshake.
TLS_BYTES = 60_000
# An idle connection with all of them.
USUAL_OBJECT_BYTES = CONNECTION_BYTES + HANDLER_BYTES + TLS_BYTES
# A request that is being served, with its connection to a target.
RUNNING_REQUEST_BYTES = 20_000


class NoRoomError(SesamefordError):
    """A body is evicted: its request has not run and may be sent again."""


def objects_of_connections(connections: int, has_tls: bool = False) -> int:
    """Return what the objects of idle connections hold."""
    tls_bytes = TLS_BYTES if has_tls else 0
    return connections * (CONNECTION_BYTES + HANDLER_BYTES + tls_bytes)


def limit_of_memory(
    memory_megabytes: float | None,
    connections: int = 0,
    has_tls: bool = False,
    program_bytes: int = PROGRAM_BYTES,
) -> int:
    """Return what all connections may hold in a process.

    Args:
        memory_megabytes: The memory of the process. Without it the objects of all
            connections have room beside the usual limit.
        connections: How many may be open.
        has_tls: Whether they use TLS.
        program_bytes: What the process needs for itself.
    """
    if memory_megabytes is None:
        return DEFAULT_LIMIT_BYTES + objects_of_connections(connections, has_tls)
    memory_bytes = memory_megabytes * BYTES_PER_MEGABYTE
    spare_bytes = HELD_FRACTION * (memory_bytes - program_bytes)
    return max(int(spare_bytes), MIN_LIMIT_BYTES)


@dataclass(slots=True, eq=False)
class HeldConnection:
    """What one connection holds, and since when.

    ``object_bytes`` are those of its own objects, ``received_bytes`` of a request that
    has not come in whole, ``running_bytes`` of one that has, and ``unsent_bytes`` of an
    answer that its caller doesn't read. ``evicting_bytes`` are those that it is about
    to free. ``evict`` refuses the request or closes the connection.
    """

    evict: Callable[[], None]
    object_bytes: int = 0
    received_bytes: int = 0
    running_bytes: int = 0
    unsent_bytes: int = 0
    held_since_seconds: float = 0.0
    evicting_bytes: int = 0
    is_closed: bool = False

    @property
    def held_bytes(self) -> int:
        """Return what it holds in all."""
        return self.object_bytes + self.request_bytes + self.unsent_bytes

    @property
    def request_bytes(self) -> int:
        """Return what it holds of a request."""
        return self.received_bytes + self.running_bytes

    @property
    def is_idle(self) -> bool:
        """Whether it holds neither a request nor an answer."""
        return self.request_bytes == 0 and self.unsent_bytes == 0

    @property
    def holds_little(self) -> bool:
        """Whether it is idle, and keeps next to nothing of its last request."""
        return self.is_idle and self.object_bytes <= USUAL_OBJECT_BYTES

    @property
    def is_evictable(self) -> bool:
        """Whether no request that may be at a target would be cut by it."""
        if self.evicting_bytes > 0:
            return False
        return self.running_bytes == 0 or self.unsent_bytes > 0


class ConnectionMemory:
    """The account of what all connections of a process hold.

    Args:
        machine_limit_bytes: What they may hold together on this machine.
    """

    def __init__(self, machine_limit_bytes: int) -> None:
        self.machine_limit_bytes = machine_limit_bytes
        # The operators' limit, None if they set none.
        self._configured_limit_bytes: int | None = None
        self.held_bytes = 0
        self.evicted = 0
        # The connections that go on once there is room, and those that need room for
        # a head of many fields, which may be more than bodies wait for.
        self.room_queue = make_room_queue()
        self.head_room_queue = make_room_queue()
        self._running_bytes = 0
        # What connections are about to free, as soon as the loop gets to it.
        self._evicting_bytes = 0
        self._connections: set[HeldConnection] = set()
        self._logged_at_seconds = float("-inf")

    @property
    def limit_bytes(self) -> int:
        """Return what all connections may hold together."""
        if self._configured_limit_bytes is None:
            return self.machine_limit_bytes
        return min(self.machine_limit_bytes, self._configured_limit_bytes)

    @property
    def is_full(self) -> bool:
        """Whether nobody should read on, until others have freed what they hold."""
        return self.held_bytes > self.limit_bytes

    @property
    def room_bytes(self) -> int:
        """Return how much more may be held before anybody is evicted."""
        return max(self.limit_bytes - self.held_bytes, 0)

    def has_room_for(self, request_bytes: int) -> bool:
        """Return whether a request may be parsed that will hold so much."""
        return self.is_half_empty or self.held_bytes + request_bytes <= self.limit_bytes

    @property
    def is_half_empty(self) -> bool:
        """Whether there is more room than is in use."""
        return 2 * self.held_bytes < self.limit_bytes

    def configure(self, connections: int, requests_limit_bytes: int) -> None:
        """Set the operators' limit, which is one on requests alone.

        Args:
            connections: How many connections may be open, each with its objects.
            requests_limit_bytes: What all requests may hold together.
        """
        objects_bytes = objects_of_connections(connections)
        self._configured_limit_bytes = objects_bytes + requests_limit_bytes

    def answers_limit_bytes(self) -> int:
        """Return what all answers may hold that are read to their end."""
        return int(ANSWERS_FRACTION * self.machine_limit_bytes)

    def has_room_to_run(self) -> bool:
        """Return whether another request may begin to run."""
        return self._running_bytes <= RUNNING_FRACTION * self.limit_bytes

    def hold_objects(
        self, connection: HeldConnection, object_bytes: int, now_seconds: float
    ) -> None:
        """Set what the objects of an open connection hold; others may be evicted."""
        if connection.is_closed:
            return
        if connection not in self._connections:
            connection.held_since_seconds = now_seconds
            self._connections.add(connection)
        grown_bytes = object_bytes - connection.object_bytes
        connection.object_bytes = object_bytes
        self._grow(grown_bytes, now_seconds)

    def hold_received(
        self, connection: HeldConnection, received_bytes: int, now_seconds: float
    ) -> None:
        """Set what a connection holds of its request; others may be evicted."""
        if not self._may_hold(connection, now_seconds):
            return
        grown_bytes = received_bytes - connection.received_bytes
        connection.received_bytes = received_bytes
        self._grow(grown_bytes, now_seconds)

    def hold_unsent(
        self, connection: HeldConnection, unsent_bytes: int, now_seconds: float
    ) -> None:
        """Set what a connection holds of an answer; others may be evicted."""
        if not self._may_hold(connection, now_seconds):
            return
        grown_bytes = unsent_bytes - connection.unsent_bytes
        connection.unsent_bytes = unsent_bytes
        self._grow(grown_bytes, now_seconds)

    def _may_hold(self, connection: HeldConnection, now_seconds: float) -> bool:
        """Return whether a connection is open, and record since when it isn't idle."""
        if connection.is_closed:
            return False
        if connection.is_idle:
            connection.held_since_seconds = now_seconds
        return True

    def start_running(self, connection: HeldConnection, request_bytes: int) -> bool:
        """Record that a request has come in whole.

        Args:
            connection: The request's connection.
            request_bytes: What the request holds.

        Returns:
            Whether it may run: others that run may leave no room for a large one.
        """
        if connection.is_closed or not self.may_run(request_bytes):
            return False
        request_bytes += RUNNING_REQUEST_BYTES
        self.held_bytes += request_bytes - connection.received_bytes
        connection.received_bytes = 0
        connection.running_bytes = request_bytes
        self._running_bytes += request_bytes
        return True

    def may_run(self, request_bytes: int) -> bool:
        """Return whether a request that holds so much may run beside the others."""
        if self._running_bytes == 0 or request_bytes <= SMALL_REQUEST_BYTES:
            return True
        running_bytes = self._running_bytes + request_bytes + RUNNING_REQUEST_BYTES
        return running_bytes <= RUNNING_FRACTION * self.limit_bytes

    def end_request(self, connection: HeldConnection) -> None:
        """Record that a request has ended, and holds nothing any more."""
        self.held_bytes -= connection.request_bytes
        self._running_bytes -= connection.running_bytes
        connection.received_bytes = connection.running_bytes = 0
        self._evicting_bytes -= connection.evicting_bytes
        connection.evicting_bytes = 0

    def close(self, connection: HeldConnection) -> None:
        """Record that a connection has closed, and holds nothing from now on.

        What still waits for a turn of the loop may account for it once more.
        """
        connection.is_closed = True
        self.end_request(connection)
        self.held_bytes -= connection.held_bytes
        connection.object_bytes = connection.unsent_bytes = 0
        self._connections.discard(connection)

    def _grow(self, grown_bytes: int, now_seconds: float) -> None:
        self.held_bytes += grown_bytes
        kept_bytes = self.held_bytes - self._evicting_bytes
        if grown_bytes > 0 and kept_bytes > self.limit_bytes:
            self._make_room(now_seconds)

    def _make_room(self, now_seconds: float) -> None:
        """Evict those that have held most for longest, idle ones last."""

        def order(connection: HeldConnection) -> tuple[bool, float]:
            held_seconds = now_seconds - connection.held_since_seconds
            return connection.holds_little, -connection.held_bytes * held_seconds

        candidates = [
            one
            for one in self._connections
            if one.is_evictable
            and (not one.is_idle or now_seconds - one.held_since_seconds > IDLE_SECONDS)
        ]
        candidates.sort(key=order)
        evicted_before = self.evicted
        for connection in candidates:
            kept_bytes = self.held_bytes - self._evicting_bytes
            if kept_bytes <= FREED_FRACTION * self.limit_bytes:
                break
            self.evicted += 1
            connection.evicting_bytes = connection.held_bytes
            self._evicting_bytes += connection.held_bytes
            connection.evict()
        if now_seconds - self._logged_at_seconds >= LOG_INTERVAL_SECONDS:
            self._logged_at_seconds = now_seconds
            logger.warning(
                "connections evicted as the memory for them is full",
                extra={
                    "evicted": self.evicted - evicted_before,
                    "evicted_in_all": self.evicted,
                    "held_bytes": self.held_bytes,
                },
            )


def make_connection_memory(
    limit_bytes: int = DEFAULT_LIMIT_BYTES,
) -> ConnectionMemory:
    """Return the account of a process that holds nothing yet."""
    return ConnectionMemory(limit_bytes)
