"""Runs a parsed request: the wait for a slot, its attempts, and its outcome."""

import asyncio
import logging
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

from aiohttp.web import Request as HttpRequest
from aiohttp.web import Response, StreamResponse

from sesameford.answers_http import OUTCOME_HEADER, OUTCOME_KEY, outcome_headers
from sesameford.caller_stream import CallerStream
from sesameford.claims import ClaimAnswer
from sesameford.completion_run import CompletionRun, run_completion
from sesameford.errors import (
    NotRunError,
    OutcomeError,
    TargetError,
    TargetRefusedError,
    UnknownOutcomeError,
)
from sesameford.in_flight_attempts import InFlightRequest
from sesameford.keyed import KeyedRequest, KeyedRequests, RunEnd
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
from sesameford.suspects import SuspectTreatment
from sesameford.tables import Attempt, Outcome, Target, TargetKind, Usage

__all__ = ["Call", "RelayDeps", "serve"]

logger = logging.getLogger(__name__)

REPLAYED_HEADER = "Sesameford-Replayed"
# The headers of an answer that are stored and replayed to a resend.
STORED_HEADERS = frozenset({"content-type", "content-encoding", "location"})


async def serve(deps: RelayDeps, http: HttpRequest, call: Call) -> StreamResponse:
    """Run a request to its outcome and return the caller's answer.

    Raises:
        NotRunError: Nothing of it reached a target.
        UnknownOutcomeError: It may have run.
    """
    keyed = deps.outcomes.keyed
    if keyed is None or call.request.idempotency_key is None:
        caller = CallerStream(http, call.request.request_id, stores_answer=False)
        deps.outcomes.open_requests += 1
        try:
            return await _run_to_outcome(deps, call, caller)
        finally:
            deps.outcomes.open_requests -= 1
    # A keyed request continues when its caller disconnects: the caller may fetch
    # the answer through any router later, so the work must not be cancelled.
    work = deps.spawn(_serve_keyed(deps, http, call, keyed))
    try:
        answer: StreamResponse = await asyncio.shield(work)
    except asyncio.CancelledError:
        work.add_done_callback(_log_unattended_failure)
        raise
    return answer


def _log_unattended_failure(work: "asyncio.Task[StreamResponse]") -> None:
    """Log the failure of a keyed request whose caller disconnected."""
    if not work.cancelled() and work.exception() is not None:
        logger.info(
            "keyed request failed after its caller disconnected: %s", work.exception()
        )


@dataclass(slots=True)
class _FirstCallerResult:
    """The response or error for the first caller that used a key."""

    response: StreamResponse | None = None
    error: OutcomeError | None = None


async def _serve_keyed(
    deps: RelayDeps, http: HttpRequest, call: Call, keyed: KeyedRequests
) -> StreamResponse:
    """Serve a request with an idempotency key."""
    result = _FirstCallerResult()
    caller = CallerStream(http, call.request.request_id, stores_answer=True)

    async def run() -> RunEnd:
        try:
            result.response = await _run_to_outcome(deps, call, caller)
        except OutcomeError as error:
            result.error = error
            not_run = isinstance(error, NotRunError)
            return RunEnd(Outcome.NOT_RUN if not_run else Outcome.UNKNOWN)
        return _make_run_end(result.response, caller)

    deps.outcomes.open_requests += 1
    try:
        stored = await keyed.serve(_keyed_request(deps, call, keyed), run)
    except NotRunError as error:
        if error.reason != "no-quorum" or not call.request.repeatable:
            raise
        # A claim needs a quorum. A repeatable request needs no claim, so an
        # isolated data centre still serves it.
        return await _run_to_outcome(deps, call, caller)
    finally:
        deps.outcomes.open_requests -= 1
    if result.error is not None:
        raise result.error
    if result.response is not None:
        return result.response
    assert stored is not None
    return _replay(stored, call)


def _keyed_request(deps: RelayDeps, call: Call, keyed: KeyedRequests) -> KeyedRequest:
    request = call.request
    assert request.idempotency_key is not None
    left_seconds = request.deadline_seconds - deps.now()
    return KeyedRequest(
        request_id=request.request_id,
        customer_id=request.customer_id,
        idempotency_key=request.idempotency_key,
        body_digest=request.body_digest,
        repeatable=request.repeatable,
        deadline_at_seconds=keyed.now_seconds() + left_seconds,
    )


def _make_run_end(response: StreamResponse, caller: CallerStream) -> RunEnd:
    """Return the outcome of a keyed run and the answer to store."""
    if caller.started:
        is_complete = caller.outcome is Outcome.RAN
        return RunEnd(caller.outcome, caller.stored_answer() if is_complete else None)
    body = response.body if isinstance(response, Response) else None
    # aiohttp's header names are a subclass of str that msgspec can't encode.
    headers = tuple(
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() in STORED_HEADERS
    )
    content = bytes(body) if isinstance(body, bytes | bytearray) else b""
    return RunEnd(Outcome.RAN, ClaimAnswer(response.status, headers, content))


def _replay(stored: ClaimAnswer, call: Call) -> Response:
    """Return a stored answer as the response to a resend."""
    headers = {
        **dict(stored.headers),
        **outcome_headers(Outcome.RAN, call.request.request_id),
        REPLAYED_HEADER: "true",
    }
    return Response(status=stored.status, body=stored.body, headers=headers)


async def _run_to_outcome(
    deps: RelayDeps, call: Call, caller: CallerStream
) -> StreamResponse:
    """Make attempts until one returns an answer or no retry is allowed."""
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
            while deps.outcomes.must_wait_for_probes(digest):
                await deps.outcomes.crash_doubts.wait_for_one(digest)
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
        or deps.outcomes.crash_doubts.count(digest) > 0
    )


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


def outcome_of(response: StreamResponse) -> Outcome:
    """Return the outcome that a response reports to its caller."""
    result = response.get(OUTCOME_KEY)
    return result or Outcome(response.headers[OUTCOME_HEADER])
