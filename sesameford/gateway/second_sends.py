"""The retry budget of one router, per service.

The budget applies to the whole fleet: within any window a service may get retries for
a fraction of its requests, plus a fixed spare number. The fleet's sum holds without
coordination, over routers that are partitioned from each other and over the processes
of one that is killed and starts again:

- Requests of a router earn it retries. What it holds is bounded by its requests of the
  last window, so all that any routers held when a window began and earned in it stays
  within the fraction, whoever of them is gone by its end.
- Of the spare number it uses the part that ``router_census`` gives it, none for its
  first window.
"""

import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from sesameford.settings import RetryBudgetSettings

logger = logging.getLogger(__name__)

# Leaves a reserve: a target counts a retry when it arrives, a router when it sends it.
USED_BUDGET_FRACTION = 0.9
# This part of the fraction is earned in a window, the rest may be held from before it.
EARNED_PART = 0.6
# Sums of parts of retries are exact to this.
ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class _SpareUse:
    """A retry, or the part of one, that was taken from the spare number."""

    at_seconds: float
    retries: float


@dataclass(slots=True)
class _Account:
    """The retries of one service at this router.

    ``earned`` retries are held, ``spare_used`` those of the spare number that count in
    the window. ``allowed`` and ``refused`` are all retries so far, ``logged`` those
    that the log has, and ``spare_part`` the part of the last decision.
    """

    since_seconds: float
    requests: deque[float] = field(default_factory=deque)
    earned: float = 0.0
    spare_uses: deque[_SpareUse] = field(default_factory=deque)
    spare_used: float = 0.0
    spare_part: float = 0.0
    allowed: int = 0
    refused: int = 0
    logged: tuple[int, int] = (0, 0)


class SecondSends:
    """The retry budget of one router."""

    def __init__(self, budget: RetryBudgetSettings) -> None:
        self._budget = budget
        self._earned_per_request = USED_BUDGET_FRACTION * EARNED_PART * budget.fraction
        self._held_per_request = (
            USED_BUDGET_FRACTION * (1 - EARNED_PART) * budget.fraction
        )
        self._accounts: dict[str, _Account] = {}

    def record_request(self, service: str, now_seconds: float) -> None:
        """Count a request for a service."""
        account = self._account(service, now_seconds)
        account.requests.append(now_seconds)
        account.earned += self._earned_per_request

    def try_acquire(self, service: str, spare_part: float, now_seconds: float) -> bool:
        """Return whether the budget allows one more retry, and count it if so.

        Args:
            service: The service that the retry would go to.
            spare_part: The part of the spare number that this router may use.
            now_seconds: The present time.
        """
        account = self._account(service, now_seconds)
        account.spare_part = spare_part
        spare = USED_BUDGET_FRACTION * self._budget.spare_requests * spare_part
        from_earned = min(account.earned, 1.0)
        from_spare = 1.0 - from_earned
        if from_spare > ROUNDING:
            if account.spare_used + from_spare > spare + ROUNDING:
                account.refused += 1
                return False
            account.spare_uses.append(_SpareUse(now_seconds, from_spare))
            account.spare_used += from_spare
        account.earned -= from_earned
        account.allowed += 1
        return True

    def totals(self) -> Iterator[tuple[str, int, int]]:
        """Yield each service, its retries, and how many more the budget refused."""
        for service, account in self._accounts.items():
            yield service, account.allowed, account.refused

    def log_use(self, now_seconds: float) -> None:
        """Log the budget of each service that had failures since the last line."""
        for service, account in self._accounts.items():
            allowed, refused = account.logged
            if (account.allowed, account.refused) == account.logged:
                continue
            account.logged = (account.allowed, account.refused)
            logger.info(
                "retry budget",
                extra={
                    "service": service,
                    "retries": account.allowed - allowed,
                    "refused": account.refused - refused,
                    "requests_in_window": len(account.requests),
                    "earned": round(account.earned, 2),
                    "spare_used": round(account.spare_used, 2),
                    "spare_part": round(account.spare_part, 4),
                    "counted_seconds": round(now_seconds - account.since_seconds, 3),
                },
            )

    def _account(self, service: str, now_seconds: float) -> _Account:
        """Return the account of a service, without what is older than the window."""
        account = self._accounts.setdefault(service, _Account(now_seconds))
        before_seconds = now_seconds - self._budget.window_seconds
        while account.requests and account.requests[0] < before_seconds:
            account.requests.popleft()
        while account.spare_uses and account.spare_uses[0].at_seconds < before_seconds:
            account.spare_used -= account.spare_uses.popleft().retries
        most_held = self._held_per_request * len(account.requests)
        account.earned = min(account.earned, most_held)
        return account


def make_second_sends(budget: RetryBudgetSettings) -> SecondSends:
    """Return the budget of a router that has sent nothing yet."""
    return SecondSends(budget)
