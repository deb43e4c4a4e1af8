"""Virtual times: a customer's service over its weight, comparable fleet-wide.

Each allocator adds up the same increments and lifts and clamps by the same rule, so
virtual times agree but for what is under way. Now and then allocators compare them
and meet half-way, so that what a lost or late report changed does not stay.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class CustomerVirtualTime:
    """One customer's place in a pool."""

    virtual_time: float = 0.0
    backlogged_at_seconds: float = float("-inf")


class VirtualTimes:
    """The virtual times of one pool's customers.

    Args:
        patience_seconds: A customer whose oldest request waits for less than this
            is served as it comes, and neither gathers credit nor owes.
        debt_limit: The furthest that a backlogged customer may be from the mean of
            all that wait, in virtual time.
    """

    def __init__(self, patience_seconds: float, debt_limit: float) -> None:
        self._patience_seconds = patience_seconds
        self.debt_limit = debt_limit
        self._customers: dict[str, CustomerVirtualTime] = {}

    def __len__(self) -> int:
        return len(self._customers)

    def customers(self) -> Iterable[str]:
        """Return the customers that have a entry."""
        return self._customers.keys()

    def customer(self, customer_id: str) -> CustomerVirtualTime:
        """Return a customer's entry, made when it is new."""
        entry = self._customers.get(customer_id)
        if entry is None:
            entry = self._customers[customer_id] = CustomerVirtualTime()
        return entry

    def virtual_time(self, customer_id: str) -> float:
        """Return a customer's virtual time."""
        return self.customer(customer_id).virtual_time

    def charge(self, customer_id: str, cost_units: float, share: float) -> None:
        """Count service.

        Increments are divided by the share in force when they are counted, so a
        change of shares bends a virtual time but never makes it jump.
        """
        self.customer(customer_id).virtual_time += cost_units / share

    def merge_snapshot(self, customer_id: str, virtual_time: float) -> None:
        """Take a virtual time from an instance that has counted for longer."""
        entry = self.customer(customer_id)
        entry.virtual_time = max(entry.virtual_time, virtual_time)

    def converge_towards(self, others: Mapping[str, float]) -> None:
        """Come half-way towards another allocator's virtual times.

        Only differences between customers matter, so what all have in common is
        left out.

        Args:
            others: Virtual times of customers that wait, by customer.
        """
        apart = {
            customer: virtual_time - self._customers[customer].virtual_time
            for customer, virtual_time in others.items()
            if customer in self._customers
        }
        if len(apart) < 2:
            return
        common = sum(apart.values()) / len(apart)
        for customer, difference in apart.items():
            self._customers[customer].virtual_time += (difference - common) / 2.0

    def mark_backlogged(
        self, waiting_since: Mapping[str, float], now_seconds: float
    ) -> float | None:
        """Note who is backlogged now; lift credit and clamp debt.

        The floor is the smallest virtual time of those that have waited for a
        while. Without the lift to it a customer would save up credit while idle,
        or while its requests start at once, and then push all others aside.
        Without the clamp a customer that was served alone, or on one side of a
        partition, would wait until all others have caught up.

        Args:
            waiting_since: Since when the oldest request of each customer waits.
            now_seconds: The present time.

        Returns:
            The floor; None where nobody has waited for long.
        """
        if not waiting_since:
            return None
        patient = now_seconds - self._patience_seconds
        steady: list[CustomerVirtualTime] = []
        brief: list[CustomerVirtualTime] = []
        for customer, since in waiting_since.items():
            entry = self.customer(customer)
            entry.backlogged_at_seconds = now_seconds
            (brief if since > patient else steady).append(entry)
        if not steady:
            # Nobody had to wait for others, so nobody owes anybody: all start
            # level with the furthest.
            start = self._largest()
            for entry in brief:
                entry.virtual_time = start
            return None
        times = [entry.virtual_time for entry in steady]
        floor = min(times)
        # Around the mean: one that lags would else pull all others down to it, and
        # what they owe each other would be forgotten.
        middle = sum(times) / len(times)
        for entry in steady:
            self._clamp(entry, middle - self.debt_limit, middle + self.debt_limit)
        for entry in brief:
            self._clamp(entry, floor, middle + self.debt_limit)
        return floor

    def _largest(self) -> float:
        """Return the largest virtual time."""
        return max(entry.virtual_time for entry in self._customers.values())

    def _clamp(self, entry: CustomerVirtualTime, low: float, high: float) -> None:
        """Adjust a virtual time into a range."""
        entry.virtual_time = min(max(entry.virtual_time, low), high)
