"""How many requests one router may send a second time, per service.

The budget is the fleet's: in any window a service may get second sendings for a
fraction of its requests and a few more. Each router keeps to the fraction of its own
requests and to its part of the few, so that the sum holds without a word between
them, also while they are cut off from each other.
"""

from collections import deque
from dataclasses import dataclass, field

from sesameford.settings import RetryBudgetSettings

# Other routers may see fewer requests than they sent, and windows of routers don't
# begin together, so a part of the fraction is left unused.
USED_PART = 0.7


@dataclass(slots=True)
class _Window:
    """Times of the first and the second sendings of one service."""

    first: deque[float] = field(default_factory=deque)
    second: deque[float] = field(default_factory=deque)

    def forget(self, before_seconds: float) -> None:
        for times in (self.first, self.second):
            while times and times[0] < before_seconds:
                times.popleft()


class SecondSends:
    """The budget of one router."""

    def __init__(self, budget: RetryBudgetSettings) -> None:
        self._budget = budget
        self._windows: dict[str, _Window] = {}

    def requested(self, service: str, now_seconds: float) -> None:
        """Count a request for a service."""
        window = self._window(service, now_seconds)
        window.first.append(now_seconds)

    def allowed(self, service: str, routers: int, now_seconds: float) -> bool:
        """Return whether one more second sending fits, and count it if so.

        Args:
            service: Where it would go.
            routers: How many routers share the budget.
            now_seconds: The present time.
        """
        window = self._window(service, now_seconds)
        spare = USED_PART * self._budget.spare_requests / max(routers, 1)
        most = USED_PART * self._budget.fraction * len(window.first) + spare
        if len(window.second) + 1 > most:
            return False
        window.second.append(now_seconds)
        return True

    def _window(self, service: str, now_seconds: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.forget(now_seconds - self._budget.window_seconds)
        return window


def make_second_sends(budget: RetryBudgetSettings) -> SecondSends:
    """Return the budget of a router that has sent nothing yet."""
    return SecondSends(budget)
