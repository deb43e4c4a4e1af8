"""One attempt at a plain service's call."""

import asyncio

from aiohttp.web import Response

from sesameford.errors import TargetLostError
from sesameford.probes import probe_target
from sesameford.relay_deps import Call, RelayDeps, pass_on, settle
from sesameford.retries import AttemptHistory, Failure
from sesameford.service_adapter import open_call, read_whole
from sesameford.silence import (
    NextStep,
    after_probe,
    progressed,
    resumed,
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
    """Run a plain service's call and return its whole answer.

    Raises:
        TargetError: It failed; the attempt is not settled.
    """
    started_seconds = deps.now()
    exchange = asyncio.ensure_future(_exchange(deps, call, attempt, target))
    try:
        with deps.tracer.start_as_current_span("target"):
            await _wait(deps, exchange, target, history)
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


async def _exchange(
    deps: RelayDeps, call: Call, attempt: Attempt, target: Target
) -> Response:
    """Send the call and read its answer on a connection of its own."""
    response = await open_call(
        deps.session, target, attempt, call.method, call.path, call.body, call.headers
    )
    try:
        body = await read_whole(response)
    finally:
        response.close()
    with deps.tracer.start_as_current_span("relay"):
        return pass_on(response, body, call)


async def _wait(
    deps: RelayDeps,
    exchange: "asyncio.Future[Response]",
    target: Target,
    history: AttemptHistory,
) -> None:
    """Wait for an exchange, and probe the target anew while it is silent.

    Raises:
        TargetLostError: It is silent for good, or its time is over.
    """
    silence_seconds = deps.router.tree.fleet.silence_seconds
    progress = progressed(deps.now())
    # A service that is merely slow must be able to answer some time: each further
    # attempt waits twice as long as the one before.
    for _ in range(history.attempts):
        progress = resumed(progress, deps.now())
    while True:
        until_seconds = silent_at_seconds(progress, silence_seconds)
        until_seconds = min(until_seconds, history.deadline_at_seconds)
        left_seconds = max(until_seconds - deps.now(), 0.0)
        await asyncio.wait({exchange}, timeout=left_seconds)
        if exchange.done():
            return
        deps.outcomes.silent_connections += 1
        probe = await probe_target(target.url)
        if exchange.done():
            return
        step = after_probe(TargetKind.SERVICE, probe, history, deps.now())
        if step is NextStep.NEW_ATTEMPT:
            raise TargetLostError("the connection is silent", Failure.SILENT)
        if step is NextStep.TARGET_DOWN:
            raise TargetLostError("the target is gone", Failure.TARGET_GONE)
        if step is NextStep.CUT:
            raise TargetLostError("no answer before the deadline", Failure.DEADLINE)
        progress = resumed(progress, deps.now())
