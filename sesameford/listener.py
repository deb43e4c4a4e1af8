"""A listener that accepts many connections per turn of the event loop."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from ssl import SSLContext

logger = logging.getLogger(__name__)

# uvloop accepts one connection per turn of its loop. During a burst of new connections
# a turn takes some ten milliseconds, so a hundred connections a second are accepted.
# The others wait in the kernel's backlog until their callers time out, while the loop
# itself shows hardly any lag. Accepting many per turn lets the admission code refuse
# them. This value accepts some thousand connections a second.
MAX_ACCEPTS_PER_TURN = 64
# Without free file descriptors no connection can be accepted until others close.
ACCEPT_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class AcceptBacklog:
    """For how long connections have waited to be accepted, as far as can be known.

    The kernel does not tell how long a connection waited. But all that wait now have
    come since the backlog was last empty.
    """

    _filled_since_seconds: float | None = None

    def record_turn(self, is_empty: bool, now_seconds: float) -> None:
        """Record whether the backlog is empty after a turn of accepting."""
        if is_empty:
            self._filled_since_seconds = None
        elif self._filled_since_seconds is None:
            self._filled_since_seconds = now_seconds

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the longest time that a connection accepted now can have waited."""
        if self._filled_since_seconds is None:
            return 0.0
        return now_seconds - self._filled_since_seconds


class Listener:
    """A listening socket that accepts connections until it is closed."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        listening: socket.socket,
        context: SSLContext | None,
        backlog: AcceptBacklog,
    ) -> None:
        self._backlog = backlog
        self._make_protocol = make_protocol
        self._listening = listening
        self._poll = select.poll()
        self._poll.register(listening.fileno(), select.POLLIN)
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._handshake_tasks: set[asyncio.Task[None]] = set()
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

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self._listening.accept()
            except BlockingIOError:
                self._backlog.record_turn(True, self._loop.time())
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("can't accept: %s", error)
                self._pause_accepting()
                return
            task = self._loop.create_task(self._open(connection))
            self._handshake_tasks.add(task)
            task.add_done_callback(self._handshake_tasks.discard)
        is_empty = not self._poll.poll(0)
        self._backlog.record_turn(is_empty, self._loop.time())

    async def _open(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                self._make_protocol, connection, ssl=self._context
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


def make_accept_backlog() -> AcceptBacklog:
    """Return an empty backlog."""
    return AcceptBacklog()


def make_listener(
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    context: SSLContext | None,
    max_backlog: int,
    backlog: AcceptBacklog | None = None,
) -> Listener:
    """Listen on an address; call this on the running event loop.

    Args:
        make_protocol: Makes the protocol of one connection.
        host: An IP address.
        port: The port, or 0 for any free port.
        context: The TLS context, or None.
        max_backlog: The number of connections that may wait to be accepted.
        backlog: Updated with how long they wait.

    Raises:
        OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=max_backlog)
    listening.setblocking(False)
    return Listener(make_protocol, listening, context, backlog or make_accept_backlog())
