"""Customers' limits over the whole fleet, split into a fraction per router.

Each router enforces its fraction on its own, so a router or data centre that is
cut off goes on with the fraction it had and the fleet's sum stays within the
limit. Fractions follow the measured demand; whole numbers round so that a
customer is never shut out of the router that its requests enter through.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from sesameford.effective import LimitSettings
from sesameford.errors import NotRunError

_BURST_SECONDS = 1.0
_DEMAND_HALF_LIFE_SECONDS = 2.0
_TOO_MANY_REQUESTS_STATUS = 429


@dataclass(slots=True)
class _CustomerBuckets:
    """Token buckets of one customer at one router, and its demand."""

    requests_left: float
    cost_units_left: float
    filled_at_seconds: float
    demand: float = 0.0
    demand_at_seconds: float = 0.0


class Limits:
    """What each customer may still start here."""

    def __init__(self) -> None:
        self._settings: dict[str, LimitSettings] = {}
        self._fractions: dict[str, float] = {}
        self._default_fraction = 1.0
        self._buckets: dict[str, _CustomerBuckets] = {}
        self._running: dict[str, int] = {}

    def configure(self, settings: dict[str, LimitSettings]) -> None:
        """Take the limits in force."""
        self._settings = settings

    def set_default_fraction(self, fraction: float) -> None:
        """Set the fraction of a customer for whom no share is known yet."""
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
        """Return whether a customer has a limit that is split over routers."""
        limits = self.limits_of(customer_id)
        return (
            limits.requests_per_second is not None
            or limits.cost_units_per_second is not None
            or limits.concurrent_requests is not None
        )

    def admit(self, customer_id: str, now_seconds: float) -> None:
        """Take a request against the limit on requests per second.

        Raises:
            NotRunError: The limit is reached; it says when the next fits.
        """
        if not self.has_split_limit(customer_id):
            return
        buckets = self._fill(customer_id, now_seconds)
        decay = 0.5 ** (
            (now_seconds - buckets.demand_at_seconds) / _DEMAND_HALF_LIFE_SECONDS
        )
        buckets.demand = buckets.demand * decay + 1.0
        buckets.demand_at_seconds = now_seconds
        rate = self.limits_of(customer_id).requests_per_second
        if rate is None:
            return
        if buckets.requests_left < 1.0:
            share = max(rate * self.fraction(customer_id), 1e-3)
            raise NotRunError(
                "rate-limit",
                f"The customer is limited to {rate:g} requests a second.",
                _TOO_MANY_REQUESTS_STATUS,
                (1.0 - buckets.requests_left) / share,
            )
        buckets.requests_left -= 1.0

    def may_start(self, customer_id: str, now_seconds: float) -> bool:
        """Return whether cost rate and concurrency allow one more to start."""
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
        return self._fill(customer_id, now_seconds).cost_units_left > 0.0

    def record_start(
        self, customer_id: str, cost_units: float, now_seconds: float
    ) -> None:
        """Count a request that starts at its estimated cost."""
        self._running[customer_id] = self._running.get(customer_id, 0) + 1
        self.record_cost(customer_id, cost_units, now_seconds)

    def record_cost(
        self, customer_id: str, cost_units: float, now_seconds: float
    ) -> None:
        """Count cost beyond the estimate, or give back below it."""
        if self.limits_of(customer_id).cost_units_per_second is not None:
            self._fill(customer_id, now_seconds).cost_units_left -= cost_units

    def record_end(self, customer_id: str) -> None:
        """Count a request that ended."""
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

        A backlog that arrived long ago is still demand. Were only arrivals counted,
        the split would become even again, and a customer that waits at one router
        would run there a fraction of what its limit allows.

        Args:
            now_seconds: The present time.
            waiting_requests: How many of a customer's requests wait here.
        """
        rates = {}
        for customer, buckets in self._buckets.items():
            decay = 0.5 ** (
                (now_seconds - buckets.demand_at_seconds) / _DEMAND_HALF_LIFE_SECONDS
            )
            standing = waiting_requests(customer) + self._running.get(customer, 0)
            wanted = max(buckets.demand * decay, standing)
            rates[customer] = wanted / (_DEMAND_HALF_LIFE_SECONDS * 1.44)
        return rates

    def _fill(self, customer_id: str, now_seconds: float) -> _CustomerBuckets:
        """Return a customer's buckets, filled up to now."""
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
    """Return a router's whole share of a concurrency limit.

    Rounded up, because rounded down a limit smaller than the routers would shut
    the customer out; the fleet may thus exceed it by one for each router that
    the customer enters through.
    """
    return ceil(concurrent_requests * fraction - 1e-9)


def split_fractions(
    wanted: dict[str, float], floor_fraction: float = 0.05
) -> dict[str, float]:
    """Split one whole by demand, with a floor for those who want nothing.

    Args:
        wanted: Demand by holder.
        floor_fraction: The part that is dealt out evenly, so that a first
            request through another router is not refused.

    Returns:
        Fractions by holder that add up to one.
    """
    if not wanted:
        return {}
    total = sum(wanted.values())
    even = 1.0 / len(wanted)
    if total <= 0.0:
        return dict.fromkeys(wanted, even)
    return {
        holder: floor_fraction * even + (1.0 - floor_fraction) * (demand / total)
        for holder, demand in wanted.items()
    }
