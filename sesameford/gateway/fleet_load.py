"""What all routers have under way at each target, added up by one replica."""

from collections import Counter
from dataclasses import dataclass

from sesameford.gateway.shares import make_share_book
from sesameford.messages import (
    AskedRow,
    FleetLoad,
    Outgoing,
    PlaceLoad,
    RouterLoad,
    UsedParts,
)

# A router's report counts for so long; it comes at least each half second.
REPORT_VALID_SECONDS = 1.6
# Routers tell what changed this often while they are few. An engine reads some
# thousand tokens meanwhile, which is what routers can err by.
TELL_SECONDS = 0.02
# More routers tell less often, so that the one who adds up gets at most some five
# hundred messages a second, a tenth of its core. With half as many, 75 routers would
# be told each 0.3 s in place of 0.15 s, and 0.87 of first events come in time in place
# of 0.92 (engines in virtual time, steady load of 18 requests a second for each).
TELL_SECONDS_A_ROUTER = 0.002
# Rows of what was sent to engines that one message carries, some forty bytes each.
# Where more come between two messages the oldest are dropped: each router would be told
# of all requests of the fleet, which grows with the square of it. Whoever does not know
# that an engine keeps a part sends it elsewhere, which costs time and no promise.
MOST_USED_ROWS = 64


@dataclass(slots=True)
class _Told:
    """The last report of one router; ``is_direct`` if it tells this instance."""

    load: RouterLoad
    at_seconds: float
    is_direct: bool


def _counts(told: _Told, now_seconds: float) -> bool:
    """Return whether a report is of a router that still tells."""
    return now_seconds - told.at_seconds <= REPORT_VALID_SECONDS


class FleetLoadBook:
    """Both ends: what this instance tells, and what it adds up of others."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._sequence = 0
        self._told: dict[str, _Told] = {}
        self._is_changed = False
        self._used: list[tuple[str, UsedParts]] = []
        self._last_places: tuple[PlaceLoad, ...] = ()
        self._next_seconds = 0.0
        self._heard_at_seconds = float("-inf")
        self.routers = 1
        self.shares = make_share_book()

    def is_news(
        self, places: tuple[PlaceLoad, ...], is_due: bool, now_seconds: float
    ) -> bool:
        """Return whether a router has to tell what it has under way.

        Args:
            places: What it has under way.
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
        begun_tokens: float,
        used: tuple[UsedParts, ...],
        now_seconds: float,
    ) -> RouterLoad:
        """Return what a router tells of itself.

        Args:
            places: What it has under way.
            asked: What customers have asked here.
            wait_seconds: How long a prompt waits at an engine.
            begun_tokens: What engines begin to answer, a second.
            used: What it has sent to engines since it spoke last.
            now_seconds: The present time.
        """
        self._last_places = places
        self._next_seconds = now_seconds + self.tell_seconds()
        self._sequence += 1
        return RouterLoad(
            self._instance_id,
            self._sequence,
            places,
            asked,
            round(wait_seconds, 4),
            begun_tokens,
            used,
        )

    def received(self, load: RouterLoad, now_seconds: float) -> None:
        """Take a router's report."""
        self._take(load, True, now_seconds)

    def passed_on(self, load: RouterLoad, now_seconds: float) -> None:
        """Take a report that a router told another replica."""
        known = self._told.get(load.router_id)
        if known is None or load.sequence > known.load.sequence:
            self._take(load, False, now_seconds)

    def _take(self, load: RouterLoad, is_direct: bool, now_seconds: float) -> None:
        self.shares.told(
            load.router_id,
            load.asked,
            load.wait_seconds,
            load.begun_tokens,
        )
        self._told[load.router_id] = _Told(load, now_seconds, is_direct)
        self._used += [(load.router_id, row) for row in load.used]
        self._is_changed = True

    def direct_routers(self) -> int:
        """Return how many routers tell their loads here."""
        return sum(told.is_direct for told in self._told.values())

    def known_routers(self, now_seconds: float) -> int:
        """Return of how many routers loads are known here, told or passed on."""
        return sum(_counts(told, now_seconds) for told in self._told.values())

    def forget_silent(self, now_seconds: float) -> None:
        """Drop the reports of routers that have fallen silent."""
        for router_id, told in list(self._told.items()):
            if not _counts(told, now_seconds):
                del self._told[router_id]
                self.shares.forget(router_id)

    def totals(
        self,
        is_due: bool,
        now_seconds: float,
        live_routers: int = 0,
        is_whole: bool = True,
    ) -> list[Outgoing]:
        """Return to each router what all others have under way, where it is news.

        Args:
            is_due: Whether it is told all the same.
            now_seconds: The present time.
            live_routers: How many are heard, whether their loads are known or not.
            is_whole: Whether the sums are of all of them, as far as can be known.
        """
        if not is_due and (not self._is_changed or now_seconds < self._next_seconds):
            return []
        self._is_changed = False
        self._next_seconds = now_seconds + self.tell_seconds()
        self.forget_silent(now_seconds)
        self.routers = max(len(self._told), live_routers, 1)
        requests: Counter[int] = Counter()
        unread_tokens: Counter[int] = Counter()
        for told in self._told.values():
            for place in told.load.places:
                requests[place.name] += place.requests
                unread_tokens[place.name] += place.unread_tokens
        shares = self.shares.rows()
        used, self._used = self._used[-MOST_USED_ROWS:], []
        return [
            Outgoing(
                router_id,
                FleetLoad(
                    self._without(told.load, requests, unread_tokens),
                    self.routers,
                    shares,
                    tuple(row for sender_id, row in used if sender_id != router_id),
                    is_whole,
                ),
                urgent=True,
            )
            for router_id, told in self._told.items()
            if told.is_direct
        ]

    def heard(self, fleet: FleetLoad, now_seconds: float) -> None:
        """Note at a router that the sums of the fleet have come."""
        if fleet.is_whole:
            self.routers = max(fleet.routers, 1)
        self._heard_at_seconds = now_seconds

    def is_alone(self, now_seconds: float) -> bool:
        """Return whether a router has had no sums for so long that it is cut off."""
        return self.age_seconds(now_seconds) > REPORT_VALID_SECONDS

    def age_seconds(self, now_seconds: float) -> float:
        """Return how old the sums of the fleet are at a router."""
        return now_seconds - self._heard_at_seconds

    def tell_seconds(self) -> float:
        """Return how often what changed is told."""
        return max(TELL_SECONDS, TELL_SECONDS_A_ROUTER * self.routers)

    def _without(
        self,
        mine: RouterLoad,
        requests: Counter[int],
        unread_tokens: Counter[int],
    ) -> tuple[PlaceLoad, ...]:
        own = {place.name: place for place in mine.places}
        places = []
        for name, count in requests.items():
            place = own.get(name, PlaceLoad(name, 0, 0))
            others_requests = count - place.requests
            others_unread = unread_tokens[name] - place.unread_tokens
            if others_requests or others_unread:
                places.append(PlaceLoad(name, others_requests, others_unread))
        return tuple(places)


def make_fleet_load(instance_id: str) -> FleetLoadBook:
    """Return the book of one instance."""
    return FleetLoadBook(instance_id)
