"""Limits on the connections of a listener and on the time to the first request head.

aiohttp waits without a timeout for the first request of a connection. A client that
opens connections and sends a byte now and then would hold a socket and its buffers
with each, until none are left for other callers. So the first head has a timeout,
and connections are counted and limited.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

_HEAD_END = b"\r\n\r\n"
_MAX_TAIL_BYTES = len(_HEAD_END) - 1


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """The connection limits of a listener.

    ``per_address`` bounds the connections from one IP address; a balancer with all
    callers behind its one address needs as many as the whole listener.
    """

    connections: int = 20_000
    per_address: int = 20_000
    first_head_timeout_seconds: float = 10.0


# Above this fraction of the connection limit, the connection of a refused request is
# closed. Otherwise callers of a burst that retry on new connections would hold all
# connections with their idle ones, and other callers would be cut off without an
# answer.
CROWDED_FRACTION = 0.5


@dataclass(slots=True)
class GuardCounts:
    """The open connections, in total and by IP address, and the aborted ones."""

    open: int = 0
    by_address: dict[str, int] = field(default_factory=dict)
    refused: int = 0
    too_slow: int = 0


def is_crowded(counts: GuardCounts, limits: GuardLimits) -> bool:
    """Return whether too many connections are open to keep idle ones."""
    return counts.open > CROWDED_FRACTION * limits.connections


class _GuardedProtocol(asyncio.Protocol):
    """Forwards the events of a counted connection to aiohttp's protocol."""

    def __init__(
        self, inner: asyncio.Protocol, limits: GuardLimits, counts: GuardCounts
    ) -> None:
        self._inner = inner
        self._limits = limits
        self._counts = counts
        self._address = ""
        self._is_counted = False
        self._tail = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or abort it above the limits."""
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if peer else ""
        address_connections = self._counts.by_address.get(self._address, 0)
        if (
            self._counts.open >= self._limits.connections
            or address_connections >= self._limits.per_address
        ):
            self._counts.refused += 1
            _abort(transport)
            return
        self._is_counted = True
        self._counts.open += 1
        self._counts.by_address[self._address] = address_connections + 1
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.first_head_timeout_seconds,
            self._abort_slow_connection,
            transport,
        )
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Forward the bytes, and stop the timer once the first head is complete."""
        if not self._is_counted:
            return
        if self._timer is not None:
            head_bytes = self._tail + data
            if _HEAD_END in head_bytes:
                self._timer.cancel()
                self._timer = None
                head_bytes = b""
            self._tail = head_bytes[-_MAX_TAIL_BYTES:]
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Forward the end of the peer's data."""
        return self._inner.eof_received() if self._is_counted else None

    def pause_writing(self) -> None:
        """Forward that the write buffer is full."""
        if self._is_counted:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Forward that the write buffer has drained."""
        if self._is_counted:
            self._inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the counts."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._is_counted:
            return
        self._counts.open -= 1
        remaining = self._counts.by_address[self._address] - 1
        if remaining:
            self._counts.by_address[self._address] = remaining
        else:
            del self._counts.by_address[self._address]
        self._inner.connection_lost(exc)

    def _abort_slow_connection(self, transport: asyncio.BaseTransport) -> None:
        self._timer = None
        self._counts.too_slow += 1
        _abort(transport)


def _abort(transport: asyncio.BaseTransport) -> None:
    """Close a connection at once, without sending the buffered data."""
    # uvloop's transports are no subclasses of asyncio's, so isinstance doesn't work.
    cast(asyncio.Transport, transport).abort()


def make_guard(
    make_inner: Callable[[], asyncio.Protocol], limits: GuardLimits, counts: GuardCounts
) -> Callable[[], asyncio.Protocol]:
    """Return a protocol factory that applies limits to another factory's protocols.

    Args:
        make_inner: Makes aiohttp's protocol of a connection.
        limits: The connection limits.
        counts: The connection counts to update; several listeners may share them.
    """
    return lambda: _GuardedProtocol(make_inner(), limits, counts)
