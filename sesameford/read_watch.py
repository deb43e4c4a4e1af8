"""Notices a connection on which nothing comes, with one timer for all its reads."""

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader


class ReadWatch:
    """Reads from a target and gives up where the connection is silent.

    A timeout around each read would be set and taken back for every few tokens. The
    one timer here looks, when it fires, how long the present read has waited. Only
    that counts: while a slow caller takes its time nothing is read, and the target
    is not to blame.

    Args:
        content: What is read.
        silent_at_seconds: When a read that began at a time counts as silent.
        now: The present time in seconds.
    """

    def __init__(
        self,
        content: StreamReader,
        silent_at_seconds: Callable[[float], float],
        now: Callable[[], float],
    ) -> None:
        self._content = content
        self._silent_at_seconds = silent_at_seconds
        self._now = now
        self._reading_since_seconds: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def read(self) -> bytes:
        """Return what has come, empty at the end.

        Raises:
            TimeoutError: Nothing came for too long.
            ClientError: The connection broke.
        """
        self._reading_since_seconds = self._now()
        if self._timer is None:
            self._look()
        try:
            return await self._content.readany()
        finally:
            self._reading_since_seconds = None

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        """End a read that has waited for too long, or look again when it will have."""
        self._timer = None
        if self._reading_since_seconds is None:
            return
        until_seconds = self._silent_at_seconds(self._reading_since_seconds)
        left_seconds = until_seconds - self._now()
        if left_seconds <= 0:
            self._content.set_exception(TimeoutError("nothing came"))
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_seconds, self._look)
