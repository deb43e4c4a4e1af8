"""Load reports and customers' shares at one instance."""

import logging
from collections.abc import Callable
from random import Random

from sesameford.gateway.aggregator_choice import make_aggregator_choice
from sesameford.gateway.call_context import GatewayState
from sesameford.gateway.cold_permits import ColdPermits
from sesameford.gateway.fleet_sums import (
    ALL_WARM,
    INSTANCE_LIVE_SECONDS,
    MISSED_REPORTS,
    LiveInstances,
    TargetAvailability,
    make_fleet_sums,
)
from sesameford.gateway.load_log import (
    ShareSource,
    log_limited,
    log_served,
    log_targets,
)
from sesameford.gateway.load_report import (
    REPORT_SECONDS,
    REPORT_VALID_SECONDS,
    make_load_report,
)
from sesameford.gateway.placement import Placement
from sesameford.gateway.share_gate import make_share_gate
from sesameford.gateway.shares import ShareTable, make_share_table
from sesameford.gateway.table_proof import make_table_proof
from sesameford.gateway.timeliness import MIN_WAIT_FACTOR
from sesameford.load_messages import (
    FleetLoad,
    PartialLoad,
    RouterLoad,
    RouterLoadHandover,
)
from sesameford.messages import Outgoing

logger = logging.getLogger(__name__)

# The interval of log lines on shares, below a second: whether a customer gets far less
# than others is checked for each second.
LOG_INTERVAL_SECONDS = 0.9
# The least limit of the average wait of prompts, as a part of the shortest objective.
# The rest is for reading the prompt itself and for waits longer than the average.
BASE_WAIT_PART = 0.35


class LoadSystem:
    """Loads and shares at one instance: a router that reports, or an aggregator."""

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
        self.table_proof = make_table_proof()
        self.gate = make_share_gate(random)
        self.lag = placement.lag
        self._choice = make_aggregator_choice()
        self.has_disk = has_disk
        self._placement = placement
        self._state = state
        self._live = live
        self._sums = make_fleet_sums(live, permits)
        self._own_shares = make_share_table()
        self._send = send
        self._was_isolated = True
        self._logged_at_seconds = float("-inf")
        self._was_limited = False

    @property
    def shares(self) -> ShareTable:
        """Return the shares that are computed here."""
        return self._sums.shares if self.has_disk else self._own_shares

    @property
    def granted_permits(self) -> int:
        """Return how many permits for cold targets were granted here."""
        return self._sums.permits.granted

    def handle_fleet_load(
        self, sender_id: str, fleet: FleetLoad, now_seconds: float
    ) -> None:
        """Apply a replica's sums of all other routers' loads, and the shares.

        Sums of a replica that this router no longer reports to are ignored: they
        continue for a while without this router's load, and alternating between two
        replicas would admit what either of them does. Sums that lack routers are
        ignored while the last whole ones are no older than a report's validity.
        """
        self._choice.record_answer(sender_id, fleet, now_seconds)
        digest = self._placement.table_digest
        self.table_proof.record_answer(fleet, digest, now_seconds)
        if self._choice.chosen not in (None, sender_id):
            return
        self.report.record_fleet_load(fleet, now_seconds)
        self._placement.candidates.cold.record_permits(
            fleet.permits, fleet.permits_requested_milliseconds / 1000, now_seconds
        )
        state = self._state()
        if state is not None and fleet.used:
            self._placement.reports.record_used_parts(fleet.used, state.tree.services)
        self._placement.reports.set_failing_targets(fleet.failing)
        if fleet.speeds is not None and state and state.tree.fleet.target_speeds:
            self._placement.reports.set_speeds(fleet.speeds)
        whole_age_seconds = now_seconds - self.report.whole_at_seconds
        if fleet.is_whole or whole_age_seconds > REPORT_VALID_SECONDS:
            self._placement.set_other_routers_load(fleet.target_loads)
            self.gate.set_fractions(fleet.shares)

    def handle_report(
        self, router_id: str, load: RouterLoad, now_seconds: float
    ) -> None:
        """Handle a router's report at a replica."""
        self._sums.handle_report(router_id, load, now_seconds)

    def handle_handover(self, router_id: str) -> None:
        """Remove at a replica a router that now reports to another one."""
        self._sums.handle_handover(router_id)

    def handle_partial(
        self, sender_id: str, load: PartialLoad, now_seconds: float
    ) -> None:
        """Handle the sums of another replica at a replica."""
        self._sums.handle_partial(sender_id, load, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Report this router's load, or at a replica sum what routers report."""
        self.lag.record_run(REPORT_SECONDS, now_seconds)
        if self.has_disk:
            self._aggregate(now_seconds)
        elif self.report.may_report(now_seconds):
            self._report(now_seconds)

    def _aggregate(self, now_seconds: float) -> None:
        """Compute shares, and send due messages to routers and other replicas."""
        state = self._state()
        declared_tokens = None
        base_wait_seconds = 0.0
        targets = ALL_WARM
        if state is not None:
            declared_tokens = state.tree.fleet.tokens_per_second
            base_wait_seconds = BASE_WAIT_PART * state.shortest_objective_seconds
            self._set_min_wait(state)
            candidates = self._placement.candidates
            targets = TargetAvailability(
                candidates.cold_rates(now_seconds),
                candidates.available_part(state.engine_services, now_seconds),
                self._placement.table_digest,
            )
        outgoing = self._sums.tick(
            declared_tokens, base_wait_seconds, now_seconds, targets
        )
        for one in outgoing:
            self._send(one)

    def _set_min_wait(self, state: GatewayState) -> None:
        """Set how far late answers may lower the wait limit of prompts."""
        is_enabled = state.tree.fleet.timely_admission
        self.shares.min_wait_factor = MIN_WAIT_FACTOR if is_enabled else 1.0

    def _report(self, now_seconds: float) -> None:
        """Report this router's load to one replica if a report is due."""
        self._log_source(now_seconds)
        target_loads = self._placement.reports.loads(now_seconds)
        lacks_permits = self._placement.candidates.lacks_permits(now_seconds)
        if not lacks_permits and not self.report.is_due(target_loads, now_seconds):
            return
        wait_seconds = self._wait_seconds(now_seconds)
        load = RouterLoad(
            target_loads,
            self.gate.rows(
                now_seconds, wait_seconds + self.lag.lateness_seconds(now_seconds)
            ),
            round(wait_seconds, 4),
            round(self.gate.handled.tokens_per_second(now_seconds)),
            self._placement.reports.flush_used_parts(),
            self._placement.reports.flush_outcomes(),
            round(now_seconds * 1000) if lacks_permits else 0,
            round(self.gate.timeliness.in_time_answers(now_seconds), 2),
            round(self.gate.timeliness.late_answers(now_seconds), 2),
            round(self._accepting_part(now_seconds), 4),
            self._placement.reports.flush_times(),
            round(self.gate.timeliness.paused_answers(now_seconds), 2),
            int(now_seconds * 1000),
        )
        self.report.record_report(target_loads, now_seconds)
        if self.report.is_isolated(now_seconds):
            self._compute_own_shares(load, now_seconds)
        replica = self._choose_replica(now_seconds)
        if replica is not None:
            self._send(Outgoing(replica, load, urgent=True))

    def _choose_replica(self, now_seconds: float) -> str | None:
        """Return the replica to report to, and notify the previous one of a change."""
        before = self._choice.chosen
        chosen = self._choice.choose(
            self._live.replicas(now_seconds, INSTANCE_LIVE_SECONDS),
            self._live.near_replicas(now_seconds, INSTANCE_LIVE_SECONDS),
            MISSED_REPORTS * self.report.max_report_interval_seconds(),
            now_seconds,
        )
        if before not in (None, chosen):
            self._send(Outgoing(before, RouterLoadHandover(), urgent=True))
        return chosen

    def _wait_seconds(self, now_seconds: float) -> float:
        """Return the average wait of a prompt over all services of engines."""
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

    def _accepting_part(self, now_seconds: float) -> float:
        """Return the part of the engines that accept requests of this router."""
        state = self._state()
        if state is None:
            return 1.0
        candidates = self._placement.candidates
        return candidates.accepting_part(state.engine_services, now_seconds)

    def _compute_own_shares(self, load: RouterLoad, now_seconds: float) -> None:
        """Compute shares from this router's own demand while it reaches no replica.

        An isolated router receives no shares. If it admitted everything, a burst of one
        customer would fill the engines for all customers.
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
            accepting_part=load.accepting_part,
            paused_answers=load.paused_answers,
        )
        base_wait_seconds = BASE_WAIT_PART * state.shortest_objective_seconds
        self._set_min_wait(state)
        self._own_shares.tick((own,), declared_tokens, base_wait_seconds, now_seconds)
        self.gate.set_fractions(self._own_shares.rows())

    def _log_source(self, now_seconds: float) -> None:
        """Log a change between shares of a replica and shares from own demand."""
        is_isolated = self.report.is_isolated(now_seconds)
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            source = "what is asked here" if is_isolated else "a replica"
            logger.warning("shares follow another source", extra={"source": source})

    def log_shares(self, now_seconds: float) -> None:
        """Log about each second the limited customers and what they were served."""
        if now_seconds - self._logged_at_seconds < LOG_INTERVAL_SECONDS:
            return
        self._logged_at_seconds = now_seconds
        if not self.has_disk:
            self._log_served(now_seconds)
        is_aggregator = self.has_disk and self._sums.has_routers
        is_isolated_router = not self.has_disk and self._was_isolated
        if is_aggregator or is_isolated_router:
            self._log_limited()
        if is_aggregator:
            log_targets(self._placement.reports, self._sums.failing, self._sums.speeds)

    def _log_limited(self) -> None:
        """Log the shares computed here while anybody is limited, and once after."""
        was_limited, self._was_limited = self._was_limited, bool(self.shares.fractions)
        if was_limited or self.shares.fractions:
            log_limited(self.shares, self._sums.router_waits_seconds)

    def _log_served(self, now_seconds: float) -> None:
        """Log the shares that are applied here, while anybody is limited or refused."""
        sums = self.gate.account.pop_sums(self.gate.fractions)
        late_seconds = self.lag.pop_longest_seconds()
        if not self.gate.fractions and not sums.late_requests:
            return
        source = ShareSource(
            self._choice.chosen or "",
            self.report.age_seconds(now_seconds),
            self.report.routers,
            now_seconds - self.table_proof.proven_at_seconds,
        )
        view = self._placement.reports.engine_view(now_seconds)
        wait_seconds = self._wait_seconds(now_seconds)
        log_served(
            source,
            sums,
            late_seconds,
            view,
            wait_seconds,
            self.gate.timeliness,
            now_seconds,
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
        has_disk: Whether it is a replica, which may be an aggregator.
        placement: The targets and this instance's load there.
        state: Returns the settings in force, None if there are none yet.
        live: The other live instances.
        send: Sends a message.
        random: A generator of its own, with another seed at each instance.
        permits: Grants a replica's permits for cold targets.
    """
    return LoadSystem(has_disk, placement, state, live, send, random, permits)
