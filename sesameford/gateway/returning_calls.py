"""How long a caller has already waited for its answer when its call arrives.

The load: more is requested than can be served, and refused callers return after their
Retry-After. A returning call looks like a new one, and goes to an engine where it has
to wait as if its caller had not waited yet.

A caller states how long it still waits. One that returns states less than callers of
its route usually do, by the time that it has waited already. Callers with shorter
timeouts of their own look alike.
"""

from dataclasses import dataclass

# The longest timeout of a route counts for one to two of these periods, so that a
# single odd one is forgotten.
PERIOD_SECONDS = 10.0
# A caller that has waited for less has not returned: its call was slow on its way.
MIN_WAITED_SECONDS = 0.01


@dataclass(slots=True)
class _LongestTimeout:
    """The longest timeouts that callers of one route stated, in two periods."""

    period_began_at_seconds: float
    present_seconds: float
    previous_seconds: float = 0.0

    def update(self, timeout_seconds: float, now_seconds: float) -> float:
        """Count a stated timeout, and return the longest one."""
        if now_seconds - self.period_began_at_seconds > PERIOD_SECONDS:
            self.period_began_at_seconds = now_seconds
            self.previous_seconds = self.present_seconds
            self.present_seconds = 0.0
        self.present_seconds = max(self.present_seconds, timeout_seconds)
        return max(self.present_seconds, self.previous_seconds)


class ReturningCalls:
    """The usual timeouts of callers by route, as one router sees them."""

    def __init__(self) -> None:
        self._longest: dict[str, _LongestTimeout] = {}

    def waited_seconds(
        self, route_id: str, timeout_seconds: float | None, now_seconds: float
    ) -> float:
        """Return how long a caller has waited before its call arrived.

        Args:
            route_id: The call's route.
            timeout_seconds: How long the caller still waits, None if it is not stated.
            now_seconds: The present time.

        Returns:
            The time, 0 for a caller that has not returned.
        """
        if timeout_seconds is None:
            return 0.0
        longest = self._longest.get(route_id)
        if longest is None:
            longest = _LongestTimeout(now_seconds, timeout_seconds)
            self._longest[route_id] = longest
        waited_seconds = longest.update(timeout_seconds, now_seconds) - timeout_seconds
        return waited_seconds if waited_seconds >= MIN_WAITED_SECONDS else 0.0


def make_returning_calls() -> ReturningCalls:
    """Return the state of a router that has seen no call."""
    return ReturningCalls()
