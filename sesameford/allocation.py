"""Decides by water-filling which holders get free slots and which slots move.

At each holder, a customer's backlog starts at the customer's virtual time and
extends it by the waiting cost divided by the share. The service of the holder's
slots within a horizon fills the lowest backlogs first; the virtual time reached is
the holder's level. Free slots go to the lowest level, and a slot moves where levels
differ by more than the quantum. Because the horizon counts the slots that a holder
has, a moved slot changes the level at once and moves stop before they overshoot.

Small backlogs are also filled with a shorter horizon. They can't overshoot, since
one slot each is enough, and a customer that requests less than its share should
not wait for as long as one that requests more.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

from sesameford.costs import MIN_COST_UNITS


@dataclass(frozen=True, slots=True)
class CustomerBacklog:
    """One customer's waiting work at one holder, in virtual time.

    ``share`` is the part of the customer's weight that falls to this holder, because
    the service of all holders adds up in the customer's virtual time.
    """

    customer_id: str
    virtual_time: float
    waiting_cost_units: float
    share: float


@dataclass(frozen=True, slots=True)
class Horizon:
    """How much future service a level counts.

    ``slot_cost_units`` is the service of one slot within the horizon. Backlogs up to
    ``small_cost_units`` are also filled with ``short_fraction`` of it.
    """

    slot_cost_units: float
    small_cost_units: float
    short_fraction: float


@dataclass(slots=True)
class Holder:
    """A holder's waiting work for one resource and the slots that can serve it.

    ``requests`` counts waiting requests for which no granted slot is in transit.
    ``level_penalty`` is added to the level of another data centre.
    """

    holder_id: str
    resource: str
    backlogs: list[CustomerBacklog]
    slots: int
    requests: int
    level_penalty: float = 0.0
    level: float = field(default=inf)
    long_level: float = field(default=inf)

    def update_level(self, horizon: Horizon) -> None:
        """Compute the level, infinite if the horizon serves all waiting work."""
        served_cost_units = self.slots * horizon.slot_cost_units
        small = [
            backlog
            for backlog in self.backlogs
            if backlog.waiting_cost_units <= horizon.small_cost_units
        ]
        self.long_level = water_level(self.backlogs, served_cost_units)
        short_level = water_level(small, served_cost_units * horizon.short_fraction)
        self.level = min(self.long_level, short_level)

    def first_virtual_time(self) -> float:
        """Return the virtual time of the customer that the next slot would serve."""
        return self.backlogs[0].virtual_time

    def next_slot_value(self) -> float:
        """Return the virtual time of the work that one slot less would leave waiting.

        If the horizon serves all work, this is the virtual time of the last customer.
        """
        if self.long_level < inf:
            return self.long_level
        return self.backlogs[-1].virtual_time


def water_level(backlogs: Sequence[CustomerBacklog], cost_units: float) -> float:
    """Return the virtual time reached when service goes to the lowest backlogs first.

    Args:
        backlogs: Sorted by virtual time.
        cost_units: The amount of service.

    Returns:
        The level, infinite if the service covers all backlogs.
    """
    remaining_cost_units = cost_units
    level = -inf
    active_share = 0.0
    tops: list[tuple[float, float]] = []
    for backlog in backlogs:
        # Fill up to the start of the next backlog; backlogs that end earlier drop out.
        while tops and tops[0][0] <= backlog.virtual_time:
            top, share = heappop(tops)
            if remaining_cost_units < (top - level) * active_share:
                return level + remaining_cost_units / active_share
            remaining_cost_units -= (top - level) * active_share
            level = top
            active_share -= share
        if tops:
            if remaining_cost_units < (backlog.virtual_time - level) * active_share:
                return level + remaining_cost_units / active_share
            remaining_cost_units -= (backlog.virtual_time - level) * active_share
        else:
            active_share = 0.0
        level = backlog.virtual_time
        top = backlog.virtual_time + backlog.waiting_cost_units / backlog.share
        heappush(tops, (top, backlog.share))
        active_share += backlog.share
    while tops:
        top, share = heappop(tops)
        if remaining_cost_units < (top - level) * active_share:
            return level + remaining_cost_units / active_share
        remaining_cost_units -= (top - level) * active_share
        level = top
        active_share -= share
    return inf


@dataclass(frozen=True, slots=True)
class SlotMove:
    """A slot to recall from one holder because another is further behind."""

    from_holder_id: str
    to_holder_id: str
    resource: str


def grant_free_slots(
    holders: Sequence[Holder],
    horizon: Horizon,
    grant: Callable[[Holder], str | None],
) -> None:
    """Grant free slots to the lowest levels until no slot or no request is left.

    Args:
        holders: All holders with waiting work; their slots, requests and levels are
            updated.
        horizon: How much future service a level counts.
        grant: Grants one free slot to a holder; None if no free slot fits.
    """
    waiting = [holder for holder in holders if holder.requests > 0]
    for holder in holders:
        holder.update_level(horizon)
    while waiting:
        holder = min(waiting, key=_free_order)
        if grant(holder) is None:
            waiting.remove(holder)
            continue
        holder.requests -= 1
        _count_slot(holders, holder.holder_id, 1, horizon)
        if holder.requests == 0:
            waiting.remove(holder)


def _free_order(holder: Holder) -> tuple[float, float, str]:
    """Order holders by the virtual time at which they would use a free slot."""
    use = holder.level if holder.level < inf else holder.next_slot_value()
    return use + holder.level_penalty, holder.first_virtual_time(), holder.holder_id


def _behind_order(holder: Holder) -> tuple[float, float, str]:
    return (
        holder.level + holder.level_penalty,
        holder.first_virtual_time(),
        holder.holder_id,
    )


def _count_slot(
    holders: Sequence[Holder], holder_id: str, slots: int, horizon: Horizon
) -> None:
    """Add slots to a holder or remove them, and update its levels."""
    for holder in holders:
        if holder.holder_id == holder_id:
            holder.slots = max(holder.slots + slots, 0)
            holder.update_level(horizon)


def find_moves(
    holders: Sequence[Holder],
    pending_slots: int,
    horizon: Horizon,
    quantum: float,
    may_take: Callable[[Holder, Holder], bool],
) -> list[SlotMove]:
    """Return the slots to recall from holders that are ahead.

    Args:
        holders: All holders with waiting work.
        pending_slots: Slots that are recalled but not yet returned.
        horizon: How much future service a level counts.
        quantum: The smallest difference of levels that moves a slot, in virtual time.
        may_take: Returns whether a slot of the first holder can serve the second.

    Returns:
        The moves. Each is counted into the levels before the next is searched for.
    """
    behind = [holder for holder in holders if holder.requests > 0]
    for _ in range(pending_slots):
        if not behind:
            return []
        lagging = min(behind, key=_behind_order)
        lagging.requests -= 1
        _count_slot(holders, lagging.holder_id, 1, horizon)
        behind = [holder for holder in behind if holder.requests > 0]
    moves: list[SlotMove] = []
    while behind:
        lagging = min(behind, key=_behind_order)
        if lagging.level == inf:
            break
        source = _furthest_ahead(holders, lagging, quantum, may_take)
        if source is None:
            behind.remove(lagging)
            continue
        moves.append(SlotMove(source.holder_id, lagging.holder_id, lagging.resource))
        lagging.requests -= 1
        _count_slot(holders, source.holder_id, -1, horizon)
        _count_slot(holders, lagging.holder_id, 1, horizon)
        if lagging.requests == 0:
            behind.remove(lagging)
    return moves


def _furthest_ahead(
    holders: Sequence[Holder],
    lagging: Holder,
    quantum: float,
    may_take: Callable[[Holder, Holder], bool],
) -> Holder | None:
    """Return the holder that is furthest ahead, if by more than the quantum.

    That is the holder whose slot serves the highest virtual time.
    """
    best: Holder | None = None
    for holder in holders:
        if holder.holder_id == lagging.holder_id or holder.slots <= 0:
            continue
        ahead = holder.next_slot_value() - lagging.level
        if ahead <= quantum + max(holder.level_penalty, lagging.level_penalty):
            continue
        if best is not None and holder.next_slot_value() <= best.next_slot_value():
            continue
        if may_take(holder, lagging):
            best = holder
    return best


def sorted_backlogs(
    waiting: Mapping[str, float],
    totals: Mapping[str, float],
    virtual_times: Mapping[str, float],
    shares: Mapping[str, float],
) -> list[CustomerBacklog]:
    """Return a holder's backlogs, sorted by virtual time.

    Args:
        waiting: Waiting cost units at the holder by customer.
        totals: Waiting cost units at all holders by customer.
        virtual_times: Virtual time by customer.
        shares: Weight by customer.

    Returns:
        One backlog for each waiting customer.
    """
    backlogs = [
        CustomerBacklog(
            customer,
            virtual_times[customer],
            max(cost, MIN_COST_UNITS),
            shares[customer]
            * max(cost, MIN_COST_UNITS)
            / max(totals[customer], MIN_COST_UNITS),
        )
        for customer, cost in waiting.items()
    ]
    return sorted(backlogs, key=lambda backlog: backlog.virtual_time)
