"""A router's view of its customers' virtual times between the allocator's updates."""

from dataclasses import dataclass

from sesameford.accounts import Account
from sesameford.allocator_state import PATIENCE_SECONDS
from sesameford.slot_messages import PoolUpdate


@dataclass(slots=True)
class _ReportedVirtualTime:
    """A customer's virtual time as reported by the allocator.

    ``counted_cost_units`` is this router's service that it includes.
    """

    virtual_time: float
    counted_cost_units: float


class AccountVirtualTimes:
    """Virtual times by account; reading one adds this router's service since."""

    def __init__(self) -> None:
        self._reported: dict[Account, _ReportedVirtualTime] = {}
        self._last_waiting_at_seconds: dict[Account, float] = {}
        self._updates: dict[str, PoolUpdate] = {}

    def accounts(self) -> list[Account]:
        """Return the accounts that have a virtual time."""
        return list(self._reported)

    def apply_update(self, update: PoolUpdate) -> None:
        """Apply the allocator's update of a pool."""
        self._updates[update.pool] = update
        for row in update.virtual_times:
            reported = _ReportedVirtualTime(row.virtual_time, row.counted_cost_units)
            self._reported[(update.pool, row.customer_id)] = reported

    def is_contended(self, pool: str) -> bool:
        """Return whether work waits for a pool's slots at any router."""
        update = self._updates.get(pool)
        return update is not None and update.contended

    def virtual_time(self, account: Account, served: float, share: float) -> float:
        """Return an account's virtual time.

        Args:
            account: The pool and customer.
            served: Cost units served by this router since its term started.
            share: The customer's weight.
        """
        reported = self._reported.get(account)
        if reported is None:
            start = self._floor(account[0]) or 0.0
            self._reported[account] = _ReportedVirtualTime(start, served)
            return start
        return reported.virtual_time + (served - reported.counted_cost_units) / share

    def mark_waiting(self, account: Account, now_seconds: float) -> None:
        """Record that an account has waiting work."""
        self._last_waiting_at_seconds[account] = now_seconds

    def raise_to_floor(
        self, account: Account, served: float, share: float, now_seconds: float
    ) -> None:
        """Raise the virtual time of a customer that was idle to the pool's floor.

        Its last reported virtual time dates from before it went idle. Until the
        allocator's next update a burst would run on that credit.
        """
        waited_at = self._last_waiting_at_seconds.get(account, float("-inf"))
        self.mark_waiting(account, now_seconds)
        floor = self._floor(account[0])
        if floor is None or now_seconds - waited_at <= PATIENCE_SECONDS:
            return
        behind = floor - self.virtual_time(account, served, share)
        if behind > 0.0:
            self._reported[account].virtual_time += behind

    def start_term(self, account: Account, served: float, share: float) -> None:
        """Restart the count of this router's service for a new term.

        Args:
            account: The pool and customer.
            served: Cost units that this router reported in the previous term.
            share: The customer's weight.
        """
        reported = self._reported.get(account)
        if reported is not None:
            reported.virtual_time += (served - reported.counted_cost_units) / share
            reported.counted_cost_units = 0.0

    def _floor(self, pool: str) -> float | None:
        """Return the smallest waiting virtual time of a contended pool, or None."""
        if not self.is_contended(pool):
            return None
        return self._updates[pool].floor_virtual_time
