"""What an instance reports of its work, what it is sent, and shares that follow."""

import logging
from collections.abc import Callable
from random import Random

from sesameford.gateway.aggregator_choice import make_aggregator_choice
from sesameford.gateway.call_context import GatewayState
from sesameford.gateway.cold_permits import ColdPermits
from sesameford.gateway.fleet_sums import (
    ALL_WARM,
    HEARD_SECONDS,
    MISSED_REPORTS,
    LiveInstances,
    TargetsNow,
    make_fleet_sums,
)
from sesameford.gateway.load_report import (
    REPORT_SECONDS,
    REPORT_VALID_SECONDS,
    make_load_report,
)
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.placement import Placement
from sesameford.gateway.share_gate import make_share_gate
from sesameford.gateway.shares import ShareTable, make_share_table
from sesameford.load_messages import (
    FleetLoad,
    PartialLoad,
    RouterLoad,
    RouterLoadHandover,
)
from sesameford.messages import Outgoing

logger = logging.getLogger(__name__)

# How often what shares do is logged; the rule that nobody gets far less than others is
# checked by the second.
LOGGED_AGAIN_SECONDS = 0.9
# How long prompts may wait on average at the least, as a part of the shortest
# objective: the rest is for reading the prompt itself and for what waits longer than
# the average.
WAIT_PART = 0.35


class LoadSystem:
    """Loads and shares at one instance, a router or a replica that adds up."""

    def __init__(
        self,
        has_disk: bool,
        placement: Placement,
        state: Callable[[], GatewayState | None],
        live: LiveInstances,
        send: Callable[[Outgoing], None],
        random: Random,
        permits: ColdPermits | None = None,
    ) -> None:
        self.report = make_load_report()
        self.gate = make_share_gate(random)
        self.lag = make_loop_lag()
        self._choice = make_aggregator_choice()
        self._has_disk = has_disk
        self._placement = placement
        self._state = state
        self._live = live
        self._sums = make_fleet_sums(live, permits)
        self._own_shares = make_share_table()
        self._send = send
        self._was_alone = True
        self._whole_at_seconds = float("-inf")
        self._logged_at_seconds = float("-inf")
        self._was_limited = False

    @property
    def shares(self) -> ShareTable:
        """Return the shares that are worked out here."""
        return self._sums.shares if self._has_disk else self._own_shares

    @property
    def permits_given(self) -> int:
        """Return how many permits for cold targets were given out here."""
        return self._sums.permits.given

    def heard(self, sender_id: str, fleet: FleetLoad, now_seconds: float) -> None:
        """Take what all other routers have under way, and the shares.

        Nothing is taken of a replica that gets no reports from here any more: its
        sums go on for a while without this router, and taking turns between two would
        let in what either does. Nor of one that knows only some routers: the sums of
        before are whole, and count for as long as a report does.
        """
        self._choice.heard(sender_id, fleet, now_seconds)
        if self._choice.chosen not in (None, sender_id):
            return
        self.report.heard(fleet, now_seconds)
        self._placement.candidates.cold.take(
            fleet.permits, fleet.permits_requested_milliseconds / 1000, now_seconds
        )
        state = self._state()
        if state is not None and fleet.used:
            self._placement.record_used_parts(fleet.used, state.tree.services)
        self._placement.set_failing_targets(fleet.failing)
        if fleet.is_whole:
            self._whole_at_seconds = now_seconds
        whole_age_seconds = now_seconds - self._whole_at_seconds
        if fleet.is_whole or whole_age_seconds > REPORT_VALID_SECONDS:
            self._placement.set_other_routers_load(fleet.target_loads)
            self.gate.set_fractions(fleet.shares)

    def received(self, router_id: str, load: RouterLoad, now_seconds: float) -> None:
        """Take at a replica what a router reports."""
        self._sums.received(router_id, load, now_seconds)

    def ended(self, router_id: str) -> None:
        """Drop at a replica a router that reports to another one from now on."""
        self._sums.ended(router_id)

    def received_partial(
        self, sender_id: str, load: PartialLoad, now_seconds: float
    ) -> None:
        """Take at a replica the sums of another one."""
        self._sums.received_partial(sender_id, load, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Report what is under way here, or add up what others report."""
        self.lag.ran(REPORT_SECONDS, now_seconds)
        if self._has_disk:
            self._add_up(now_seconds)
        elif self.report.may_report(now_seconds):
            self._report(now_seconds)

    def _add_up(self, now_seconds: float) -> None:
        """Work shares out, and send routers and other replicas what is due."""
        state = self._state()
        declared_tokens = None
        wanted_wait_seconds = 0.0
        targets = ALL_WARM
        if state is not None:
            declared_tokens = state.tree.fleet.tokens_per_second
            wanted_wait_seconds = WAIT_PART * state.shortest_objective_seconds
            candidates = self._placement.candidates
            targets = TargetsNow(
                candidates.cold_rates_requests(now_seconds),
                candidates.available_part(state.engine_services, now_seconds),
            )
        outgoing = self._sums.tick(
            declared_tokens, wanted_wait_seconds, now_seconds, targets
        )
        for one in outgoing:
            self._send(one)

    def _report(self, now_seconds: float) -> None:
        """Report to one replica what is under way here, where that is news."""
        self._note_source(now_seconds)
        places = self._placement.loads(now_seconds)
        lacks_permits = self._placement.candidates.lacks_permits(now_seconds)
        if not lacks_permits and not self.report.is_due(places, now_seconds):
            return
        load = RouterLoad(
            places,
            self.gate.rows(now_seconds),
            round(self._wait_seconds(now_seconds), 4),
            round(self.gate.handled.tokens_per_second(now_seconds)),
            self._placement.flush_used_parts(),
            self._placement.flush_outcomes(),
            round(now_seconds * 1000) if lacks_permits else 0,
            round(self.gate.timeliness.in_time_answers(now_seconds), 2),
            round(self.gate.timeliness.late_answers(now_seconds), 2),
        )
        self.report.reported(places, now_seconds)
        if self.report.is_alone(now_seconds):
            self._share_alone(load, now_seconds)
        replica = self._choose(now_seconds)
        if replica is not None:
            self._send(Outgoing(replica, load, urgent=True))

    def _choose(self, now_seconds: float) -> str | None:
        """Return the replica to report to; one that is left hears of it."""
        before = self._choice.chosen
        chosen = self._choice.choose(
            self._live.replicas(now_seconds, HEARD_SECONDS),
            self._live.near_replicas(now_seconds, HEARD_SECONDS),
            MISSED_REPORTS * self.report.at_least_seconds(),
            now_seconds,
        )
        if before not in (None, chosen):
            self._send(Outgoing(before, RouterLoadHandover(), urgent=True))
        return chosen

    def _wait_seconds(self, now_seconds: float) -> float:
        """Return how long a prompt waits on average over all services of engines."""
        state = self._state()
        if state is None or not state.engine_services:
            return 0.0
        waits_seconds = [
            self._placement.mean_wait_seconds(
                service, state.tree.services[service].batch_slots or 1, now_seconds
            )
            for service in state.engine_services
        ]
        return sum(waits_seconds) / len(waits_seconds)

    def _share_alone(self, load: RouterLoad, now_seconds: float) -> None:
        """Work shares out from what is asked here, for when nobody else does.

        A router that is cut off from all replicas is sent no shares. Were it to let
        everything in, one customer's flood would fill the engines for everybody.
        """
        state = self._state()
        if state is None:
            return
        declared_tokens = state.tree.fleet.tokens_per_second
        if declared_tokens is not None:
            declared_tokens /= self.report.routers
        own = PartialLoad(
            1,
            load.target_loads,
            load.customers,
            load.wait_seconds,
            load.handled_tokens,
            in_time_answers=load.in_time_answers,
            late_answers=load.late_answers,
        )
        wanted_wait_seconds = WAIT_PART * state.shortest_objective_seconds
        self._own_shares.tick((own,), declared_tokens, wanted_wait_seconds, now_seconds)
        self.gate.set_fractions(self._own_shares.rows())

    def _note_source(self, now_seconds: float) -> None:
        """Log whether shares come from a replica or from what is asked here."""
        is_alone = self.report.is_alone(now_seconds)
        if is_alone != self._was_alone:
            self._was_alone = is_alone
            source = "what is asked here" if is_alone else "a replica"
            logger.warning("shares follow another source", extra={"source": source})

    def log_shares(self, now_seconds: float) -> None:
        """Log each second which customers are limited here, and what they got."""
        if now_seconds - self._logged_at_seconds < LOGGED_AGAIN_SECONDS:
            return
        self._logged_at_seconds = now_seconds
        if not self._has_disk:
            self._log_served(now_seconds)
        if self._has_disk or self._was_alone:
            self._log_limited()
        if self._has_disk and self._sums.has_routers and self._sums.failing:
            self._log_failing()

    def _log_limited(self) -> None:
        """Log what shares are worked out from here, and for how many routers."""
        shares = self.shares
        was_limited, self._was_limited = self._was_limited, bool(shares.fractions)
        if not was_limited and not shares.fractions:
            return
        logger.info(
            "shares limited",
            extra={
                "customers": ",".join(
                    f"{one}:{fraction:.2f}"
                    for one, fraction in sorted(shares.fractions.items())
                ),
                "routers": shares.routers,
                "capacity_tokens": round(shares.capacity_tokens),
                "asked_tokens": round(sum(shares.requested_tokens.values())),
                "wait_seconds": round(shares.wait_seconds, 4),
                "wanted_seconds": round(shares.wait_setpoint_seconds, 4),
            },
        )

    def _log_failing(self) -> None:
        """Log which targets fail part of what the whole fleet sends them."""
        parts = self._placement.failed_parts_by_id(self._sums.failing)
        text = ",".join(f"{one}:{part:.2f}" for one, part in sorted(parts.items()))
        logger.warning("targets fail in part", extra={"targets": text})

    def _log_served(self, now_seconds: float) -> None:
        """Log whom shares are taken from, how old they are, and what they did.

        The refusals of a flooded router are too many for a line each; their number and
        the longest lateness of the loop stand here.
        """
        customers = self.gate.account.format_sums(self.gate.fractions)
        late_requests = self.gate.account.pop_late_requests()
        late_seconds = self.lag.take_longest_seconds()
        if not self.gate.fractions and not late_requests:
            return
        logger.info(
            "shares served",
            extra={
                "replica": self._choice.chosen or "",
                "age_seconds": round(self.report.age_seconds(now_seconds), 3),
                "routers": self.report.routers,
                "customers": customers,
                "late_seconds": round(late_seconds, 3),
                "late_requests": late_requests,
            },
        )


def make_load_system(
    has_disk: bool,
    placement: Placement,
    state: Callable[[], GatewayState | None],
    live: LiveInstances,
    send: Callable[[Outgoing], None],
    random: Random,
    permits: ColdPermits | None = None,
) -> LoadSystem:
    """Return the loads and shares of an instance.

    Args:
        has_disk: Whether it is a replica, which adds up.
        placement: What it has under way at targets.
        state: What is in force.
        live: Which other instances are heard.
        send: Sends a message.
        random: Its own, with another seed at each instance.
        permits: A replica's, for cold targets.
    """
    return LoadSystem(has_disk, placement, state, live, send, random, permits)
