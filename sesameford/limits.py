"""Customers' limits over the whole fleet, split into a fraction per router.

Each router enforces its fraction on its own. A router or data centre that is cut
off continues with its last fraction, and the fleet's sum stays within the limit.
Fractions follow the measured demand. Shares of a concurrency limit are rounded up,
so that each router that a customer's requests enter through can run at least one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from sesameford.effective import LimitSettings
from sesameford.errors import NotRunError

_BURST_SECONDS = 1.0
_DEMAND_HALF_LIFE_SECONDS = 2.0
# A decaying count of events at a steady rate tends to the rate times this many of its
# half-lives: 1 / ln 2.
STEADY_COUNT_HALF_LIVES = 1.44
# Bounds the Retry-After of a customer with next to no share at this router.
_MIN_SHARE_REQUESTS_PER_SECOND = 1e-3
# Subtracted before rounding up: a rounding error of a product must not add one.
_ROUNDING_ERROR_REQUESTS = 1e-9
_TOO_MANY_REQUESTS_STATUS = 429


@dataclass(slots=True)
class _CustomerBuckets:
    """Token buckets of one customer at one router, and its decaying demand."""

    requests_left: float
    cost_units_left: float
    filled_at_seconds: float
    demand: float = 0.0
    demand_at_seconds: float = 0.0


class Limits:
    """The limits of each customer at this router, and how much of them is used."""

    def __init__(self) -> None:
        self._settings: dict[str, LimitSettings] = {}
        self._fractions: dict[str, float] = {}
        self._default_fraction = 1.0
        self._buckets: dict[str, _CustomerBuckets] = {}
        self._running: dict[str, int] = {}

    def configure(self, settings: dict[str, LimitSettings]) -> None:
        """Replace the limits in force."""
        self._settings = settings

    def set_default_fraction(self, fraction: float) -> None:
        """Set the fraction of customers for whom no fraction is set."""
        self._default_fraction = fraction

    def set_fraction(self, customer_id: str, fraction: float) -> None:
        """Set this router's fraction of a customer's limits."""
        self._fractions[customer_id] = fraction

    def fraction(self, customer_id: str) -> float:
        """Return this router's fraction of a customer's limits."""
        return self._fractions.get(customer_id, self._default_fraction)

    def limits_of(self, customer_id: str) -> LimitSettings:
        """Return a customer's limits over the whole fleet."""
        return self._settings.get(customer_id) or LimitSettings()

    def has_split_limit(self, customer_id: str) -> bool:
        """Return whether any limit of a customer is split over routers."""
        limits = self.limits_of(customer_id)
        return (
            limits.requests_per_second is not None
            or limits.cost_units_per_second is not None
            or limits.concurrent_requests is not None
        )

    def admit(self, customer_id: str, now_seconds: float) -> None:
        """Count a request against the limit on requests per second.

        Raises:
            NotRunError: The limit is reached; its delay says when to retry.
        """
        if not self.has_split_limit(customer_id):
            return
        buckets = self._refill(customer_id, now_seconds)
        decay = 0.5 ** (
            (now_seconds - buckets.demand_at_seconds) / _DEMAND_HALF_LIFE_SECONDS
        )
        buckets.demand = buckets.demand * decay + 1.0
        buckets.demand_at_seconds = now_seconds
        rate = self.limits_of(customer_id).requests_per_second
        if rate is None:
            return
        if buckets.requests_left < 1.0:
            share = max(
                rate * self.fraction(customer_id), _MIN_SHARE_REQUESTS_PER_SECOND
            )
            raise NotRunError(
                "rate-limit",
                f"The customer is limited to {rate:g} requests a second.",
                _TOO_MANY_REQUESTS_STATUS,
                (1.0 - buckets.requests_left) / share,
            )
        buckets.requests_left -= 1.0

    def may_start(self, customer_id: str, now_seconds: float) -> bool:
        """Return whether cost rate and concurrency allow one more start."""
        limits = self._settings.get(customer_id)
        if limits is None:
            return True
        fraction = self.fraction(customer_id)
        if limits.concurrent_requests is not None:
            most = concurrency_share(limits.concurrent_requests, fraction)
            if self._running.get(customer_id, 0) >= most:
                return False
        if limits.cost_units_per_second is None:
            return True
        return self._refill(customer_id, now_seconds).cost_units_left > 0.0

    def record_start(
        self, customer_id: str, cost_units: float, now_seconds: float
    ) -> None:
        """Count a request that starts, at its estimated cost."""
        self._running[customer_id] = self._running.get(customer_id, 0) + 1
        self.record_cost(customer_id, cost_units, now_seconds)

    def record_cost(
        self, customer_id: str, cost_units: float, now_seconds: float
    ) -> None:
        """Charge cost units; negative ones refund an estimate that was too high."""
        if self.limits_of(customer_id).cost_units_per_second is not None:
            self._refill(customer_id, now_seconds).cost_units_left -= cost_units

    def record_end(self, customer_id: str) -> None:
        """Free the concurrency that a request used."""
        left = self._running.get(customer_id, 0) - 1
        if left > 0:
            self._running[customer_id] = left
        else:
            self._running.pop(customer_id, None)

    def demand_rates(
        self,
        now_seconds: float,
        waiting_requests: Callable[[str], int] = lambda customer_id: 0,
    ) -> dict[str, float]:
        """Return the recent demand in requests per second of limited customers.

        Waiting and running requests count as demand, however long ago they arrived.
        With arrivals alone the split would become even again, and a customer whose
        backlog waits at one router would run there only a fraction of its limit.

        Args:
            now_seconds: The present time.
            waiting_requests: Returns how many of a customer's requests wait here.
        """
        rates = {}
        for customer, buckets in self._buckets.items():
            decay = 0.5 ** (
                (now_seconds - buckets.demand_at_seconds) / _DEMAND_HALF_LIFE_SECONDS
            )
            present = waiting_requests(customer) + self._running.get(customer, 0)
            demand = max(buckets.demand * decay, present)
            rates[customer] = demand / (
                _DEMAND_HALF_LIFE_SECONDS * STEADY_COUNT_HALF_LIVES
            )
        return rates

    def _refill(self, customer_id: str, now_seconds: float) -> _CustomerBuckets:
        """Return a customer's buckets, refilled up to the present time."""
        limits = self.limits_of(customer_id)
        fraction = self.fraction(customer_id)
        request_rate = (limits.requests_per_second or 0.0) * fraction
        cost_rate = (limits.cost_units_per_second or 0.0) * fraction
        request_burst = max(request_rate * _BURST_SECONDS, 1.0)
        cost_burst = cost_rate * _BURST_SECONDS
        buckets = self._buckets.get(customer_id)
        if buckets is None:
            buckets = _CustomerBuckets(request_burst, cost_burst, now_seconds)
            buckets.demand_at_seconds = now_seconds
            self._buckets[customer_id] = buckets
        elapsed = max(now_seconds - buckets.filled_at_seconds, 0.0)
        buckets.requests_left = min(
            buckets.requests_left + elapsed * request_rate, request_burst
        )
        buckets.cost_units_left = min(
            buckets.cost_units_left + elapsed * cost_rate, cost_burst
        )
        buckets.filled_at_seconds = now_seconds
        return buckets


def concurrency_share(concurrent_requests: int, fraction: float) -> int:
    """Return a router's share of a concurrency limit, as a whole number.

    The share is rounded up: rounded down, a limit smaller than the number of routers
    would shut the customer out. The fleet may therefore exceed the limit by one for
    each router that the customer's requests enter through.
    """
    return ceil(concurrent_requests * fraction - _ROUNDING_ERROR_REQUESTS)


def split_fractions(
    demands: dict[str, float], floor_fraction: float = 0.05
) -> dict[str, float]:
    """Split a limit by demand, with a floor for holders without demand.

    Args:
        demands: Demand by holder.
        floor_fraction: The part that is split evenly, so that the first request
            through another router is not refused.

    Returns:
        Fractions by holder that add up to one.
    """
    if not demands:
        return {}
    total = sum(demands.values())
    even = 1.0 / len(demands)
    if total <= 0.0:
        return dict.fromkeys(demands, even)
    return {
        holder: floor_fraction * even + (1.0 - floor_fraction) * (demand / total)
        for holder, demand in demands.items()
    }
