"""Probes of targets by fresh connections."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from urllib.parse import urlsplit

from sesameford.silence import PROBE_TIMEOUT_SECONDS, Probe

CLOSE_WAIT_SECONDS = 0.1
# A forwarder may first try for some time to reach its dead target. Servers close a
# connection on which nothing is sent too, but much later.
LATE_CLOSE_WAIT_SECONDS = 1.0
REFUSAL_TIMEOUT_SECONDS = 0.3
# A wait that ended later than this proves nothing: a late event loop, or a machine
# that stood still, may not have let the close arrive.
MAX_LATE_SECONDS = 0.02
MAX_CLOSE_WAITS = 5
# The iterations in which the event loop reads what arrived before a wait ended.
READ_ITERATIONS = 4


@dataclass(frozen=True, slots=True)
class ProbeConnection:
    """A probe's connection that the target accepted."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def is_closed_soon(self) -> bool:
        """Return whether the peer closes the connection, on which nothing is sent.

        Nothing is sent so that the target never sees a request in a probe.
        """
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CLOSE_WAITS):
            due_at_seconds = loop.time() + CLOSE_WAIT_SECONDS
            if await self._is_closed_within(CLOSE_WAIT_SECONDS):
                return True
            if loop.time() - due_at_seconds <= MAX_LATE_SECONDS:
                return False
        return False

    async def is_closed_late(self) -> bool:
        """Return whether the peer closes a connection that it did not close soon."""
        return await self._is_closed_within(LATE_CLOSE_WAIT_SECONDS)

    def close(self) -> None:
        """Close this end."""
        self.writer.close()

    async def _is_closed_within(self, seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                # A target that answers, for example that it has too many
                # connections, is alive.
                return not await self.reader.read(1)
        except TimeoutError:
            # A loop that stood still ends the wait before it reads the close.
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            return self.reader.at_eof() or self.reader.exception() is not None
        except OSError:
            return True


async def probe_target(
    url: str, keep_connection: Callable[[ProbeConnection], None] | None = None
) -> Probe:
    """Probe with a fresh connection whether a target accepts connections.

    Args:
        url: The target's address.
        keep_connection: Takes over the connection if the result is ``ALIVE``; closed
            if None.

    Returns:
        ``REFUSED`` if the connection is refused, or accepted and soon closed, as a
        proxy in front of a dead target does. ``NO_ANSWER`` may also mean that the
        network is partitioned.
    """
    parts = urlsplit(url)
    port = parts.port or (443 if parts.scheme == "https" else 80)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(parts.hostname, port)
    except ConnectionRefusedError:
        return Probe.REFUSED
    except (TimeoutError, OSError):
        return Probe.NO_ANSWER
    connection = ProbeConnection(reader, writer)
    with ExitStack() as stack:
        stack.callback(connection.close)
        if await connection.is_closed_soon():
            return Probe.REFUSED
        if keep_connection is not None:
            stack.pop_all()
            keep_connection(connection)
        return Probe.ALIVE


async def refuses_connections(address: str) -> bool:
    """Return whether an address refuses a fresh connection at once.

    Args:
        address: ``IP:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
