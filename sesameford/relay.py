"""A request's life after it was read: wait, attempts, outcome."""

import asyncio
import logging
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

from aiohttp.web import Request as HttpRequest
from aiohttp.web import Response, StreamResponse

from sesameford.answers_http import OUTCOME_HEADER, OUTCOME_KEY, outcome_headers
from sesameford.caller_side import CallerSide
from sesameford.claims import ClaimAnswer
from sesameford.completion_run import CompletionRun, run_completion
from sesameford.errors import (
    NotRunError,
    OutcomeError,
    TargetError,
    TargetRefusedError,
    UnknownOutcomeError,
)
from sesameford.keyed import KeyedRequest, KeyedRequests, RunEnd
from sesameford.relay_deps import Call, RelayDeps, failure_of, settle
from sesameford.retries import (
    AttemptHistory,
    Failure,
    RetryDecision,
    after_failure,
    decide_retry,
)
from sesameford.service_run import run_call
from sesameford.silence import progressed
from sesameford.suspects import SuspectTreatment
from sesameford.tables import Attempt, Outcome, Target, TargetKind, Usage

__all__ = ["Call", "RelayDeps", "serve"]

logger = logging.getLogger(__name__)

REPLAYED_HEADER = "Sesameford-Replayed"
# Of a kept answer only these say something to a caller who comes back.
KEPT_HEADERS = frozenset({"content-type", "content-encoding", "location"})


async def serve(deps: RelayDeps, http: HttpRequest, call: Call) -> StreamResponse:
    """Run a request to its outcome and return the caller's answer.

    Raises:
        NotRunError: Nothing of it reached a target.
        UnknownOutcomeError: It may have run.
    """
    keyed = deps.outcomes.keyed
    if keyed is None or call.request.idempotency_key is None:
        caller = CallerSide(http, call.request.request_id, keeps=False)
        deps.outcomes.open_requests += 1
        try:
            return await _run_to_outcome(deps, call, caller)
        finally:
            deps.outcomes.open_requests -= 1
    # With a key the work goes on when its caller goes away: it may come back for
    # the answer through any router, and must not find that the work was cut.
    work = deps.spawn(_serve_keyed(deps, http, call, keyed))
    try:
        answer: StreamResponse = await asyncio.shield(work)
    except asyncio.CancelledError:
        work.add_done_callback(_log_unheard)
        raise
    return answer


def _log_unheard(work: "asyncio.Task[StreamResponse]") -> None:
    """Take the end of a keyed request whose caller went away."""
    if not work.cancelled() and work.exception() is not None:
        logger.info("ended without its caller: %s", work.exception())


@dataclass(slots=True)
class _Told:
    """What the first caller under a key is told."""

    response: StreamResponse | None = None
    error: OutcomeError | None = None


async def _serve_keyed(
    deps: RelayDeps, http: HttpRequest, call: Call, keyed: KeyedRequests
) -> StreamResponse:
    """Serve a request with an idempotency key."""
    told = _Told()
    caller = CallerSide(http, call.request.request_id, keeps=True)

    async def run() -> RunEnd:
        try:
            told.response = await _run_to_outcome(deps, call, caller)
        except OutcomeError as error:
            told.error = error
            not_run = isinstance(error, NotRunError)
            return RunEnd(Outcome.NOT_RUN if not_run else Outcome.UNKNOWN)
        return _end_of(told.response, caller)

    deps.outcomes.open_requests += 1
    try:
        kept = await keyed.serve(_keyed_request(deps, call, keyed), run)
    except NotRunError as error:
        if error.reason != "no-quorum" or not call.request.repeatable:
            raise
        # Without a majority no claim can be had. What may run twice needs none, and
        # a data centre that is cut off goes on serving it.
        return await _run_to_outcome(deps, call, caller)
    finally:
        deps.outcomes.open_requests -= 1
    if told.error is not None:
        raise told.error
    if told.response is not None:
        return told.response
    assert kept is not None
    return _replay(kept, call)


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


def _end_of(response: StreamResponse, caller: CallerSide) -> RunEnd:
    """Return how a keyed run ended and what is kept of it."""
    if caller.started:
        whole = caller.outcome is Outcome.RAN
        return RunEnd(caller.outcome, caller.kept_answer() if whole else None)
    body = response.body if isinstance(response, Response) else None
    # The HTTP library's names are a kind of text of its own, which has no coding.
    headers = tuple(
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() in KEPT_HEADERS
    )
    content = bytes(body) if isinstance(body, bytes | bytearray) else b""
    return RunEnd(Outcome.RAN, ClaimAnswer(response.status, headers, content))


def _replay(kept: ClaimAnswer, call: Call) -> Response:
    """Return a kept answer to a resend."""
    headers = {
        **dict(kept.headers),
        **outcome_headers(Outcome.RAN, call.request.request_id),
        REPLAYED_HEADER: "true",
    }
    return Response(status=kept.status, body=kept.body, headers=headers)


async def _run_to_outcome(
    deps: RelayDeps, call: Call, caller: CallerSide
) -> StreamResponse:
    """Make attempts until one has the answer or no more is allowed."""
    request = call.request
    _refuse_quarantined(deps, call)
    with deps.tracer.start_as_current_span("wait"):
        attempt = await deps.router.first_attempt(request)
    waited_seconds = deps.now() - request.arrived_at_seconds
    deps.router.metrics.wait_seconds.observe({}, waited_seconds)
    deps.outcomes.budget.attempted()
    history = AttemptHistory(request.repeatable, request.deadline_seconds)
    while True:
        try:
            return await _attempt(deps, call, caller, attempt, history)
        except TargetError as error:
            failure = failure_of(error)
            detail = str(error)
        except NotRunError as error:
            settle(deps, call, attempt, Usage(), Outcome.NOT_RUN)
            raise _honest(error, history) from error
        decision = _after_failure(deps, failure, history)
        history = after_failure(history, failure)
        if not decision.retry:
            settle(deps, call, attempt, Usage(), decision.outcome)
            raise _error_of(decision, detail)
        attempt = await _next_attempt(deps, call, attempt, history, failure, decision)


def _refuse_quarantined(deps: RelayDeps, call: Call) -> None:
    """Refuse a body that crashed targets.

    Raises:
        NotRunError: It is quarantined.
    """
    suspects = deps.outcomes.suspects
    digest = call.request.body_digest
    left_seconds = suspects.quarantine_left_seconds(digest, deps.now())
    if left_seconds > 0.0:
        raise NotRunError(
            "quarantined",
            f"targets died while they ran this body (digest {digest.hex()})",
            422,
            left_seconds,
        )


def _after_failure(
    deps: RelayDeps, failure: Failure, history: AttemptHistory
) -> RetryDecision:
    now_seconds = deps.now()
    routers = 1 + len(deps.router.members.live(now_seconds))
    return decide_retry(
        after_failure(history, failure),
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
    """Wait for the backoff and then for a place on another target.

    Raises:
        NotRunError: Nothing ran, and there is no place.
        UnknownOutcomeError: There is no place, and an attempt may have run.
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
        raise _honest(error, history) from error


def _honest(error: NotRunError, history: AttemptHistory) -> OutcomeError:
    """Return a refusal, or unknown where an earlier attempt may have run.

    The queue refuses without knowing of attempts. Its "not run" would be believed,
    and the caller would send again what has run.
    """
    if not history.may_have_run:
        return error
    return UnknownOutcomeError(error.reason, f"an attempt may have run; {error.detail}")


def _error_of(decision: RetryDecision, detail: str) -> OutcomeError:
    """Return the error for the outcome of a request without an answer."""
    if decision.outcome is Outcome.NOT_RUN:
        return NotRunError(decision.reason, detail, 503, 1.0)
    status = 504 if decision.reason == Failure.DEADLINE.value else 502
    return UnknownOutcomeError(decision.reason, detail, status)


async def _attempt(
    deps: RelayDeps,
    call: Call,
    caller: CallerSide,
    attempt: Attempt,
    history: AttemptHistory,
) -> StreamResponse:
    """Make one attempt; on return it is settled, on an error it is not.

    Raises:
        TargetError: It failed, and the target has been judged.
        NotRunError: The body was quarantined before it was sent.
    """
    async with AsyncExitStack() as stack:
        try:
            await _pass_gate(deps, call, attempt, history, stack)
        except asyncio.CancelledError:
            settle(deps, call, attempt, Usage(), Outcome.NOT_RUN)
            raise
        target = _target(deps, attempt)
        deps.outcomes.on_targets.started(attempt, call.request.body_digest)
        try:
            return await _run(deps, call, caller, attempt, target, history)
        except TargetError as error:
            await deps.judge_target(attempt, target, error)
            raise


def _target(deps: RelayDeps, attempt: Attempt) -> Target:
    """Return the target of an attempt, if it still takes new work."""
    with deps.tracer.start_as_current_span("dispatch") as span:
        span.set_attribute("attempt", attempt.attempt_id)
        span.set_attribute("target", attempt.target_id)
        target = deps.router.target(attempt)
    if target is None:
        raise TargetRefusedError(
            "the target left before anything was sent", Failure.NEVER_SENT
        )
    return target


async def _pass_gate(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    history: AttemptHistory,
    stack: AsyncExitStack,
) -> None:
    """Wait until the attempt may run: a suspect alone, all others together."""
    digest = call.request.body_digest
    gates = deps.outcomes.target_exclusion
    left_seconds = max(history.deadline_at_seconds - deps.now(), 0.0)
    try:
        async with asyncio.timeout(left_seconds):
            if deps.outcomes.standing(digest, deps.now()) is SuspectTreatment.CLEAR:
                gate = gates.run_shared(attempt.target_id)
            else:
                gate = gates.run_exclusive(attempt.target_id, digest)
            await stack.enter_async_context(gate)
    except TimeoutError as error:
        raise TargetRefusedError("no turn in time", Failure.NEVER_SENT) from error
    _refuse_quarantined(deps, call)


async def _run(
    deps: RelayDeps,
    call: Call,
    caller: CallerSide,
    attempt: Attempt,
    target: Target,
    history: AttemptHistory,
) -> StreamResponse:
    if call.request.kind is TargetKind.SERVICE:
        return await run_call(deps, call, attempt, target, history)
    run = CompletionRun(
        deps, call, attempt, target, replace(history), progressed(deps.now())
    )
    return await run_completion(run, caller)


def outcome_of(response: StreamResponse) -> Outcome:
    """Return the outcome that a response tells its caller."""
    told = response.get(OUTCOME_KEY)
    return told or Outcome(response.headers[OUTCOME_HEADER])
