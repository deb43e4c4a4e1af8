"""Serves a parsed request, under its idempotency key if it has one."""

import asyncio
import logging
from dataclasses import dataclass

from aiohttp.web import Request as HttpRequest
from aiohttp.web import Response, StreamResponse

from sesameford.answers_http import OUTCOME_HEADER, OUTCOME_KEY, outcome_headers
from sesameford.caller_stream import CallerStream
from sesameford.claims import ClaimAnswer
from sesameford.errors import NotRunError, OutcomeError
from sesameford.keyed import KeyedRequest, KeyedRequests, RunEnd
from sesameford.relay_deps import Call, RelayDeps
from sesameford.request_run import run_to_outcome
from sesameford.stop_bound import make_stopping_error
from sesameford.tables import Outcome

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
    request, loop = call.request, asyncio.get_running_loop()
    began_at_seconds = loop.time()
    left_seconds = request.deadline_seconds - deps.now()
    if not deps.stop_bound.may_take(
        request.resource, left_seconds, began_at_seconds, call.is_streamed
    ):
        raise make_stopping_error()
    try:
        return await _serve_taken(deps, http, call)
    finally:
        lasted_seconds = loop.time() - began_at_seconds
        deps.stop_bound.record_duration(request.resource, lasted_seconds)


async def _serve_taken(
    deps: RelayDeps, http: HttpRequest, call: Call
) -> StreamResponse:
    """Run a request that a planned stop leaves time for, see ``serve``."""
    keyed = deps.outcomes.keyed
    if keyed is None or call.request.idempotency_key is None:
        caller = CallerStream(http, call.request.request_id, stores_answer=False)
        deps.outcomes.open_requests += 1
        try:
            return await run_to_outcome(deps, call, caller)
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
            result.response = await run_to_outcome(deps, call, caller)
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
        return await run_to_outcome(deps, call, caller)
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


def outcome_of(response: StreamResponse) -> Outcome:
    """Return the outcome that a response reports to its caller."""
    result = response.get(OUTCOME_KEY)
    return result or Outcome(response.headers[OUTCOME_HEADER])
