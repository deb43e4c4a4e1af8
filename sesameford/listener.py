"""Accepting connections as fast as they come."""

import asyncio
import logging
import socket
from collections.abc import Callable
from ssl import SSLContext

logger = logging.getLogger(__name__)

# uvloop accepts one connection each time that its loop turns. With a flood of callers
# on new connections a turn takes some ten milliseconds, so that a hundred connections
# a second are accepted, and the others wait in the kernel until their callers give up,
# while the loop itself is hardly late. Accepting many at once shows them to the code
# that decides whom to turn away. Some thousand a second are accepted by this number.
MAX_ACCEPTS_PER_TURN = 64
# With no descriptor left nothing can be accepted; connections that end free some.
PAUSE_SECONDS = 0.1


class Listener:
    """A listening socket that accepts until it is closed."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        listening: socket.socket,
        context: SSLContext | None,
    ) -> None:
        self._make_protocol = make_protocol
        self._listening = listening
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._resume: asyncio.TimerHandle | None = None
        self._loop.add_reader(listening.fileno(), self._accept)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the listening socket, while it is open."""
        return () if self._listening.fileno() < 0 else (self._listening,)

    def close(self) -> None:
        """Accept nothing more; connections that are open stay so."""
        if self._listening.fileno() < 0:
            return
        if self._resume is not None:
            self._resume.cancel()
        self._loop.remove_reader(self._listening.fileno())
        self._listening.close()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("can't accept: %s", error)
                self._pause()
                return
            task = self._loop.create_task(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                self._make_protocol, connection, ssl=self._context
            )
        except OSError as error:
            # The caller has left already, or its TLS handshake failed.
            connection.close()
            logger.info("a connection did not come about: %s", error)

    def _pause(self) -> None:
        """Stop accepting for a moment, or the loop would turn without end."""
        self._loop.remove_reader(self._listening.fileno())
        self._resume = self._loop.call_later(
            PAUSE_SECONDS,
            self._loop.add_reader,
            self._listening.fileno(),
            self._accept,
        )


def make_listener(
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    context: SSLContext | None,
    backlog: int,
) -> Listener:
    """Listen on an address; to be called on the running loop.

    Args:
        make_protocol: Makes what serves one connection.
        host: An IP number.
        port: The port, 0 for any.
        context: For TLS, or None.
        backlog: Connections that may wait to be accepted.

    Raises:
        OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=backlog)
    listening.setblocking(False)
    return Listener(make_protocol, listening, context)
