"""Aborts the connections whose heads, or the first bytes of them, take too long."""

import asyncio
from collections.abc import Callable

from sesameford.guard_limits import GuardLimits
from sesameford.guarded_connection import TIMED_STAGES, GuardCounts, Stage

# Connections are checked at most so often for heads that take too long.
MIN_CHECK_SECONDS = 0.1


def _timeout_seconds(stage: Stage, limits: GuardLimits) -> float:
    """Return the timeout of a stage that has one."""
    if stage is Stage.FIRST_BYTE:
        return limits.first_byte_timeout_seconds
    return limits.head_timeout_seconds


def abort_slow_heads(
    counts: GuardCounts, limits: GuardLimits, now_seconds: float
) -> float | None:
    """Abort the connections whose heads, or the first bytes of them, take too long.

    Returns:
        When the next one will, None if no head is on its way.
    """
    next_seconds = None
    for stage in TIMED_STAGES:
        timeout_seconds = _timeout_seconds(stage, limits)
        for connection, since_seconds in tuple(counts.by_stage[stage].items()):
            due_seconds = since_seconds + timeout_seconds
            if now_seconds < due_seconds:
                next_seconds = min(due_seconds, next_seconds or due_seconds)
                break
            connection.leave_stage()
            counts.too_slow += 1
            connection.transport.abort()
    return next_seconds


class SlowHeadWatch:
    """Aborts the slow heads of a listener when they are due, with one timer for all.

    Args:
        counts: The listener's connections.
        limits: Returns the connection limits in force.
    """

    def __init__(self, counts: GuardCounts, limits: Callable[[], GuardLimits]) -> None:
        self._counts = counts
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None

    def start(self, stage: Stage, now_seconds: float) -> None:
        """Watch a connection that has just come to a stage with a timeout."""
        self._schedule(now_seconds + _timeout_seconds(stage, self._limits()))

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        now_seconds = asyncio.get_running_loop().time()
        self._timer = None
        due_seconds = abort_slow_heads(self._counts, self._limits(), now_seconds)
        if due_seconds is not None:
            self._schedule(max(due_seconds, now_seconds + MIN_CHECK_SECONDS))

    def _schedule(self, due_seconds: float) -> None:
        """Check at a time, unless that is to be done sooner."""
        if self._timer is not None:
            if self._timer.when() <= due_seconds:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_seconds, self._check)
