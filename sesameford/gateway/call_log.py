"""Log lines for refused calls, failed send attempts and the ends of calls."""

import logging

from sesameford.gateway.call_context import CallContext, GatewayDeps, Refusal
from sesameford.gateway.calls import Call
from sesameford.gateway.forward import SendAttemptError
from sesameford.gateway.target_record import Reservation
from sesameford.request_digest import logged_digest
from sesameford.suspect_log import format_digests

logger = logging.getLogger(__name__)


def log_refusal(
    deps: GatewayDeps,
    call: Call | None,
    context: CallContext | None,
    refusal: Refusal,
    arrived_at_seconds: float,
) -> None:
    state = deps.state()
    logger.warning(
        "refused",
        extra={
            "request": call.request_id if call else "",
            "status": refusal.status,
            "reason": refusal.reason,
            "route": context.route.route_id if context else refusal.route_id,
            "customer": context.customer if context else refusal.customer,
            "digest": logged_digest(context.digest) if context else "",
            "detail": refusal.detail,
            "sendings": context.send_attempts if context else 0,
            "revision": state.tree.revision if state else 0,
            "after_seconds": round(deps.now() - arrived_at_seconds, 3),
        },
    )


def log_trial(context: CallContext, reservation: Reservation) -> None:
    """Log that a call with suspects is written to a target, and why it may be."""
    logger.warning(
        "suspect sent",
        extra={
            "request": context.call.request_id,
            "customer": context.customer or "",
            "digest": logged_digest(context.digest),
            "suspected": format_digests(sorted(context.trial_digests)),
            "target": reservation.target_id,
            "reason": context.trial_reason,
        },
    )


def log_failure(
    deps: GatewayDeps,
    context: CallContext,
    reservation: Reservation,
    error: SendAttemptError,
) -> None:
    """Log a failed send attempt.

    The ages of the choice of the target and of the written request show whether the
    target could have been known to be a bad choice, and how long it took to answer. The
    digests show which requests, and which parts of prompts, were under way at several
    targets that ended.
    """
    now_seconds = deps.now()
    written_at_seconds = context.written_at_seconds
    retry_after_seconds = error.head.retry_after_seconds if error.head else None
    logger.warning(
        "sending failed",
        extra={
            "request": context.call.request_id,
            "digest": logged_digest(context.digest),
            "parts": format_digests(context.part_digests),
            "target": reservation.target_id,
            "address": reservation.address,
            "version": reservation.software_version,
            "fate": error.outcome.value,
            "detail": error.detail,
            "framing": context.framing or "",
            "resumes": context.call.resumes_request_id or "",
            "resumed_after": _resumed_after(context),
            "sendings": context.send_attempts,
            "left_seconds": round(context.until_seconds - deps.loop_time(), 3),
            "chosen_seconds_ago": round(now_seconds - reservation.sent_at_seconds, 3),
            "written_seconds_ago": ""
            if written_at_seconds is None
            else round(now_seconds - written_at_seconds, 3),
            "retry_after_seconds": ""
            if retry_after_seconds is None
            else retry_after_seconds,
        },
    )


def _resumed_after(context: CallContext) -> str:
    """Return after which event a call was resumed, by its caller or in this answer."""
    if context.events.last_event_id >= 0 and context.send_attempts > 1:
        return str(context.events.last_event_id)
    return context.call.resume_after or ""


def log_end(deps: GatewayDeps, context: CallContext, outcome: str, detail: str) -> None:
    took_seconds = deps.now() - context.arrived_at_seconds
    deps.metrics.record_relayed_call(
        outcome,
        context.route.route_id,
        context.status,
        took_seconds,
        context.first_event_seconds,
    )
    if context.route.is_stream and context.first_event_seconds is not None:
        deps.metrics.record_pause(context.route.route_id, context.longest_pause_seconds)
    first = context.first_event_seconds
    reservation = context.reservation
    # When lines are left out, warnings are among the last.
    level = logging.WARNING if outcome == "cut" else logging.INFO
    logger.log(
        level,
        outcome,
        extra={
            "request": context.call.request_id,
            "route": context.route.route_id,
            "customer": context.customer or "",
            "digest": "" if outcome == "answered" else logged_digest(context.digest),
            "targets": ",".join(context.tried),
            "version": reservation.software_version if reservation else "",
            "resumes": context.call.resumes_request_id or "",
            "resumed_after": _resumed_after(context),
            "sendings": context.send_attempts,
            "status": context.status,
            "framing": context.framing or "",
            "detail": detail,
            "took_seconds": round(took_seconds, 3),
            "first_event_seconds": "" if first is None else round(first, 3),
            "longest_pause_seconds": round(context.longest_pause_seconds, 3),
            "waited_seconds": round(context.waited_seconds, 3),
            "objective_seconds": context.route.objective_seconds,
            "expected_seconds": round(reservation.expected_seconds, 3)
            if reservation
            else 0.0,
            "unread_tokens": reservation.tokens if reservation else 0,
            "rate_tokens": round(reservation.rate_tokens) if reservation else 0,
        },
    )
