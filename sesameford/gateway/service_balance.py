"""Balances the recent service of customers against their shares.

Shares are computed from demands that are averages and some tenths of a second old. A
customer whose demand rises tenfold is served by its old share until the new one is
known, and gets seconds' worth of service beyond it, while its rivals wait behind that.
No later share would make up for it, since each is even by itself. It shows in
``shares served`` lines: engines have started twice as much for one customer as for
others of the same level. So the tokens that engines started for a customer are
compared with what was due to it, and a customer that is ahead gets less until all are
even again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Averaging time of service and due tokens. Shares that follow within some tenths of a
# second can be steered by it without oscillation.
BALANCE_SECONDS = 2.0
# A customer that is ahead by a tenth of its due tokens gets so many tenths less.
GAIN = 1.5
# The least part of an even share, however far ahead a customer is.
MIN_WEIGHT = 0.4
# A customer that is behind may request less than it seems, or its targets may fail: a
# higher weight would only make others wait.
MAX_WEIGHT = 1.3
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
        served_tokens: Mapping[str, float],
        now_seconds: float,
    ) -> None:
        """Update the averages with the rates since the last call.

        Args:
            due_tokens: The even share of each customer, a second, at most its demand.
            served_tokens: What engines have started, a second.
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
            served = served_tokens.get(customer, 0.0)
            average.due_tokens += part * (due - average.due_tokens)
            average.served_tokens += part * (served - average.served_tokens)
            if average.due_tokens + average.served_tokens < MIN_BALANCED_TOKENS:
                del self._averages[customer]

    def weights(self, customers: Mapping[str, float]) -> dict[str, float]:
        """Return by how much the even share of each customer is to be multiplied.

        Customers are compared with each other: a deficit that they all have is no
        reason to prefer one, since engines may do less than the assumed capacity.
        """
        averages = {
            customer: self._averages[customer]
            for customer in customers
            if customer in self._averages
        }
        due_tokens = sum(one.due_tokens for one in averages.values())
        served_tokens = sum(one.served_tokens for one in averages.values())
        if not due_tokens or not served_tokens:
            return {}
        usual_part = served_tokens / due_tokens
        return {
            customer: _weight(one.served_tokens, usual_part * one.due_tokens)
            for customer, one in averages.items()
        }


def _weight(served_tokens: float, due_tokens: float) -> float:
    if due_tokens <= 0.0:
        return 1.0
    behind = (due_tokens - served_tokens) / due_tokens
    return min(max(1.0 + GAIN * behind, MIN_WEIGHT), MAX_WEIGHT)


def make_service_balance() -> ServiceBalance:
    """Return a balance without any service yet."""
    return ServiceBalance()
