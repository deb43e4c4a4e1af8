"""Rules for a connection on which no data arrives any more.

A middlebox may lose track of an open connection. The connection then stays silent
with no error at either end, while new connections work. Silence alone therefore
proves nothing about the target: a fresh connection probes it, and only the probe's
result counts.
"""

from dataclasses import dataclass
from enum import StrEnum

from sesameford.retries import AttemptHistory
from sesameford.tables import TargetKind

CONNECT_TIMEOUT_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 2.0
CALLER_HEARTBEAT_SECONDS = 5.0
# A caller that reads nothing for this long counts as gone, though its connection
# is open.
CALLER_STALL_SECONDS = 60.0
MAX_RESUMES_WITHOUT_DATA = 3


class Probe(StrEnum):
    """The result of a fresh connection to the target."""

    RESUMED = "resumed"
    UNKNOWN_STREAM = "unknown-stream"
    ALIVE = "alive"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"


class NextStep(StrEnum):
    """What follows a probe."""

    READ_ON = "read-on"
    WAIT = "wait"
    NEW_ATTEMPT = "new-attempt"
    CUT = "cut"
    TARGET_DOWN = "target-down"


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """When data last arrived on an exchange, and the resumes since then."""

    last_byte_at_seconds: float
    resumes_without_data: int = 0


def make_stream_progress(now_seconds: float) -> StreamProgress:
    """Return the progress of an exchange on which bytes arrived now."""
    return StreamProgress(last_byte_at_seconds=now_seconds)


def record_resume(progress: StreamProgress, now_seconds: float) -> StreamProgress:
    """Return the progress after a resume; the next byte resets the count."""
    return StreamProgress(now_seconds, progress.resumes_without_data + 1)


def silent_at_seconds(progress: StreamProgress, silence_seconds: float) -> float:
    """Return when an exchange counts as silent if no data arrives before."""
    # The interval doubles, so that a target that works long without output is
    # probed less often.
    factor = 2.0 ** min(progress.resumes_without_data, MAX_RESUMES_WITHOUT_DATA)
    return progress.last_byte_at_seconds + silence_seconds * factor


def choose_next_step(
    kind: TargetKind,
    probe: Probe,
    history: AttemptHistory,
    now_seconds: float,
) -> NextStep:
    """Decide how to continue after the probe of a silent exchange.

    Args:
        kind: Model engines resume streams; plain services don't.
        probe: The result of the probe.
        history: The request's attempts, without the silent one.
        now_seconds: The present time.

    Returns:
        ``NEW_ATTEMPT`` only if the request is repeatable and no byte of an answer
        was relayed; ``TARGET_DOWN`` if the target must get no new work either.
    """
    if now_seconds >= history.deadline_at_seconds:
        return NextStep.CUT
    if probe is Probe.RESUMED:
        return NextStep.READ_ON
    if probe in (Probe.REFUSED, Probe.NO_ANSWER):
        return NextStep.TARGET_DOWN
    if history.repeatable and not history.has_relayed_bytes:
        return NextStep.NEW_ATTEMPT
    if kind is TargetKind.SERVICE and not history.has_relayed_bytes:
        # The service may only be slow. Its answer can still arrive, and a call that
        # must not be repeated can get an answer only this way.
        return NextStep.WAIT
    return NextStep.CUT
