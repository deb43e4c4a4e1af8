"""What follows from a failed send attempt: another one, or the call's final answer."""

from sesameford.gateway.call_context import (
    RETRY_AFTER_SECONDS,
    CallContext,
    CutError,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.forward import (
    NOT_RUN_OUTCOMES,
    SendAttemptError,
    SendOutcome,
)
from sesameford.gateway.no_target import no_target_retry_seconds
from sesameford.gateway.target_record import Reservation

# A call is refused after more failed connects than this: each may take the whole
# connect timeout.
MAX_FAILED_CONNECTS = 3
# A target whose address now belongs to another one, or that requested backoff, is
# excluded at once, so a caller whose call may not go to a second target can retry right
# away.
EXCLUDED_TARGET_RETRY_SECONDS = 0.02
# After these outcomes no other target can take the call either.
FINAL_OUTCOMES = frozenset({SendOutcome.TIMEOUT, SendOutcome.OUTDATED})
# The call did not leave the router.
UNSENT_OUTCOMES = frozenset(
    {SendOutcome.NEVER_SENT, SendOutcome.WITHHELD, SendOutcome.OUTDATED}
)
# With less time left than this, a send attempt could not return an answer in time.
MIN_TIME_LEFT_SECONDS = 0.02


def record_failed_attempt(
    deps: GatewayDeps,
    context: CallContext,
    reservation: Reservation,
    error: SendAttemptError,
) -> None:
    """Record what a failed send attempt shows about its target and the call."""
    if error.outcome in (
        SendOutcome.NEVER_SENT,
        SendOutcome.LOST,
        SendOutcome.WRONG_TARGET,
    ):
        deps.placement.record_connection_failure(reservation.target_id, deps.now())
    if error.outcome not in NOT_RUN_OUTCOMES:
        context.may_have_run = True
    if error.outcome in UNSENT_OUTCOMES:
        # No target received the call, so it does not count as an attempt.
        context.send_attempts -= 1
    if error.outcome is SendOutcome.NEVER_SENT:
        context.failed_connects += 1
    if error.outcome is SendOutcome.TOO_LONG:
        deps.metrics.record_long_answer()
    if error.outcome in (SendOutcome.BROKEN, SendOutcome.TOO_LONG):
        context.events.drop_partial()


def record_failed_request(
    deps: GatewayDeps, context: CallContext, reservation: Reservation
) -> None:
    """Record a request that its target accepted and failed."""
    deps.placement.record_bad_answer(reservation.target_id)
    if context.call.prompt is not None and context.first_event_seconds is None:
        deps.gate.record_failure(context.call.prompt.cost_tokens)


def may_send_again(
    deps: GatewayDeps, context: CallContext, error: SendAttemptError
) -> bool:
    """Return whether a call may be sent to another target after a failure."""
    if error.outcome in FINAL_OUTCOMES or is_last_attempt(context):
        return False
    if error.is_connection_lost and context.is_trial:
        # It probably crashed its target, and would crash the next one.
        return False
    if context.failed_connects > MAX_FAILED_CONNECTS:
        return False
    if context.may_have_run and not context.may_repeat:
        return False
    if context.response is not None and not _may_resume_elsewhere(context):
        return False
    if context.until_seconds - deps.loop_time() < MIN_TIME_LEFT_SECONDS:
        return False
    if error.outcome in UNSENT_OUTCOMES:
        return True
    return deps.second_sends.try_acquire(context.service, deps.spare_part(), deps.now())


def _may_resume_elsewhere(context: CallContext) -> bool:
    """Return whether another target can resume an answer that has begun.

    Without the id of an event it would begin again.
    """
    return context.route.resumable and context.events.last_event_id >= 0


def final_error(
    deps: GatewayDeps, context: CallContext, error: SendAttemptError
) -> Exception:
    """Return the error that ends a call without a complete answer."""
    if context.response is not None:
        return CutError(context, error.detail)
    if not context.may_have_run:
        retry_seconds = not_run_retry_seconds(
            deps, context.service, context.homes, error
        )
        return Refusal(503, error.outcome.value, retry_seconds)
    if error.outcome is SendOutcome.TIMEOUT:
        return Refusal(504, "timeout")
    return Refusal(502, error.outcome.value)


def is_last_attempt(context: CallContext) -> bool:
    """Return whether a call has used all attempts of its route."""
    return context.send_attempts >= context.route.attempts


def not_run_retry_seconds(
    deps: GatewayDeps,
    service: str,
    homes: frozenset[str] | None,
    error: SendAttemptError,
) -> float:
    """Return the Retry-After of a call that its targets did not run.

    Args:
        deps: The router's parts.
        service: The call's service.
        homes: The regions in which it may run, None for all.
        error: How its last send attempt failed.
    """
    if error.outcome is SendOutcome.WRONG_TARGET:
        return EXCLUDED_TARGET_RETRY_SECONDS
    candidates = deps.placement.candidates
    reason = candidates.notice_reason(service, deps.now(), homes)
    if reason is not None:
        return no_target_retry_seconds(deps, reason, service, homes)
    if error.head is not None and error.head.retry_after_seconds:
        return EXCLUDED_TARGET_RETRY_SECONDS
    return RETRY_AFTER_SECONDS
