"""The metrics of an instance, under their public names."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from sesameford.buckets import SECONDS_BUCKETS
from sesameford.outcomes import Outcomes


class Metrics:
    """The metrics of one instance and the registry that renders them."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter(
            "sesameford_requests_total", "Answered requests by customer and outcome"
        )
        self.refusals = self._counter(
            "sesameford_refusals_total", "Requests told not-run, by reason"
        )
        self.cost_units = self._counter(
            "sesameford_cost_units_total", "Cost units of service by customer"
        )
        self.retries = self._counter(
            "sesameford_retries_total", "Attempts made again, by reason"
        )
        self.control_bytes = self._counter(
            "sesameford_control_bytes_total", "Bytes between instances, by direction"
        )
        self.control_cpu_seconds = self._counter(
            "sesameford_control_cpu_seconds_total", "Processor time spent on control"
        )
        self.waiting = self._gauge(
            "sesameford_waiting_requests", "Requests that wait here"
        )
        self.running = self._gauge(
            "sesameford_running_attempts", "Attempts that run from here"
        )
        self.revision = self._gauge(
            "sesameford_tree_revision", "Revision of the tree in force here"
        )
        self.live_instances = self._gauge(
            "sesameford_live_instances", "Other instances heard of late"
        )
        self.usable_targets = self._gauge(
            "sesameford_usable_targets", "Targets that may get new work"
        )
        self.retry_budget_refusals = self._counter(
            "sesameford_retry_budget_refusals_total", "Retries that the budget forbade"
        )
        self.first_attempts = self._counter(
            "sesameford_first_attempts_total", "First attempts of requests"
        )
        self.resumed_streams = self._counter(
            "sesameford_resumed_streams_total", "Streams resumed on a new connection"
        )
        self.silent_connections = self._counter(
            "sesameford_silent_connections_total", "Connections found silent"
        )
        self.target_deaths = self._counter(
            "sesameford_target_deaths_total", "Deaths of targets with work from here"
        )
        self.suspected_bodies = self._gauge(
            "sesameford_suspected_bodies", "Bodies in flight at deaths, not cleared"
        )
        self.quarantined_bodies = self._gauge(
            "sesameford_quarantined_bodies", "Bodies refused because targets died"
        )
        self.unsettled_claims = self._gauge(
            "sesameford_unsettled_claims", "Keyed requests the log knows no end of"
        )
        self.wait_seconds = self._histogram(
            "sesameford_wait_seconds", "From arrival to dispatch"
        )
        self.first_byte_seconds = self._histogram(
            "sesameford_first_byte_seconds", "From dispatch to the first byte"
        )

    def observe_outcomes(self, outcomes: Outcomes, now_seconds: float) -> None:
        """Copy the counters of outcomes, retries and quarantine into the metrics."""
        budget = outcomes.budget
        self.retry_budget_refusals.set({}, budget.refused)
        self.first_attempts.set({}, budget.first_attempts)
        self.resumed_streams.set({}, outcomes.resumes)
        self.silent_connections.set({}, outcomes.silent_connections)
        self.target_deaths.set({}, outcomes.target_crashes)
        self.suspected_bodies.set({}, outcomes.suspects.count_suspects())
        quarantined = len(outcomes.suspects.list_quarantined(now_seconds))
        self.quarantined_bodies.set({}, quarantined)
        self.unsettled_claims.set({}, outcomes.unreported_claims)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, registry=self.registry, buckets=SECONDS_BUCKETS)
