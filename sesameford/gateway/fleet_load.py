"""What all routers have under way at each target, added up by one replica."""

from collections import Counter
from dataclasses import dataclass, field

from sesameford.gateway.shares import make_share_book
from sesameford.messages import (
    AskedRow,
    FleetLoad,
    Outgoing,
    PlaceLoad,
    RouterLoad,
    ShareRow,
)

# A router's report counts for so long; it comes at least each half second.
REPORT_VALID_SECONDS = 1.6
# Routers tell what changed this often while they are few. An engine reads some
# thousand tokens meanwhile, which is what routers can err by.
TELL_SECONDS = 0.05
# More routers tell less often, so that the one who adds up gets at most some three
# hundred messages a second.
TELL_SECONDS_A_ROUTER = 0.004


@dataclass(slots=True)
class _Told:
    """The last report of one router, and all that it has sent since it was heard."""

    load: RouterLoad
    at_seconds: float
    sent_tokens: Counter[int] = field(default_factory=Counter)


class FleetLoadBook:
    """Both ends: what this instance tells, and what it adds up of others."""

    def __init__(self, instance_id: str, book: int) -> None:
        self._instance_id = instance_id
        self._book = book
        self._sequence = 0
        self._told: dict[str, _Told] = {}
        self._sent_tokens: Counter[int] = Counter()
        self._is_changed = False
        self._heard_book = 0
        self._last_places: tuple[PlaceLoad, ...] = ()
        self._next_seconds = 0.0
        self.routers = 1
        self.shares = make_share_book()

    def is_news(
        self, places: tuple[PlaceLoad, ...], is_due: bool, now_seconds: float
    ) -> bool:
        """Return whether a router has to tell what it has under way.

        Args:
            places: What it has under way and has sent.
            is_due: Whether it tells all the same, to be counted as living.
            now_seconds: The present time.
        """
        is_changed = places != self._last_places
        return is_due or (is_changed and now_seconds >= self._next_seconds)

    def own(
        self,
        places: tuple[PlaceLoad, ...],
        asked: tuple[AskedRow, ...],
        wait_seconds: float,
        begun_tokens: int,
        now_seconds: float,
    ) -> RouterLoad:
        """Return what a router tells of itself.

        Args:
            places: What it has under way and has sent.
            asked: What customers have asked here.
            wait_seconds: How long a prompt waits at an engine.
            begun_tokens: What engines have begun to answer, in all.
            now_seconds: The present time.
        """
        self._last_places = places
        self._next_seconds = now_seconds + self._tell_seconds()
        self._sequence += 1
        return RouterLoad(
            self._instance_id,
            self._sequence,
            places,
            asked,
            round(wait_seconds, 4),
            begun_tokens,
        )

    def received(self, load: RouterLoad, now_seconds: float) -> None:
        """Take a router's report."""
        self.shares.told(
            load.router_id, load.asked, load.wait_seconds, load.begun_tokens
        )
        told = self._told.get(load.router_id)
        if told is None:
            # What it sent before it was heard here is long read.
            self._told[load.router_id] = _Told(load, now_seconds)
            return
        before = {place.name: place.sent_tokens for place in told.load.places}
        for place in load.places:
            more = place.sent_tokens - before.get(place.name, 0)
            if more > 0:
                told.sent_tokens[place.name] += more
                self._sent_tokens[place.name] += more
        told.load = load
        told.at_seconds = now_seconds
        self._is_changed = True

    def totals(self, is_due: bool, now_seconds: float) -> list[Outgoing]:
        """Return to each router what all others have under way, where it is news."""
        if not is_due and (not self._is_changed or now_seconds < self._next_seconds):
            return []
        self._is_changed = False
        self._next_seconds = now_seconds + self._tell_seconds()
        for router_id, told in list(self._told.items()):
            if now_seconds - told.at_seconds > REPORT_VALID_SECONDS:
                del self._told[router_id]
                self.shares.forget(router_id)
        self.routers = max(len(self._told), 1)
        requests: Counter[int] = Counter()
        for told in self._told.values():
            for place in told.load.places:
                requests[place.name] += place.requests
        shares = self.shares.rows()
        return [
            Outgoing(router_id, self._without(told, requests, shares), urgent=True)
            for router_id, told in self._told.items()
        ]

    def heard(self, fleet: FleetLoad) -> bool:
        """Take who adds up; return whether it is another one than before."""
        self.routers = max(fleet.routers, 1)
        is_new = fleet.book != self._heard_book
        self._heard_book = fleet.book
        return is_new

    def _tell_seconds(self) -> float:
        return max(TELL_SECONDS, TELL_SECONDS_A_ROUTER * self.routers)

    def _without(
        self, told: _Told, requests: Counter[int], shares: tuple[ShareRow, ...]
    ) -> FleetLoad:
        mine = {place.name: place.requests for place in told.load.places}
        places = tuple(
            PlaceLoad(
                name,
                count - mine.get(name, 0),
                self._sent_tokens[name] - told.sent_tokens[name],
            )
            for name, count in requests.items()
        )
        return FleetLoad(self._book, places, len(self._told), shares)


def make_fleet_load(instance_id: str, book: int) -> FleetLoadBook:
    """Return the book of one instance.

    Args:
        instance_id: This instance.
        book: A number that no other book has, such as its start time.
    """
    return FleetLoadBook(instance_id, book)
