"""A fresh connection as the probe of a target."""

import asyncio
from urllib.parse import urlsplit

from sesameford.silence import PROBE_TIMEOUT_SECONDS, Probe


async def probe_target(url: str) -> Probe:
    """Connect to a target anew and see whether anyone listens.

    Args:
        url: The target's address.

    Returns:
        ``REFUSED`` only where the machine itself says that nobody listens; where
        nothing comes back the network may be cut just as well.
    """
    parts = urlsplit(url)
    port = parts.port or (443 if parts.scheme == "https" else 80)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(parts.hostname, port)
    except ConnectionRefusedError:
        return Probe.REFUSED
    except (TimeoutError, OSError):
        return Probe.NO_ANSWER
    writer.close()
    return Probe.ALIVE
