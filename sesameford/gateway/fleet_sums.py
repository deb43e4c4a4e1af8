"""The fleet's loads summed at one replica, and the shares computed from them.

Each router reports to one replica, the aggregator; in a large fleet to one of its own
data centre. An aggregator sums the reports that it receives, exchanges these sums with
the other aggregators, and sends its routers the load of the whole fleet. So the traffic
of one replica grows with the routers of its data centre only, and one message between
two data centres carries the sums of all routers of one. If each replica computed shares
from its own routers alone, a customer with few routers would be admitted without a
limit, and get twice as much as all others. The sign of that would be ``shares limited``
lines of two replicas in one second that name different numbers of routers.

Sums are marked as whole only when the replica can know that they are. After a start, or
after the process stood still, a replica knows only the routers that report to it. By
the sums of the first few routers demand is low: routers would admit everything, and all
prompts would wait for seconds behind that.
"""

import logging
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from msgspec.structs import replace

from sesameford.gateway.cold_permits import ColdPermits, make_cold_permits
from sesameford.gateway.load_report import (
    max_report_interval_seconds,
    report_interval_seconds,
)
from sesameford.gateway.router_loads import (
    make_router_loads,
    subtract_target_loads,
    sum_outcomes,
    sum_target_loads,
    sum_times,
)
from sesameford.gateway.shares import make_share_table
from sesameford.gateway.target_outcomes import make_target_outcome_table
from sesameford.gateway.target_speeds import make_target_speed_table
from sesameford.load_messages import (
    FailingTarget,
    FleetLoad,
    PartialLoad,
    RouterLoad,
    TargetOutcomes,
    TargetSpeed,
    TargetTimes,
    UsedParts,
)
from sesameford.messages import Outgoing
from sesameford.settings import ColdBoundSettings

logger = logging.getLogger(__name__)

# Sums that contain this part of the live routers count as whole. A router that has just
# started is live before it reports, and a large fleet often has one.
COMPLETE_PART = 0.97
# While more live routers are missing, sums count as whole only after this time.
# Meanwhile routers whose replica lacks a part of the fleet turn to one common replica,
# so that finally only those that can't reach it are left out.
SETTLING_SECONDS = 2.0
# If a replica stood still for more than this many report intervals, its routers have
# excluded it, and its data on the fleet is outdated.
MISSED_REPORTS = 2.5
# An instance is live if a heartbeat arrived within this time: two heartbeat intervals
# and half a second.
INSTANCE_LIVE_SECONDS = 1.5
# Sums of another replica expire after this time. Its routers have turned to other
# replicas by then and would be counted twice.
PARTIAL_VALID_SECONDS = 1.0
# The interval of the exchange of sums, for each other replica. It grows with their
# number so that the traffic does not grow with its square.
EXCHANGE_SECONDS_PER_REPLICA = 0.02
# The most rows of parts sent to engines in one message, some forty bytes each. If there
# are more, the oldest are dropped: sending all requests of the fleet to each router
# would make the traffic grow with the square of the fleet. A router that does not know
# that an engine has a part in its cache sends the prompt elsewhere, which costs time
# but breaks no guarantee.
MAX_USED_ROWS = 64
# The interval of messages with the speeds of targets, which change slowly.
SPEEDS_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class LiveInstances:
    """The other live instances.

    Each function takes the present time and the longest time since the last heartbeat,
    both in seconds. ``near_replicas`` are those of the own data centre.
    """

    replicas: Callable[[float, float], Collection[str]]
    near_replicas: Callable[[float, float], Collection[str]]
    routers: Callable[[float, float], int]


@dataclass(frozen=True, slots=True)
class TargetAvailability:
    """How far the engines accept work at present.

    ``cold_rates`` are the requests a second that cold ones accept, by short name;
    ``available_part`` is the part of all that is neither cold nor evacuated, and
    ``table_digest`` the digest of the table that has them.
    """

    cold_rates: Mapping[int, float] = field(default_factory=dict)
    available_part: float = 1.0
    table_digest: int = 0


ALL_WARM = TargetAvailability()


@dataclass(frozen=True, slots=True)
class _ReplicaSums:
    """The last sums received from another replica."""

    load: PartialLoad
    at_seconds: float


class FleetSums:
    """The sums at one replica.

    Args:
        live: The other live instances.
        permits: Grants permits for cold targets.
    """

    def __init__(self, live: LiveInstances, permits: ColdPermits) -> None:
        self.permits = permits
        self.shares = make_share_table()
        self.failing: tuple[FailingTarget, ...] = ()
        self._live = live
        self._loads = make_router_loads()
        self._partials: dict[str, _ReplicaSums] = {}
        self._used: list[tuple[str, UsedParts]] = []
        self._unexchanged_used: list[UsedParts] = []
        self._outcomes = make_target_outcome_table()
        self._unexchanged_outcomes: list[TargetOutcomes] = []
        self.speeds: tuple[TargetSpeed, ...] = ()
        self._speeds = make_target_speed_table()
        self._unexchanged_times: list[TargetTimes] = []
        self._next_speeds_seconds = 0.0
        self._is_changed = False
        self._next_seconds = 0.0
        self._at_latest_seconds = 0.0
        self._next_exchange_seconds = 0.0
        self._last_tick_seconds = float("-inf")
        self._running_since_seconds = float("-inf")
        self._incomplete_since_seconds: float | None = None

    def handle_report(
        self, router_id: str, load: RouterLoad, now_seconds: float
    ) -> None:
        """Handle a router's report."""
        self._loads.record_report(router_id, load, now_seconds)
        self._used += [(router_id, row) for row in load.used]
        self._unexchanged_used += load.used
        self._outcomes.record_outcomes(load.outcomes)
        self._unexchanged_outcomes += load.outcomes
        self._speeds.record_times(load.times)
        self._unexchanged_times += load.times
        self._is_changed = True

    def handle_handover(self, router_id: str) -> None:
        """Remove a router that now reports to another replica."""
        self._loads.remove_router(router_id)

    def handle_partial(
        self, sender_id: str, load: PartialLoad, now_seconds: float
    ) -> None:
        """Handle the sums of another replica."""
        self._partials[sender_id] = _ReplicaSums(load, now_seconds)
        self._used += [(sender_id, row) for row in load.used]
        self._outcomes.record_outcomes(load.outcomes)
        self._speeds.record_times(load.times)
        self._is_changed = True

    @property
    def has_routers(self) -> bool:
        """Whether any router reports here."""
        return bool(self._loads.router_ids)

    @property
    def router_waits_seconds(self) -> list[float]:
        """Return the average wait of a prompt as each router here estimates it."""
        return self._loads.waits_seconds

    def tick(
        self,
        declared_tokens: float | None,
        base_wait_seconds: float,
        now_seconds: float,
        targets: TargetAvailability = ALL_WARM,
    ) -> list[Outgoing]:
        """Update sums and shares if they are due.

        Args:
            declared_tokens: What all engines produce a second, None if not known.
            base_wait_seconds: The least limit of the average wait of prompts.
            now_seconds: The present time.
            targets: The cold targets, and the part of all that accepts work.

        Returns:
            Messages for routers and other replicas.
        """
        self._detect_pause(now_seconds)
        self._loads.remove_expired(now_seconds)
        self._remove_expired_partials(now_seconds)
        if not self.has_routers:
            self._used.clear()
            self._clear_unexchanged()
            self._incomplete_since_seconds = None
            return []
        live_routers = self._live.routers(now_seconds, INSTANCE_LIVE_SECONDS)
        exchanged = self._make_exchange(live_routers, now_seconds)
        if not self._is_due(now_seconds):
            return exchanged
        direct_routers = len(self._loads.router_ids)
        self._is_changed = False
        self._next_seconds = now_seconds + report_interval_seconds(direct_routers)
        self._at_latest_seconds = now_seconds + max_report_interval_seconds(
            direct_routers
        )
        sums = self._sums(
            declared_tokens, base_wait_seconds, targets, live_routers, now_seconds
        )
        permits = self.permits.grant(
            targets.cold_rates, self._loads.list_permit_requesters(), now_seconds
        )
        return exchanged + self._make_answers(sums, permits)

    def _sums(
        self,
        declared_tokens: float | None,
        base_wait_seconds: float,
        targets: TargetAvailability,
        live_routers: int,
        now_seconds: float,
    ) -> FleetLoad:
        """Return the sums and shares of all routers whose reports are known."""
        loads = [self._loads.sums(), *(one.load for one in self._partials.values())]
        known_routers = sum(load.routers for load in loads)
        routers = max(known_routers, live_routers)
        if declared_tokens is not None:
            # Routers that are in no sum have demand too, so their part is set aside.
            declared_tokens *= known_routers / routers
        self.shares.tick(
            loads,
            declared_tokens,
            base_wait_seconds,
            now_seconds,
            targets.available_part,
        )
        self.failing = self._outcomes.failing_targets(now_seconds)
        return FleetLoad(
            sum_target_loads(load.target_loads for load in loads),
            routers,
            self.shares.rows(),
            is_whole=self._is_whole(known_routers, live_routers, now_seconds),
            known_routers=known_routers,
            direct_routers=len(self._loads.router_ids),
            failing=self.failing,
            speeds=self._due_speeds(now_seconds),
            table_digest=targets.table_digest,
        )

    def _due_speeds(self, now_seconds: float) -> tuple[TargetSpeed, ...] | None:
        """Return the speeds of targets if they are to be sent now."""
        if now_seconds < self._next_speeds_seconds:
            return None
        self._next_speeds_seconds = now_seconds + SPEEDS_SECONDS
        self.speeds = self._speeds.speeds(now_seconds)
        return self.speeds

    def _is_due(self, now_seconds: float) -> bool:
        if now_seconds >= self._at_latest_seconds:
            return True
        return self._is_changed and now_seconds >= self._next_seconds

    def _make_answers(
        self, sums: FleetLoad, permits: Mapping[str, Sequence[int]]
    ) -> list[Outgoing]:
        """Return the sums for each router, without its own reports."""
        used, self._used = self._used[-MAX_USED_ROWS:], []
        return [
            Outgoing(
                router_id,
                replace(
                    sums,
                    target_loads=subtract_target_loads(
                        sums.target_loads, self._loads.target_loads_of(router_id)
                    ),
                    used=tuple(
                        row for sender_id, row in used if sender_id != router_id
                    ),
                    permits=tuple(permits.get(router_id, ())),
                    permits_requested_milliseconds=self._loads.permits_requested_milliseconds(
                        router_id
                    ),
                    report_milliseconds=self._loads.sent_milliseconds(router_id),
                ),
                urgent=True,
            )
            for router_id in self._loads.router_ids
        ]

    def _make_exchange(self, live_routers: int, now_seconds: float) -> list[Outgoing]:
        """Return the sums of this replica's routers for the other aggregators.

        While some routers report elsewhere, replicas that are not known as aggregators
        get an empty message, which announces this one. So nothing is exchanged while
        all routers report here.
        """
        if now_seconds < self._next_exchange_seconds:
            return []
        others = self._live.replicas(now_seconds, INSTANCE_LIVE_SECONDS)
        self._next_exchange_seconds = now_seconds + EXCHANGE_SECONDS_PER_REPLICA * max(
            len(others), 1
        )
        has_all_reports = len(self._loads.router_ids) >= live_routers
        aggregators = [one for one in others if one in self._partials]
        outgoing = []
        if aggregators:
            used = tuple(self._unexchanged_used[-MAX_USED_ROWS:])
            load = self._loads.sums(
                used,
                sum_outcomes(self._unexchanged_outcomes),
                sum_times(self._unexchanged_times),
            )
            outgoing = [Outgoing(one, load, urgent=True) for one in aggregators]
        if not has_all_reports:
            silent = [one for one in others if one not in self._partials]
            outgoing += [Outgoing(one, PartialLoad(), urgent=True) for one in silent]
        self._clear_unexchanged()
        return outgoing

    def _clear_unexchanged(self) -> None:
        """Delete what routers have reported here since the last exchange."""
        self._unexchanged_used.clear()
        self._unexchanged_outcomes.clear()
        self._unexchanged_times.clear()

    def _remove_expired_partials(self, now_seconds: float) -> None:
        for sender_id, one in list(self._partials.items()):
            if now_seconds - one.at_seconds > PARTIAL_VALID_SECONDS:
                del self._partials[sender_id]

    def _detect_pause(self, now_seconds: float) -> None:
        """Reset the start of the sums if this process has started or stood still."""
        since_seconds = now_seconds - self._last_tick_seconds
        self._last_tick_seconds = now_seconds
        usual_seconds = max_report_interval_seconds(len(self._loads.router_ids))
        if since_seconds <= MISSED_REPORTS * usual_seconds:
            return
        self._running_since_seconds = now_seconds
        self._incomplete_since_seconds = None
        logger.info(
            "aggregation restarted", extra={"stood_still_seconds": since_seconds}
        )

    def _is_whole(
        self, known_routers: int, live_routers: int, now_seconds: float
    ) -> bool:
        """Return whether sums contain all routers, as far as this replica can know."""
        is_incomplete = known_routers < COMPLETE_PART * live_routers
        if not is_incomplete:
            self._incomplete_since_seconds = None
        elif self._incomplete_since_seconds is None:
            self._incomplete_since_seconds = now_seconds
        if now_seconds - self._running_since_seconds <= INSTANCE_LIVE_SECONDS:
            return False
        since_seconds = self._incomplete_since_seconds
        return since_seconds is None or now_seconds - since_seconds > SETTLING_SECONDS


def make_fleet_sums(
    live: LiveInstances, permits: ColdPermits | None = None
) -> FleetSums:
    """Return the sums of a replica that has just started.

    Args:
        live: The other live instances.
        permits: Grants permits for cold targets; None if targets are never cold.
    """
    return FleetSums(live, permits or make_cold_permits(ColdBoundSettings(), 1))
