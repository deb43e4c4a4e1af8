"""What the callers, servers and faults of the soak recorded."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

from sesameford.settings import RetryBudgetSettings
from standins.platform_fleet import HeartbeatServer

# A configuration is in force everywhere within seconds of its acknowledgement.
IN_FORCE_LIMIT_SECONDS = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A fault that ended this shortly before a request may still affect it.
AFTERMATH_SECONDS = 3.0
# How often the loop of callers and servers is watched, and how late it is in a stall.
WATCH_SECONDS = 0.05
MIN_STALL_SECONDS = 0.05


@dataclass(slots=True)
class SentRequest:
    """One request and its outcome; ``failure`` names how the connection failed.

    ``resumes`` is the request that brought the first event of the stream that it
    resumes, and ``event_versions`` are the software versions of the events that it got.
    ``reason`` is why a router refused it; ``is_crashing`` says that it crashes servers,
    and ``left_early`` that its caller did not wait for the whole answer.
    """

    request_id: str
    kind: str
    router: str
    at_seconds: float
    duration_seconds: float = 0.0
    status: int = 0
    is_complete: bool = False
    is_own_answer: bool = True
    failure: str = ""
    settled_version: int | None = None
    resumes: str = ""
    event_versions: frozenset[str] = frozenset()
    reason: str = ""
    is_crashing: bool = False
    left_early: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.kind in ("safe", "stream/resumed", "new")


@dataclass(slots=True)
class Span:
    """The time span of a fault, stop or evacuation of one subject."""

    subject: str
    from_seconds: float
    to_seconds: float = float("inf")

    def overlaps(self, sent: SentRequest) -> bool:
        """Return whether a request was in progress during the span or shortly after."""
        ends_seconds = sent.at_seconds + sent.duration_seconds
        starts_before = self.from_seconds <= ends_seconds
        return starts_before and sent.at_seconds <= self.to_seconds + AFTERMATH_SECONDS


@dataclass(slots=True)
class Records:
    """Everything that was recorded in the run of one seed.

    In ``stalls`` the loop stood still that runs callers and servers.
    """

    sent: list[SentRequest] = field(default_factory=list)
    servers: list[HeartbeatServer] = field(default_factory=list)
    faults: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    disturbed: set[str] = field(default_factory=set)
    exit_codes: list[tuple[str, int | None]] = field(default_factory=list)
    never_ready: list[str] = field(default_factory=list)
    refused_changes: list[str] = field(default_factory=list)
    evacuations: list[Span] = field(default_factory=list)
    pauses: list[Span] = field(default_factory=list)
    stalls: list[Span] = field(default_factory=list)
    newest_version: int = 0
    changes_in_progress: int = 0
    is_outcome_unknown: bool = False
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    deadline_seconds: float = 4.0
    _acknowledged: list[tuple[float, int]] = field(default_factory=list)

    @contextmanager
    def record_fault(self, subject: str) -> Iterator[None]:
        """Record a fault for the duration of the context."""
        yield from self._span(self.faults, subject)

    @contextmanager
    def record_pause(self, subject: str) -> Iterator[None]:
        """Record a paused process, and the time shortly after the pause."""
        yield from self._span(self.pauses, subject)

    @contextmanager
    def record_planned_stop(self, subject: str) -> Iterator[None]:
        """Record a planned stop for the duration of the context."""
        yield from self._span(self.stops, subject)

    def _span(self, spans: list[Span], subject: str) -> Iterator[None]:
        span = Span(subject, monotonic())
        spans.append(span)
        self.disturbed.add(subject)
        try:
            yield
        finally:
            span.to_seconds = monotonic()
            self.disturbed.discard(subject)

    def record_acknowledgement(self, version: int, now_seconds: float) -> None:
        """Record that a configuration was acknowledged."""
        if version > self.newest_version:
            self.newest_version = version
            self.is_outcome_unknown = False
        self._acknowledged.append((now_seconds, version))

    def settled_version(self, now_seconds: float) -> int | None:
        """Return the only version that may be in force now, None if that is uncertain.

        A change that is in progress, or was never answered, may or may not be in force.
        """
        if (
            self.changes_in_progress
            or self.is_outcome_unknown
            or not self._acknowledged
        ):
            return None
        is_due = now_seconds - self._acknowledged[-1][0] > IN_FORCE_LIMIT_SECONDS
        return self.newest_version if is_due else None

    def counts(self) -> dict[str, int]:
        """Return the number of requests by outcome, faults, stops and changes."""
        ran = Counter(sent.status for sent in self.sent)
        return {
            "requests": len(self.sent),
            "answered": ran[200],
            "refused": sum(ran[status] for status in NOT_RUN_STATUSES),
            "resumptions": sum(bool(sent.resumes) for sent in self.sent),
            "resumed": sum(
                bool(sent.resumes) and sent.status == 200 for sent in self.sent
            ),
            "failed": sum(ran[status] for status in (500, 502, 504)),
            "no_answer": ran[0],
            "faults": len(self.faults),
            "planned_stops": len(self.stops),
            "changes": len(self._acknowledged),
            "backoffs": sum(
                call.retry_after_seconds is not None
                for server in self.servers
                for call in server.server.received_calls
            ),
            "drains_announced": sum(
                any(call.announced_drain for call in server.server.received_calls)
                for server in self.servers
            ),
        }

    async def watch_loop(self) -> None:
        """Record the stalls of the loop that runs this."""
        while True:
            before_seconds = monotonic()
            await asyncio.sleep(WATCH_SECONDS)
            now_seconds = monotonic()
            if now_seconds - before_seconds > WATCH_SECONDS + MIN_STALL_SECONDS:
                self.stalls.append(Span("loop", before_seconds, now_seconds))

    def is_excused(
        self, router: str, server_id: str, from_seconds: float, to_seconds: float
    ) -> bool:
        """Return whether a router may have lost or missed what a server stated to it.

        A router that restarts, stops or is paused, and one whose connections to the
        server are disturbed.
        """
        spans = [
            span
            for span in self.faults + self.stops + self.pauses
            if span.subject in (router, server_id)
        ]
        return is_fault_near(spans, from_seconds, to_seconds)


def is_fault_near(faults: list[Span], from_seconds: float, to_seconds: float) -> bool:
    """Return whether one of the faults may have affected a period of time."""
    return any(
        fault.from_seconds - AFTERMATH_SECONDS <= to_seconds
        and from_seconds <= fault.to_seconds + AFTERMATH_SECONDS
        for fault in faults
    )
