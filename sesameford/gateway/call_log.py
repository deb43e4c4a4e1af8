"""The log lines of a call: refused, a sending that failed, and its end."""

import logging

from sesameford.gateway.call_context import CallContext, GatewayDeps, Refusal
from sesameford.gateway.calls import Call
from sesameford.gateway.forward import SendAttemptError
from sesameford.gateway.target_record import Reservation

logger = logging.getLogger(__name__)


def log_refusal(
    deps: GatewayDeps,
    call: Call | None,
    run: CallContext | None,
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
            "route": run.route.route_id if run else refusal.route_id,
            "customer": run.customer if run else refusal.customer,
            "detail": refusal.detail,
            "sendings": run.send_attempts if run else 0,
            "revision": state.tree.revision if state else 0,
            "after_seconds": round(deps.now() - arrived_at_seconds, 3),
        },
    )


def log_failure(
    deps: GatewayDeps, run: CallContext, lease: Reservation, error: SendAttemptError
) -> None:
    logger.warning(
        "sending failed",
        extra={
            "request": run.call.request_id,
            "target": lease.target_id,
            "address": lease.address,
            "fate": error.outcome.value,
            "detail": error.detail,
            "sendings": run.send_attempts,
        },
    )


def log_end(deps: GatewayDeps, run: CallContext, outcome: str, detail: str) -> None:
    took_seconds = deps.now() - run.arrived_at_seconds
    deps.metrics.record_relayed_call(
        outcome, run.route.route_id, run.status, took_seconds, run.first_event_seconds
    )
    if run.route.is_stream and run.first_event_seconds is not None:
        deps.metrics.record_pause(run.route.route_id, run.longest_pause_seconds)
    first = run.first_event_seconds
    lease = run.reservation
    # The line of a call that failed is among the last to be left out.
    level = logging.WARNING if outcome == "cut" else logging.INFO
    logger.log(
        level,
        outcome,
        extra={
            "request": run.call.request_id,
            "route": run.route.route_id,
            "customer": run.customer or "",
            "targets": ",".join(run.tried),
            "sendings": run.send_attempts,
            "status": run.status,
            "detail": detail,
            "took_seconds": round(took_seconds, 3),
            "first_event_seconds": "" if first is None else round(first, 3),
            "longest_pause_seconds": round(run.longest_pause_seconds, 3),
            "expected_seconds": round(lease.expected_seconds, 3) if lease else 0.0,
            "unread_tokens": lease.tokens if lease else 0,
            "rate_tokens": round(lease.rate_tokens) if lease else 0,
        },
    )
