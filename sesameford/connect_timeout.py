"""A connect timeout that a late event loop does not use up.

While the loop is busy with other calls, a connection that the target has accepted
waits unseen, and timers that have run out come before it. A router under a flood gave
up hundreds of open connections a second as never connected, put their targets into
backoff, and callers were refused beside idle targets. So the time counts in slices: a
turn of the loop, however long, uses up one slice at most.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

SLICES = 6


@asynccontextmanager
async def connect_timeout(timeout_seconds: float) -> AsyncIterator[None]:
    """Bound the time of connecting, as far as the loop could see its end.

    Args:
        timeout_seconds: The bound on a loop that is not late.

    Raises:
        TimeoutError: No connection was made in that time.
    """
    async with asyncio.timeout(None) as limit:
        watch = asyncio.create_task(_end_after(limit, timeout_seconds))
        try:
            yield
        finally:
            watch.cancel()


async def _end_after(limit: asyncio.Timeout, timeout_seconds: float) -> None:
    """Let a timeout run out after so many slices of the time."""
    for _ in range(SLICES):
        await asyncio.sleep(timeout_seconds / SLICES)
    limit.reschedule(asyncio.get_running_loop().time())
