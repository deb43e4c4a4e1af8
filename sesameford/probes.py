"""Probes of targets by fresh connections."""

import asyncio
from urllib.parse import urlsplit

from sesameford.silence import PROBE_TIMEOUT_SECONDS, Probe

CLOSE_WAIT_SECONDS = 0.1
REFUSAL_TIMEOUT_SECONDS = 0.3
# A wait that ended later than this proves nothing: a late event loop handles its
# timeout before a close that has arrived meanwhile.
MAX_LATE_SECONDS = 0.02
MAX_CLOSE_WAITS = 5
# The iterations in which the event loop reads what arrived before a wait ended.
READ_ITERATIONS = 4


async def probe_target(url: str) -> Probe:
    """Probe with a fresh connection whether a target accepts connections.

    Args:
        url: The target's address.

    Returns:
        ``REFUSED`` if the connection is refused, or accepted and closed at once, as a
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
    try:
        return Probe.REFUSED if await _is_closed_soon(reader) else Probe.ALIVE
    except OSError:
        return Probe.REFUSED
    finally:
        writer.close()


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


async def _is_closed_soon(reader: asyncio.StreamReader) -> bool:
    """Return whether the peer closes a connection on which nothing is sent.

    Nothing is sent so that the target never sees a request in a probe.

    Raises:
        OSError: The connection was reset.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_CLOSE_WAITS):
        due_at_seconds = loop.time() + CLOSE_WAIT_SECONDS
        try:
            async with asyncio.timeout_at(due_at_seconds):
                await reader.read(1)
                return True
        except TimeoutError:
            # A loop that stood still ends the wait before it reads the close.
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            if reader.at_eof() or reader.exception() is not None:
                return True
            if loop.time() - due_at_seconds <= MAX_LATE_SECONDS:
                return False
    return False
