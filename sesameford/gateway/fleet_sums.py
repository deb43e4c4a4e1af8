"""What a replica tells while it adds up: sums to routers, loads to other adders.

Its sums are marked as those of all routers only once it can know that they are. After a
start, or after the process stood still, it has heard of no more routers than those that
tell it their loads. By sums of the first few nobody asks for much: routers let 3,200
thousand tokens in within a second, and prompts waited for three seconds.
"""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from sesameford.gateway.fleet_load import FleetLoadBook
from sesameford.gateway.load_relay import make_load_relay
from sesameford.messages import LoadsPassedOn, Outgoing, RouterLoad

logger = logging.getLogger(__name__)

# A replica that begins to add up waits so many tellings for routers that live and don't
# tell it anything: a router that lost one message is heard with the next, and what is
# told to another replica comes with the one after. After that they are cut off.
SETTLING_TELLS = 3.5
# A replica that was told something and has left out so many answers is passed over, so
# one that stood still for as long has been. Its heartbeats are missed after 1.5 s only,
# and loads and shares would stand still.
MISSED_ANSWERS = 2.5
# An instance counts as living that was heard within two heartbeats and a half second.
HEARD_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class LiveInstances:
    """Who is heard of the others, each within so many seconds before a time."""

    replicas: Callable[[float, float], Collection[str]]
    routers: Callable[[float, float], int]


class FleetSums:
    """The adding up at one replica.

    Args:
        book: The loads that are known here.
        live: Which other instances are heard.
    """

    def __init__(self, book: FleetLoadBook, live: LiveInstances) -> None:
        self._book = book
        self._live = live
        self._relay = make_load_relay()
        self._last_tick_seconds = float("-inf")
        self._awake_since_seconds = float("-inf")
        self._adds_up_since_seconds: float | None = None

    def told(self, load: RouterLoad, now_seconds: float) -> None:
        """Take what a router tells."""
        self._book.received(load, now_seconds)
        self._relay.told(load)

    def passed_on(
        self, sender_id: str, passed: LoadsPassedOn, now_seconds: float
    ) -> None:
        """Take what routers told another replica."""
        self._relay.heard(sender_id, now_seconds)
        for load in passed.loads:
            self._book.passed_on(load, now_seconds)

    def known_part(self, now_seconds: float) -> float:
        """Return of which part of the routers that live loads are known here.

        The others ask too: of what is declared only this part is given out from here.
        """
        known_routers = self._book.known_routers(now_seconds)
        if not known_routers:
            return 0.0
        live_routers = self._live.routers(now_seconds, HEARD_SECONDS)
        return known_routers / max(known_routers, live_routers)

    def outgoing(
        self, is_due: bool, tell_seconds: float, now_seconds: float
    ) -> list[Outgoing]:
        """Return what routers and other replicas are told now.

        Args:
            is_due: Whether routers are told all the same.
            tell_seconds: How often something is told in any case.
            now_seconds: The present time.
        """
        self._note_wake(MISSED_ANSWERS * tell_seconds, now_seconds)
        if not self._book.direct_routers():
            self._adds_up_since_seconds = None
            self._book.forget_silent(now_seconds)
            return []
        live_routers = self._live.routers(now_seconds, HEARD_SECONDS)
        is_whole = self._is_whole(SETTLING_TELLS * tell_seconds, now_seconds)
        totals = self._book.totals(is_due, now_seconds, live_routers, is_whole)
        if not totals:
            return []
        hears_all = self._book.direct_routers() >= live_routers
        others = self._live.replicas(now_seconds, HEARD_SECONDS)
        return totals + self._relay.pass_on(others, hears_all, now_seconds)

    def _note_wake(self, still_seconds: float, now_seconds: float) -> None:
        """Begin anew after a start, or after this process stood still for so long."""
        since_seconds = now_seconds - self._last_tick_seconds
        self._last_tick_seconds = now_seconds
        if since_seconds <= still_seconds:
            return
        self._awake_since_seconds = now_seconds
        self._adds_up_since_seconds = None
        logger.info("adds up anew", extra={"stood_still_seconds": since_seconds})

    def _is_whole(self, settling_seconds: float, now_seconds: float) -> bool:
        """Return whether sums are of all routers, as far as can be known.

        Of all that live, once all of them had the time to be heard; or of as many as
        there will be, once routers that live but don't tell had the time to do so.
        """
        is_settled = self._is_settled(settling_seconds, now_seconds)
        if now_seconds - self._awake_since_seconds <= HEARD_SECONDS:
            return False
        return is_settled or self.known_part(now_seconds) >= 1.0

    def _is_settled(self, settling_seconds: float, now_seconds: float) -> bool:
        """Return whether routers have told this replica for so long."""
        if self._adds_up_since_seconds is None:
            self._adds_up_since_seconds = now_seconds
        return now_seconds - self._adds_up_since_seconds > settling_seconds


def make_fleet_sums(book: FleetLoadBook, live: LiveInstances) -> FleetSums:
    """Return the adding up of a replica that has just started.

    Args:
        book: The loads that are known here.
        live: Which other instances are heard.
    """
    return FleetSums(book, live)
