"""A listener that accepts many connections per turn of the event loop."""

import asyncio
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from ssl import SSLContext

logger = logging.getLogger(__name__)

Shedder = Callable[[socket.socket], bool]
# Returns how many more connections may be open; below zero while others are closing.
FreePlaces = Callable[[], int]

# uvloop accepts one connection per turn of its loop. During a burst of new connections
# a turn takes some ten milliseconds, so a hundred connections a second are accepted.
# The others wait in the kernel's backlog until their callers time out, while the loop
# itself shows hardly any lag. Accepting many per turn lets the admission code refuse
# them.
MAX_ACCEPTS_PER_TURN = 512
# Opening a connection and deciding on its first request takes most of a refusal's time.
MAX_OPENED_PER_TURN = 64
# Shedding takes a part of that time; a longer turn would delay all other work.
MAX_SHED_PER_TURN = 128
# Accepted connections that wait to be opened, of those the newest come first: a call
# that has waited long is refused in any case, and if the oldest came first all would
# have waited as long. Each takes a file descriptor.
MAX_WAITING_CONNECTIONS = 384
# Connections that have waited for longer, or beyond this number, are shed.
MAX_WAIT_SECONDS = 0.25
MAX_KEPT_WAITING = 128
# TLS handshakes that may go on even if there is no place for another connection: a new
# one then takes the place of an open one.
MIN_HANDSHAKES = 64
# Where nothing else bounds the connections, their number does not.
MAX_FREE_PLACES = 1_000_000
# What may arrive at a connection before it is read; the kernel doubles it. A crowd of
# callers would else fill a process's memory with bytes that it has not even seen.
RECEIVE_BUFFER_BYTES = 4_096
# Linux has this option since 5.14; ``socket`` has no name for it.
SO_BUF_LOCK = 72
# Without free file descriptors no connection can be accepted until others close.
ACCEPT_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class AcceptBacklog:
    """For how long connections have waited to be accepted, as far as can be known.

    The kernel does not tell how long a connection waited. But all that wait now have
    come since the backlog was last empty, and no more than ``max_connections`` were
    accepted meanwhile. ``opened_wait_seconds`` is the longest time that the connection
    which is being opened can have waited, in all.
    """

    max_connections: int
    opened_wait_seconds: float = 0.0
    _filled_since_seconds: float | None = None
    _accepted: int = 0
    _turns: deque[tuple[int, float]] = field(default_factory=deque)

    def record_turn(
        self, is_empty: bool, now_seconds: float, accepted: int = 0
    ) -> None:
        """Record a turn of accepting.

        Args:
            is_empty: Whether the backlog is empty after it.
            now_seconds: The present time.
            accepted: How many connections were accepted.
        """
        if accepted:
            self._accepted += accepted
            self._turns.append((self._accepted, now_seconds))
        while len(self._turns) > 1 and self._is_before_all(self._turns[1]):
            self._turns.popleft()
        if is_empty:
            self._filled_since_seconds = None
        elif self._filled_since_seconds is None:
            self._filled_since_seconds = now_seconds

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the longest time that a connection accepted now can have waited."""
        if self._filled_since_seconds is None:
            return 0.0
        since_seconds = self._filled_since_seconds
        if self._turns and self._is_before_all(self._turns[0]):
            since_seconds = max(since_seconds, self._turns[0][1])
        return now_seconds - since_seconds

    def _is_before_all(self, turn: tuple[int, float]) -> bool:
        """Return whether all that wait now have come after the end of a turn."""
        return turn[0] <= self._accepted - self.max_connections


@dataclass(frozen=True, slots=True)
class _AcceptedConnection:
    """A connection that is accepted and not opened yet.

    It was accepted at a time, and had waited at most so long before.
    """

    connection: socket.socket
    accepted_at_seconds: float
    waited_seconds: float

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the longest time that it can have waited in all."""
        return self.waited_seconds + now_seconds - self.accepted_at_seconds


class Listener:
    """A listening socket that accepts connections until it is closed."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        listening: socket.socket,
        context: SSLContext | None,
        backlog: AcceptBacklog,
        shed: Shedder | None,
        max_waiting: int,
        free_places: FreePlaces,
    ) -> None:
        self._backlog = backlog
        self._max_waiting = max_waiting
        self._free_places = free_places
        self._make_protocol = make_protocol
        self._shed = shed
        self._waiting: deque[_AcceptedConnection] = deque()
        self._is_opening = False
        self._listening = listening
        self._poll = select.poll()
        self._poll.register(listening.fileno(), select.POLLIN)
        self._context = context
        self._loop = asyncio.get_running_loop()
        # In the order in which they began.
        self._handshake_tasks: dict[asyncio.Task[None], None] = {}
        self._resume_timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(listening.fileno(), self._accept_pending)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the listening socket, or nothing once it is closed."""
        return () if self._listening.fileno() < 0 else (self._listening,)

    def close(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listening.fileno() < 0:
            return
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._listening.fileno())
        self._listening.close()
        # A caller whose connection was accepted is served before a planned stop.
        for accepted in self._waiting:
            self._open(accepted)
        self._waiting.clear()

    def _accept_pending(self) -> None:
        """Accept pending connections, and open some of those that wait."""
        is_empty = False
        waiting_before = len(self._waiting)
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._has_descriptors_for_another():
                break
            try:
                connection, _ = self._listening.accept()
            except BlockingIOError:
                is_empty = True
                break
            except (InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                logger.warning("can't accept: %s", error)
                self._pause_accepting()
                break
            connection.setblocking(False)
            now_seconds = self._loop.time()
            waited_seconds = self._backlog.wait_seconds(now_seconds)
            self._waiting.append(
                _AcceptedConnection(connection, now_seconds, waited_seconds)
            )
        is_empty = is_empty or not self._poll.poll(0)
        accepted = len(self._waiting) - waiting_before
        self._backlog.record_turn(is_empty, self._loop.time(), accepted)
        if not self._is_opening:
            self._open_waiting()

    def _has_descriptors_for_another(self) -> bool:
        """Return whether one more connection may be accepted and wait."""
        if len(self._waiting) >= self._max_waiting:
            return False
        # A TLS handshake may last, so it gives its place to the next one instead.
        if self._context is not None:
            return True
        return len(self._waiting) + len(self._handshake_tasks) < self._max_pending()

    def _max_pending(self) -> int:
        """Return how many connections may wait or be opened now."""
        return self._max_waiting + max(self._free_places(), 0)

    def _max_handshakes(self) -> int:
        """Return how many TLS handshakes there may be now."""
        return max(self._free_places(), MIN_HANDSHAKES)

    def _open_waiting(self) -> None:
        """Open the newest connections, and turn away those that waited for long."""
        self._is_opening = False
        for _ in range(min(len(self._waiting), MAX_OPENED_PER_TURN)):
            self._open(self._waiting.pop())
        now_seconds = self._loop.time()
        for _ in range(MAX_SHED_PER_TURN):
            if not self._waiting or not self._is_late(self._waiting[0], now_seconds):
                break
            self._refuse(self._waiting.popleft())
        if self._waiting:
            self._is_opening = True
            self._loop.call_soon(self._open_waiting)

    def _is_late(self, oldest: _AcceptedConnection, now_seconds: float) -> bool:
        """Return whether the oldest connection is to be shed."""
        is_late = oldest.wait_seconds(now_seconds) > MAX_WAIT_SECONDS
        return is_late or len(self._waiting) > MAX_KEPT_WAITING

    def _refuse(self, accepted: _AcceptedConnection) -> None:
        """Shed a connection, or open it if its request has not come in whole."""
        if self._shed is None or not self._shed(accepted.connection):
            self._open(accepted)

    def _open(self, accepted: _AcceptedConnection) -> None:
        if self._context is not None:
            self._evict_handshakes()
        task = self._loop.create_task(self._connect(accepted))
        self._handshake_tasks[task] = None
        task.add_done_callback(self._forget_handshake)

    def _evict_handshakes(self) -> None:
        """Cancel the TLS handshakes that have taken longest, to make place for one."""
        while len(self._handshake_tasks) >= self._max_handshakes():
            oldest = next(iter(self._handshake_tasks))
            del self._handshake_tasks[oldest]
            oldest.cancel()

    def _forget_handshake(self, task: asyncio.Task[None]) -> None:
        self._handshake_tasks.pop(task, None)

    async def _connect(self, accepted: _AcceptedConnection) -> None:
        def make_protocol() -> asyncio.Protocol:
            wait_seconds = accepted.wait_seconds(self._loop.time())
            self._backlog.opened_wait_seconds = wait_seconds
            return self._make_protocol()

        connection = accepted.connection
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                make_protocol, connection, ssl=self._context
            )
        except OSError as error:
            # The caller has disconnected already, or its TLS handshake failed.
            connection.close()
            logger.info("connection setup failed: %s", error)

    def _pause_accepting(self) -> None:
        """Stop accepting for ``ACCEPT_RETRY_SECONDS``.

        The socket stays readable, so the loop would call the reader again and again.
        """
        self._loop.remove_reader(self._listening.fileno())
        self._resume_timer = self._loop.call_later(
            ACCEPT_RETRY_SECONDS,
            self._loop.add_reader,
            self._listening.fileno(),
            self._accept_pending,
        )


def make_accept_backlog(max_connections: int) -> AcceptBacklog:
    """Return an empty backlog.

    Args:
        max_connections: How many connections it holds.
    """
    return AcceptBacklog(max_connections)


def make_listener(
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    context: SSLContext | None,
    max_backlog: int,
    backlog: AcceptBacklog | None = None,
    shed: Shedder | None = None,
    max_waiting: int = MAX_WAITING_CONNECTIONS,
    free_places: FreePlaces = lambda: MAX_FREE_PLACES,
    may_buffers_grow: bool = False,
) -> Listener:
    """Listen on an address; call this on the running event loop.

    Args:
        make_protocol: Makes the protocol of one connection.
        host: An IP address.
        port: The port, or 0 for any free port.
        context: The TLS context, or None.
        max_backlog: The number of connections that may wait to be accepted.
        backlog: Updated with how long they wait.
        shed: Answers the request of a connection that is not opened; returns
            whether that was possible. Without it all are opened.
        max_waiting: How many accepted connections may wait to be opened.
        free_places: Bounds those that are being opened as well.
        may_buffers_grow: Whether the kernel enlarges the receive buffer of a
            connection whose bytes are read, for long messages over long distances.

    Raises:
        OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=max_backlog)
    listening.setblocking(False)
    _set_receive_buffer(listening, may_buffers_grow)
    return Listener(
        make_protocol,
        listening,
        context,
        backlog or make_accept_backlog(max_backlog),
        shed,
        min(max(max_waiting, 1), MAX_WAITING_CONNECTIONS),
        free_places,
    )


def _set_receive_buffer(listening: socket.socket, may_grow: bool) -> None:
    """Set what may arrive at a connection that is accepted, before it is read."""
    if may_grow and not _unlock_buffers(listening):
        # A fixed size would hold up long messages over long distances.
        return
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    if may_grow:
        _unlock_buffers(listening)


def _unlock_buffers(listening: socket.socket) -> bool:
    """Let the kernel change the size of buffers; return whether it knows of that."""
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_BUF_LOCK, 0)
    except OSError as error:
        logger.warning("receive buffers keep the system's size: %s", error)
        return False
    return True
