"""Runs one attempt at a call to a plain service."""

import asyncio

from aiohttp.web import Response

from sesameford.errors import TargetLostError
from sesameford.relay_deps import Call, RelayDeps, make_relayed_response, settle
from sesameford.retries import AttemptHistory, Failure
from sesameford.service_adapter import open_call, read_complete_body
from sesameford.silence import (
    NextStep,
    choose_next_step,
    make_stream_progress,
    record_resume,
    silent_at_seconds,
)
from sesameford.tables import Attempt, Outcome, Target, TargetKind, Usage


async def run_call(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    target: Target,
    history: AttemptHistory,
) -> Response:
    """Run a call to a plain service and return its complete answer.

    Raises:
        TargetError: The call failed; the attempt is not settled.
    """
    started_seconds = deps.now()
    exchange = asyncio.ensure_future(_send_call(deps, call, attempt, target))
    try:
        with deps.tracer.start_as_current_span("target"):
            await _wait_for_answer(deps, call, exchange, target, history)
        answer = exchange.result()
    except asyncio.CancelledError:
        usage = Usage(service_seconds=deps.now() - started_seconds)
        settle(deps, call, attempt, usage, Outcome.UNKNOWN)
        raise
    finally:
        exchange.cancel()
    usage = Usage(service_seconds=deps.now() - started_seconds)
    settle(deps, call, attempt, usage, Outcome.RAN)
    return answer


async def _send_call(
    deps: RelayDeps, call: Call, attempt: Attempt, target: Target
) -> Response:
    """Send the call on its own connection and read its complete answer."""
    response = await open_call(
        deps.session, target, attempt, call.method, call.path, call.body, call.headers
    )
    try:
        with deps.hold_answer() as hold:
            body = await read_complete_body(response, hold)
    finally:
        response.close()
    with deps.tracer.start_as_current_span("relay"):
        return make_relayed_response(response, body, call)


async def _wait_for_answer(
    deps: RelayDeps,
    call: Call,
    exchange: "asyncio.Future[Response]",
    target: Target,
    history: AttemptHistory,
) -> None:
    """Wait for an exchange to finish, and probe the target whenever it is silent.

    Raises:
        TargetLostError: The probe ended the exchange, or its deadline passed.
    """
    silence_seconds = deps.router.tree.fleet.silence_seconds
    progress = make_stream_progress(deps.now())
    # Each further attempt waits twice as long as the one before, so that a service
    # that is merely slow can answer in the end.
    for _ in range(history.attempts):
        progress = record_resume(progress, deps.now())
    while True:
        until_seconds = silent_at_seconds(progress, silence_seconds)
        until_seconds = min(until_seconds, history.deadline_at_seconds)
        left_seconds = max(until_seconds - deps.now(), 0.0)
        await asyncio.wait({exchange}, timeout=left_seconds)
        if exchange.done():
            return
        deps.outcomes.silent_connections += 1
        probe = await deps.probe_target(target, call.request.request_digest)
        if exchange.done():
            return
        step = choose_next_step(TargetKind.SERVICE, probe, history, deps.now())
        if step is NextStep.NEW_ATTEMPT:
            raise TargetLostError("the connection is silent", Failure.SILENT)
        if step is NextStep.TARGET_DOWN:
            raise TargetLostError("the target is gone", Failure.TARGET_GONE)
        if step is NextStep.CUT:
            raise TargetLostError("no answer before the deadline", Failure.DEADLINE)
        progress = record_resume(progress, deps.now())
