"""The sums of the fleet at one replica, and the shares that follow from them.

Each router reports to one replica, in a large fleet to one of its own data centre. A
replica adds up the reports that it gets, exchanges these sums with the other replicas
that do so too, and sends its routers what the whole fleet has under way. So what one
replica reads and sends grows with the routers of its data centre, and between data
centres one message goes for all of them. Were each replica to work out shares from its
own routers alone, a customer behind a few routers would be let in without a limit, and
get twice what all others get. One notices that in ``shares limited`` lines of two
replicas in one second, which then name different numbers of routers.

Sums are marked as whole only once it can be known that they are. After a start, or
after the process stood still, a replica has heard of no more routers than those that
report to it. By sums of the first few nobody asks for much: routers would let
everything in for a moment, and all prompts wait behind that for seconds.
"""

import logging
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from msgspec.structs import replace

from sesameford.gateway.cold_permits import ColdPermits, make_cold_permits
from sesameford.gateway.load_report import at_least_seconds, report_seconds
from sesameford.gateway.router_loads import (
    make_router_loads,
    outcomes_added_up,
    places_added_up,
    places_without,
)
from sesameford.gateway.shares import make_share_table
from sesameford.gateway.target_outcomes import make_target_outcome_table
from sesameford.load_messages import (
    FailingTarget,
    FleetLoad,
    PartialLoad,
    RouterLoad,
    TargetOutcomes,
    UsedParts,
)
from sesameford.messages import Outgoing
from sesameford.settings import ColdBoundSettings

logger = logging.getLogger(__name__)

# Sums of this part of the routers that live are whole. One that has just started is
# heard before it reports, and in a large fleet there often is one.
COMPLETE_PART = 0.97
# While more routers that live are in no sum, those of the others are taken for all of
# the fleet only after so long: routers whose replica lacks a part of the fleet turn to
# one common replica meanwhile, and only those that can't are left out in the end.
SETTLING_SECONDS = 2.0
# A replica that stood still for longer than this many reports was passed over by its
# routers, and what it knows of the fleet is old.
MISSED_REPORTS = 2.5
# An instance counts as living that was heard within two heartbeats and a half second.
HEARD_SECONDS = 1.5
# Sums of another replica that no longer come count for so long. Its routers have turned
# to others by then and would be counted twice.
PARTIAL_VALID_SECONDS = 1.0
# Replicas exchange sums so often for each other one there is, so that what they read of
# each other does not grow with the square of their number.
EXCHANGE_SECONDS_A_REPLICA = 0.02
# Rows of what was sent to engines that one message carries, some forty bytes each.
# Where more come between two messages the oldest are dropped: each router would be sent
# all requests of the fleet, which grows with the square of it. Whoever does not know
# that an engine keeps a part sends it elsewhere, which costs time and no promise.
MOST_USED_ROWS = 64


@dataclass(frozen=True, slots=True)
class LiveInstances:
    """Who is heard of the others, each within so many seconds before a time.

    ``near_replicas`` are those of the own data centre.
    """

    replicas: Callable[[float, float], Collection[str]]
    near_replicas: Callable[[float, float], Collection[str]]
    routers: Callable[[float, float], int]


@dataclass(frozen=True, slots=True)
class TargetsNow:
    """What a replica knows of the targets of engines.

    ``cold_rates_requests`` are what cold ones take in a second, by short name; the
    ``available_part`` of all is neither cold nor evacuated.
    """

    cold_rates_requests: Mapping[int, float] = field(default_factory=dict)
    available_part: float = 1.0


ALL_WARM = TargetsNow()


@dataclass(frozen=True, slots=True)
class _Partial:
    """The newest sums of another replica."""

    load: PartialLoad
    at_seconds: float


class FleetSums:
    """The sums at one replica.

    Args:
        live: Which other instances are heard.
        permits: What routers may send to cold targets.
    """

    def __init__(self, live: LiveInstances, permits: ColdPermits) -> None:
        self.permits = permits
        self.shares = make_share_table()
        self.failing: tuple[FailingTarget, ...] = ()
        self._live = live
        self._loads = make_router_loads()
        self._partials: dict[str, _Partial] = {}
        self._used: list[tuple[str, UsedParts]] = []
        self._used_here: list[UsedParts] = []
        self._outcomes = make_target_outcome_table()
        self._outcomes_here: list[TargetOutcomes] = []
        self._is_changed = False
        self._next_seconds = 0.0
        self._at_latest_seconds = 0.0
        self._next_exchange_seconds = 0.0
        self._last_tick_seconds = float("-inf")
        self._awake_since_seconds = float("-inf")
        self._incomplete_since_seconds: float | None = None

    def received(self, router_id: str, load: RouterLoad, now_seconds: float) -> None:
        """Take a router's report."""
        self._loads.received(router_id, load, now_seconds)
        self._used += [(router_id, row) for row in load.used]
        self._used_here += load.used
        self._outcomes.add(load.outcomes)
        self._outcomes_here += load.outcomes
        self._is_changed = True

    def ended(self, router_id: str) -> None:
        """Drop a router that reports to another replica from now on."""
        self._loads.ended(router_id)

    def received_partial(
        self, sender_id: str, load: PartialLoad, now_seconds: float
    ) -> None:
        """Take the sums of another replica."""
        self._partials[sender_id] = _Partial(load, now_seconds)
        self._used += [(sender_id, row) for row in load.used]
        self._outcomes.add(load.outcomes)
        self._is_changed = True

    @property
    def has_routers(self) -> bool:
        """Whether any router reports here."""
        return bool(self._loads.router_ids)

    def tick(
        self,
        declared_tokens: float | None,
        wanted_wait_seconds: float,
        now_seconds: float,
        targets: TargetsNow = ALL_WARM,
    ) -> list[Outgoing]:
        """Bring sums and shares up to date where that is due.

        Args:
            declared_tokens: What all engines produce a second, None if not known.
            wanted_wait_seconds: How long prompts may wait on average.
            now_seconds: The present time.
            targets: Which targets are cold, and which part of all takes work.

        Returns:
            What routers and other replicas are sent.
        """
        self._note_wake(now_seconds)
        self._loads.forget_silent(now_seconds)
        self._forget_partials(now_seconds)
        if not self.has_routers:
            self._used.clear()
            self._forget_news_here()
            self._incomplete_since_seconds = None
            return []
        live_routers = self._live.routers(now_seconds, HEARD_SECONDS)
        exchanged = self._exchange(live_routers, now_seconds)
        if not self._is_due(now_seconds):
            return exchanged
        direct_routers = len(self._loads.router_ids)
        self._is_changed = False
        self._next_seconds = now_seconds + report_seconds(direct_routers)
        self._at_latest_seconds = now_seconds + at_least_seconds(direct_routers)
        sums = self._sums(
            declared_tokens, wanted_wait_seconds, targets, live_routers, now_seconds
        )
        permits = self.permits.give(
            targets.cold_rates_requests, self._loads.asking(), now_seconds
        )
        return exchanged + self._answers(sums, permits)

    def _sums(
        self,
        declared_tokens: float | None,
        wanted_wait_seconds: float,
        targets: TargetsNow,
        live_routers: int,
        now_seconds: float,
    ) -> FleetLoad:
        """Return the sums of all routers that are known, and what follows from them."""
        loads = [self._loads.sums(), *(one.load for one in self._partials.values())]
        known_routers = sum(load.routers for load in loads)
        routers = max(known_routers, live_routers)
        if declared_tokens is not None:
            # Routers in no sum ask too; their part of the capacity is left to them.
            declared_tokens *= known_routers / routers
        self.shares.tick(
            loads,
            declared_tokens,
            wanted_wait_seconds,
            now_seconds,
            targets.available_part,
        )
        self.failing = self._outcomes.failing(now_seconds)
        return FleetLoad(
            places_added_up(load.target_loads for load in loads),
            routers,
            self.shares.rows(),
            is_whole=self._is_whole(known_routers, live_routers, now_seconds),
            known_routers=known_routers,
            direct_routers=len(self._loads.router_ids),
            failing=self.failing,
        )

    def _is_due(self, now_seconds: float) -> bool:
        if now_seconds >= self._at_latest_seconds:
            return True
        return self._is_changed and now_seconds >= self._next_seconds

    def _answers(
        self, sums: FleetLoad, permits: Mapping[str, Sequence[int]]
    ) -> list[Outgoing]:
        """Return the sums for each router, without what it reported itself."""
        used, self._used = self._used[-MOST_USED_ROWS:], []
        return [
            Outgoing(
                router_id,
                replace(
                    sums,
                    target_loads=places_without(
                        sums.target_loads, self._loads.places_of(router_id)
                    ),
                    used=tuple(
                        row for sender_id, row in used if sender_id != router_id
                    ),
                    permits=tuple(permits.get(router_id, ())),
                    permits_requested_milliseconds=self._loads.asked_milliseconds(
                        router_id
                    ),
                ),
                urgent=True,
            )
            for router_id in self._loads.router_ids
        ]

    def _exchange(self, live_routers: int, now_seconds: float) -> list[Outgoing]:
        """Return the sums of this replica's routers for the others that add up too.

        Those that are not known to do so only hear that this one does, while some
        routers report elsewhere. So nothing is exchanged where all report here.
        """
        if now_seconds < self._next_exchange_seconds:
            return []
        others = self._live.replicas(now_seconds, HEARD_SECONDS)
        self._next_exchange_seconds = now_seconds + EXCHANGE_SECONDS_A_REPLICA * max(
            len(others), 1
        )
        hears_all = len(self._loads.router_ids) >= live_routers
        adding = [one for one in others if one in self._partials]
        outgoing = []
        if adding:
            used = tuple(self._used_here[-MOST_USED_ROWS:])
            load = self._loads.sums(used, outcomes_added_up(self._outcomes_here))
            outgoing = [Outgoing(one, load, urgent=True) for one in adding]
        if not hears_all:
            silent = [one for one in others if one not in self._partials]
            outgoing += [Outgoing(one, PartialLoad(), urgent=True) for one in silent]
        self._forget_news_here()
        return outgoing

    def _forget_news_here(self) -> None:
        """Drop what routers have reported here since the last exchange."""
        self._used_here.clear()
        self._outcomes_here.clear()

    def _forget_partials(self, now_seconds: float) -> None:
        for sender_id, one in list(self._partials.items()):
            if now_seconds - one.at_seconds > PARTIAL_VALID_SECONDS:
                del self._partials[sender_id]

    def _note_wake(self, now_seconds: float) -> None:
        """Begin anew after a start, or after this process stood still for long."""
        since_seconds = now_seconds - self._last_tick_seconds
        self._last_tick_seconds = now_seconds
        usual_seconds = at_least_seconds(len(self._loads.router_ids))
        if since_seconds <= MISSED_REPORTS * usual_seconds:
            return
        self._awake_since_seconds = now_seconds
        self._incomplete_since_seconds = None
        logger.info("adds up anew", extra={"stood_still_seconds": since_seconds})

    def _is_whole(
        self, known_routers: int, live_routers: int, now_seconds: float
    ) -> bool:
        """Return whether sums are of all routers, as far as can be known."""
        is_incomplete = known_routers < COMPLETE_PART * live_routers
        if not is_incomplete:
            self._incomplete_since_seconds = None
        elif self._incomplete_since_seconds is None:
            self._incomplete_since_seconds = now_seconds
        if now_seconds - self._awake_since_seconds <= HEARD_SECONDS:
            return False
        since_seconds = self._incomplete_since_seconds
        return since_seconds is None or now_seconds - since_seconds > SETTLING_SECONDS


def make_fleet_sums(
    live: LiveInstances, permits: ColdPermits | None = None
) -> FleetSums:
    """Return the sums of a replica that has just started.

    Args:
        live: Which other instances are heard.
        permits: What routers may send to cold targets; None where none grow cold.
    """
    return FleetSums(live, permits or make_cold_permits(ColdBoundSettings(), 1))
