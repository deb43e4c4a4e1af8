"""A bound on the calls that a router has admitted and not begun to handle yet.

The load: the callers of one customer all use one router and multiply. Its share is more
than the router can forward, so admitted calls pile up between their head and their
handler. All of them come late, those of other customers too, and some are sent after
their callers have left. The signs are ``sending failed`` lines with the outcome
``timeout``, all of one router.

The bound is on a number of calls, so that a fast router, whose handlers begin sooner,
admits more of them in a second. One customer may use half of what is free; the rest is
for all others. A refused call reaches another router with its retry.
"""

from collections import Counter
from dataclasses import dataclass, field

# With some milliseconds of processor time a call, a router handles half of them, the
# calls of one customer, in a part of a usual objective.
MAX_WAITING_CALLS = 64
# A call that is not handled for so long was lost with its connection.
MAX_WAITING_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class _WaitingCall:
    """A call that is admitted and not handled yet."""

    customer: str
    admitted_at_seconds: float


@dataclass(slots=True)
class DispatchLimit:
    """The calls of one router that are not handled yet, by number in their order."""

    _waiting: dict[int, _WaitingCall] = field(default_factory=dict)
    _by_customer: Counter[str] = field(default_factory=Counter)
    _last_number: int = 0

    @property
    def waiting_calls(self) -> int:
        """Return how many calls are admitted and not handled yet."""
        return len(self._waiting)

    def has_room(self, customer: str, now_seconds: float) -> bool:
        """Return whether one more call of a customer may wait.

        Args:
            customer: Whose call it is.
            now_seconds: The present time.
        """
        self._remove_lost_calls(now_seconds)
        free_calls = MAX_WAITING_CALLS - self.waiting_calls
        return self._by_customer[customer] < free_calls

    def add(self, customer: str, now_seconds: float) -> int:
        """Count an admitted call, and return its number."""
        self._last_number += 1
        self._waiting[self._last_number] = _WaitingCall(customer, now_seconds)
        self._by_customer[customer] += 1
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove a call that is handled from now on; idempotent."""
        call = self._waiting.pop(number, None)
        if call is None:
            return
        self._by_customer[call.customer] -= 1
        if not self._by_customer[call.customer]:
            del self._by_customer[call.customer]

    def _remove_lost_calls(self, now_seconds: float) -> None:
        """Remove calls whose connection closed before they had a handler."""
        oldest_seconds = now_seconds - MAX_WAITING_SECONDS
        while self._waiting:
            number = next(iter(self._waiting))
            if self._waiting[number].admitted_at_seconds >= oldest_seconds:
                return
            self.remove(number)


def make_dispatch_limit() -> DispatchLimit:
    """Return the limit of a router that has admitted nothing yet."""
    return DispatchLimit()
