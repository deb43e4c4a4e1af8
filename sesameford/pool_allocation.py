"""Systems over the allocator's tables: deal free slots out, move slots, spares."""

from sesameford.allocation import (
    Holder,
    Horizon,
    deal_free_slots,
    find_moves,
    sorted_vessels,
)
from sesameford.allocator_state import (
    CONTENTION_KEPT_SECONDS,
    AllocatorState,
    PoolState,
)
from sesameford.links import LEASE_SECONDS, GrantLink, PendingGrant

HORIZON_SECONDS = 1.0
_SHORT_HORIZON_SECONDS = 0.4
_SMALL_QUANTA = 2.0
_MOVE_SECONDS = 0.35
LENDING_HANDICAP_QUANTA = 4.0
_UNEVEN_SLOTS = 2


def allocate(state: AllocatorState, now_seconds: float) -> None:
    """Deal out what is free in all pools and ask back what should move."""
    free = _free_slots(state, now_seconds)
    if free is None:
        return
    for pool in sorted({*state.pool_of.values()}):
        state.note_pace(pool, now_seconds)
        _allocate_pool(state, pool, free, now_seconds)
    _return_borrowed(state, free, now_seconds)


def _free_slots(state: AllocatorState, now_seconds: float) -> dict[str, int] | None:
    """Return the free slots by target; recall what exceeds a capacity.

    After a takeover nothing is free before all who may hold slots of the
    predecessor have reported or their leases are over: a slot that a router
    still uses would be granted twice.
    """
    waits = now_seconds < state.activated_at_seconds + LEASE_SECONDS * 1.05
    if waits and not state.expected <= state.links.keys():
        return None
    held = state.held()
    free = {}
    for target_id in state.targets:
        slots = state.capacity(target_id, now_seconds) - held.get(target_id, 0)
        if slots > 0:
            free[target_id] = slots
        elif slots < 0:
            _recall_excess(state, target_id, -slots)
    return free


def _recall_excess(state: AllocatorState, target_id: str, excess: int) -> None:
    """Take slots back from the holders that have the most of a target."""
    links = [link for link in state.links.values() if target_id in link.holdings]
    kept = {link.holder_id: link.allowed(target_id) for link in links}
    asked = sum(link.holdings[target_id] - kept[link.holder_id] for link in links)
    for _ in range(excess - asked):
        largest = max(kept, key=lambda holder: (kept[holder], holder))
        kept[largest] -= 1
    for link in links:
        link.recall(target_id, kept[link.holder_id])


def _allocate_pool(
    state: AllocatorState, pool: str, free: dict[str, int], now_seconds: float
) -> None:
    """Deal a pool's free slots out, then move slots where levels differ."""
    pool_state = state.pool(pool)
    holders = _holders(state, pool, pool_state, now_seconds)
    horizon = Horizon(
        pool_state.slot_cost_units_per_second * HORIZON_SECONDS,
        _SMALL_QUANTA * state.quantum(),
        _SHORT_HORIZON_SECONDS / HORIZON_SECONDS,
    )
    deal_free_slots(holders, horizon, lambda holder: _grant(state, pool, holder, free))
    if any(_is_contender(state, pool, holder) for holder in holders):
        _note_contention(state, pool_state, now_seconds)
        if now_seconds - pool_state.moved_at_seconds >= _MOVE_SECONDS:
            pool_state.moved_at_seconds = now_seconds
            _move_slots(state, pool, holders, horizon)
    elif now_seconds >= pool_state.contended_until_seconds:
        _deal_spares(state, pool, free, now_seconds)


def _is_contender(state: AllocatorState, pool: str, holder: Holder) -> bool:
    """Return whether a holder waits and no slots are on their way to it.

    A demand that crossed a grant speaks of the time before it. Taken for contention
    it would call back every idle slot of the fleet for half a second, and all that
    enters meanwhile would wait for a trip although capacity is free.
    """
    if holder.requests <= 0:
        return False
    link = state.links[holder.holder_id]
    return not any(
        sequence > link.acknowledged_grants and state.pool_of_target(target_id) == pool
        for target_id, sequence in link.granted_in.items()
    )


def _holders(
    state: AllocatorState, pool: str, pool_state: PoolState, now_seconds: float
) -> list[Holder]:
    """Return the waiting work of a pool by holder and resource."""
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
            open_requests = link.uncovered(key) if link.pending else demand.requests
            requests[unit] = requests.get(unit, 0) + max(open_requests, 0)
    pool_state.floor_virtual_time = times.mark_backlogged(backlogged, now_seconds)
    now = {customer: times.virtual_time(customer) for customer in backlogged}
    shares = {customer: state.share(customer) for customer in backlogged}
    for link in state.links.values():
        for row in link.pending:
            if row.key[0] == pool and row.key[1] in now:
                now[row.key[1]] += row.cost_units / shares[row.key[1]]
    handicap = LENDING_HANDICAP_QUANTA * state.quantum()
    return [
        Holder(
            holder_id,
            resource,
            sorted_vessels(rows, totals, now, shares),
            _slots(state, state.links[holder_id], pool, resource),
            requests[(holder_id, resource)],
            handicap if state.links[holder_id].is_place else 0.0,
        )
        for (holder_id, resource), rows in waiting.items()
    ]


def _slots(state: AllocatorState, link: GrantLink, pool: str, resource: str) -> int:
    """Return how many slots a holder can use for a resource."""
    if link.is_place:
        return link.place_slots.get(pool, 0)
    return sum(
        link.allowed(target_id)
        for target_id in link.holdings
        if target_id in state.targets and resource in state.targets[target_id].serves
    )


def _grant(
    state: AllocatorState, pool: str, holder: Holder, free: dict[str, int]
) -> str | None:
    """Grant the free slot that suits a holder best.

    Own slots go first, to keep trips short. Borrowed ones are not lent on: a
    chain of leases would outlast the first lender's.
    """
    link = state.links[holder.holder_id]
    best: str | None = None
    best_order = (False, 0)
    for target_id, slots in free.items():
        owned = state.owns(target_id)
        if link.is_place and not owned:
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
    if link.is_place:
        link.place_slots[pool] = link.place_slots.get(pool, 0) + 1
    _cover_lowest(link, pool, holder)
    return best


def _cover_lowest(link: GrantLink, pool: str, holder: Holder) -> None:
    """Note for which waiting work a slot under way is meant."""
    for vessel in holder.vessels:
        key = (pool, vessel.customer_id, holder.resource)
        if link.uncovered(key) > 0:
            demand = link.demands[key]
            cost = demand.cost_units / demand.requests
            link.pending.append(PendingGrant(link.sequence + 1, key, cost))
            return


def _note_contention(
    state: AllocatorState, pool_state: PoolState, now_seconds: float
) -> None:
    """Note that work waits; at the onset tell all, so that idle slots come back."""
    if now_seconds >= pool_state.contended_until_seconds:
        for link in state.links.values():
            link.urgent = True
    pool_state.contended_until_seconds = now_seconds + CONTENTION_KEPT_SECONDS


def _move_slots(
    state: AllocatorState, pool: str, holders: list[Holder], horizon: Horizon
) -> None:
    """Ask slots back from holders that are ahead."""
    under_way = 0
    for link in state.links.values():
        for target_id in link.asked:
            if state.pool_of_target(target_id) == pool:
                left = link.holdings.get(target_id, 0) - link.allowed(target_id)
                under_way += left

    taken: dict[tuple[str, str], int] = {}

    def find_target(source: Holder, lowest: Holder) -> str | None:
        link = state.links[source.holder_id]
        lends = state.links[lowest.holder_id].is_place
        best: str | None = None
        for target_id in link.holdings:
            left = link.allowed(target_id) - taken.get((link.holder_id, target_id), 0)
            if left <= 0 or target_id not in state.targets:
                continue
            if lowest.resource not in state.targets[target_id].serves:
                continue
            if lends and not state.owns(target_id):
                continue
            if best is None or link.allowed(target_id) > link.allowed(best):
                best = target_id
        return best

    def may_take(source: Holder, lowest: Holder) -> bool:
        return find_target(source, lowest) is not None

    moves = find_moves(holders, under_way, horizon, state.quantum(), may_take)
    by_unit = {(holder.holder_id, holder.resource): holder for holder in holders}
    for move in moves:
        source = next(one for one in holders if one.holder_id == move.from_holder_id)
        lowest = by_unit[(move.to_holder_id, move.resource)]
        found = find_target(source, lowest)
        if found is None:
            continue
        link = state.links[source.holder_id]
        link.recall(found, link.allowed(found) - 1)


def _deal_spares(
    state: AllocatorState, pool: str, free: dict[str, int], now_seconds: float
) -> None:
    """Give free own slots to the routers, for requests yet to come.

    With spare slots at hand a router starts a request without asking.
    """
    routers = list(state.routers())
    if not routers:
        return
    # Counted by pool: a router that got all its slots on services would have none
    # on engines, and each completion that enters there would wait for a trip.
    held = {link.holder_id: _held_of_pool(state, link, pool) for link in routers}
    for target_id in sorted(free):
        if not state.owns(target_id) or state.pool_of_target(target_id) != pool:
            continue
        for _ in range(free.pop(target_id)):
            link = min(routers, key=lambda one: (held[one.holder_id], one.holder_id))
            link.grant(target_id, 1)
            held[link.holder_id] += 1
    pool_state = state.pool(pool)
    if now_seconds - pool_state.moved_at_seconds >= _MOVE_SECONDS:
        pool_state.moved_at_seconds = now_seconds
        _even_out(state, pool, routers)


def _held_of_pool(state: AllocatorState, link: GrantLink, pool: str) -> int:
    """Return how many slots of a pool a router holds or is to keep."""
    return sum(
        link.allowed(target_id)
        for target_id in link.holdings
        if state.pool_of_target(target_id) == pool
    )


def _even_out(state: AllocatorState, pool: str, routers: list[GrantLink]) -> None:
    """Ask one slot back from the router with the most, where another has far less.

    Contention leaves the slots where the work was. The next request that enters
    elsewhere would find none at hand, although capacity is free.
    """
    held = {link.holder_id: _held_of_pool(state, link, pool) for link in routers}
    most = max(routers, key=lambda one: (held[one.holder_id], one.holder_id))
    if held[most.holder_id] - min(held.values()) < _UNEVEN_SLOTS:
        return
    for target_id in sorted(most.holdings):
        if state.pool_of_target(target_id) != pool or not state.owns(target_id):
            continue
        if most.allowed(target_id) > 0:
            most.recall(target_id, most.allowed(target_id) - 1)
            return


def _return_borrowed(
    state: AllocatorState, free: dict[str, int], now_seconds: float
) -> None:
    """Give back borrowed slots that nothing here waits for."""
    for place in state.places.values():
        holdings = place.link.holdings
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
