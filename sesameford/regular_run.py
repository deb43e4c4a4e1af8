"""Runs a callback periodically, even if one of its calls fails."""

import logging
from asyncio import sleep
from collections.abc import Callable

logger = logging.getLogger(__name__)


async def run_regularly(every_seconds: float, system: Callable[[], None]) -> None:
    """Call a system periodically until cancelled.

    Args:
        every_seconds: The pause before each call.
        system: The callback; an exception that it raises is logged.
    """
    while True:
        await sleep(every_seconds)
        try:
            system()
        except Exception:
            # One failed call must not end the loop: the instance would still look
            # alive, but would make no decisions any more.
            logger.exception("a periodic call failed")
