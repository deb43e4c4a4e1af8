"""Accepts the connections of other instances, and receives their messages.

Any process of the network may connect. Until a connection has sent a message with the
deployment's seal its messages are short, and such connections are few: another one
takes the place of the oldest. Otherwise anybody could use up an instance's file
descriptors and its memory.
"""

import asyncio
import logging
from collections.abc import Callable
from ssl import SSLContext
from typing import cast

from sesameford.errors import PeerError
from sesameford.link_framing import RECEIVER_GREETING, make_link_framing
from sesameford.listener import make_listener

logger = logging.getLogger(__name__)

# All instances of a deployment may connect at once, after a power loss.
MAX_BACKLOG = 1_024
MAX_WAITING_CONNECTIONS = 64
# Connections without a sealed message, beside one for each known peer.
SPARE_UNSEALED_CONNECTIONS = 16
MAX_UNSEALED_MESSAGE_BYTES = 262_144

# Handles a message, and returns whether it has the deployment's seal.
HandleMessage = Callable[[bytes], bool]


class _Connection(asyncio.Protocol):
    """One connection, unauthenticated until a message of it is sealed."""

    def __init__(self, listener: "PeerListener") -> None:
        self._listener = listener
        self._framing = make_link_framing(MAX_UNSEALED_MESSAGE_BYTES)
        self._transport: asyncio.Transport | None = None
        self._is_sealed = False

    @property
    def has_greeted(self) -> bool:
        """Whether it speaks the protocol of links."""
        return self._framing.has_greeted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet, and take a place among those without a sealed message."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(RECEIVER_GREETING)
        self._listener.add(self)

    def data_received(self, data: bytes) -> None:
        """Handle the messages that have come in whole."""
        try:
            for message in self._framing.receive(data):
                is_sealed = self._listener.on_message(message)
                if is_sealed and not self._is_sealed:
                    self._record_sealed()
        except PeerError as error:
            logger.warning("%s", error)
            self.abort()

    def _record_sealed(self) -> None:
        self._is_sealed = True
        self._framing.max_message_bytes = self._listener.max_message_bytes
        self._listener.record_sealed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the place back."""
        self._listener.discard(self)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class PeerListener:
    """A listening address, and the connections that it has accepted.

    Args:
        on_message: Handles each message.
        max_message_bytes: The most that a message of a peer may have.
        count_peers: Returns how many peers are known.
    """

    def __init__(
        self,
        on_message: HandleMessage,
        max_message_bytes: int,
        count_peers: Callable[[], int],
    ) -> None:
        self.on_message = on_message
        self.max_message_bytes = max_message_bytes
        self._count_peers = count_peers
        self._close_listening: Callable[[], None] | None = None
        # In the order in which they came.
        self._unsealed: dict[_Connection, None] = {}
        self._sealed: set[_Connection] = set()
        self._is_closed = False

    def listen(self, host: str, port: int, context: SSLContext | None) -> None:
        """Accept connections on an address; call this on the running event loop.

        Raises:
            OSError: The address can't be listened on.
        """
        self._close_listening = make_listener(
            lambda: _Connection(self),
            host,
            port,
            context,
            MAX_BACKLOG,
            max_waiting=MAX_WAITING_CONNECTIONS,
            free_places=self._free_places,
            may_buffers_grow=True,
        ).close

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._is_closed = True
        if self._close_listening is not None:
            self._close_listening()
        for connection in [*self._unsealed, *self._sealed]:
            connection.abort()

    def add(self, connection: _Connection) -> None:
        """Give a new connection a place, that of another one if there is none."""
        if self._is_closed:
            connection.abort()
            return
        if len(self._unsealed) >= self._max_unsealed():
            silent = (one for one in self._unsealed if not one.has_greeted)
            oldest = next(silent, next(iter(self._unsealed)))
            del self._unsealed[oldest]
            oldest.abort()
        self._unsealed[connection] = None

    def record_sealed(self, connection: _Connection) -> None:
        """Record that a connection's sender has the deployment's key."""
        self._unsealed.pop(connection, None)
        self._sealed.add(connection)

    def discard(self, connection: _Connection) -> None:
        """Forget a connection that is closed."""
        self._unsealed.pop(connection, None)
        self._sealed.discard(connection)

    def _max_unsealed(self) -> int:
        return SPARE_UNSEALED_CONNECTIONS + self._count_peers()

    def _free_places(self) -> int:
        return self._max_unsealed() - len(self._unsealed)


def make_peer_listener(
    on_message: HandleMessage, max_message_bytes: int, count_peers: Callable[[], int]
) -> PeerListener:
    """Return a listener that does not listen yet.

    Args:
        on_message: Handles a message, and returns whether it has the deployment's seal.
        max_message_bytes: The most that a message of a peer may have.
        count_peers: Returns how many peers are known.
    """
    return PeerListener(on_message, max_message_bytes, count_peers)
