"""Answers of an allocator to its holders: renewal, grants, standings, limits."""

from collections.abc import Collection, Mapping

from sesameford.allocator_state import AllocatorState, PoolState
from sesameford.limits import split_fractions
from sesameford.links import (
    COALESCE_SECONDS,
    HEARTBEAT_SECONDS,
    JOINED_FRACTION,
    GrantLink,
)
from sesameford.messages import Outgoing
from sesameford.slot_messages import (
    LimitShareRow,
    PoolUpdate,
    SlotGrants,
    VirtualTimeRow,
)

_STANDING_THRESHOLD_QUANTA = 0.25
_STANDINGS_REPORTED = 64
_FRACTION_CHANGE_REPORTED = 0.1


def grant_answers(
    state: AllocatorState, joined: Collection[str], now_seconds: float
) -> list[Outgoing]:
    """Return the answers that are due.

    Args:
        state: The allocator's tables.
        joined: Receivers that get a message now anyway; see ``place_reports``.
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
            heartbeat *= JOINED_FRACTION
        inner = holder_id == state.instance_id
        coalesce = 0.0 if inner else COALESCE_SECONDS
        if since < (coalesce if urgent else heartbeat):
            continue
        if fractions is None:
            fractions = _fractions(state)
        pools = _news(state, link, now_seconds)
        limits = _limit_rows(link, fractions)
        full = link.full_due
        sequence, grants, recalls = link.begin_message(now_seconds)
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


def _news(
    state: AllocatorState, link: GrantLink, now_seconds: float
) -> tuple[PoolUpdate, ...]:
    """Return what a holder should know of the pools."""
    news = []
    for pool, pool_state in sorted(state.pools.items()):
        contended = now_seconds < pool_state.contended_until_seconds
        standings = () if link.is_place else _standings(state, link, pool, pool_state)
        if not contended and not standings and not link.reported_contended.get(pool):
            continue
        link.reported_contended[pool] = contended
        floor = pool_state.floor_virtual_time
        floor = None if floor is None else round(floor, 1)
        news.append(PoolUpdate(pool, contended, floor, standings))
    return tuple(news)


def _standings(
    state: AllocatorState, link: GrantLink, pool: str, pool_state: PoolState
) -> tuple[VirtualTimeRow, ...]:
    """Return the virtual times that a router needs and does not know."""
    threshold = _STANDING_THRESHOLD_QUANTA * state.quantum()
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
        if link.standing_is_news(account, row, share, threshold):
            rows.append(row)
        if len(rows) >= _STANDINGS_REPORTED:
            break
    return tuple(rows)


def _fractions(state: AllocatorState) -> dict[str, dict[str, float]]:
    """Return by customer the fraction of its limits for each router here.

    A data centre that is cut off keeps its last demand in the split, so both
    sides go on with the fractions they had.
    """
    by_customer: dict[str, dict[str, float]] = {}
    routers = list(state.routers())
    customers = {customer for link in routers for customer in link.wanted}
    places = {*state.place_wanted, *state.places}
    for customer in customers:
        local = {link.holder_id: link.wanted.get(customer, 0.0) for link in routers}
        wanted = {
            place: state.place_wanted.get(place, {}).get(customer, 0.0)
            for place in places
        }
        wanted[state.data_centre] = sum(local.values())
        own = split_fractions(wanted)[state.data_centre]
        by_customer[customer] = {
            holder: own * fraction
            for holder, fraction in split_fractions(local).items()
        }
    return by_customer


def _limit_rows(
    link: GrantLink, fractions: Mapping[str, Mapping[str, float]]
) -> tuple[LimitShareRow, ...]:
    """Return the fractions of limits that changed much for a router."""
    rows = []
    for customer, by_holder in sorted(fractions.items()):
        fraction = by_holder.get(link.holder_id)
        if fraction is None:
            continue
        reported = link.reported_fractions.get(customer)
        change = _FRACTION_CHANGE_REPORTED * max(fraction, reported or 0.0)
        known = reported is not None and abs(fraction - reported) <= change
        if known and not link.full_due:
            continue
        link.reported_fractions[customer] = fraction
        rows.append(LimitShareRow(customer, round(fraction, 4)))
    return tuple(rows)
