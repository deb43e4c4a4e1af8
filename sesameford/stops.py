"""The steps of a planned stop, by signal or by the tree: it cuts nothing."""

from dataclasses import dataclass, replace
from enum import StrEnum

REPORT_LIMIT_SECONDS = 10.0


class StopStep(StrEnum):
    """Where an instance stands on its way out."""

    SERVING = "serving"
    UNREADY = "unready"
    FINISHING = "finishing"
    REPORTING = "reporting"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class StopState:
    """A planned stop in progress.

    ``request_count`` counts the signals, for the log only: an impatient second signal
    would otherwise cut the requests that the first one waits for.
    """

    step: StopStep = StopStep.SERVING
    since_seconds: float = 0.0
    request_count: int = 0


@dataclass(frozen=True, slots=True)
class StopLoad:
    """What this instance still holds.

    ``unreported`` counts the claims, totals and returned slots that others have
    not yet taken over.
    """

    running_requests: int
    waiting_requests: int
    unreported: int


def request_stop(state: StopState, now_seconds: float) -> StopState:
    """Begin a planned stop; asked again it changes nothing but the count."""
    if state.step is StopStep.SERVING:
        return StopState(StopStep.UNREADY, now_seconds, request_count=1)
    return replace(state, request_count=state.request_count + 1)


def cancel_stop(state: StopState) -> StopState:
    """Serve on, where the tree takes a drain back before the work was handed over."""
    if state.step in (StopStep.UNREADY, StopStep.FINISHING):
        return StopState()
    return state


def advance_stop(
    state: StopState,
    load: StopLoad,
    balancer_delay_seconds: float,
    now_seconds: float,
) -> StopState:
    """Take the next step of a stop where its time has come.

    Args:
        state: The present step.
        load: What is still held.
        balancer_delay_seconds: For how long the balancer may go on sending
            callers here after this instance has said that it isn't ready.
        now_seconds: The present time.

    Returns:
        The state after this moment.
    """
    waited_seconds = now_seconds - state.since_seconds
    if state.step is StopStep.UNREADY and waited_seconds >= balancer_delay_seconds:
        return replace(state, step=StopStep.FINISHING, since_seconds=now_seconds)
    if state.step is StopStep.FINISHING:
        if load.running_requests or load.waiting_requests:
            return state
        return replace(state, step=StopStep.REPORTING, since_seconds=now_seconds)
    # Reports go to others, who may be cut off for hours. What they don't hear
    # they learn as from a crash, so nobody is told anything untrue.
    reported = not load.unreported or waited_seconds >= REPORT_LIMIT_SECONDS
    if state.step is StopStep.REPORTING and reported:
        return replace(state, step=StopStep.STOPPED, since_seconds=now_seconds)
    return state


def is_ready(state: StopState) -> bool:
    """Return whether the balancer may send new callers."""
    return state.step is StopStep.SERVING


def accepts_requests(state: StopState) -> bool:
    """Return whether a new request is served; otherwise it hears not-run."""
    return state.step in (StopStep.SERVING, StopStep.UNREADY)


def hands_back_waiting(
    state: StopState, waited_seconds: float, hand_back_after_seconds: float
) -> bool:
    """Return whether a waiting request is now answered as not run.

    Waiting requests go on being dispatched while the stop finishes, so most run;
    one that has waited long in the stop goes back to its caller, who can send it
    to another instance at once.
    """
    return state.step is StopStep.FINISHING and waited_seconds >= (
        hand_back_after_seconds
    )
