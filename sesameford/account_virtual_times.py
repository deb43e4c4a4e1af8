"""What a router knows of its customers' virtual times, between the allocator's news."""

from dataclasses import dataclass

from sesameford.accounts import Account
from sesameford.allocator_state import PATIENCE_SECONDS
from sesameford.slot_messages import PoolUpdate


@dataclass(slots=True)
class _ReportedVirtualTime:
    """A customer's virtual time as told, and what of this router is in it."""

    virtual_time: float
    counted_cost_units: float


class AccountVirtualTimes:
    """Virtual times by account; what this router served since is added on reading."""

    def __init__(self) -> None:
        self._reported: dict[Account, _ReportedVirtualTime] = {}
        self._last_waiting_at_seconds: dict[Account, float] = {}
        self._updates: dict[str, PoolUpdate] = {}

    def accounts(self) -> list[Account]:
        """Return the accounts of which something is known."""
        return list(self._reported)

    def apply_update(self, news: PoolUpdate) -> None:
        """Take the allocator's news of a pool."""
        self._updates[news.pool] = news
        for row in news.virtual_times:
            known = _ReportedVirtualTime(row.virtual_time, row.counted_cost_units)
            self._reported[(news.pool, row.customer_id)] = known

    def is_contended(self, pool: str) -> bool:
        """Return whether work waits for a pool's slots somewhere."""
        news = self._updates.get(pool)
        return news is not None and news.contended

    def virtual_time(self, account: Account, served: float, share: float) -> float:
        """Return an account's virtual time.

        Args:
            account: The pool and customer.
            served: Cost units through this router since its term began.
            share: The customer's weight.
        """
        known = self._reported.get(account)
        if known is None:
            start = self._floor(account[0]) or 0.0
            self._reported[account] = _ReportedVirtualTime(start, served)
            return start
        return known.virtual_time + (served - known.counted_cost_units) / share

    def mark_waiting(self, account: Account, now_seconds: float) -> None:
        """Note that an account has waiting work."""
        self._last_waiting_at_seconds[account] = now_seconds

    def raise_to_floor(
        self, account: Account, served: float, share: float, now_seconds: float
    ) -> None:
        """Lift a customer back from idle before the allocator's word arrives.

        Its last known virtual time is from before it went idle, and a burst would
        run on that credit until the next news.
        """
        waited_at = self._last_waiting_at_seconds.get(account, float("-inf"))
        self.mark_waiting(account, now_seconds)
        floor = self._floor(account[0])
        if floor is None or now_seconds - waited_at <= PATIENCE_SECONDS:
            return
        behind = floor - self.virtual_time(account, served, share)
        if behind > 0.0:
            self._reported[account].virtual_time += behind

    def start_term(self, account: Account, told: float, share: float) -> None:
        """Count from the start of a new term, in which nothing is told yet."""
        known = self._reported.get(account)
        if known is not None:
            known.virtual_time += (told - known.counted_cost_units) / share
            known.counted_cost_units = 0.0

    def _floor(self, pool: str) -> float | None:
        """Return the smallest virtual time that waits in a pool under contention."""
        if not self.is_contended(pool):
            return None
        return self._updates[pool].floor_virtual_time
