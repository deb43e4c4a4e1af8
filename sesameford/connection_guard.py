"""Gives the connections of a listener their places, within its limits.

aiohttp waits without a timeout for the first request of a connection. A client that
opens connections and sends a byte now and then would hold a socket and its buffers
with each, until none are left for other callers. So a head has a timeout, connections
are counted, and where there is no place for a new one, the one that has waited for
longest without a request is evicted.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from sesameford.connection_memory import ConnectionMemory
from sesameford.guard_limits import GuardLimits
from sesameford.guarded_connection import GuardCounts, GuardedConnection, Stage
from sesameford.slow_heads import SlowHeadWatch

# What a connection that waits for its answer has asked for may be under way.
_EVICTED_STAGES = tuple(stage for stage in Stage if stage is not Stage.ANSWER)
# Makes the protocol of a connection from its record.
MakeInner = Callable[[GuardedConnection], asyncio.Protocol]


class _GuardedProtocol(asyncio.Protocol):
    """Forwards the events of a counted connection to aiohttp's protocol."""

    def __init__(
        self,
        make_inner: MakeInner,
        limits: GuardLimits,
        counts: GuardCounts,
        memory: ConnectionMemory,
        watch: SlowHeadWatch,
        now: Callable[[], float],
    ) -> None:
        self._watch = watch
        self._make_inner = make_inner
        self._limits = limits
        self._counts = counts
        self._memory = memory
        self._now = now
        self._address = ""
        self._connection: GuardedConnection | None = None
        self._inner: asyncio.Protocol | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; above the limits one is evicted, or it is aborted."""
        # uvloop's transports are no subclasses of asyncio's, so isinstance won't do.
        transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if peer else ""
        address_connections = self._counts.by_address.get(self._address, 0)
        if not self._has_place(address_connections):
            self._counts.refused += 1
            transport.abort()
            return
        self._counts.open += 1
        self._counts.by_address[self._address] = address_connections + 1
        self._connection = GuardedConnection(
            transport, self._counts, self._memory, self._watch.start, self._now
        )
        self._inner = self._make_inner(self._connection)
        self._inner.connection_made(transport)

    def _has_place(self, address_connections: int) -> bool:
        """Return whether there is a place, if need be by an eviction."""
        if self._counts.open >= self._limits.connections:
            stages = Stage if self._limits.evicts_answers else _EVICTED_STAGES
            return _evict_for_place(self._counts, stages)
        return address_connections < self._limits.per_address

    def data_received(self, data: bytes) -> None:
        """Forward the bytes."""
        if self._inner is not None:
            self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Forward the end of the peer's data."""
        return None if self._inner is None else self._inner.eof_received()

    def pause_writing(self) -> None:
        """Forward that the write buffer is full, and account for it."""
        if self._inner is not None and self._connection is not None:
            self._inner.pause_writing()
            unsent_bytes = self._connection.transport.get_write_buffer_size()
            self._connection.hold_unsent(unsent_bytes)
            self._connection.set_stage(Stage.UNREAD)

    def resume_writing(self) -> None:
        """Forward that the write buffer has drained."""
        if self._inner is not None and self._connection is not None:
            self._connection.hold_unsent(0)
            self._connection.set_stage(Stage.ANSWER)
            self._inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the counts."""
        if self._inner is None or self._connection is None:
            return
        self._connection.close()
        self._counts.open -= 1
        remaining = self._counts.by_address[self._address] - 1
        if remaining:
            self._counts.by_address[self._address] = remaining
        else:
            del self._counts.by_address[self._address]
        self._inner.connection_lost(exc)


def _evict_for_place(counts: GuardCounts, stages: Iterable[Stage]) -> bool:
    """Evict a connection for a new one.

    Args:
        counts: The listener's connections.
        stages: Those in which a connection may be evicted, in order.

    Returns:
        Whether there was one.
    """
    for stage in stages:
        for connection in counts.by_stage[stage]:
            connection.leave_stage()
            counts.evicted += 1
            connection.transport.abort()
            return True
    return False


def make_guard(
    make_inner: MakeInner,
    limits: Callable[[], GuardLimits],
    counts: GuardCounts,
    memory: ConnectionMemory,
    watch: SlowHeadWatch,
    now: Callable[[], float],
) -> Callable[[], asyncio.Protocol]:
    """Return a protocol factory that applies limits to another factory's protocols.

    Args:
        make_inner: Makes aiohttp's protocol of a connection.
        limits: Returns the connection limits in force.
        counts: The connection counts to update; several listeners may share them.
        memory: The account of what the connections of the process hold.
        watch: Aborts those whose heads take too long.
        now: Returns the present time in seconds.
    """
    return lambda: _GuardedProtocol(make_inner, limits(), counts, memory, watch, now)
