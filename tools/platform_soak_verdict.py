"""What the soak of the platform's programs records, and what is wrong with it."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

from standins.platform_fleet import HeartbeatServer, PlatformFleet

# A configuration is in force everywhere within seconds of its acknowledgement.
IN_FORCE_SECONDS = 3.0
# A server that drains gets no request later than this after the acknowledgement; a
# busy machine gets a half second more.
DRAIN_SECONDS = 2.5
# So long after an evacuation was acknowledged its servers get nothing.
EVACUATED_SECONDS = 2.5
# What happened so shortly before a request may still harm it.
AFTERMATH_SECONDS = 3.0
PROMISES = (408, 421, 429, 503)


@dataclass(slots=True)
class Sent:
    """One request and what its caller saw; ``end`` names how a connection failed."""

    request_id: str
    kind: str
    router: str
    at_seconds: float
    took_seconds: float = 0.0
    status: int = 0
    is_complete: bool = False
    is_own: bool = True
    end: str = ""
    settled_version: int | None = None

    @property
    def may_repeat(self) -> bool:
        """Return whether it may run more than once."""
        return self.kind in ("safe", "stream/resumed", "new")


@dataclass(slots=True)
class Span:
    """A fault or planned stop of one thing, from and to."""

    subject: str
    from_seconds: float
    to_seconds: float = float("inf")

    def touches(self, sent: Sent) -> bool:
        """Return whether a request was under way in it or shortly after."""
        ends_seconds = sent.at_seconds + sent.took_seconds
        starts_before = self.from_seconds <= ends_seconds
        return starts_before and sent.at_seconds <= self.to_seconds + AFTERMATH_SECONDS


@dataclass(slots=True)
class Records:
    """Everything that one seed showed."""

    sent: list[Sent] = field(default_factory=list)
    servers: list[HeartbeatServer] = field(default_factory=list)
    faults: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    exit_codes: list[tuple[str, int | None]] = field(default_factory=list)
    never_ready: list[str] = field(default_factory=list)
    refused_changes: list[str] = field(default_factory=list)
    evacuations: list[Span] = field(default_factory=list)
    pauses: list[Span] = field(default_factory=list)
    newest_version: int = 0
    changes_under_way: int = 0
    is_unsure: bool = False
    _acknowledged: list[tuple[float, int]] = field(default_factory=list)

    @contextmanager
    def fault(self, subject: str) -> Iterator[None]:
        """Note a fault for as long as it lasts."""
        yield from self._span(self.faults, subject)

    @contextmanager
    def pause(self, subject: str) -> Iterator[None]:
        """Note a process that stands still, and what it does just after that."""
        yield from self._span(self.pauses, subject)

    @contextmanager
    def planned_stop(self, subject: str) -> Iterator[None]:
        """Note a planned stop for as long as it lasts."""
        yield from self._span(self.stops, subject)

    def _span(self, spans: list[Span], subject: str) -> Iterator[None]:
        span = Span(subject, monotonic())
        spans.append(span)
        self.busy.add(subject)
        try:
            yield
        finally:
            span.to_seconds = monotonic()
            self.busy.discard(subject)

    def acknowledged(self, version: int, now_seconds: float) -> None:
        """Note that a configuration was acknowledged."""
        if version > self.newest_version:
            self.newest_version = version
            self.is_unsure = False
        self._acknowledged.append((now_seconds, version))

    def settled_version(self, now_seconds: float) -> int | None:
        """Return the version that alone may be in force now, None where it isn't sure.

        A change that is under way, or was never answered, may or may not be in force.
        """
        if self.changes_under_way or self.is_unsure or not self._acknowledged:
            return None
        is_due = now_seconds - self._acknowledged[-1][0] > IN_FORCE_SECONDS
        return self.newest_version if is_due else None

    def counts(self) -> dict[str, int]:
        """Return how much was played."""
        ran = Counter(one.status for one in self.sent)
        return {
            "requests": len(self.sent),
            "answered": ran[200],
            "refused": sum(ran[status] for status in PROMISES),
            "failed": sum(ran[status] for status in (500, 502, 504)),
            "no_answer": ran[0],
            "faults": len(self.faults),
            "planned_stops": len(self.stops),
            "changes": len(self._acknowledged),
        }


def findings(records: Records, fleet: PlatformFleet) -> list[str]:
    """Return a line for each promise that was broken."""
    runs: Counter[str] = Counter()
    for one in records.servers:
        runs.update(one.server.runs)
    found: list[str] = []
    for sent in records.sent:
        found.extend(_of_request(sent, runs[sent.request_id], records))
    found.extend(f"{one} by itself" for one in fleet.unplanned_exits)
    found.extend(f"{name} is never ready" for name in records.never_ready)
    found.extend(f"change {one} refused" for one in records.refused_changes)
    found.extend(
        f"{name} ended its planned stop with {code}"
        for name, code in records.exit_codes
        if code != 0
    )
    found.extend(_late_work(records))
    found.extend(_work_while_evacuated(records))
    return found


def _of_request(sent: Sent, runs: int, records: Records) -> Iterator[str]:
    name = f"{sent.kind} {sent.request_id} at {sent.router}"
    if runs > 1 and not sent.may_repeat:
        yield f"{name} ran {runs} times"
    if sent.status in PROMISES and runs and not sent.may_repeat:
        yield f"{name} was told {sent.status} and ran"
    if sent.is_complete and not sent.is_own:
        yield f"{name} got an answer that is not its own or not whole"
    if sent.status == 401 or (sent.status == 404 and sent.kind != "new"):
        yield f"{name} was denied with {sent.status}"
    if sent.status in (400, 413, 431):
        yield f"{name} was called malformed with {sent.status}"
    touched = any(
        span.subject in (sent.router, "core") and span.touches(sent)
        for span in records.faults + records.stops
    )
    if sent.kind == "new" and sent.settled_version is not None and not touched:
        has_route = sent.settled_version % 2 == 0
        if sent.status == (404 if has_route else 200):
            yield f"{name} got {sent.status} under version {sent.settled_version}"
    is_cut = sent.status == 0 and runs > 0 and sent.end != "timeout"
    harmed = any(
        span.subject in (sent.router, "servers") and span.touches(sent)
        for span in records.faults
    )
    if is_cut and not harmed:
        stopping = any(
            span.subject == sent.router and span.touches(sent) for span in records.stops
        )
        yield f"{name} was cut ({sent.end})" + (" by a stop" if stopping else "")


def _late_work(records: Records) -> Iterator[str]:
    """Return servers that got work long after they had said that they drain."""
    core_faults = [span for span in records.faults if span.subject == "core"]
    for one in records.servers:
        if one.drained_at_seconds is None:
            continue
        late_seconds = one.server.last_arrival_seconds - one.drained_at_seconds
        drained_at_seconds = one.drained_at_seconds
        harmed = _any_near(core_faults, drained_at_seconds, drained_at_seconds)
        if late_seconds > DRAIN_SECONDS and not harmed:
            name = one.server.target_id
            yield f"{name} got work {late_seconds:.1f} s after it drained"


def _work_while_evacuated(records: Records) -> Iterator[str]:
    """Return servers that got work long after their data centre was evacuated."""
    harm = [span for span in records.faults if span.subject == "core"]
    harm += records.pauses
    for span in records.evacuations:
        for one in records.servers:
            if one.data_centre != span.subject:
                continue
            for at_seconds in one.server.arrivals_seconds:
                late_seconds = at_seconds - span.from_seconds
                if late_seconds <= EVACUATED_SECONDS or at_seconds >= span.to_seconds:
                    continue
                if not _any_near(harm, span.from_seconds, at_seconds):
                    name = one.server.target_id
                    yield f"{name} got work {late_seconds:.1f} s after its evacuation"


def _any_near(faults: list[Span], from_seconds: float, to_seconds: float) -> bool:
    """Return whether one of some faults may have harmed what happened in a time."""
    return any(
        fault.from_seconds - AFTERMATH_SECONDS <= to_seconds
        and from_seconds <= fault.to_seconds + AFTERMATH_SECONDS
        for fault in faults
    )
