"""Probes of targets by fresh connections."""

import asyncio
from urllib.parse import urlsplit

from sesameford.silence import PROBE_TIMEOUT_SECONDS, Probe

CLOSE_WAIT_SECONDS = 0.1


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
        # Nothing is sent, so that the target never sees a request in a probe.
        async with asyncio.timeout(CLOSE_WAIT_SECONDS):
            await reader.read(1)
    except TimeoutError:
        return Probe.ALIVE
    except OSError:
        return Probe.REFUSED
    finally:
        writer.close()
    return Probe.REFUSED
