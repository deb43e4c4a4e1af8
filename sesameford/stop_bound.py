"""How a planned stop bounds calls: the process is killed after a grace.

A call that can't be expected to end before that is refused as not run, at once, so that
its caller turns to another instance. Calls that are still open shortly before the end
get an answer that says what is known of them, as a killed process answers nothing.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sesameford.errors import NotRunError, SesamefordError

# The last part of the grace, in which answers are written and connections closed. That
# takes a busy process some time, however short the grace is.
RESERVED_PART = 0.125
MIN_RESERVED_SECONDS = 0.8
# Calls of a resource last as long as the longest of so many recent ones, and longer by
# a factor.
RECENT_CALLS = 64
DURATION_FACTOR = 1.5
# Fewer calls show too little: each may last as long as it is allowed to.
MIN_RECENT_CALLS = 8


class StopEndedError(SesamefordError):
    """A call is still open shortly before the process is killed."""


class StopBound:
    """The time that a planned stop leaves to the calls of an instance.

    All times are of the loop's clock, which ends the calls.

    Args:
        grace_seconds: The time from the request to stop until the process is killed,
            None if nothing kills it.
    """

    def __init__(self, grace_seconds: float | None) -> None:
        self._grace_seconds = grace_seconds
        self._stopping_since_seconds: float | None = None
        self._durations_seconds: dict[str, deque[float]] = {}
        self._open: set[asyncio.Timeout] = set()

    def configure(self, grace_seconds: float | None) -> None:
        """Change the grace, also of a stop that has begun."""
        self._grace_seconds = grace_seconds
        self._reschedule()

    def start(self, now_seconds: float) -> None:
        """Begin a planned stop; a repeated call changes nothing."""
        if self._stopping_since_seconds is None:
            self._stopping_since_seconds = now_seconds
            self._reschedule()

    def record_duration(self, resource: str, seconds: float) -> None:
        """Record how long a call of a resource, such as a route, lasted."""
        recent = self._durations_seconds.get(resource)
        if recent is None:
            recent = self._durations_seconds[resource] = deque(maxlen=RECENT_CALLS)
        recent.append(seconds)

    def may_take(
        self,
        resource: str,
        longest_seconds: float,
        now_seconds: float,
        is_stream: bool = False,
    ) -> bool:
        """Return whether a call is expected to end before the stop does.

        A stream that is cut looks broken to its caller, who has had a part of it, so
        one is taken only if it must end by then, however long others lasted.

        Args:
            resource: What it asks for, such as a route.
            longest_seconds: How long that and its caller allow it to last.
            now_seconds: The present time.
            is_stream: Whether its answer is a stream.
        """
        end_at_seconds = self._end_at_seconds()
        if end_at_seconds is None:
            return True
        expected_seconds = longest_seconds
        if not is_stream:
            expected_seconds = self._expected_seconds(resource, longest_seconds)
        return now_seconds + expected_seconds <= end_at_seconds

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Run a call until the stop leaves no time for it.

        Raises:
            StopEndedError: The call is not over by then.
        """
        timeout = asyncio.timeout_at(self._end_at_seconds())
        try:
            async with timeout:
                self._open.add(timeout)
                try:
                    yield
                finally:
                    self._open.discard(timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise StopEndedError("the stop leaves no time") from error

    def is_over(self, now_seconds: float) -> bool:
        """Return whether a stop leaves no time for anything any more."""
        end_at_seconds = self._end_at_seconds()
        return end_at_seconds is not None and now_seconds >= end_at_seconds

    def shorten(self, seconds: float) -> float:
        """Return a time from the begin of a stop, at most what it leaves to calls."""
        if self._grace_seconds is None:
            return seconds
        return min(seconds, _usable_seconds(self._grace_seconds))

    def _expected_seconds(self, resource: str, longest_seconds: float) -> float:
        recent = self._durations_seconds.get(resource, ())
        if len(recent) < MIN_RECENT_CALLS:
            return longest_seconds
        return min(longest_seconds, DURATION_FACTOR * max(recent))

    def _end_at_seconds(self) -> float | None:
        """Return when open calls end, None if no stop ends them."""
        if self._stopping_since_seconds is None or self._grace_seconds is None:
            return None
        return self._stopping_since_seconds + _usable_seconds(self._grace_seconds)

    def _reschedule(self) -> None:
        end_at_seconds = self._end_at_seconds()
        for timeout in self._open:
            timeout.reschedule(end_at_seconds)


def _usable_seconds(grace_seconds: float) -> float:
    reserved_seconds = max(RESERVED_PART * grace_seconds, MIN_RESERVED_SECONDS)
    return max(0.0, grace_seconds - reserved_seconds)


def make_stopping_error() -> NotRunError:
    """Return the error of a request that an instance refuses as it stops."""
    return NotRunError("stopping", "this instance is stopping", 503, 1.0)


def make_stop_bound(grace_seconds: float | None = None) -> StopBound:
    """Return the bound of an instance that is not stopping; see ``StopBound``."""
    return StopBound(grace_seconds)
