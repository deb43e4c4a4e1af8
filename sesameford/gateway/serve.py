"""Serves one call: sends it to targets until one gives a final answer."""

import asyncio

from aiohttp import web

from sesameford.early_answers import pop_decision
from sesameford.gateway.admit import (
    STOPPING_RETRY_SECONDS,
    admit_call,
    make_call_context,
)
from sesameford.gateway.attempt_watch import watch_attempt
from sesameford.gateway.call_context import (
    CallContext,
    CutError,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.call_log import log_end, log_failure, log_trial
from sesameford.gateway.call_turn import choose_target, take_turn
from sesameford.gateway.calls import SendAttempt
from sesameford.gateway.early_decision import EarlyCall, read_call
from sesameford.gateway.forward import (
    FAILED_OUTCOMES,
    SendAttemptError,
    SendOutcome,
    body_until,
)
from sesameford.gateway.forward_answer import cut_stream, forward_answer
from sesameford.gateway.generated_answer import refuse_call
from sesameford.gateway.send_failures import (
    MIN_TIME_LEFT_SECONDS,
    final_error,
    may_send_again,
    record_failed_attempt,
    record_failed_request,
)
from sesameford.gateway.stream_resumption import restrict_to_origin
from sesameford.gateway.target_record import Reservation
from sesameford.gateway.unserved_calls import record_unserved_call
from sesameford.stop_bound import StopEndedError


async def serve_call(deps: GatewayDeps, request: web.BaseRequest) -> web.StreamResponse:
    """Handle one HTTP request of a caller and return its answer.

    Raises:
        CancelledError: The caller left.
    """
    early: EarlyCall | None = pop_decision(request)
    call = early.call if early is not None else None
    arrived_at_seconds = early.arrived_at_seconds if early is not None else deps.now()
    admitted = early.admitted if early is not None else None
    context = None
    try:
        if call is None:
            call = read_call(deps, request.method, request.raw_path, request.headers)
        if admitted is None:
            admitted = admit_call(deps, call, arrived_at_seconds)
        # From here on a call waits for the network alone, for its body or a target.
        deps.dispatch_limit.remove(admitted.dispatch_number)
        # A planned stop waits for it while its body is on the way, too.
        deps.metrics.record_call_start()
        try:
            async with deps.stop_bound.limit():
                context = await make_call_context(
                    deps, request, call, admitted, arrived_at_seconds
                )
                response = await _send_until_answered(deps, request, context)
        except StopEndedError as error:
            raise _ended_by_stop(context) from error
        finally:
            deps.metrics.record_call_end()
            deps.stop_bound.record_duration(
                admitted.route.route_id, deps.now() - arrived_at_seconds
            )
        log_end(deps, context, "answered", "")
        if context.status >= 500:
            record_unserved_call(deps, context, f"status-{context.status}")
        return response
    except CutError as cut:
        return cut_stream(deps, request, cut)
    except Refusal as refusal:
        return refuse_call(
            deps, call, context, refusal, arrived_at_seconds
        ).to_response()
    except asyncio.CancelledError:
        if context is not None:
            log_end(deps, context, "caller-left", "")
            record_unserved_call(deps, context, "caller-left")
        raise


def _ended_by_stop(context: CallContext | None) -> Exception:
    """Return the error that ends a call as the process is about to be killed."""
    if context is None:
        return Refusal(503, "stopping", STOPPING_RETRY_SECONDS)
    if context.response is not None:
        return CutError(context, "stopping")
    if context.may_have_run or context.written_at_seconds is not None:
        return Refusal(502, "stopping")
    return Refusal(503, "stopping", STOPPING_RETRY_SECONDS)


async def _send_until_answered(
    deps: GatewayDeps, request: web.BaseRequest, context: CallContext
) -> web.StreamResponse:
    """Send a call to one target after another until one answers.

    Raises:
        Refusal: No target can take the call, or no attempt returned an answer.
        CutError: The answer broke off after the caller received a part of it.
    """
    await restrict_to_origin(deps, context)
    deps.second_sends.record_request(context.service, deps.now())
    while True:
        async with take_turn(deps, context):
            reservation = choose_target(deps, context)
            try:
                return await _send_once(deps, request, context, reservation)
            except SendAttemptError as error:
                log_failure(deps, context, reservation, error)
                record_failed_attempt(deps, context, reservation, error)
                if not may_send_again(deps, context, error):
                    raise final_error(deps, context, error) from error


async def _send_once(
    deps: GatewayDeps,
    request: web.BaseRequest,
    context: CallContext,
    reservation: Reservation,
) -> web.StreamResponse:
    """Send a call to one target and forward its answer to the caller.

    Raises:
        SendAttemptError: The attempt returned no complete answer.
    """
    left_seconds = context.until_seconds - deps.loop_time()
    if left_seconds < MIN_TIME_LEFT_SECONDS:
        deps.placement.release(reservation, deps.now())
        raise SendAttemptError(SendOutcome.TIMEOUT, "no time is left")
    context.send_attempts += 1
    context.reservation = reservation
    context.tried |= {reservation.target_id}
    resume_after = context.call.resume_after
    if context.events.last_event_id >= 0:
        resume_after = str(context.events.last_event_id)
    attempt = SendAttempt(
        reservation.target_id,
        context.customer,
        resume_after,
        reservation.copy_from,
    )

    def before_write() -> None:
        now_seconds = deps.now()
        if not deps.placement.may_send(reservation, now_seconds):
            detail = "the target requested backoff, drains or is gone"
            raise SendAttemptError(SendOutcome.WITHHELD, detail)
        if not deps.table_proof.allows_sending(deps.lag, now_seconds):
            raise SendAttemptError(SendOutcome.OUTDATED, "targets may be gone")
        # The timeout of the exchange is noticed only after the write if the loop is
        # late, and the target would work for a caller that has left.
        if context.until_seconds - deps.loop_time() < MIN_TIME_LEFT_SECONDS:
            raise SendAttemptError(SendOutcome.TIMEOUT, "no time is left to send")
        if deps.suspect_calls.is_quarantined(
            context.digest, now_seconds, context.shared_digests
        ):
            raise SendAttemptError(SendOutcome.WITHHELD, "the call is quarantined")
        context.written_at_seconds = now_seconds
        deps.suspect_calls.crashes.record_sent(
            reservation,
            context.digest,
            context.digest in context.trial_digests,
            context.shared_digests,
            context.trial_digests.intersection(context.shared_digests),
        )
        if context.is_trial:
            log_trial(context, reservation)

    context.written_at_seconds = None
    context.framing = None
    is_failed = False
    try:
        async with (
            watch_attempt(deps, context, reservation),
            deps.sender.exchange(
                context.call,
                context.body,
                reservation.address,
                attempt,
                context.until_seconds,
                before_write,
            ) as exchange,
        ):
            context.framing = exchange.framing
            deps.suspect_calls.record_alive(
                reservation, context.written_at_seconds or 0.0
            )
            deps.placement.record_answer_head(
                reservation, exchange.head, context.call.request_id, deps.now()
            )
            deps.placement.record_answer_data(reservation, deps.now())
            async with body_until(context.until_seconds):
                answer = await forward_answer(
                    deps, request, context, reservation, exchange
                )
        is_failed = context.status >= 500
    except SendAttemptError as error:
        is_failed = error.outcome in FAILED_OUTCOMES
        if error.head is not None:
            deps.placement.record_answer_head(
                reservation, error.head, context.call.request_id, deps.now()
            )
        raise
    finally:
        # A caller may leave because the answer was lost, which counts as a failure.
        if is_failed or deps.placement.is_lost(reservation, deps.now()):
            record_failed_request(deps, context, reservation)
        deps.placement.release(reservation, deps.now())
    if not is_failed:
        deps.placement.record_success(reservation.target_id)
        if not context.route.is_stream:
            deps.placement.record_work_time(context.service, reservation, deps.now())
    return answer
