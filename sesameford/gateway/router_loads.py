"""The loads of the routers that report to one replica."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import chain
from typing import TypeVar

from sesameford.gateway.load_report import REPORT_VALID_SECONDS
from sesameford.load_messages import (
    CustomerRates,
    PartialLoad,
    RouterLoad,
    TargetLoad,
    TargetOutcomes,
    UsedParts,
)

# What sums are of: targets by their short names, customers by theirs.
Name = TypeVar("Name", int, str)


@dataclass(frozen=True, slots=True)
class _Reported:
    """The last report of one router."""

    load: RouterLoad
    at_seconds: float


class RouterLoads:
    """The last report of each router that reports here."""

    def __init__(self) -> None:
        self._reported: dict[str, _Reported] = {}
        self._asked_milliseconds: dict[str, int] = {}

    def received(self, router_id: str, load: RouterLoad, now_seconds: float) -> None:
        """Take a router's report."""
        self._reported[router_id] = _Reported(load, now_seconds)

    def ended(self, router_id: str) -> None:
        """Drop a router that reports elsewhere from now on."""
        self._reported.pop(router_id, None)
        self._asked_milliseconds.pop(router_id, None)

    def forget_silent(self, now_seconds: float) -> None:
        """Drop routers that have reported nothing for a while.

        Their targets have dropped what a dead router had under way. Were it still
        counted, all others would leave these targets idle.
        """
        for router_id, one in list(self._reported.items()):
            if now_seconds - one.at_seconds > REPORT_VALID_SECONDS:
                self.ended(router_id)

    @property
    def router_ids(self) -> Collection[str]:
        """Return the routers that report here."""
        return self._reported.keys()

    def places_of(self, router_id: str) -> tuple[TargetLoad, ...]:
        """Return what one router has under way."""
        return self._reported[router_id].load.target_loads

    def asking(self) -> list[str]:
        """Return the routers that ask for permits, each report once."""
        asking = []
        for router_id, one in self._reported.items():
            asked_milliseconds = one.load.permits_requested_milliseconds
            if asked_milliseconds > self._asked_milliseconds.get(router_id, 0):
                self._asked_milliseconds[router_id] = asked_milliseconds
                asking.append(router_id)
        return asking

    def asked_milliseconds(self, router_id: str) -> int:
        """Return when a router asked for permits last, by its own clock."""
        return self._asked_milliseconds.get(router_id, 0)

    def sums(
        self,
        used: tuple[UsedParts, ...] = (),
        outcomes: tuple[TargetOutcomes, ...] = (),
    ) -> PartialLoad:
        """Return all of them added up.

        Args:
            used: What they have sent to engines, to be sent along.
            outcomes: How targets have answered, to be sent along.
        """
        loads = [one.load for one in self._reported.values()]
        waits_seconds = [load.wait_seconds for load in loads]
        return PartialLoad(
            len(loads),
            places_added_up(load.target_loads for load in loads),
            customers_added_up(load.customers for load in loads),
            round(sum(waits_seconds) / max(len(loads), 1), 4),
            sum(load.handled_tokens for load in loads),
            used,
            outcomes,
            round(sum(load.in_time_answers for load in loads), 2),
            round(sum(load.late_answers for load in loads), 2),
        )


def places_added_up(tables: Iterable[tuple[TargetLoad, ...]]) -> tuple[TargetLoad, ...]:
    """Return what is under way at each target in all tables together."""
    rows = ((one.name, one.requests, one.unread_tokens) for one in chain(*tables))
    return tuple(TargetLoad(name, *sums) for name, sums in _added_up(rows))


def places_without(
    all_places: tuple[TargetLoad, ...], own_places: tuple[TargetLoad, ...]
) -> tuple[TargetLoad, ...]:
    """Return what is under way at each target beside one router's part of it."""
    own = {place.name: place for place in own_places}
    places = []
    for place in all_places:
        mine = own.get(place.name)
        if mine is not None:
            place = TargetLoad(
                place.name,
                place.requests - mine.requests,
                place.unread_tokens - mine.unread_tokens,
            )
        if place.requests or place.unread_tokens:
            places.append(place)
    return tuple(places)


def outcomes_added_up(rows: Iterable[TargetOutcomes]) -> tuple[TargetOutcomes, ...]:
    """Return the outcomes of each target in one row."""
    counts = ((one.name, one.answered, one.failed) for one in rows)
    return tuple(TargetOutcomes(name, *sums) for name, sums in _added_up(counts))


def customers_added_up(
    tables: Iterable[tuple[CustomerRates, ...]],
) -> tuple[CustomerRates, ...]:
    """Return what each customer asks and is served in all tables together."""
    rows = (
        (one.customer, one.requested_tokens, one.started_tokens)
        for one in chain(*tables)
    )
    return tuple(CustomerRates(customer, *sums) for customer, sums in _added_up(rows))


def _added_up(
    rows: Iterable[tuple[Name, int, int]],
) -> Iterable[tuple[Name, tuple[int, int]]]:
    """Return the two sums of each name, in the order of the first rows."""
    sums: dict[Name, tuple[int, int]] = {}
    for name, first, second in rows:
        before = sums.get(name, (0, 0))
        sums[name] = (before[0] + first, before[1] + second)
    return sums.items()


def make_router_loads() -> RouterLoads:
    """Return loads of no routers."""
    return RouterLoads()
