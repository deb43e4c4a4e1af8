"""One router's record of one target, apart from its heartbeats, and reservations."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from sesameford.gateway.engine_backlog import (
    LOST_ANSWER_SECONDS,
    EngineBacklog,
    make_engine_backlog,
)
from sesameford.gateway.engine_memory import EngineMemory, make_engine_memory
from sesameford.gateway.target_speeds import WorkTimes

# A request whose answer is this late shows that the target is silent, if nothing else
# has arrived from it since the request was sent.
OVERDUE_ANSWER_SECONDS = 0.5
# The weight of a request that took longer than the known speed explains.
SLOW_SAMPLE_WEIGHT = 0.2


@dataclass(slots=True)
class TargetRecord:
    """A target's load, answers and failures.

    ``requests`` are this router's running ones, ``others_requests`` those of all other
    routers. ``unanswered`` holds by reservation number when a request was sent and
    when its answer is due. ``answered_requests`` and ``failed_requests`` count
    outcomes that are not reported yet, and ``times`` how long requests took. The target
    fails ``failed_part`` of all requests, as the whole fleet sees it. ``hold_seconds``
    returns how long a request occupies a slot there, 0 if unknown.
    """

    requests: int = 0
    others_requests: int = 0
    backlog: EngineBacklog = field(default_factory=make_engine_backlog)
    memory: EngineMemory = field(default_factory=make_engine_memory)
    consecutive_failures: int = 0
    backoff_until_seconds: float = 0.0
    last_seen_at_seconds: float = float("-inf")
    unanswered: dict[int, tuple[float, float]] = field(default_factory=dict)
    answered_requests: int = 0
    failed_requests: int = 0
    failed_part: float = 0.0
    times: WorkTimes = field(default_factory=WorkTimes)
    hold_seconds: Callable[[], float] = lambda: 0.0

    @property
    def speed(self) -> float:
        """The target's speed as a multiple of the usual one of its service."""
        return self.backlog.speed

    def set_speed(self, speed: float) -> None:
        """Set the target's speed, as the whole fleet sees it."""
        self.backlog.speed = speed

    def record_speed_sample(self, expected_seconds: float, took_seconds: float) -> None:
        """Record how long a request should have taken and took.

        One that took longer than the known speed explains probably waited for requests
        of other routers that are not known yet.
        """
        is_slow = took_seconds * self.speed > expected_seconds
        weight = SLOW_SAMPLE_WEIGHT if is_slow else 1.0
        self.times.add(weight * expected_seconds, weight * took_seconds)

    def running_requests(self, now_seconds: float) -> int:
        """Return this router's running requests, except those with lost answers.

        A late router holds requests longer than the target: it has not written some
        yet, and has not seen the end of others.
        """
        unseen_seconds = self.backlog.lag.unseen_seconds(now_seconds)
        lost_before_seconds = now_seconds - unseen_seconds - LOST_ANSWER_SECONDS
        lost_requests = sum(
            due_at_seconds < lost_before_seconds
            for _, due_at_seconds in self.unanswered.values()
        )
        held_requests = max(self.requests - lost_requests, 0)
        hold_seconds = self.hold_seconds()
        if not hold_seconds or not unseen_seconds:
            return held_requests
        return ceil(held_requests * hold_seconds / (hold_seconds + unseen_seconds))

    def all_requests(self, now_seconds: float) -> int:
        """Return the running requests of all routers."""
        return self.running_requests(now_seconds) + self.others_requests

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether the oldest unanswered request is overdue.

        A server that hangs or is partitioned closes no connection. Requests sent there
        would be lost until its heartbeats are missed, which takes seconds.
        """
        seen_until_seconds = self._seen_until_seconds(now_seconds)
        for sent_at_seconds, due_at_seconds in self.unanswered.values():
            is_overdue = seen_until_seconds > due_at_seconds + OVERDUE_ANSWER_SECONDS
            return is_overdue and self.last_seen_at_seconds < sent_at_seconds
        return False

    def is_lost(self, number: int, now_seconds: float) -> bool:
        """Return whether the answer to a request is so overdue that it counts as lost.

        Args:
            number: The number of its reservation.
            now_seconds: The present time.
        """
        waiting = self.unanswered.get(number)
        if waiting is None:
            return False
        lost_at_seconds = waiting[1] + LOST_ANSWER_SECONDS
        return self._seen_until_seconds(now_seconds) > lost_at_seconds

    def _seen_until_seconds(self, now_seconds: float) -> float:
        """Return until when this router would have seen an answer that was due."""
        return now_seconds - self.backlog.lag.unseen_seconds(now_seconds)


@dataclass(frozen=True, slots=True)
class Reservation:
    """One request's slot at a target, until ``release``.

    The engine has to read ``tokens`` for it, and ``ahead_tokens`` before them;
    ``expected_seconds`` is the estimate at sending of the time until it is read.
    ``copy_from`` is the address of the engine to copy shared parts of the prompt from;
    ``is_cold`` says that the target has started recently. ``fullness`` is the number
    of running requests for each slot of a plain target, this one included.
    ``incarnation`` and ``software_version`` are the target's at the time of the
    choice.
    """

    target_id: str
    address: str
    number: int
    tokens: int = 0
    ahead_tokens: int = 0
    sent_at_seconds: float = 0.0
    expected_seconds: float = 0.0
    rate_tokens: float = 0.0
    waits_for_slot: bool = False
    copy_from: str | None = None
    is_cold: bool = False
    fullness: float = 0.0
    incarnation: int = 0
    software_version: str = ""
