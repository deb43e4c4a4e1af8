"""Answers of an allocator to its holders: renewals, grants, pool updates, limits."""

from collections.abc import Collection, Mapping

from sesameford.allocator_state import AllocatorState, PoolState
from sesameford.limits import split_fractions
from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    JOINED_HEARTBEAT_FRACTION,
    GrantLink,
)
from sesameford.messages import Outgoing
from sesameford.slot_messages import (
    LimitShareRow,
    PoolUpdate,
    SlotGrants,
    VirtualTimeRow,
)

_VIRTUAL_TIME_THRESHOLD_QUANTA = 0.25
_MAX_VIRTUAL_TIME_ROWS = 64
_LIMIT_SHARE_CHANGE_FRACTION = 0.1


def collect_grant_answers(
    state: AllocatorState, joined: Collection[str], now_seconds: float
) -> list[Outgoing]:
    """Return the answers that are due.

    Args:
        state: The allocator's tables.
        joined: Receivers that are sent a message now anyway; see
            ``collect_remote_reports``.
        now_seconds: The present time.

    Returns:
        Messages.
    """
    messages = []
    fractions: Mapping[str, Mapping[str, float]] | None = None
    for holder_id in sorted(state.links):
        link = state.links[holder_id]
        since = now_seconds - link.sent_at_seconds
        urgent = link.urgent or link.full_due or link.requests_full
        heartbeat = HEARTBEAT_SECONDS
        if holder_id in joined:
            heartbeat *= JOINED_HEARTBEAT_FRACTION
        is_own_router = holder_id == state.instance_id
        coalesce = 0.0 if is_own_router else COALESCE_SECONDS
        if since < (coalesce if urgent else heartbeat):
            continue
        if fractions is None:
            fractions = _limit_fractions(state)
        pools = _pool_updates(state, link, now_seconds)
        limits = _limit_rows(link, fractions)
        full = link.full_due
        sequence, grants, recalls = link.prepare_message(now_seconds)
        link.full_due = False
        message = SlotGrants(
            link.term,
            sequence,
            link.acknowledged_report,
            full,
            link.requests_full,
            grants,
            recalls,
            pools,
            limits,
        )
        messages.append(Outgoing(holder_id, message, urgent=True))
    return messages


def _pool_updates(
    state: AllocatorState, link: GrantLink, now_seconds: float
) -> tuple[PoolUpdate, ...]:
    """Return the changed state of the pools for a holder."""
    updates = []
    for pool, pool_state in sorted(state.pools.items()):
        contended = now_seconds < pool_state.contended_until_seconds
        virtual_times = (
            ()
            if link.is_remote_allocator
            else _virtual_time_rows(state, link, pool, pool_state)
        )
        if (
            not contended
            and not virtual_times
            and not link.reported_contended.get(pool)
        ):
            continue
        link.reported_contended[pool] = contended
        floor = pool_state.floor_virtual_time
        floor = None if floor is None else round(floor, 1)
        updates.append(PoolUpdate(pool, contended, floor, virtual_times))
    return tuple(updates)


def _virtual_time_rows(
    state: AllocatorState, link: GrantLink, pool: str, pool_state: PoolState
) -> tuple[VirtualTimeRow, ...]:
    """Return the changed virtual times of a router's waiting customers."""
    threshold = _VIRTUAL_TIME_THRESHOLD_QUANTA * state.quantum()
    rows = []
    customers = sorted({key[1] for key in link.demands if key[0] == pool})
    for customer in customers:
        account = (pool, customer)
        row = VirtualTimeRow(
            customer,
            round(pool_state.times.virtual_time(customer), 1),
            round(state.origins.total(link.holder_id, account), 1),
        )
        share = state.share(customer)
        if link.record_virtual_time_change(account, row, share, threshold):
            rows.append(row)
        if len(rows) >= _MAX_VIRTUAL_TIME_ROWS:
            break
    return tuple(rows)


def _limit_fractions(state: AllocatorState) -> dict[str, dict[str, float]]:
    """Return the fraction of a customer's limits for each local router, by customer.

    The split still counts the last demand of a data centre that is cut off, so both
    sides continue with their previous fractions.
    """
    by_customer: dict[str, dict[str, float]] = {}
    routers = list(state.routers())
    customers = {customer for link in routers for customer in link.limit_demands}
    data_centres = {*state.remote_limit_demands, *state.remote_allocators}
    for customer in customers:
        local = {
            link.holder_id: link.limit_demands.get(customer, 0.0) for link in routers
        }
        limit_demands = {
            name: state.remote_limit_demands.get(name, {}).get(customer, 0.0)
            for name in data_centres
        }
        limit_demands[state.data_centre] = sum(local.values())
        own = split_fractions(limit_demands)[state.data_centre]
        by_customer[customer] = {
            holder: own * fraction
            for holder, fraction in split_fractions(local).items()
        }
    return by_customer


def _limit_rows(
    link: GrantLink, fractions: Mapping[str, Mapping[str, float]]
) -> tuple[LimitShareRow, ...]:
    """Return the fractions of limits that changed enough for a router."""
    rows = []
    for customer, by_holder in sorted(fractions.items()):
        fraction = by_holder.get(link.holder_id)
        if fraction is None:
            continue
        reported = link.reported_fractions.get(customer)
        change = _LIMIT_SHARE_CHANGE_FRACTION * max(fraction, reported or 0.0)
        is_unchanged = reported is not None and abs(fraction - reported) <= change
        if is_unchanged and not link.full_due:
            continue
        link.reported_fractions[customer] = fraction
        rows.append(LimitShareRow(customer, round(fraction, 4)))
    return tuple(rows)
