"""Detects a silent connection, with one timer for all its reads."""

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader


class ReadWatch:
    """Reads from a target and raises TimeoutError if the connection is silent.

    A timeout around each read would be set and cancelled every few tokens. Here one
    timer checks, when it fires, how long the present read has waited. Only time
    inside a read counts: while the caller reads slowly nothing is read from the
    target, and the target is not the cause.

    Args:
        content: The body of the target's response.
        silent_at_seconds: Returns when a read counts as silent, given its start.
        now: Returns the present time in seconds.
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
        self._read_started_at_seconds: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def read(self) -> bytes:
        """Return the bytes that have arrived, empty at the end.

        Raises:
            TimeoutError: No data arrived for too long.
            ClientError: The connection broke.
        """
        self._read_started_at_seconds = self._now()
        if self._timer is None:
            self._check_silence()
        try:
            return await self._content.readany()
        finally:
            self._read_started_at_seconds = None

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_silence(self) -> None:
        """Fail a read that has waited for too long, or schedule the next check."""
        self._timer = None
        if self._read_started_at_seconds is None:
            return
        until_seconds = self._silent_at_seconds(self._read_started_at_seconds)
        left_seconds = until_seconds - self._now()
        if left_seconds <= 0:
            self._content.set_exception(TimeoutError("no data arrived"))
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_seconds, self._check_silence)
