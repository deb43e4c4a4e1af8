"""The tables of a data centre's allocator."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from sesameford.accounts import OriginTotals, OwnTotals
from sesameford.effective import EffectiveTree
from sesameford.links import GrantLink, ReportLink
from sesameford.slot_messages import CompletionTotalsRow, PoolUpdate
from sesameford.tables import Target
from sesameford.virtual_time import VirtualTimes
from sesameford.windows import (
    CompletionTotals,
    Window,
    adapt_window,
    make_window,
    regrow_window,
)

# A customer whose requests wait for less than this has neither credit nor debt.
PATIENCE_SECONDS = 0.5
# The largest distance of a waiting customer from the mean of all waiting customers,
# so that debt from a network cut starves no customer.
DEBT_QUANTA = 20.0
CONTENTION_HOLD_SECONDS = 0.5
_RATE_INTERVAL_SECONDS = 1.0
_RATE_SMOOTHING_FACTOR = 0.3


@dataclass(slots=True)
class PoolState:
    """The allocator's state for one pool.

    ``slot_cost_units_per_second`` is the service rate of one slot, measured over
    the data centre's own routers.
    """

    times: VirtualTimes
    slot_cost_units_per_second: float
    contended_until_seconds: float = float("-inf")
    floor_virtual_time: float | None = None
    charged_cost_units: float = 0.0
    rate_measured_at_seconds: float = float("-inf")
    moved_at_seconds: float = float("-inf")


@dataclass(slots=True)
class RemoteAllocator:
    """The link to another data centre's allocator and its last update of each pool."""

    link: ReportLink
    pool_updates: dict[str, PoolUpdate] = field(default_factory=dict)
    reported_limit_demands: dict[str, float] = field(default_factory=dict)
    reported_slots: dict[str, int] = field(default_factory=dict)
    reported_times_at_seconds: float = float("-inf")


@dataclass(slots=True)
class AllocatorState:
    """The tables of an allocator.

    ``links`` has one entry for each holder of slots, ``remote_allocators`` one for
    the allocator of each other data centre.
    """

    instance_id: str
    data_centre: str
    tree: EffectiveTree = field(default_factory=EffectiveTree)
    targets: Mapping[str, Target] = field(default_factory=dict)
    pool_of: Mapping[str, str] = field(default_factory=dict)
    owner_of: Mapping[str, str] = field(default_factory=dict)
    expected: frozenset[str] = frozenset()
    activated_at_seconds: float = float("-inf")
    links: dict[str, GrantLink] = field(default_factory=dict)
    remote_allocators: dict[str, RemoteAllocator] = field(default_factory=dict)
    pools: dict[str, PoolState] = field(default_factory=dict)
    origins: OriginTotals = field(default_factory=OriginTotals)
    totals: OwnTotals = field(default_factory=OwnTotals)
    remote_limit_demands: dict[str, dict[str, float]] = field(default_factory=dict)
    windows: dict[str, tuple[int, Window]] = field(default_factory=dict)
    changed: bool = True
    allocated_at_seconds: float = float("-inf")

    def quantum(self) -> float:
        """Return the tree's quantum in cost units, for a share of one."""
        return self.tree.fleet.quantum_cost_units

    def pool(self, pool: str) -> PoolState:
        """Return a pool's state, created if it is missing."""
        state = self.pools.get(pool)
        if state is None:
            debt_limit = DEBT_QUANTA * self.quantum()
            times = VirtualTimes(PATIENCE_SECONDS, debt_limit)
            state = self.pools[pool] = PoolState(times, self.quantum())
        return state

    def share(self, customer_id: str) -> float:
        """Return a customer's weight."""
        settings = self.tree.customers.get(customer_id)
        return settings.share if settings and settings.share > 0.0 else 1.0

    def routers(self) -> Iterator[GrantLink]:
        """Return the links of the data centre's own routers."""
        return (link for link in self.links.values() if not link.is_remote_allocator)

    def owns(self, target_id: str) -> bool:
        """Return whether this allocator owns a target's slots."""
        return self.owner_of.get(target_id) == self.data_centre

    def pool_of_target(self, target_id: str) -> str | None:
        """Return the pool that a target serves."""
        target = self.targets.get(target_id)
        if target is None or not target.serves:
            return None
        return self.pool_of.get(target.serves[0])

    def granted_slots(self) -> dict[str, int]:
        """Return the number of granted slots by target."""
        granted: dict[str, int] = {}
        for link in self.links.values():
            for target_id, slots in link.holdings.items():
                granted[target_id] = granted.get(target_id, 0) + slots
        return granted

    def capacity(self, target_id: str, now_seconds: float) -> int:
        """Return how many slots of a target this allocator may grant."""
        if self.owns(target_id):
            return self._regrow_window(target_id, now_seconds).slots
        remote = self.remote_allocators.get(self.owner_of.get(target_id, ""))
        if remote is None or not remote.link.has_valid_lease(now_seconds):
            return 0
        return remote.link.holdings.get(target_id, 0)

    def window(self, target_id: str) -> Window:
        """Return the window of an owned target, reset for a new incarnation."""
        target = self.targets[target_id]
        incarnation, window = self.windows.get(target_id, (-1, make_window(0)))
        announced = target.capacity_slots
        if incarnation != target.incarnation or window.announced_slots != announced:
            window = make_window(announced)
            self.windows[target_id] = (target.incarnation, window)
        return window

    def _regrow_window(self, target_id: str, now_seconds: float) -> Window:
        window = regrow_window(self.window(target_id), now_seconds)
        self.windows[target_id] = (self.targets[target_id].incarnation, window)
        return window

    def record_completions(
        self, link: GrantLink, row: CompletionTotalsRow, now_seconds: float
    ) -> None:
        """Adapt a target's window to the completions that a router reports."""
        if not self.owns(row.target_id) or row.target_id not in self.targets:
            return
        total = CompletionTotals(row.completions, row.cost_units, row.busy_seconds)
        previous = link.completion_totals.get(row.target_id, CompletionTotals())
        link.completion_totals[row.target_id] = total
        if total.completions > previous.completions:
            added = total.minus(previous)
            window = adapt_window(self.window(row.target_id), added, now_seconds)
            incarnation = self.targets[row.target_id].incarnation
            self.windows[row.target_id] = (incarnation, window)

    def update_slot_rate(self, pool: str, now_seconds: float) -> None:
        """Update the measured service rate of a pool's slots."""
        state = self.pool(pool)
        elapsed = now_seconds - state.rate_measured_at_seconds
        if elapsed < _RATE_INTERVAL_SECONDS:
            return
        accounts = self.totals.totals_by_account()
        charged = sum(total for key, total in accounts.items() if key[0] == pool)
        slots = sum(
            held
            for link in self.routers()
            for target_id, held in link.holdings.items()
            if self.pool_of_target(target_id) == pool
        )
        served = charged - state.charged_cost_units
        if slots and served > 0.0 and elapsed < 10.0 * _RATE_INTERVAL_SECONDS:
            measured_rate = served / elapsed / slots
            change = measured_rate - state.slot_cost_units_per_second
            state.slot_cost_units_per_second += _RATE_SMOOTHING_FACTOR * change
        state.charged_cost_units = charged
        state.rate_measured_at_seconds = now_seconds
