"""Metrics of a router or replica, served on its metrics address."""

from collections import Counter

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Histogram, Registry

from sesameford.buckets import SECONDS_BUCKETS


class GatewayMetrics:
    """The metrics of one router or replica; ``open_calls`` are in progress."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.open_calls = 0
        self._refused: Counter[str] = Counter()
        self._calls = CounterMetric(
            "sesameford_calls_total",
            "Calls by outcome, route and status",
            registry=self.registry,
        )
        self._refusals = CounterMetric(
            "sesameford_call_refusals_total",
            "Answers of the system's own, by reason",
            registry=self.registry,
        )
        self._admitted = CounterMetric(
            "sesameford_asked_tokens_total",
            "Tokens that customers asked, by what became of the request at the gate",
            registry=self.registry,
        )
        self._skipped_answers = CounterMetric(
            "sesameford_skipped_answers_total",
            "Answers to other requests that arrived before a call's own",
            registry=self.registry,
        )
        self._long_answers = CounterMetric(
            "sesameford_long_answers_total",
            "Answers that were given up because they are too long, or never end",
            registry=self.registry,
        )
        self._retries = CounterMetric(
            "sesameford_retries_total",
            "Retries by service, and whether the budget allowed them",
            registry=self.registry,
        )
        self._call_seconds = Histogram(
            "sesameford_call_seconds",
            "Time from arrival to the end of the answer",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._first_event = Histogram(
            "sesameford_first_event_seconds",
            "Time from arrival to a stream's first event",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._longest_pause = Histogram(
            "sesameford_longest_pause_seconds",
            "Longest time between two events of a stream",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._gauges = Gauge(
            "sesameford_level", "Present levels, by name", registry=self.registry
        )

    def record_call_start(self) -> None:
        """Count a call that starts."""
        self.open_calls += 1

    def record_call_end(self) -> None:
        """Count a call that has its final answer."""
        self.open_calls -= 1

    def record_refusal(self, reason: str) -> None:
        """Count a refusal, which is an answer of the system's own.

        The library takes 40 microseconds for a count, a fifth of the cost of a refusal,
        so ``flush``, which runs seldom, passes the counts to it.
        """
        self._refused[reason] += 1

    def flush(self) -> None:
        """Pass the counted refusals and the open calls to the registry."""
        self.set_level("open_calls", self.open_calls)
        for reason, count in self._refused.items():
            self._refusals.set({"reason": reason}, count)

    def set_admitted_tokens(self, admission: str, tokens: int) -> None:
        """Set the total of requested tokens with this result of admission."""
        self._admitted.set({"admission": admission}, tokens)

    def record_relayed_call(
        self,
        outcome: str,
        route_id: str,
        status: int,
        took_seconds: float,
        first_event_seconds: float | None,
    ) -> None:
        """Count a call that was relayed, with its result and times."""
        labels = {"outcome": outcome, "route": route_id, "status": str(status)}
        self._calls.inc(labels)
        self._call_seconds.observe({"route": route_id}, took_seconds)
        if first_event_seconds is not None:
            self._first_event.observe({"route": route_id}, first_event_seconds)

    def record_skipped_answer(self) -> None:
        """Count an answer to another request that arrived before a call's own."""
        self._skipped_answers.inc({})

    def record_long_answer(self) -> None:
        """Count an answer that was given up because it is too long, or never ends."""
        self._long_answers.inc({})

    def set_retries(self, service: str, decision: str, retries: int) -> None:
        """Set the total of a service's retries with this decision of the budget."""
        self._retries.set({"service": service, "decision": decision}, retries)

    def record_pause(self, route_id: str, longest_pause_seconds: float) -> None:
        """Record the longest pause of a stream."""
        self._longest_pause.observe({"route": route_id}, longest_pause_seconds)

    def set_level(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.set({"name": name}, value)


def make_gateway_metrics() -> GatewayMetrics:
    """Return metrics that are all zero."""
    return GatewayMetrics()
