"""Bounds what one outsider can hold of a listener: connections and patience.

The HTTP library waits for ever for the first request of a connection. A sender that
opens connections and dribbles a byte now and then would hold a socket and its
buffers each, until no caller gets one any more; one notices connections that never
grow into requests. So the first head must come in time, and connections are counted.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

_HEAD_END = b"\r\n\r\n"
_TAIL_BYTES = len(_HEAD_END) - 1


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """What a listener grants.

    ``per_address`` bounds the connections from one IP number; a balancer that
    joins all callers behind one number needs as many as the whole listener.
    """

    connections: int = 20_000
    per_address: int = 20_000
    first_head_seconds: float = 10.0


# With more connections open than this part of the bound, who is turned away is not kept
# on one. Callers of a flood that come back on new connections would else hold all that
# there are by old ones, and everybody else be cut off without an answer.
CROWDED_PART = 0.5


@dataclass(slots=True)
class GuardCounts:
    """The connections that are open, in all and by IP number."""

    open: int = 0
    by_address: dict[str, int] = field(default_factory=dict)
    refused: int = 0
    too_slow: int = 0


def is_crowded(counts: GuardCounts, limits: GuardLimits) -> bool:
    """Return whether so many connections are open that they should not be kept idle."""
    return counts.open > CROWDED_PART * limits.connections


class _GuardedProtocol(asyncio.Protocol):
    """Passes a connection's events on to the library's own protocol."""

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
        """Count the connection, or refuse it."""
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if peer else ""
        at_address = self._counts.by_address.get(self._address, 0)
        if (
            self._counts.open >= self._limits.connections
            or at_address >= self._limits.per_address
        ):
            self._counts.refused += 1
            _abort(transport)
            return
        self._is_counted = True
        self._counts.open += 1
        self._counts.by_address[self._address] = at_address + 1
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.first_head_seconds, self._give_up, transport
        )
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, and see whether the first head is whole."""
        if not self._is_counted:
            return
        if self._timer is not None:
            seen = self._tail + data
            if _HEAD_END in seen:
                self._timer.cancel()
                self._timer = None
                seen = b""
            self._tail = seen[-_TAIL_BYTES:]
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the end of what the peer sends on."""
        return self._inner.eof_received() if self._is_counted else None

    def pause_writing(self) -> None:
        """Pass on that the peer reads too slowly."""
        if self._is_counted:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the peer reads again."""
        if self._is_counted:
            self._inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection out."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._is_counted:
            return
        self._counts.open -= 1
        left = self._counts.by_address[self._address] - 1
        if left:
            self._counts.by_address[self._address] = left
        else:
            del self._counts.by_address[self._address]
        self._inner.connection_lost(exc)

    def _give_up(self, transport: asyncio.BaseTransport) -> None:
        self._timer = None
        self._counts.too_slow += 1
        _abort(transport)


def _abort(transport: asyncio.BaseTransport) -> None:
    """Close a connection at once, without sending what is still to be sent."""
    # uvloop's transports are no subclasses of asyncio's, so the type can't be asked.
    cast(asyncio.Transport, transport).abort()


def make_guard(
    make_inner: Callable[[], asyncio.Protocol], limits: GuardLimits, counts: GuardCounts
) -> Callable[[], asyncio.Protocol]:
    """Return a protocol factory that guards the library's own.

    Args:
        make_inner: Makes the library's protocol for a connection.
        limits: What is granted.
        counts: Kept up to date; several listeners may share one.
    """
    return lambda: _GuardedProtocol(make_inner(), limits, counts)
