"""Allocates the slots of all pools: grants, recalls, spare slots and loans."""

from sesameford.allocation import (
    Holder,
    Horizon,
    find_moves,
    grant_free_slots,
    sorted_backlogs,
)
from sesameford.allocator_state import (
    CONTENTION_HOLD_SECONDS,
    AllocatorState,
    PoolState,
)
from sesameford.links import (
    LEASE_CLOCK_FACTOR,
    LEASE_SECONDS,
    GrantLink,
    PendingGrant,
)

HORIZON_SECONDS = 1.0
_SHORT_HORIZON_SECONDS = 0.4
_SMALL_BACKLOG_QUANTA = 2.0
MOVE_INTERVAL_SECONDS = 0.35
LENDING_PENALTY_QUANTA = 4.0
_UNEVEN_DIFFERENCE_SLOTS = 2


def allocate(state: AllocatorState, now_seconds: float) -> None:
    """Grant the free slots of all pools and recall slots that should move."""
    free = _free_slots(state, now_seconds)
    if free is None:
        return
    for pool in sorted({*state.pool_of.values()}):
        state.update_slot_rate(pool, now_seconds)
        _allocate_pool(state, pool, free, now_seconds)
    _return_borrowed(state, free, now_seconds)


def _free_slots(state: AllocatorState, now_seconds: float) -> dict[str, int] | None:
    """Return the free slots by target and recall slots that exceed a capacity.

    After a takeover no slot is free until every possible holder of the predecessor's
    slots has reported or all leases have ended. Otherwise a slot that a router still
    uses would be granted twice.
    """
    leases_end_seconds = state.activated_at_seconds + LEASE_SECONDS * LEASE_CLOCK_FACTOR
    waits = now_seconds < leases_end_seconds
    if waits and not state.expected <= state.links.keys():
        return None
    held = state.granted_slots()
    free = {}
    for target_id in state.targets:
        slots = state.capacity(target_id, now_seconds) - held.get(target_id, 0)
        if slots > 0:
            free[target_id] = slots
        elif slots < 0:
            _recall_excess(state, target_id, -slots)
    return free


def _recall_excess(state: AllocatorState, target_id: str, excess: int) -> None:
    """Recall slots from the holders that have most slots of a target."""
    links = [link for link in state.links.values() if target_id in link.holdings]
    remaining = {link.holder_id: link.slots_after_recalls(target_id) for link in links}
    recalled = sum(
        link.holdings[target_id] - remaining[link.holder_id] for link in links
    )
    for _ in range(excess - recalled):
        largest = max(remaining, key=lambda holder: (remaining[holder], holder))
        remaining[largest] -= 1
    for link in links:
        link.recall(target_id, remaining[link.holder_id])


def _allocate_pool(
    state: AllocatorState, pool: str, free: dict[str, int], now_seconds: float
) -> None:
    """Grant a pool's free slots, then move slots between holders if work waits."""
    pool_state = state.pool(pool)
    holders = _collect_holders(state, pool, pool_state, now_seconds)
    horizon = Horizon(
        pool_state.slot_cost_units_per_second * HORIZON_SECONDS,
        _SMALL_BACKLOG_QUANTA * state.quantum(),
        _SHORT_HORIZON_SECONDS / HORIZON_SECONDS,
    )
    grant_free_slots(
        holders, horizon, lambda holder: _grant_slot(state, pool, holder, free)
    )
    if any(_is_contending(state, pool, holder) for holder in holders):
        _record_contention(state, pool_state, now_seconds)
        if now_seconds - pool_state.moved_at_seconds >= MOVE_INTERVAL_SECONDS:
            pool_state.moved_at_seconds = now_seconds
            _move_slots(state, pool, holders, horizon)
    elif now_seconds >= pool_state.contended_until_seconds:
        _grant_spare_slots(state, pool, free, now_seconds)


def _is_contending(state: AllocatorState, pool: str, holder: Holder) -> bool:
    """Return whether a holder has waiting work and no granted slots in transit to it.

    A demand that crossed a grant describes the time before the grant. If it counted
    as contention, every idle slot of the fleet would be recalled for half a second,
    and requests that enter meanwhile would wait for a round trip although capacity
    is free.
    """
    if holder.requests <= 0:
        return False
    link = state.links[holder.holder_id]
    return not any(
        sequence > link.acknowledged_grants and state.pool_of_target(target_id) == pool
        for target_id, sequence in link.grant_sequences.items()
    )


def _collect_holders(
    state: AllocatorState, pool: str, pool_state: PoolState, now_seconds: float
) -> list[Holder]:
    """Return the waiting work of a pool, one entry for each holder and resource."""
    times = pool_state.times
    waiting: dict[tuple[str, str], dict[str, float]] = {}
    requests: dict[tuple[str, str], int] = {}
    backlogged: dict[str, float] = {}
    totals: dict[str, float] = {}
    for link in state.links.values():
        for key, demand in link.demands.items():
            if key[0] != pool:
                continue
            unit = (link.holder_id, key[2])
            waiting.setdefault(unit, {})[key[1]] = demand.cost_units
            totals[key[1]] = totals.get(key[1], 0.0) + demand.cost_units
            since = backlogged.get(key[1], demand.since_seconds)
            backlogged[key[1]] = min(since, demand.since_seconds)
            open_requests = (
                link.count_unassigned_requests(key) if link.pending else demand.requests
            )
            requests[unit] = requests.get(unit, 0) + max(open_requests, 0)
    pool_state.floor_virtual_time = times.mark_backlogged(backlogged, now_seconds)
    now = {customer: times.virtual_time(customer) for customer in backlogged}
    shares = {customer: state.share(customer) for customer in backlogged}
    for link in state.links.values():
        for row in link.pending:
            if row.key[0] == pool and row.key[1] in now:
                now[row.key[1]] += row.cost_units / shares[row.key[1]]
    level_penalty = LENDING_PENALTY_QUANTA * state.quantum()
    return [
        Holder(
            holder_id,
            resource,
            sorted_backlogs(rows, totals, now, shares),
            _usable_slots(state, state.links[holder_id], pool, resource),
            requests[(holder_id, resource)],
            level_penalty if state.links[holder_id].is_remote_allocator else 0.0,
        )
        for (holder_id, resource), rows in waiting.items()
    ]


def _usable_slots(
    state: AllocatorState, link: GrantLink, pool: str, resource: str
) -> int:
    """Return how many slots a holder can use for a resource."""
    if link.is_remote_allocator:
        return link.remote_slots.get(pool, 0)
    return sum(
        link.slots_after_recalls(target_id)
        for target_id in link.holdings
        if target_id in state.targets and resource in state.targets[target_id].serves
    )


def _grant_slot(
    state: AllocatorState, pool: str, holder: Holder, free: dict[str, int]
) -> str | None:
    """Grant the free slot that suits a holder best and return its target.

    Owned slots go before borrowed ones, to keep round trips short. Borrowed slots are
    not lent on, because a chain of leases would outlast the lease of the first lender.
    """
    link = state.links[holder.holder_id]
    best: str | None = None
    best_order = (False, 0)
    for target_id, slots in free.items():
        owned = state.owns(target_id)
        if link.is_remote_allocator and not owned:
            continue
        if holder.resource not in state.targets[target_id].serves:
            continue
        if best is None or (owned, slots) > best_order:
            best, best_order = target_id, (owned, slots)
    if best is None:
        return None
    free[best] -= 1
    if free[best] == 0:
        del free[best]
    link.grant(best, 1)
    if link.is_remote_allocator:
        link.remote_slots[pool] = link.remote_slots.get(pool, 0) + 1
    _record_pending_grant(link, pool, holder)
    return best


def _record_pending_grant(link: GrantLink, pool: str, holder: Holder) -> None:
    """Record the waiting work for which a granted slot is in transit."""
    for backlog in holder.backlogs:
        key = (pool, backlog.customer_id, holder.resource)
        if link.count_unassigned_requests(key) > 0:
            demand = link.demands[key]
            cost = demand.cost_units / demand.requests
            link.pending.append(PendingGrant(link.sequence + 1, key, cost))
            return


def _record_contention(
    state: AllocatorState, pool_state: PoolState, now_seconds: float
) -> None:
    """Mark a pool as contended; notify all holders at the onset.

    Holders return their idle slots when they receive the notification.
    """
    if now_seconds >= pool_state.contended_until_seconds:
        for link in state.links.values():
            link.urgent = True
    pool_state.contended_until_seconds = now_seconds + CONTENTION_HOLD_SECONDS


def _move_slots(
    state: AllocatorState, pool: str, holders: list[Holder], horizon: Horizon
) -> None:
    """Recall slots from holders that are ahead."""
    pending_slots = 0
    for link in state.links.values():
        for target_id in link.open_recalls:
            if state.pool_of_target(target_id) == pool:
                excess = link.holdings.get(target_id, 0) - link.slots_after_recalls(
                    target_id
                )
                pending_slots += excess

    taken: dict[tuple[str, str], int] = {}

    def find_target(source: Holder, lagging: Holder) -> str | None:
        link = state.links[source.holder_id]
        is_loan = state.links[lagging.holder_id].is_remote_allocator
        best: str | None = None
        for target_id in link.holdings:
            available = link.slots_after_recalls(target_id) - taken.get(
                (link.holder_id, target_id), 0
            )
            if available <= 0 or target_id not in state.targets:
                continue
            if lagging.resource not in state.targets[target_id].serves:
                continue
            if is_loan and not state.owns(target_id):
                continue
            if best is None or link.slots_after_recalls(
                target_id
            ) > link.slots_after_recalls(best):
                best = target_id
        return best

    def may_take(source: Holder, lagging: Holder) -> bool:
        return find_target(source, lagging) is not None

    moves = find_moves(holders, pending_slots, horizon, state.quantum(), may_take)
    by_unit = {(holder.holder_id, holder.resource): holder for holder in holders}
    for move in moves:
        source = next(
            candidate
            for candidate in holders
            if candidate.holder_id == move.from_holder_id
        )
        lagging = by_unit[(move.to_holder_id, move.resource)]
        found = find_target(source, lagging)
        if found is None:
            continue
        link = state.links[source.holder_id]
        link.recall(found, link.slots_after_recalls(found) - 1)


def _grant_spare_slots(
    state: AllocatorState, pool: str, free: dict[str, int], now_seconds: float
) -> None:
    """Grant free owned slots to the routers for future requests.

    A router with spare slots starts a request without asking the allocator.
    """
    routers = list(state.routers())
    if not routers:
        return
    # Slots are counted by pool. Otherwise a router could have all its slots on
    # services and none on engines, and each completion that enters there would wait
    # for a round trip.
    held = {link.holder_id: _count_pool_slots(state, link, pool) for link in routers}
    for target_id in sorted(free):
        if not state.owns(target_id) or state.pool_of_target(target_id) != pool:
            continue
        for _ in range(free.pop(target_id)):
            link = min(
                routers, key=lambda router: (held[router.holder_id], router.holder_id)
            )
            link.grant(target_id, 1)
            held[link.holder_id] += 1
    pool_state = state.pool(pool)
    if now_seconds - pool_state.moved_at_seconds >= MOVE_INTERVAL_SECONDS:
        pool_state.moved_at_seconds = now_seconds
        _balance_spare_slots(state, pool, routers)


def _count_pool_slots(state: AllocatorState, link: GrantLink, pool: str) -> int:
    """Return how many slots of a pool a router has after all recalls."""
    return sum(
        link.slots_after_recalls(target_id)
        for target_id in link.holdings
        if state.pool_of_target(target_id) == pool
    )


def _balance_spare_slots(
    state: AllocatorState, pool: str, routers: list[GrantLink]
) -> None:
    """Recall one slot from the router with the most if another has too few.

    After contention the slots remain where the work was. The next request that
    enters at another router would find no slot there, although capacity is free.
    """
    held = {link.holder_id: _count_pool_slots(state, link, pool) for link in routers}
    most = max(routers, key=lambda router: (held[router.holder_id], router.holder_id))
    if held[most.holder_id] - min(held.values()) < _UNEVEN_DIFFERENCE_SLOTS:
        return
    for target_id in sorted(most.holdings):
        if state.pool_of_target(target_id) != pool or not state.owns(target_id):
            continue
        if most.slots_after_recalls(target_id) > 0:
            most.recall(target_id, most.slots_after_recalls(target_id) - 1)
            return


def _return_borrowed(
    state: AllocatorState, free: dict[str, int], now_seconds: float
) -> None:
    """Return borrowed slots that no work here waits for."""
    for remote in state.remote_allocators.values():
        holdings = remote.link.holdings
        for target_id, slots in list(holdings.items()):
            idle = free.get(target_id, 0)
            if idle > 0 and not state.owns(target_id):
                holdings[target_id] = max(slots - idle, 0)
            pool = state.pool_of_target(target_id)
            if pool is None or slots <= 0:
                continue
            if now_seconds < state.pool(pool).contended_until_seconds:
                continue
            for link in state.routers():
                if link.holdings.get(target_id):
                    link.recall(target_id, 0)
