"""Checks of the retries that servers received against a service's retry budget."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from sesameford.settings import RetryBudgetSettings
from standins.platform_fleet import HeartbeatServer
from tools.platform_soak_records import Records

# Keeps the bounds of windows apart from the times of retries.
ROUNDING_SECONDS = 1e-6


@dataclass(frozen=True, slots=True)
class WorstWindow:
    """The window with the most retries beyond those allowed, and both numbers."""

    retries: int
    allowed: float


def worst_window(
    requests: Iterable[float], retries: Iterable[float], budget: RetryBudgetSettings
) -> WorstWindow:
    """Return the window with the most retries beyond those allowed.

    The requests of a window are its own, those of the one before or of the one half a
    window before, whichever has most, as the retries of a request come after it.

    Args:
        requests: When callers sent requests, in seconds.
        retries: When targets received more than the first of a request, in seconds.
        budget: The budget of the service.
    """
    requests, retries = sorted(requests), sorted(retries)
    width_seconds = budget.window_seconds
    last_ends = [one + width_seconds - ROUNDING_SECONDS for one in retries]
    worst = None
    for end in sorted({*retries, *last_ends}):
        retried = _count(retries, end, width_seconds)
        requested = max(
            _count(requests, end - earlier * width_seconds, width_seconds)
            for earlier in (0.0, 0.5, 1.0)
        )
        allowed = budget.fraction * requested + budget.spare_requests
        if worst is None or retried - allowed > worst.retries - worst.allowed:
            worst = WorstWindow(retried, allowed)
    return worst or WorstWindow(0, float(budget.spare_requests))


def retry_times(servers: Iterable[HeartbeatServer]) -> list[float]:
    """Return when servers received more than the first of each request."""
    arrivals = defaultdict(list)
    for one in servers:
        for call in one.server.received_calls:
            arrivals[call.request_id].append(call.arrived_at_seconds)
    return [at for times in arrivals.values() for at in sorted(times)[1:]]


def retries_beyond_budget(records: Records) -> Iterator[str]:
    """Return whether the servers got more retries in some window than is allowed."""
    sent = [one.at_seconds for one in records.sent]
    worst = worst_window(sent, retry_times(records.servers), records.retry_budget)
    if worst.retries > worst.allowed:
        yield f"{worst.retries} retries in a window that allows {worst.allowed:.1f}"


def _count(times: Sequence[float], end: float, width_seconds: float) -> int:
    return bisect_right(times, end) - bisect_right(times, end - width_seconds)
