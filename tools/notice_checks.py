"""Checks the calls at a server against the notices in its answers."""

from collections.abc import Sequence
from dataclasses import dataclass

from standins.platform_server import ReceivedCall

# A router that is asked to back off may still send for this time, and so often later.
BACKOFF_GRACE_SECONDS = 0.5
MAX_CALLS_DURING_BACKOFF = 2
# A server that announced its drain gets no call later than this; half a second of it is
# allowance for a busy machine.
DRAIN_LIMIT_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """A backoff that a server requested of a router, and the calls that came in it."""

    from_seconds: float
    to_seconds: float
    calls: int


def requested_backoffs(calls: Sequence[ReceivedCall]) -> list[RequestedBackoff]:
    """Return the backoffs that a server requested of one router.

    Args:
        calls: All calls of that router at that server.
    """
    backoffs = []
    for call in calls:
        if call.retry_after_seconds is None or call.answered_at_seconds is None:
            continue
        from_seconds = call.answered_at_seconds
        to_seconds = from_seconds + call.retry_after_seconds
        arrived = sum(
            from_seconds + BACKOFF_GRACE_SECONDS < other.arrived_at_seconds < to_seconds
            for other in calls
        )
        backoffs.append(RequestedBackoff(from_seconds, to_seconds, arrived))
    return backoffs


def calls_during_backoff(calls: Sequence[ReceivedCall]) -> int:
    """Return the most calls of one router that arrived in one requested backoff.

    Args:
        calls: All calls of that router at one server.
    """
    return max((one.calls for one in requested_backoffs(calls)), default=0)


def drain_announced_at_seconds(calls: Sequence[ReceivedCall]) -> float | None:
    """Return when a server first announced its drain to one router, None if never.

    Args:
        calls: All calls of that router at that server.
    """
    announced = [
        call.answered_at_seconds
        for call in calls
        if call.announced_drain and call.answered_at_seconds is not None
    ]
    return min(announced, default=None)


def calls_after_drain(calls: Sequence[ReceivedCall]) -> list[ReceivedCall]:
    """Return the calls that arrived too long after a server announced its drain.

    Args:
        calls: All calls of one router at one server.
    """
    announced_at_seconds = drain_announced_at_seconds(calls)
    if announced_at_seconds is None:
        return []
    limit_seconds = announced_at_seconds + DRAIN_LIMIT_SECONDS
    return [call for call in calls if call.arrived_at_seconds > limit_seconds]
