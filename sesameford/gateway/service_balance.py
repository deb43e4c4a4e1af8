"""Who has lately been served more than its share, and who less.

Shares are worked out from demands that are averages and some tenths of a second old.
A customer whose demand rises tenfold is served by its old share until the new one is
known, and gets seconds' worth of service beyond it, while its rivals wait behind that.
Nothing else would ever make up for it: each later share is even by itself. One notices
it in ``shares served`` lines, where one customer has begun twice as much as others that
have the same level. So what engines have really begun for a customer is held against
what it was owed, and whoever is ahead gets less until all are even again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Service and what is owed are averaged over so long. Shares that follow within some
# tenths of a second can be steered by it without swinging.
BALANCE_SECONDS = 2.0
# A customer that is ahead by a tenth of what it is owed gets so many tenths less.
GAIN = 1.5
# Nobody is left with less than this part of an even share, however far ahead.
LEAST_WEIGHT = 0.4
# One that is behind may ask for less than it seems, or its targets may fail: more than
# this would only make others wait.
MOST_WEIGHT = 1.3
# A customer that is owed and served less has asked nothing for seconds.
LEAST_OWED_TOKENS = 1.0


@dataclass(slots=True)
class _Average:
    """What a customer was owed and served of late, in tokens a second."""

    owed_tokens: float = 0.0
    served_tokens: float = 0.0


@dataclass(slots=True)
class ServiceBalance:
    """The averages of all customers at the replica that works out shares."""

    _averages: dict[str, _Average] = field(default_factory=dict)
    _settled_at_seconds: float | None = None

    def settle(
        self,
        owed_tokens: Mapping[str, float],
        served_tokens: Mapping[str, float],
        now_seconds: float,
    ) -> None:
        """Take what customers are owed and served since the last call.

        Args:
            owed_tokens: Of an even share, a second, at most what each asks.
            served_tokens: What engines have begun, a second.
            now_seconds: The present time.
        """
        last_seconds, self._settled_at_seconds = self._settled_at_seconds, now_seconds
        if last_seconds is None:
            # After a start what is served follows from shares that another worked out.
            return
        part = min((now_seconds - last_seconds) / BALANCE_SECONDS, 1.0)
        for customer in owed_tokens:
            self._averages.setdefault(customer, _Average())
        for customer, average in list(self._averages.items()):
            owed = owed_tokens.get(customer, 0.0)
            served = served_tokens.get(customer, 0.0)
            average.owed_tokens += part * (owed - average.owed_tokens)
            average.served_tokens += part * (served - average.served_tokens)
            if average.owed_tokens + average.served_tokens < LEAST_OWED_TOKENS:
                del self._averages[customer]

    def weights(self, customers: Mapping[str, float]) -> dict[str, float]:
        """Return by how much the even share of each customer is to be multiplied.

        What all of them are behind together is no reason to prefer anybody: engines
        may do less than was taken for their capacity.
        """
        averages = {
            customer: self._averages[customer]
            for customer in customers
            if customer in self._averages
        }
        owed_tokens = sum(one.owed_tokens for one in averages.values())
        served_tokens = sum(one.served_tokens for one in averages.values())
        if not owed_tokens or not served_tokens:
            return {}
        usual_part = served_tokens / owed_tokens
        return {
            customer: _weight(one.served_tokens, usual_part * one.owed_tokens)
            for customer, one in averages.items()
        }


def _weight(served_tokens: float, due_tokens: float) -> float:
    if due_tokens <= 0.0:
        return 1.0
    behind = (due_tokens - served_tokens) / due_tokens
    return min(max(1.0 + GAIN * behind, LEAST_WEIGHT), MOST_WEIGHT)


def make_service_balance() -> ServiceBalance:
    """Return a balance in which nobody was owed or served anything."""
    return ServiceBalance()
