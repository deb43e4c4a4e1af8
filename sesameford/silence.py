"""What to do with a connection on which nothing comes any more.

Something between the two ends may lose track of an open connection: it then
stays silent for good, with no error at either end, while new connections work.
Silence alone says nothing of the target. So a fresh connection is the probe,
and the target is judged by that and not by the dead one.
"""

from dataclasses import dataclass
from enum import StrEnum

from sesameford.retries import AttemptHistory
from sesameford.tables import TargetKind

CONNECT_TIMEOUT_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 2.0
CALLER_HEARTBEAT_SECONDS = 5.0
# A caller that takes nothing for so long is gone, though its connection stands.
CALLER_STALL_SECONDS = 60.0
MAX_FRUITLESS_RESUMES = 3


class Probe(StrEnum):
    """What a fresh connection to the target showed."""

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
    """When anything last came on an exchange, and what was tried since."""

    last_byte_at_seconds: float
    fruitless_resumes: int = 0


def progressed(now_seconds: float) -> StreamProgress:
    """Return the progress of an exchange on which bytes came now."""
    return StreamProgress(last_byte_at_seconds=now_seconds)


def resumed(progress: StreamProgress, now_seconds: float) -> StreamProgress:
    """Return the progress after a resume, which counts until a byte comes."""
    return StreamProgress(now_seconds, progress.fruitless_resumes + 1)


def silent_at_seconds(progress: StreamProgress, silence_seconds: float) -> float:
    """Return when an exchange counts as silent if nothing comes before."""
    # A target that works long without a word is probed less and less often.
    factor = 2.0 ** min(progress.fruitless_resumes, MAX_FRUITLESS_RESUMES)
    return progress.last_byte_at_seconds + silence_seconds * factor


def after_probe(
    kind: TargetKind,
    probe: Probe,
    history: AttemptHistory,
    now_seconds: float,
) -> NextStep:
    """Decide what becomes of a silent exchange.

    Args:
        kind: Model engines resume streams; plain services don't.
        probe: What the fresh connection showed.
        history: Of the request, its silent attempt not yet counted.
        now_seconds: The present time.

    Returns:
        ``NEW_ATTEMPT`` only where the work may be done twice and nothing was
        passed on; ``TARGET_DOWN`` says besides that the target gets no new work.
    """
    if now_seconds >= history.deadline_at_seconds:
        return NextStep.CUT
    if probe is Probe.RESUMED:
        return NextStep.READ_ON
    if probe in (Probe.REFUSED, Probe.NO_ANSWER):
        return NextStep.TARGET_DOWN
    if history.repeatable and not history.bytes_passed_on:
        return NextStep.NEW_ATTEMPT
    if kind is TargetKind.SERVICE and not history.bytes_passed_on:
        # The service may only be slow: its answer can still come, and a call
        # that may not be repeated has no other way to one.
        return NextStep.WAIT
    return NextStep.CUT
