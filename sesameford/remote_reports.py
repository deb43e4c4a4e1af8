"""Reports of an allocator to the allocators of the other data centres."""

from collections.abc import Collection

from sesameford.allocator_state import AllocatorState, RemoteAllocator
from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    JOINED_HEARTBEAT_FRACTION,
    Demand,
    DemandKey,
    pool_reports,
)
from sesameford.messages import Outgoing
from sesameford.slot_messages import (
    LimitDemandRow,
    PoolReport,
    ShareReport,
    VirtualTimeRow,
)

SERVED_THRESHOLD_QUANTA = 1.0
_MAX_DEMAND_ROWS = 32
_LIMIT_DEMAND_CHANGE_FRACTION = 0.25
_COMPARISON_INTERVAL_SECONDS = 2.5
_EXACT_REQUESTS = 2
_COMPARISON_INTERVAL_AFTER_CUT_SECONDS = 1.0
_AFTER_CUT_SECONDS = 8.0


def collect_remote_reports(
    state: AllocatorState, joined: Collection[str], now_seconds: float
) -> list[Outgoing]:
    """Return the reports that are due.

    Args:
        state: The allocator's tables.
        joined: Receivers that are sent a message now anyway. A report that is due
            soon is sent with it, because most bytes of a small message are headers.
        now_seconds: The present time.

    Returns:
        Messages.
    """
    messages = []
    demands: dict[DemandKey, Demand] | None = None
    for name in sorted(state.remote_allocators):
        remote = state.remote_allocators[name]
        if now_seconds - remote.link.sent_at_seconds < COALESCE_SECONDS:
            continue
        if demands is None:
            demands = _merge_demands(state)
        heartbeat = HEARTBEAT_SECONDS
        if remote.link.receiver_id in joined:
            heartbeat *= JOINED_HEARTBEAT_FRACTION
        report = _make_report(state, name, remote, demands, heartbeat, now_seconds)
        if report is not None:
            messages.append(Outgoing(remote.link.receiver_id, report, urgent=True))
    return messages


def _make_report(
    state: AllocatorState,
    name: str,
    remote: RemoteAllocator,
    demands: dict[DemandKey, Demand],
    heartbeat_seconds: float,
    now_seconds: float,
) -> ShareReport | None:
    """Return the report to one data centre, or None while none is due."""
    link = remote.link
    since = now_seconds - link.sent_at_seconds
    held_slots = {
        target_id: slots
        for target_id, slots in state.granted_slots().items()
        if state.owner_of.get(target_id) == name
    }
    # During a network cut, one side may have lent out targets of the other. After the
    # cut the other side owns them again. A slot that each side counts as held by the
    # other would stay unused.
    link.return_slots(
        target_id
        for target_id, slots in link.holdings.items()
        if slots and state.owner_of.get(target_id) != name
    )
    due = (
        since >= heartbeat_seconds
        or link.full_due
        or link.is_lease_near_expiry(now_seconds)
        or link.has_slots_to_return(held_slots)
        or _may_need_remote_slots(remote, demands)
    )
    if not due:
        return None
    full = link.full_due
    threshold = SERVED_THRESHOLD_QUANTA * state.quantum()
    if _is_comparison_due(remote, now_seconds):
        # The compared virtual times must contain all service that either side has
        # counted. Otherwise each comparison would cancel half of the service that is
        # not yet reported.
        threshold = 0.0
    pools = pool_reports(
        link.served_rows(state.totals.totals_by_account(), threshold),
        link.demand_rows(demands, _EXACT_REQUESTS, now_seconds),
    )
    rows = _add_pool_rows(state, remote, pools, full, now_seconds)
    holdings = tuple(link.holding_rows(held_slots))
    link.full_due = False
    return ShareReport(
        link.term,
        link.record_sent_report(now_seconds),
        link.acknowledged_grants,
        state.data_centre,
        full,
        link.requests_full,
        rows,
        holdings,
        _remote_limit_demand_rows(state, remote, full),
    )


def _may_need_remote_slots(
    remote: RemoteAllocator, demands: dict[DemandKey, Demand]
) -> bool:
    """Return whether new work waits here while the other data centre may be idle.

    If work waits there too, no slot is idle and the next regular report suffices.
    """
    for key in demands:
        if key not in remote.link.reported_demands:
            update = remote.pool_updates.get(key[0])
            if update is None or not update.contended:
                return True
    return False


def _merge_demands(state: AllocatorState) -> dict[DemandKey, Demand]:
    """Return this data centre's waiting work with the lowest virtual times."""
    merged: dict[DemandKey, Demand] = {}
    for link in state.routers():
        for key, demand in link.demands.items():
            entry = merged.get(key)
            if entry is None:
                merged[key] = demand
                continue
            merged[key] = Demand(
                entry.requests + demand.requests,
                entry.cost_units + demand.cost_units,
                min(entry.since_seconds, demand.since_seconds),
            )
    if len(merged) <= _MAX_DEMAND_ROWS:
        return merged
    order = sorted(
        merged, key=lambda key: state.pool(key[0]).times.virtual_time(key[1])
    )
    return {key: merged[key] for key in order[:_MAX_DEMAND_ROWS]}


def _add_pool_rows(
    state: AllocatorState,
    remote: RemoteAllocator,
    pools: dict[str, PoolReport],
    full: bool,
    now_seconds: float,
) -> tuple[PoolReport, ...]:
    """Add the number of local slots and, if due, virtual times."""
    compares = _is_comparison_due(remote, now_seconds)
    if full or compares:
        remote.reported_times_at_seconds = now_seconds
    for pool, pool_state in state.pools.items():
        virtual_times: tuple[VirtualTimeRow, ...] = ()
        if full or compares:
            customers = pool_state.times.customers()
            if not full:
                customers = _waiting_customers(state, pool)
            virtual_times = tuple(
                VirtualTimeRow(
                    customer,
                    round(pool_state.times.virtual_time(customer), 1),
                    state.origins.total(remote.link.receiver_id, (pool, customer)),
                )
                for customer in customers
            )
        entry = pools.get(pool)
        slots = _local_slots(state, pool, now_seconds)
        if entry or virtual_times or slots != remote.reported_slots.get(pool):
            remote.reported_slots[pool] = slots
            entry = entry or PoolReport(pool)
            pools[pool] = PoolReport(
                pool, entry.served, entry.demands, slots, virtual_times
            )
    return tuple(pools[pool] for pool in sorted(pools))


def _is_comparison_due(remote: RemoteAllocator, now_seconds: float) -> bool:
    """Return whether virtual times are due.

    After a network cut the virtual times of the two sides differ widely, and slots
    move back and forth until both agree which customer is behind. Comparisons are
    therefore more frequent for some seconds.
    """
    apart = now_seconds - remote.link.lease_regained_at_seconds < _AFTER_CUT_SECONDS
    interval = (
        _COMPARISON_INTERVAL_AFTER_CUT_SECONDS
        if apart
        else _COMPARISON_INTERVAL_SECONDS
    )
    return now_seconds - remote.reported_times_at_seconds >= interval


def _waiting_customers(state: AllocatorState, pool: str) -> list[str]:
    """Return up to ``_MAX_DEMAND_ROWS`` customers with work for a pool here."""
    customers = {
        key[1] for link in state.routers() for key in link.demands if key[0] == pool
    }
    return sorted(customers)[:_MAX_DEMAND_ROWS]


def _local_slots(state: AllocatorState, pool: str, now_seconds: float) -> int:
    """Return how many slots of a pool serve this data centre's work.

    Slots in transit between routers count, because they will serve here. Without
    them every allocator would underestimate the others and all would lend in turns.
    """
    slots = sum(
        state.capacity(target_id, now_seconds)
        for target_id in state.targets
        if state.pool_of_target(target_id) == pool
    )
    lent = sum(
        link.slots_after_recalls(target_id)
        for link in state.links.values()
        for target_id in link.holdings
        if link.is_remote_allocator and state.pool_of_target(target_id) == pool
    )
    return max(slots - lent, 0)


def _remote_limit_demand_rows(
    state: AllocatorState, remote: RemoteAllocator, full: bool
) -> tuple[LimitDemandRow, ...]:
    """Return the changed demand of customers with limits in this data centre."""
    total: dict[str, float] = {}
    for link in state.routers():
        for customer, rate in link.limit_demands.items():
            total[customer] = total.get(customer, 0.0) + rate
    return limit_demand_rows(total, remote.reported_limit_demands, full)


def limit_demand_rows(
    rates: dict[str, float], reported: dict[str, float], full: bool
) -> tuple[LimitDemandRow, ...]:
    """Return the demands that changed by a quarter, and record them as reported.

    Args:
        rates: Requests per second by customer.
        reported: Rates last reported to the receiver, by customer; updated.
        full: Whether to return all demands.

    Returns:
        Rows for a report.
    """
    rows = []
    for customer, rate in sorted(rates.items()):
        previous = reported.get(customer)
        change = _LIMIT_DEMAND_CHANGE_FRACTION * max(rate, previous or 0.0)
        if full or previous is None or abs(rate - previous) > change:
            reported[customer] = rate
            rows.append(LimitDemandRow(customer, round(rate, 2)))
    return tuple(rows)
