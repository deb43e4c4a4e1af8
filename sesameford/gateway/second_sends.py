"""The retry budget of one router, per service.

The budget applies to the whole fleet: within any window a service may get retries for
a fraction of its requests, plus a fixed spare number. Each router applies the fraction
to its own requests and takes an equal part of the spare number, so that the fleet's
sum holds without coordination, even while routers are partitioned from each other.
"""

from collections import deque
from dataclasses import dataclass, field

from sesameford.settings import RetryBudgetSettings

# Leaves a reserve: other routers may count fewer requests than they sent, and the
# windows of routers do not start together.
USED_BUDGET_FRACTION = 0.7


@dataclass(slots=True)
class _Window:
    """Times in seconds of the first attempts and the retries of one service."""

    first: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def forget(self, before_seconds: float) -> None:
        for times in (self.first, self.retries):
            while times and times[0] < before_seconds:
                times.popleft()


class SecondSends:
    """The retry budget of one router."""

    def __init__(self, budget: RetryBudgetSettings) -> None:
        self._budget = budget
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str, now_seconds: float) -> None:
        """Count a request for a service."""
        window = self._window(service, now_seconds)
        window.first.append(now_seconds)

    def try_acquire(self, service: str, routers: int, now_seconds: float) -> bool:
        """Return whether the budget allows one more retry, and count it if so.

        Args:
            service: The service that the retry would go to.
            routers: The number of routers that share the budget.
            now_seconds: The present time.
        """
        window = self._window(service, now_seconds)
        spare = USED_BUDGET_FRACTION * self._budget.spare_requests / max(routers, 1)
        max_retries = (
            USED_BUDGET_FRACTION * self._budget.fraction * len(window.first) + spare
        )
        if len(window.retries) + 1 > max_retries:
            return False
        window.retries.append(now_seconds)
        return True

    def _window(self, service: str, now_seconds: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.forget(now_seconds - self._budget.window_seconds)
        return window


def make_second_sends(budget: RetryBudgetSettings) -> SecondSends:
    """Return the full budget of a router that has sent nothing yet."""
    return SecondSends(budget)
