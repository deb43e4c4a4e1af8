"""Averages of what engines start for customers, and of what was due to them.

Shares are computed from demands that are averages and some tenths of a second old. A
customer whose demand rises tenfold is served by its old share until the new one is
known, and gets seconds' worth of service beyond it, while its rivals wait behind that.
No later share would make up for it, since each is even by itself. It shows in
``shares served`` lines: engines have started twice as much for one customer as for
others of the same level. So what engines started for a customer is compared with what
was due to it, and a customer that is ahead gets less until all are even again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Averaging time of service and due tokens. Shares that follow within some tenths of a
# second can be steered by it without oscillation.
BALANCE_SECONDS = 2.0
# A customer with less due and served has requested nothing for seconds.
MIN_BALANCED_TOKENS = 1.0


@dataclass(slots=True)
class _Average:
    """Tokens a second that were due to a customer and served to it, averaged."""

    due_tokens: float = 0.0
    served_tokens: float = 0.0


@dataclass(slots=True)
class ServiceBalance:
    """The averages of all customers at the replica that computes shares."""

    _averages: dict[str, _Average] = field(default_factory=dict)
    _updated_at_seconds: float | None = None

    def update(
        self,
        due_tokens: Mapping[str, float],
        started_tokens: Mapping[str, float],
        now_seconds: float,
    ) -> None:
        """Update the averages with the rates since the last call.

        Args:
            due_tokens: The even share of each customer, a second, at most its demand.
            started_tokens: What engines have started of its requests, a second.
            now_seconds: The present time.
        """
        last_seconds, self._updated_at_seconds = self._updated_at_seconds, now_seconds
        if last_seconds is None:
            # After a start, service still follows the shares of another replica.
            return
        part = min((now_seconds - last_seconds) / BALANCE_SECONDS, 1.0)
        for customer in due_tokens:
            self._averages.setdefault(customer, _Average())
        for customer, average in list(self._averages.items()):
            due = due_tokens.get(customer, 0.0)
            started = started_tokens.get(customer, 0.0)
            average.due_tokens += part * (due - average.due_tokens)
            average.served_tokens += part * (started - average.served_tokens)
            if average.due_tokens + average.served_tokens < MIN_BALANCED_TOKENS:
                del self._averages[customer]

    def served_parts(self, customers: Iterable[str]) -> dict[str, float]:
        """Return the part of its due tokens that each customer got.

        Args:
            customers: The customers that don't get all that they request.
        """
        averages = {
            customer: self._averages[customer]
            for customer in customers
            if customer in self._averages
        }
        return {
            customer: one.served_tokens / one.due_tokens
            for customer, one in averages.items()
            if one.due_tokens > 0.0
        }


def make_service_balance() -> ServiceBalance:
    """Return a balance without any service yet."""
    return ServiceBalance()
