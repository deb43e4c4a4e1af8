"""What one router knows of one target beside its heartbeats."""

from dataclasses import dataclass, field

from sesameford.gateway.engine_backlog import (
    LOST_SECONDS,
    EngineBacklog,
    make_engine_backlog,
)
from sesameford.gateway.engine_memory import EngineMemory, make_engine_memory

# A request without an answer so long after it was expected shows a silent target, if
# nothing else has come from there meanwhile either.
OVERDUE_SECONDS = 0.5


@dataclass(slots=True)
class TargetRecord:
    """A target's work, answers and failures.

    ``requests`` are this router's under way, ``others_requests`` those of all others.
    ``unanswered`` holds when each request was sent and when its answer was due;
    ``answered`` and ``failed`` count outcomes that are not reported yet. The target
    fails ``failed_part`` of all requests, as the whole fleet sees it.
    """

    requests: int = 0
    others_requests: int = 0
    backlog: EngineBacklog = field(default_factory=make_engine_backlog)
    memory: EngineMemory = field(default_factory=make_engine_memory)
    failures: int = 0
    rests_until_seconds: float = 0.0
    last_seen_at_seconds: float = float("-inf")
    unanswered: dict[int, tuple[float, float]] = field(default_factory=dict)
    answered: int = 0
    failed: int = 0
    failed_part: float = 0.0

    def running_requests(self, now_seconds: float) -> int:
        """Return this router's requests without those whose answers are lost."""
        lost = sum(
            now_seconds > due_at_seconds + LOST_SECONDS
            for _, due_at_seconds in self.unanswered.values()
        )
        return max(self.requests - lost, 0)

    def all_requests(self, now_seconds: float) -> int:
        """Return the requests of all routers that are under way there."""
        return self.running_requests(now_seconds) + self.others_requests

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether the oldest request without an answer is overdue.

        A server that is cut off or hangs closes no connection. What is sent there
        meanwhile is lost until its heartbeats are missed, which takes seconds.
        """
        for sent_at_seconds, due_at_seconds in self.unanswered.values():
            is_overdue = now_seconds > due_at_seconds + OVERDUE_SECONDS
            return is_overdue and self.last_seen_at_seconds < sent_at_seconds
        return False


@dataclass(frozen=True, slots=True)
class Reservation:
    """One request's share of a target's work, to be given back by ``release``.

    ``tokens`` are to be read for it and ``ahead_tokens`` before it;
    ``expected_seconds`` is the time until it is read, as it looked when it was sent.
    ``copy_from`` is the engine that it copies shared parts of the prompt from;
    ``is_cold`` says that the target has started a moment ago. A plain target had
    ``fullness`` requests under way for each of its places, this one among them.
    """

    target_id: str
    address: str
    number: int
    tokens: int = 0
    ahead_tokens: int = 0
    sent_at_seconds: float = 0.0
    expected_seconds: float = 0.0
    rate_tokens: float = 0.0
    waits_for_place: bool = False
    copy_from: str | None = None
    is_cold: bool = False
    fullness: float = 0.0
