"""The allocation itself: where free slots go, and which slots should move.

Each holder's waiting work is looked at as vessels: a customer's vessel stands at
its virtual time and has room for its waiting cost over its share. What the
holder's slots serve within a horizon is poured into the lowest vessels; the
height it reaches is the holder's level. Free slots go to the lowest level, and a
slot moves where levels differ by more than the quantum. Because the horizon
counts the slots a holder has, a slot that moved shows at once and moves stop
before they overshoot.

Small vessels are looked at with a shorter horizon too. They can't overshoot, since
one slot each is enough, and a customer that asks for less than its share should
not wait for as long as one that asks for more.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf


@dataclass(frozen=True, slots=True)
class CustomerBacklog:
    """One customer's waiting work at one holder, in virtual time.

    ``share`` is the part of the customer's weight that falls to this holder: what
    several holders serve of one customer adds up in its virtual time.
    """

    customer_id: str
    virtual_time: float
    waiting_cost_units: float
    share: float


@dataclass(frozen=True, slots=True)
class Horizon:
    """How far ahead levels look.

    ``slot_cost_units`` is what one slot serves within the horizon; vessels up to
    ``small_cost_units`` are looked at with ``short_fraction`` of it.
    """

    slot_cost_units: float
    small_cost_units: float
    short_fraction: float


@dataclass(slots=True)
class Holder:
    """A holder's waiting work for one resource and the slots that can serve it.

    ``requests`` counts waiting requests that no slot under way is meant for.
    ``handicap`` is added to the level of another data centre.
    """

    holder_id: str
    resource: str
    vessels: list[CustomerBacklog]
    slots: int
    requests: int
    handicap: float = 0.0
    level: float = field(default=inf)
    long_level: float = field(default=inf)

    def pour(self, horizon: Horizon) -> None:
        """Work out the level; infinite where all that waits is served soon."""
        poured = self.slots * horizon.slot_cost_units
        small = [
            vessel
            for vessel in self.vessels
            if vessel.waiting_cost_units <= horizon.small_cost_units
        ]
        self.long_level = water_level(self.vessels, poured)
        short_level = water_level(small, poured * horizon.short_fraction)
        self.level = min(self.long_level, short_level)

    def lowest(self) -> float:
        """Return the virtual time that the holder's next slot serves."""
        return self.vessels[0].virtual_time

    def next_slot_worth(self) -> float:
        """Return in virtual time what this holder would do without a slot of its.

        Where all is served within the horizon that is the work that comes last.
        """
        if self.long_level < inf:
            return self.long_level
        return self.vessels[-1].virtual_time


def water_level(vessels: Sequence[CustomerBacklog], cost_units: float) -> float:
    """Return how high an amount of service lifts the lowest virtual times.

    Args:
        vessels: Sorted by virtual time.
        cost_units: The amount.

    Returns:
        The level, infinite where the amount serves all.
    """
    left = cost_units
    level = -inf
    width = 0.0
    rims: list[tuple[float, float]] = []
    for vessel in vessels:
        # Pour up to the next vessel's bottom, over the rims that come before it.
        while rims and rims[0][0] <= vessel.virtual_time:
            rim, share = heappop(rims)
            if left < (rim - level) * width:
                return level + left / width
            left -= (rim - level) * width
            level = rim
            width -= share
        if rims:
            if left < (vessel.virtual_time - level) * width:
                return level + left / width
            left -= (vessel.virtual_time - level) * width
        else:
            width = 0.0
        level = vessel.virtual_time
        rim = vessel.virtual_time + vessel.waiting_cost_units / vessel.share
        heappush(rims, (rim, vessel.share))
        width += vessel.share
    while rims:
        rim, share = heappop(rims)
        if left < (rim - level) * width:
            return level + left / width
        left -= (rim - level) * width
        level = rim
        width -= share
    return inf


@dataclass(frozen=True, slots=True)
class SlotMove:
    """Take a slot back from one holder because another is further behind."""

    from_holder_id: str
    to_holder_id: str
    resource: str


def deal_free_slots(
    holders: Sequence[Holder],
    horizon: Horizon,
    grant: Callable[[Holder], str | None],
) -> None:
    """Give free slots to the lowest levels until none is left or none waits.

    Args:
        holders: All that wait; their slots, requests and levels are kept up.
        horizon: How far ahead levels look.
        grant: Takes one free slot for a holder; None where none fits.
    """
    waiting = [holder for holder in holders if holder.requests > 0]
    for holder in holders:
        holder.pour(horizon)
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
    """Order holders by where a free slot would be used, in virtual time."""
    use = holder.level if holder.level < inf else holder.next_slot_worth()
    return use + holder.handicap, holder.lowest(), holder.holder_id


def _behind_order(holder: Holder) -> tuple[float, float, str]:
    return holder.level + holder.handicap, holder.lowest(), holder.holder_id


def _count_slot(
    holders: Sequence[Holder], holder_id: str, slots: int, horizon: Horizon
) -> None:
    """Count slots to or from a holder and pour again."""
    for holder in holders:
        if holder.holder_id == holder_id:
            holder.slots = max(holder.slots + slots, 0)
            holder.pour(horizon)


def find_moves(
    holders: Sequence[Holder],
    under_way: int,
    horizon: Horizon,
    quantum: float,
    may_take: Callable[[Holder, Holder], bool],
) -> list[SlotMove]:
    """Return the slots to take back from holders that are ahead.

    Args:
        holders: All that wait.
        under_way: Slots that were asked back already and are not yet here.
        horizon: How far ahead levels look.
        quantum: The least difference of levels, in virtual time.
        may_take: Whether a slot of the first can serve the second.

    Returns:
        The moves, each counted into the levels before the next was looked for.
    """
    behind = [holder for holder in holders if holder.requests > 0]
    for _ in range(under_way):
        if not behind:
            return []
        lowest = min(behind, key=_behind_order)
        lowest.requests -= 1
        _count_slot(holders, lowest.holder_id, 1, horizon)
        behind = [holder for holder in behind if holder.requests > 0]
    moves: list[SlotMove] = []
    while behind:
        lowest = min(behind, key=_behind_order)
        if lowest.level == inf:
            break
        source = _furthest_ahead(holders, lowest, quantum, may_take)
        if source is None:
            behind.remove(lowest)
            continue
        moves.append(SlotMove(source.holder_id, lowest.holder_id, lowest.resource))
        lowest.requests -= 1
        _count_slot(holders, source.holder_id, -1, horizon)
        _count_slot(holders, lowest.holder_id, 1, horizon)
        if lowest.requests == 0:
            behind.remove(lowest)
    return moves


def _furthest_ahead(
    holders: Sequence[Holder],
    lowest: Holder,
    quantum: float,
    may_take: Callable[[Holder, Holder], bool],
) -> Holder | None:
    """Return the holder whose next slot is worth the least, if by enough."""
    best: Holder | None = None
    for holder in holders:
        if holder.holder_id == lowest.holder_id or holder.slots <= 0:
            continue
        ahead = holder.next_slot_worth() - lowest.level
        if ahead <= quantum + max(holder.handicap, lowest.handicap):
            continue
        if best is not None and holder.next_slot_worth() <= best.next_slot_worth():
            continue
        if may_take(holder, lowest):
            best = holder
    return best


def sorted_vessels(
    waiting: Mapping[str, float],
    totals: Mapping[str, float],
    virtual_times: Mapping[str, float],
    shares: Mapping[str, float],
) -> list[CustomerBacklog]:
    """Return vessels by virtual time.

    Args:
        waiting: Waiting cost units at the holder by customer.
        totals: Waiting cost units at all holders by customer.
        virtual_times: Virtual time by customer.
        shares: Weight by customer.

    Returns:
        One vessel for each customer that waits.
    """
    vessels = [
        CustomerBacklog(
            customer,
            virtual_times[customer],
            max(cost, 1e-6),
            shares[customer] * max(cost, 1e-6) / max(totals[customer], 1e-6),
        )
        for customer, cost in waiting.items()
    ]
    return sorted(vessels, key=lambda vessel: vessel.virtual_time)
