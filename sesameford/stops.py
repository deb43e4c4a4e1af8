"""The steps of a planned stop, which lets all running requests end."""

from dataclasses import dataclass, replace
from enum import StrEnum

REPORT_TIMEOUT_SECONDS = 10.0


class StopStep(StrEnum):
    """The step of a planned stop that an instance has reached."""

    SERVING = "serving"
    UNREADY = "unready"
    FINISHING = "finishing"
    REPORTING = "reporting"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class StopState:
    """A planned stop in progress.

    ``request_count`` counts the stop requests, for the log only: a repeated signal must
    not abort the running requests that the first one waits for.
    """

    step: StopStep = StopStep.SERVING
    since_seconds: float = 0.0
    request_count: int = 0


@dataclass(frozen=True, slots=True)
class StopLoad:
    """The work that this instance still holds.

    ``unreported`` counts the claims, totals and returned slots that other instances
    have not yet taken over.
    """

    running_requests: int
    waiting_requests: int
    unreported: int


def request_stop(state: StopState, now_seconds: float) -> StopState:
    """Start a planned stop; a repeated request only increases the count."""
    if state.step is StopStep.SERVING:
        return StopState(StopStep.UNREADY, now_seconds, request_count=1)
    return replace(state, request_count=state.request_count + 1)


def cancel_stop(state: StopState) -> StopState:
    """Cancel a stop whose drain is withdrawn before the work has been handed over."""
    if state.step in (StopStep.UNREADY, StopStep.FINISHING):
        return StopState()
    return state


def advance_stop(
    state: StopState,
    load: StopLoad,
    balancer_delay_seconds: float,
    now_seconds: float,
) -> StopState:
    """Return the next step of a stop once its condition holds.

    Args:
        state: The current state.
        load: The work still held.
        balancer_delay_seconds: How long the load balancer may go on sending callers
            after this instance has reported that it isn't ready.
        now_seconds: The current time.

    Returns:
        The state from now on.
    """
    waited_seconds = now_seconds - state.since_seconds
    if state.step is StopStep.UNREADY and waited_seconds >= balancer_delay_seconds:
        return replace(state, step=StopStep.FINISHING, since_seconds=now_seconds)
    if state.step is StopStep.FINISHING:
        if load.running_requests or load.waiting_requests:
            return state
        return replace(state, step=StopStep.REPORTING, since_seconds=now_seconds)
    # The receivers of the reports may be disconnected for hours. They treat missing
    # reports as they treat a crash, so ending without them reports nothing false.
    reported = not load.unreported or waited_seconds >= REPORT_TIMEOUT_SECONDS
    if state.step is StopStep.REPORTING and reported:
        return replace(state, step=StopStep.STOPPED, since_seconds=now_seconds)
    return state


def is_ready(state: StopState) -> bool:
    """Return whether the load balancer may send new callers."""
    return state.step is StopStep.SERVING


def accepts_requests(state: StopState) -> bool:
    """Return whether new requests are served; others are answered as not run."""
    return state.step in (StopStep.SERVING, StopStep.UNREADY)


def refuses_waiting_request(
    state: StopState, waited_seconds: float, refuse_after_seconds: float
) -> bool:
    """Return whether a waiting request is now answered as not run.

    Waiting requests are still dispatched during the finishing step, so most of them
    run. One that has waited too long in it is refused, so that its caller can send it
    to another instance at once.
    """
    return state.step is StopStep.FINISHING and waited_seconds >= (refuse_after_seconds)
