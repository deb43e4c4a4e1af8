"""A router's reports to its allocator: what it served, what waits, what it gives up."""

from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    Demand,
    DemandKey,
    ReportLink,
    pool_reports,
)
from sesameford.place_reports import SERVED_THRESHOLD_QUANTA, wanted_rows
from sesameford.router_state import RouterState
from sesameford.slot_messages import ShareReport

_EXACT_REQUESTS = 8


def router_report(
    state: RouterState, link: ReportLink, inner: bool, now_seconds: float
) -> ShareReport | None:
    """Return the report that is due, or None.

    Args:
        state: The router's tables, after a decision.
        link: The router's end of the link to its allocator.
        inner: Whether the allocator is this instance, so that nothing is sent.
        now_seconds: The present time.
    """
    since = now_seconds - link.sent_at_seconds
    if since < COALESCE_SECONDS and not inner:
        return None
    _return_idle(state, link, now_seconds)
    demands = _demands(state, now_seconds)
    urgent = (
        link.returns_slots(state.attempts.by_target)
        or _demand_is_urgent(state, link, demands)
        or link.full_due
        or link.is_pressed(now_seconds)
        or link.requests_full
    )
    if not urgent and since < HEARTBEAT_SECONDS:
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
        link.begin_report(now_seconds),
        link.acknowledged_grants,
        "",
        full,
        link.requests_full,
        tuple(pools.values()),
        holdings,
        wanted_rows(
            state.limits.demand_rates(now_seconds, state.queues.requests_of),
            state.reported_demand_rates,
            full,
        ),
        link.pace_rows(state.completion_totals),
    )


def _demand_is_urgent(
    state: RouterState, link: ReportLink, demands: dict[DemandKey, Demand]
) -> bool:
    """Return whether new waiting work can't wait for the next report.

    Under contention a slot that runs here will be free soon, and a short wait
    joins the news. With none that runs nothing here would ever start: the word
    of contention outlasts it, and a free slot elsewhere may be had at once.
    """
    new = [key for key in demands if key not in link.reported_demands]
    if not new:
        return False
    running = {state.pool_of_target(one) for one in state.attempts.by_target}
    return any(
        not (state.virtual_times.is_contended(pool) and pool in running)
        for pool, _, _ in new
    )


def _return_idle(state: RouterState, link: ReportLink, now_seconds: float) -> None:
    """Give up the slots that nothing here may use while others wait."""
    for target_id in state.free_slots(link, now_seconds):
        pool = state.pool_of_target(target_id)
        if pool is not None and state.virtual_times.is_contended(pool):
            link.holdings[target_id] = state.attempts.by_target.get(target_id, 0)


def _demands(state: RouterState, now_seconds: float) -> dict[DemandKey, Demand]:
    """Return what waits here and may start."""
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
