"""Runs an instance's systems again and again, whatever one turn of them does."""

import logging
from asyncio import sleep
from collections.abc import Callable

logger = logging.getLogger(__name__)


async def run_regularly(every_seconds: float, system: Callable[[], None]) -> None:
    """Call a system after each so many seconds, until cancelled."""
    while True:
        await sleep(every_seconds)
        try:
            system()
        except Exception:
            # One broken turn must not end all later ones: the instance would look
            # alive and decide nothing any more.
            logger.exception("a system failed")
