"""Runs a request to its outcome: the wait for a slot, and its attempts."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

from aiohttp.web import StreamResponse

from sesameford.caller_stream import CallerStream
from sesameford.completion_run import CompletionRun, run_completion
from sesameford.errors import (
    NotRunError,
    OutcomeError,
    TargetError,
    TargetRefusedError,
    UnknownOutcomeError,
)
from sesameford.in_flight_attempts import InFlightRequest
from sesameford.relay_deps import Call, RelayDeps, failure_of, settle
from sesameford.retries import (
    AttemptHistory,
    Failure,
    RetryDecision,
    decide_retry,
    record_failure,
)
from sesameford.service_run import run_call
from sesameford.silence import make_stream_progress
from sesameford.stop_bound import StopEndedError
from sesameford.suspects import SuspectTreatment
from sesameford.tables import Attempt, Outcome, Target, TargetKind, Usage


async def run_to_outcome(
    deps: RelayDeps, call: Call, caller: CallerStream
) -> StreamResponse:
    """Make attempts until one returns an answer or no retry is allowed.

    Raises:
        NotRunError: Nothing of the request reached a target.
        UnknownOutcomeError: It may have run.
    """
    try:
        async with deps.stop_bound.limit():
            return await _attempt_until_answered(deps, call, caller)
    except StopEndedError as error:
        # Requests that wait are refused sooner, so this one was on its way to a target.
        detail = "this instance is stopping, and the request may have run"
        if caller.started:
            return await caller.end_with_error("stopping", detail)
        raise UnknownOutcomeError("stopping", detail, 502) from error


async def _attempt_until_answered(
    deps: RelayDeps, call: Call, caller: CallerStream
) -> StreamResponse:
    """Make attempts, see ``run_to_outcome``."""
    request = call.request
    _refuse_quarantined(deps, call)
    with deps.tracer.start_as_current_span("wait"):
        attempt = await deps.router.first_attempt(request)
    waited_seconds = deps.now() - request.arrived_at_seconds
    deps.router.metrics.wait_seconds.observe({}, waited_seconds)
    deps.outcomes.budget.record_first_attempt()
    history = AttemptHistory(request.repeatable, request.deadline_seconds)
    while True:
        try:
            return await _make_attempt(deps, call, caller, attempt, history)
        except TargetError as error:
            failure = failure_of(error)
            detail = str(error)
        except NotRunError as error:
            settle(deps, call, attempt, Usage(), Outcome.NOT_RUN)
            raise _account_for_earlier_attempts(error, history) from error
        decision = _decide_retry(deps, failure, history)
        history = record_failure(history, failure)
        if not decision.retry:
            settle(deps, call, attempt, Usage(), decision.outcome)
            raise _make_outcome_error(decision, detail)
        attempt = await _next_attempt(deps, call, attempt, history, failure, decision)


def _refuse_quarantined(deps: RelayDeps, call: Call) -> None:
    """Refuse a body that crashed targets.

    Raises:
        NotRunError: The body is quarantined.
    """
    suspects = deps.outcomes.suspects
    digest = call.request.request_digest
    left_seconds = suspects.quarantine_left_seconds(digest, deps.now())
    if left_seconds > 0.0:
        raise NotRunError(
            "quarantined",
            f"targets died while they ran this body (digest {digest.hex()})",
            422,
            left_seconds,
        )


def _decide_retry(
    deps: RelayDeps, failure: Failure, history: AttemptHistory
) -> RetryDecision:
    now_seconds = deps.now()
    routers = 1 + len(deps.router.members.live(now_seconds))
    return decide_retry(
        record_failure(history, failure),
        failure,
        deps.outcomes.budget,
        deps.outcomes.backoff_seconds,
        routers,
        now_seconds,
    )


async def _next_attempt(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    history: AttemptHistory,
    failure: Failure,
    decision: RetryDecision,
) -> Attempt:
    """Wait for the backoff and then for a slot on another target.

    Raises:
        NotRunError: No slot became free, and no attempt can have run.
        UnknownOutcomeError: No slot became free, and an attempt may have run.
    """
    try:
        await asyncio.sleep(max(decision.retry_at_seconds - deps.now(), 0.0))
    except asyncio.CancelledError:
        outcome = Outcome.UNKNOWN if history.may_have_run else Outcome.NOT_RUN
        settle(deps, call, attempt, Usage(), outcome)
        raise
    try:
        return await deps.router.next_attempt(call.request, attempt, failure.value)
    except NotRunError as error:
        raise _account_for_earlier_attempts(error, history) from error


def _account_for_earlier_attempts(
    error: NotRunError, history: AttemptHistory
) -> OutcomeError:
    """Return a refusal, or an unknown outcome if an earlier attempt may have run.

    The queue refuses without regard to earlier attempts. A caller that trusts its
    "not run" would resend a request that has run.
    """
    if not history.may_have_run:
        return error
    return UnknownOutcomeError(error.reason, f"an attempt may have run; {error.detail}")


def _make_outcome_error(decision: RetryDecision, detail: str) -> OutcomeError:
    """Return the error that reports a request without an answer to its caller."""
    if decision.outcome is Outcome.NOT_RUN:
        return NotRunError(decision.reason, detail, 503, 1.0)
    status = 504 if decision.reason == Failure.DEADLINE.value else 502
    return UnknownOutcomeError(decision.reason, detail, status)


async def _make_attempt(
    deps: RelayDeps,
    call: Call,
    caller: CallerStream,
    attempt: Attempt,
    history: AttemptHistory,
) -> StreamResponse:
    """Make one attempt, and settle it if it returns an answer.

    Raises:
        TargetError: The attempt failed; the target was checked, the attempt is
            not settled.
        NotRunError: The body was quarantined before it was sent.
    """
    async with AsyncExitStack() as stack:
        try:
            is_trial = await _enter_target(deps, call, attempt, history, stack)
        except asyncio.CancelledError:
            settle(deps, call, attempt, Usage(), Outcome.NOT_RUN)
            raise
        target = _require_target(deps, attempt)
        deps.outcomes.in_flight_attempts.record_start(
            attempt.attempt_id,
            InFlightRequest(
                attempt.target_id,
                attempt.target_incarnation,
                call.request.request_digest,
                is_trial,
            ),
        )
        try:
            return await _run_attempt(deps, call, caller, attempt, target, history)
        except TargetError as error:
            await deps.check_target_after_failure(call, attempt, target, error)
            raise


def _require_target(deps: RelayDeps, attempt: Attempt) -> Target:
    """Return the target of an attempt.

    Raises:
        TargetRefusedError: The target accepts no new work any more.
    """
    with deps.tracer.start_as_current_span("dispatch") as span:
        span.set_attribute("attempt", attempt.attempt_id)
        span.set_attribute("target", attempt.target_id)
        target = deps.router.find_target(attempt)
    if target is None:
        raise TargetRefusedError(
            "the target left before anything was sent", Failure.NEVER_SENT
        )
    return target


async def _enter_target(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    history: AttemptHistory,
    stack: AsyncExitStack,
) -> bool:
    """Wait until the attempt may run: a suspect exclusively, all others shared.

    Returns:
        Whether it is a trial. That includes a resend after an attempt which may have
        crashed its target, as that crash may be proven later.

    Raises:
        TargetRefusedError: Its deadline passed before.
        NotRunError: The body was quarantined.
    """
    digest = call.request.request_digest
    exclusion = deps.outcomes.target_exclusion
    left_seconds = max(history.deadline_at_seconds - deps.now(), 0.0)
    try:
        async with asyncio.timeout(left_seconds):
            await _wait_for_probes(deps, digest)
            treatment = deps.outcomes.treatment(digest, deps.now())
            is_suspect = treatment is not SuspectTreatment.CLEAR
            if is_suspect:
                turn = exclusion.run_exclusive(attempt.target_id, digest)
            else:
                turn = exclusion.run_shared(attempt.target_id)
            await stack.enter_async_context(turn)
    except TimeoutError as error:
        raise TargetRefusedError("no turn in time", Failure.NEVER_SENT) from error
    _refuse_quarantined(deps, call)
    return (
        is_suspect
        or history.may_have_run
        or deps.outcomes.unconfirmed_crashes.count(digest) > 0
    )


async def _wait_for_probes(deps: RelayDeps, digest: bytes) -> None:
    """Wait while a request may have crashed enough targets for a quarantine.

    Probes that begin meanwhile are not waited for: a popular request whose connections
    break again and again would never be sent.
    """
    probes = deps.outcomes.unconfirmed_crashes.probes(digest)
    while probes and deps.outcomes.must_wait_for_probes(digest):
        _, probes = await asyncio.wait(probes, return_when=asyncio.FIRST_COMPLETED)


async def _run_attempt(
    deps: RelayDeps,
    call: Call,
    caller: CallerStream,
    attempt: Attempt,
    target: Target,
    history: AttemptHistory,
) -> StreamResponse:
    if call.request.kind is TargetKind.SERVICE:
        return await run_call(deps, call, attempt, target, history)
    run = CompletionRun(
        deps, call, attempt, target, replace(history), make_stream_progress(deps.now())
    )
    return await run_completion(run, caller)
