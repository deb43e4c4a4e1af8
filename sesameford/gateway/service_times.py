"""How long targets take, as one router learns it from their answers."""

from dataclasses import dataclass, field

from sesameford.gateway.engine_backlog import (
    MIN_SAMPLE_SECONDS,
    MIN_SAMPLE_TOKENS,
    ReadingRate,
)
from sesameford.gateway.loop_lag import LoopLag, make_loop_lag
from sesameford.gateway.target_record import Reservation, TargetRecord

# How long a request occupies its batch slot after its first event, until finished
# requests show it. A request at an engine without a free slot waits until one ends.
INITIAL_BATCH_HOLD_SECONDS = 1.0
# Weight of a new sample in the moving average of those times.
BATCH_HOLD_GAIN = 0.05
# Weight of a new sample in the moving average of a plain service's work time.
WORK_TIME_GAIN = 0.05
# The delay of a first event apart from reading prompts: the network round trip and the
# steps until an event is complete. It is a moving average over prompts too short to
# show the engine's rate; each sample is capped, as a longer delay has other causes.
INITIAL_FIXED_DELAY_SECONDS = 0.05
FIXED_DELAY_GAIN = 0.02
MAX_FIXED_DELAY_SECONDS = 0.3


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages over all targets; made by ``make_service_times``.

    ``kind_rate`` is the reading rate of engines in general, ``fixed_delay_seconds`` the
    delay of a first event apart from reading, ``hold_seconds`` how long a request
    occupies its batch slot after that. Nothing is learnt from a request during which
    this router's loop was late by ``lag``.
    """

    kind_rate: ReadingRate = field(default_factory=ReadingRate)
    fixed_delay_seconds: float = INITIAL_FIXED_DELAY_SECONDS
    hold_seconds: float = INITIAL_BATCH_HOLD_SECONDS
    lag: LoopLag = field(default_factory=make_loop_lag)
    _first_event_at_seconds: dict[int, float] = field(default_factory=dict)
    _work_seconds: dict[str, float] = field(default_factory=dict)

    def record_first_event(
        self, reservation: Reservation, record: TargetRecord, now_seconds: float
    ) -> None:
        """Record that a request's prompt has been read.

        Args:
            reservation: The request's slot.
            record: The record of its engine, whose backlog is without this request.
            now_seconds: The present time.
        """
        backlog = record.backlog
        self._first_event_at_seconds[reservation.number] = now_seconds
        # A cold engine shows neither its own rate when warm nor that of its kind.
        if reservation.waits_for_slot or reservation.is_cold:
            return
        if self.lag.was_lagging_since(reservation.sent_at_seconds, now_seconds):
            return
        took_seconds = now_seconds - reservation.sent_at_seconds
        tokens = reservation.ahead_tokens + reservation.tokens
        self._learn_fixed_delay(took_seconds - backlog.read_seconds(tokens), tokens)
        read_seconds = took_seconds - self.fixed_delay_seconds
        if not reservation.ahead_tokens and tokens >= MIN_SAMPLE_TOKENS:
            expected_seconds = tokens / backlog.usual_rate_tokens
            record.record_speed_sample(
                expected_seconds, max(read_seconds, MIN_SAMPLE_SECONDS)
            )
        self.kind_rate.record_reading(tokens, read_seconds, now_seconds)
        backlog.rate.record_reading(tokens, read_seconds, now_seconds)

    def record_end(self, reservation: Reservation, now_seconds: float) -> None:
        """Record that a request has released its slot."""
        first_event_at_seconds = self._first_event_at_seconds.pop(
            reservation.number, None
        )
        if first_event_at_seconds is None:
            return
        if not self.lag.was_lagging_since(first_event_at_seconds, now_seconds):
            held_seconds = now_seconds - first_event_at_seconds
            self.hold_seconds += BATCH_HOLD_GAIN * (held_seconds - self.hold_seconds)

    def record_work_time(
        self,
        service: str,
        reservation: Reservation,
        record: TargetRecord,
        now_seconds: float,
    ) -> None:
        """Update how long a plain service works on a request."""
        if self.lag.was_lagging_since(reservation.sent_at_seconds, now_seconds):
            return
        took_seconds = (now_seconds - reservation.sent_at_seconds) / max(
            reservation.fullness, 1.0
        )
        before_seconds = self._work_seconds.get(service, took_seconds)
        record.record_speed_sample(before_seconds, took_seconds)
        change_seconds = took_seconds - before_seconds
        self._work_seconds[service] = before_seconds + WORK_TIME_GAIN * change_seconds

    def work_seconds(self, service: str) -> float:
        """Return how long a plain service works on a request, 0 if unknown."""
        return self._work_seconds.get(service, 0.0)

    def _learn_fixed_delay(self, took_seconds: float, tokens: int) -> None:
        """Update the delay of first events apart from reading, by a short prompt."""
        if tokens < MIN_SAMPLE_TOKENS:
            took_seconds = min(max(took_seconds, 0.0), MAX_FIXED_DELAY_SECONDS)
            self.fixed_delay_seconds += FIXED_DELAY_GAIN * (
                took_seconds - self.fixed_delay_seconds
            )


def make_service_times(lag: LoopLag) -> ServiceTimes:
    """Return the times of a router that has received no answer.

    Args:
        lag: The lateness of its loop.
    """
    return ServiceTimes(lag=lag)
