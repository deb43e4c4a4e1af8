"""A router's reports to its allocator: service, waiting work and returned slots."""

from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    Demand,
    DemandKey,
    ReportLink,
    pool_reports,
)
from sesameford.remote_reports import SERVED_THRESHOLD_QUANTA, limit_demand_rows
from sesameford.router_state import RouterState
from sesameford.slot_messages import ShareReport

_EXACT_REQUESTS = 8


def make_router_report(
    state: RouterState, link: ReportLink, is_own_allocator: bool, now_seconds: float
) -> ShareReport | None:
    """Return the report that is due, or None.

    Args:
        state: The router's tables, after a decision.
        link: The router's end of the link to its allocator.
        is_own_allocator: Whether this instance is the allocator, so that the report
            causes no traffic.
        now_seconds: The present time.
    """
    since_seconds = now_seconds - link.sent_at_seconds
    if since_seconds < COALESCE_SECONDS and not is_own_allocator:
        return None
    _return_idle_slots(state, link, now_seconds)
    demands = _demands(state, now_seconds)
    urgent = (
        link.has_slots_to_return(state.attempts.by_target)
        or _demand_is_urgent(state, link, demands)
        or link.full_due
        or link.is_lease_near_expiry(now_seconds)
        or link.requests_full
    )
    if not urgent and since_seconds < HEARTBEAT_SECONDS:
        return None
    full = link.full_due
    threshold = SERVED_THRESHOLD_QUANTA * state.tree.fleet.quantum_cost_units
    pools = pool_reports(
        link.served_rows(state.totals.totals_by_account(), threshold),
        link.demand_rows(demands, _EXACT_REQUESTS, now_seconds),
    )
    holdings = tuple(link.holding_rows(state.attempts.by_target))
    link.full_due = False
    return ShareReport(
        link.term,
        link.record_sent_report(now_seconds),
        link.acknowledged_grants,
        "",
        full,
        link.requests_full,
        tuple(pools.values()),
        holdings,
        limit_demand_rows(
            state.limits.demand_rates(now_seconds, state.queues.requests_of),
            state.reported_demand_rates,
            full,
        ),
        link.completion_rows(state.completion_totals),
    )


def _demand_is_urgent(
    state: RouterState, link: ReportLink, demands: dict[DemandKey, Demand]
) -> bool:
    """Return whether new waiting work must be reported before the next heartbeat.

    Under contention, a running slot of the pool becomes free here soon, so the
    demand can wait for the next report. Without a running slot the work would never
    start here: the pool stays marked as contended, while a free slot elsewhere
    may be available at once.
    """
    new = [key for key in demands if key not in link.reported_demands]
    if not new:
        return False
    running = {state.pool_of_target(target) for target in state.attempts.by_target}
    return any(
        not (state.virtual_times.is_contended(pool) and pool in running)
        for pool, _, _ in new
    )


def _return_idle_slots(
    state: RouterState, link: ReportLink, now_seconds: float
) -> None:
    """Return idle slots of contended pools to the allocator."""
    for target_id in state.free_slots(link, now_seconds):
        pool = state.pool_of_target(target_id)
        if pool is not None and state.virtual_times.is_contended(pool):
            link.holdings[target_id] = state.attempts.by_target.get(target_id, 0)


def _demands(state: RouterState, now_seconds: float) -> dict[DemandKey, Demand]:
    """Return the waiting work of each queue whose customer's limits allow a start."""
    demands = {}
    for key in state.queues.queue_keys():
        pool = state.pool_of.get(key[1])
        if pool is None or not state.limits.may_start(key[0], now_seconds):
            continue
        head = state.queues.head(key)
        assert head is not None
        demands[(pool, *key)] = Demand(
            state.queues.length(key),
            state.queues.cost_units(key),
            head.request.arrived_at_seconds,
        )
    return demands
