"""Virtual times: a customer's service divided by its weight, comparable fleet-wide.

Each allocator adds up the same increments and applies the same rules for credit and
debt, so virtual times agree except for service that is still to be reported.
Allocators compare them periodically and each moves half-way, so that differences
caused by lost or late reports disappear.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class CustomerVirtualTime:
    """One customer's virtual time in a pool, and when it last had waiting work."""

    virtual_time: float = 0.0
    backlogged_at_seconds: float = float("-inf")


class VirtualTimes:
    """The virtual times of one pool's customers.

    Args:
        patience_seconds: A customer whose oldest request has waited for less than
            this is served as its requests come, with neither credit nor debt.
        debt_limit: The largest distance of a customer that has waited for longer
            from the mean of all such customers, in virtual time.
    """

    def __init__(self, patience_seconds: float, debt_limit: float) -> None:
        self._patience_seconds = patience_seconds
        self.debt_limit = debt_limit
        self._customers: dict[str, CustomerVirtualTime] = {}

    def __len__(self) -> int:
        return len(self._customers)

    def customers(self) -> Iterable[str]:
        """Return the customers that have an entry."""
        return self._customers.keys()

    def customer(self, customer_id: str) -> CustomerVirtualTime:
        """Return a customer's entry, creating it where there is none."""
        entry = self._customers.get(customer_id)
        if entry is None:
            entry = self._customers[customer_id] = CustomerVirtualTime()
        return entry

    def virtual_time(self, customer_id: str) -> float:
        """Return a customer's virtual time."""
        return self.customer(customer_id).virtual_time

    def charge(self, customer_id: str, cost_units: float, share: float) -> None:
        """Add the cost of service to a customer's virtual time.

        Increments are divided by the share in force when they are counted, so a
        change of shares changes how fast a virtual time grows, but never makes it
        jump.
        """
        self.customer(customer_id).virtual_time += cost_units / share

    def merge_snapshot(self, customer_id: str, virtual_time: float) -> None:
        """Merge a virtual time of an instance that has counted for longer."""
        entry = self.customer(customer_id)
        entry.virtual_time = max(entry.virtual_time, virtual_time)

    def converge_towards(self, others: Mapping[str, float]) -> None:
        """Move half-way towards another allocator's virtual times.

        Only differences between customers matter, so the mean difference between
        the two allocators is left out.

        Args:
            others: Virtual times of customers that wait, by customer.
        """
        differences = {
            customer: virtual_time - self._customers[customer].virtual_time
            for customer, virtual_time in others.items()
            if customer in self._customers
        }
        if len(differences) < 2:
            return
        mean = sum(differences.values()) / len(differences)
        for customer, difference in differences.items():
            self._customers[customer].virtual_time += (difference - mean) / 2.0

    def mark_backlogged(
        self, waiting_since: Mapping[str, float], now_seconds: float
    ) -> float | None:
        """Record which customers wait; raise those with credit and clamp debt.

        The floor is the smallest virtual time of the customers whose oldest request
        has waited for at least the patience. Without raising the others to it, a
        customer would save up credit while it is idle, or while its requests start
        at once, and then displace all others. Without the clamp, a customer that was
        served alone, or on one side of a partition, would wait until all others have
        caught up.

        Args:
            waiting_since: Arrival time of each customer's oldest waiting request.
            now_seconds: The present time.

        Returns:
            The floor; None where no customer has waited for as long as the patience.
        """
        if not waiting_since:
            return None
        long_waiting_since = now_seconds - self._patience_seconds
        long_waiting: list[CustomerVirtualTime] = []
        brief: list[CustomerVirtualTime] = []
        for customer, since in waiting_since.items():
            entry = self.customer(customer)
            entry.backlogged_at_seconds = now_seconds
            (brief if since > long_waiting_since else long_waiting).append(entry)
        if not long_waiting:
            # No customer had to wait for others, so there is no debt between them:
            # all start at the largest virtual time.
            start = self._largest()
            for entry in brief:
                entry.virtual_time = start
            return None
        times = [entry.virtual_time for entry in long_waiting]
        floor = min(times)
        # The clamp is around the mean. Around the smallest, one customer that lags
        # would pull all others down to it and erase the debts between them.
        mean = sum(times) / len(times)
        for entry in long_waiting:
            self._clamp(entry, mean - self.debt_limit, mean + self.debt_limit)
        for entry in brief:
            self._clamp(entry, floor, mean + self.debt_limit)
        return floor

    def _largest(self) -> float:
        """Return the largest virtual time."""
        return max(entry.virtual_time for entry in self._customers.values())

    def _clamp(self, entry: CustomerVirtualTime, low: float, high: float) -> None:
        """Clamp a virtual time to a range."""
        entry.virtual_time = min(max(entry.virtual_time, low), high)
