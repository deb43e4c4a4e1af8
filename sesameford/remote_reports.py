"""Reports of an allocator to those of the other data centres."""

from collections.abc import Collection

from sesameford.allocator_state import AllocatorState, RemoteAllocator
from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    JOINED_FRACTION,
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
_DEMANDS_REPORTED = 32
_WANTED_CHANGE_REPORTED = 0.25
_COMPARE_SECONDS = 2.5
_EXACT_REQUESTS = 2
_COMPARE_APART_SECONDS = 1.0
_APART_SECONDS = 8.0


def place_reports(
    state: AllocatorState, joined: Collection[str], now_seconds: float
) -> list[Outgoing]:
    """Return the reports that are due.

    Args:
        state: The allocator's tables.
        joined: Receivers that get a message now anyway: a report that is due soon
            joins it, because most of a small message's bytes are its headers.
        now_seconds: The present time.

    Returns:
        Messages.
    """
    messages = []
    demands: dict[DemandKey, Demand] | None = None
    for name in sorted(state.places):
        place = state.places[name]
        if now_seconds - place.link.sent_at_seconds < COALESCE_SECONDS:
            continue
        if demands is None:
            demands = _demands(state)
        heartbeat = HEARTBEAT_SECONDS
        if place.link.receiver_id in joined:
            heartbeat *= JOINED_FRACTION
        report = _report(state, name, place, demands, heartbeat, now_seconds)
        if report is not None:
            messages.append(Outgoing(place.link.receiver_id, report, urgent=True))
    return messages


def _report(
    state: AllocatorState,
    name: str,
    place: RemoteAllocator,
    demands: dict[DemandKey, Demand],
    heartbeat_seconds: float,
    now_seconds: float,
) -> ShareReport | None:
    """Return the report to one data centre, or None while none is due."""
    link = place.link
    since = now_seconds - link.sent_at_seconds
    kept = {
        target_id: slots
        for target_id, slots in state.held().items()
        if state.owner_of.get(target_id) == name
    }
    # Whoever took the other side of a cut for lost lent out its targets. Those are the
    # other side's own again, and a slot that each counts as the other's serves nobody.
    link.give_back(
        target_id
        for target_id, slots in link.holdings.items()
        if slots and state.owner_of.get(target_id) != name
    )
    due = (
        since >= heartbeat_seconds
        or link.full_due
        or link.is_lease_near_expiry(now_seconds)
        or link.has_slots_to_return(kept)
        or _could_help(place, demands)
    )
    if not due:
        return None
    full = link.full_due
    threshold = SERVED_THRESHOLD_QUANTA * state.quantum()
    if _compares(place, now_seconds):
        # What is compared must hold all service that either side knows of, or each
        # comparison would take back half of what is still to be reported.
        threshold = 0.0
    pools = pool_reports(
        link.served_rows(state.totals.totals_by_account(), threshold),
        link.demand_rows(demands, _EXACT_REQUESTS, now_seconds),
    )
    rows = _with_pool_rows(state, place, pools, full, now_seconds)
    holdings = tuple(link.holding_rows(kept))
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
        _remote_limit_demand_rows(state, place, full),
    )


def _could_help(place: RemoteAllocator, demands: dict[DemandKey, Demand]) -> bool:
    """Return whether new work waits here while the other place may have slots idle.

    Where work waits there too, nothing idles and the next report is soon enough.
    """
    for key in demands:
        if key not in place.link.reported_demands:
            news = place.news.get(key[0])
            if news is None or not news.contended:
                return True
    return False


def _demands(state: AllocatorState) -> dict[DemandKey, Demand]:
    """Return the waiting work of this data centre that comes first."""
    merged: dict[DemandKey, Demand] = {}
    for link in state.routers():
        for key, demand in link.demands.items():
            known = merged.get(key)
            if known is None:
                merged[key] = demand
                continue
            merged[key] = Demand(
                known.requests + demand.requests,
                known.cost_units + demand.cost_units,
                min(known.since_seconds, demand.since_seconds),
            )
    if len(merged) <= _DEMANDS_REPORTED:
        return merged
    order = sorted(
        merged, key=lambda key: state.pool(key[0]).times.virtual_time(key[1])
    )
    return {key: merged[key] for key in order[:_DEMANDS_REPORTED]}


def _with_pool_rows(
    state: AllocatorState,
    place: RemoteAllocator,
    pools: dict[str, PoolReport],
    full: bool,
    now_seconds: float,
) -> tuple[PoolReport, ...]:
    """Add the slots at hand and, when due, virtual times."""
    compares = _compares(place, now_seconds)
    if full or compares:
        place.reported_times_at_seconds = now_seconds
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
                    state.origins.total(place.link.receiver_id, (pool, customer)),
                )
                for customer in customers
            )
        known = pools.get(pool)
        slots = _slots_at_hand(state, pool, now_seconds)
        if known or virtual_times or slots != place.reported_slots.get(pool):
            place.reported_slots[pool] = slots
            known = known or PoolReport(pool)
            pools[pool] = PoolReport(
                pool, known.served, known.demands, slots, virtual_times
            )
    return tuple(pools[pool] for pool in sorted(pools))


def _compares(place: RemoteAllocator, now_seconds: float) -> bool:
    """Return whether virtual times are due.

    After a cut the two sides' virtual times are far apart, and slots go to and fro
    between them until they agree who is behind.
    """
    apart = now_seconds - place.link.regained_at_seconds < _APART_SECONDS
    interval = _COMPARE_APART_SECONDS if apart else _COMPARE_SECONDS
    return now_seconds - place.reported_times_at_seconds >= interval


def _waiting_customers(state: AllocatorState, pool: str) -> list[str]:
    """Return some of the customers that wait for a pool here."""
    customers = {
        key[1] for link in state.routers() for key in link.demands if key[0] == pool
    }
    return sorted(customers)[:_DEMANDS_REPORTED]


def _slots_at_hand(state: AllocatorState, pool: str, now_seconds: float) -> int:
    """Return how many slots of a pool serve this data centre's work.

    Slots on their way between routers count: they will serve here. Left out,
    every allocator would see the others poorer than they are and lend in turns.
    """
    slots = sum(
        state.capacity(target_id, now_seconds)
        for target_id in state.targets
        if state.pool_of_target(target_id) == pool
    )
    lent = sum(
        link.allowed(target_id)
        for link in state.links.values()
        for target_id in link.holdings
        if link.is_place and state.pool_of_target(target_id) == pool
    )
    return max(slots - lent, 0)


def _remote_limit_demand_rows(
    state: AllocatorState, place: RemoteAllocator, full: bool
) -> tuple[LimitDemandRow, ...]:
    """Return the limited customers' demand here that changed much."""
    total: dict[str, float] = {}
    for link in state.routers():
        for customer, rate in link.wanted.items():
            total[customer] = total.get(customer, 0.0) + rate
    return limit_demand_rows(total, place.reported_wanted, full)


def limit_demand_rows(
    rates: dict[str, float], reported: dict[str, float], full: bool
) -> tuple[LimitDemandRow, ...]:
    """Return the demands that changed much, and note them as reported.

    Args:
        rates: Requests per second by customer.
        reported: What the receiver knows.
        full: Whether it is to be sent all.

    Returns:
        Rows for a report.
    """
    rows = []
    for customer, rate in sorted(rates.items()):
        known = reported.get(customer)
        change = _WANTED_CHANGE_REPORTED * max(rate, known or 0.0)
        if full or known is None or abs(rate - known) > change:
            reported[customer] = rate
            rows.append(LimitDemandRow(customer, round(rate, 2)))
    return tuple(rows)
