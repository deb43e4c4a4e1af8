"""A fresh connection as the probe of a target."""

import asyncio
from urllib.parse import urlsplit

from sesameford.silence import PROBE_TIMEOUT_SECONDS, Probe

HANG_UP_SECONDS = 0.1


async def probe_target(url: str) -> Probe:
    """Connect to a target anew and see whether anyone listens.

    Args:
        url: The target's address.

    Returns:
        ``REFUSED`` where nobody listens, or where the connection is taken and ended
        at once, as a forwarder before a dead target does. Where nothing comes back
        the network may be cut just as well.
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
        # Nothing is sent, so that a probe never is a request to a target.
        async with asyncio.timeout(HANG_UP_SECONDS):
            await reader.read(1)
    except TimeoutError:
        return Probe.ALIVE
    except OSError:
        return Probe.REFUSED
    finally:
        writer.close()
    return Probe.REFUSED
