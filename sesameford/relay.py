"""A request's life after it was read: wait, dispatch, target, relay."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession
from aiohttp.web import Request as HttpRequest
from aiohttp.web import Response, StreamResponse
from opentelemetry.trace import Tracer

from sesameford.answers_http import OUTCOME_HEADER, outcome_headers, problem_body
from sesameford.costs import cost_of_usage
from sesameford.errors import (
    NotRunError,
    TargetLostError,
    TargetRefusedError,
    UnknownOutcomeError,
)
from sesameford.event_stream import EventStream
from sesameford.model_adapter import cancel_completion, engine_body, open_completion
from sesameford.router import Router
from sesameford.service_adapter import HOP_HEADERS, open_call, read_whole
from sesameford.tables import Attempt, Outcome, Request, Target, TargetKind, Usage
from sesameford.whole_answer import assemble

MAX_ATTEMPTS = 4
PROGRESS_EVENTS = 16


@dataclass(frozen=True, slots=True)
class RelayDeps:
    """What serving a request needs."""

    router: Router
    session: ClientSession
    tracer: Tracer
    now: Callable[[], float]


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request with what is needed to send it on."""

    request: Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    parsed: dict[str, Any] | None = None

    @property
    def is_streamed(self) -> bool:
        """Return whether the caller asked for server-sent events."""
        return bool(self.parsed and self.parsed.get("stream"))


class _CallerGoneError(Exception):
    """The caller closed its connection."""


async def serve(deps: RelayDeps, http: HttpRequest, call: Call) -> StreamResponse:
    """Run a request to its outcome and return the caller's answer.

    Raises:
        NotRunError: Nothing of it reached a target.
        UnknownOutcomeError: It may have run.
    """
    with deps.tracer.start_as_current_span("wait"):
        attempt = await deps.router.first_attempt(call.request)
    waited_seconds = deps.now() - call.request.arrived_at_seconds
    deps.router.metrics.wait_seconds.observe({}, waited_seconds)
    for attempts_made in range(1, MAX_ATTEMPTS + 1):
        try:
            return await _attempt(deps, http, call, attempt)
        except TargetRefusedError as error:
            if attempts_made == MAX_ATTEMPTS:
                deps.router.settle(attempt, Usage(), Outcome.NOT_RUN)
                raise NotRunError("targets-refuse", str(error), 503, 1.0) from error
            reason = "refused"
        except TargetLostError as error:
            if not call.request.repeatable or attempts_made == MAX_ATTEMPTS:
                deps.router.settle(attempt, Usage(), Outcome.UNKNOWN)
                raise UnknownOutcomeError("target-lost", str(error)) from error
            reason = "lost"
        attempt = await deps.router.next_attempt(call.request, attempt, reason)
    raise AssertionError("the last attempt returns or raises")


async def _attempt(
    deps: RelayDeps, http: HttpRequest, call: Call, attempt: Attempt
) -> StreamResponse:
    """Make one attempt; on return it is settled, on a target's error it is not."""
    with deps.tracer.start_as_current_span("dispatch") as span:
        span.set_attribute("attempt", attempt.attempt_id)
        span.set_attribute("target", attempt.target_id)
        target = deps.router.target(attempt)
        if target is None:
            raise TargetRefusedError("the target left before anything was sent")
    if call.request.kind is TargetKind.MODEL:
        return await _run_completion(deps, http, call, attempt, target)
    return await _run_call(deps, call, attempt, target)


async def _run_call(
    deps: RelayDeps, call: Call, attempt: Attempt, target: Target
) -> Response:
    """Run a plain service's call and return its whole answer."""
    started_seconds = deps.now()
    try:
        with deps.tracer.start_as_current_span("target"):
            response = await open_call(
                deps.session,
                target,
                attempt,
                call.method,
                call.path,
                call.body,
                call.headers,
            )
            body = await read_whole(response)
    except asyncio.CancelledError:
        usage = Usage(service_seconds=deps.now() - started_seconds)
        _settle(deps, call, attempt, usage, Outcome.UNKNOWN)
        raise
    usage = Usage(service_seconds=deps.now() - started_seconds)
    _settle(deps, call, attempt, usage, Outcome.RAN)
    with deps.tracer.start_as_current_span("relay"):
        return _pass_on(response, body, call)


async def _run_completion(
    deps: RelayDeps,
    http: HttpRequest,
    call: Call,
    attempt: Attempt,
    target: Target,
) -> StreamResponse:
    """Run a completion, streamed from the engine in either case."""
    assert call.parsed is not None
    started_seconds = deps.now()
    events = EventStream()
    try:
        with deps.tracer.start_as_current_span("target"):
            response = await open_completion(
                deps.session,
                target,
                attempt,
                call.path,
                engine_body(call.parsed),
                _trace_headers(call),
            )
            first_byte_seconds = deps.now() - started_seconds
            deps.router.metrics.first_byte_seconds.observe({}, first_byte_seconds)
        with deps.tracer.start_as_current_span("relay"):
            if response.status != 200:
                body = await read_whole(response)
                _settle(deps, call, attempt, Usage(), Outcome.RAN)
                return _pass_on(response, body, call)
            if call.is_streamed:
                return await _relay_stream(deps, http, call, attempt, response, events)
            return await _relay_whole(deps, call, attempt, response, events)
    except (asyncio.CancelledError, _CallerGoneError):
        usage = events.usage_so_far(call.request.prompt_tokens)
        _settle(deps, call, attempt, usage, Outcome.UNKNOWN)
        await asyncio.shield(
            cancel_completion(deps.session, target, attempt.attempt_id)
        )
        raise


async def _relay_whole(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    response: ClientResponse,
    events: EventStream,
) -> Response:
    """Collect a stream and answer with the whole completion."""
    collected = []
    async for ready in _events(deps, call, attempt, response, events):
        collected.append(ready)
    body = assemble(b"".join(collected), call.path.endswith("/chat/completions"))
    usage = events.usage_so_far(call.request.prompt_tokens)
    _settle(deps, call, attempt, usage, Outcome.RAN)
    return Response(
        body=body,
        content_type="application/json",
        headers=outcome_headers(Outcome.RAN, call.request.request_id),
    )


async def _relay_stream(
    deps: RelayDeps,
    http: HttpRequest,
    call: Call,
    attempt: Attempt,
    response: ClientResponse,
    events: EventStream,
) -> StreamResponse:
    """Pass a stream on as its events come."""
    answer = StreamResponse(
        headers={
            **outcome_headers(Outcome.RAN, call.request.request_id),
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
        }
    )
    try:
        async for ready in _events(deps, call, attempt, response, events):
            if not answer.prepared:
                await _to_caller(answer.prepare(http))
            await _to_caller(answer.write(ready))
        outcome = Outcome.RAN
    except TargetLostError as error:
        if not answer.prepared:
            raise
        # Bytes of this answer are with the caller, so a new attempt would mix two
        # answers. It is told in the stream itself that this one is cut.
        outcome = Outcome.UNKNOWN
        problem = problem_body(502, "answer-cut", str(error))
        await _to_caller(answer.write(b"event: error\ndata: " + problem + b"\n\n"))
    await _to_caller(answer.write_eof())
    usage = events.usage_so_far(call.request.prompt_tokens)
    _settle(deps, call, attempt, usage, outcome)
    return answer


async def _events(
    deps: RelayDeps,
    call: Call,
    attempt: Attempt,
    response: ClientResponse,
    events: EventStream,
) -> Any:
    """Yield whole events until the end mark.

    Raises:
        TargetLostError: The connection ended or broke before the end mark.
    """
    next_progress = PROGRESS_EVENTS
    try:
        async for data in response.content.iter_any():
            ready = events.feed(data)
            if ready:
                yield ready
            if events.event_count >= next_progress:
                next_progress = events.event_count + PROGRESS_EVENTS
                usage = events.usage_so_far(call.request.prompt_tokens)
                deps.router.progress(attempt, usage)
    except (ClientError, TimeoutError, OSError) as error:
        raise TargetLostError(f"the stream broke: {error!r}") from error
    finally:
        # A connection with an unfinished exchange may still bring its late answer,
        # which the next request on it would take for its own. Closing one that is
        # finished only hands it back to the pool.
        if events.is_done:
            response.release()
        else:
            response.close()
    if not events.is_done:
        raise TargetLostError("the stream ended without its end mark")


async def _to_caller(writing: Any) -> None:
    """Write to the caller, with its going away turned into this layer's error."""
    try:
        await writing
    except (ConnectionError, ClientError) as error:
        raise _CallerGoneError from error


def _settle(
    deps: RelayDeps, call: Call, attempt: Attempt, usage: Usage, outcome: Outcome
) -> None:
    """End an attempt and count its cost."""
    deps.router.settle(attempt, usage, outcome)
    cost_units = cost_of_usage(deps.router.tree, call.request, usage)
    labels = {"customer": call.request.customer_id}
    deps.router.metrics.cost_units.add(labels, cost_units)


def _trace_headers(call: Call) -> dict[str, str]:
    """Return the headers that carry the trace to the target."""
    return {
        key: value
        for key, value in call.headers.items()
        if key.lower() in ("traceparent", "tracestate")
    }


def _pass_on(response: ClientResponse, body: bytes, call: Call) -> Response:
    """Return a target's answer as the caller's."""
    headers = {
        key: value
        for key, value in response.headers.items()
        if key.lower() not in HOP_HEADERS and key != OUTCOME_HEADER
    }
    headers.pop("Content-Encoding", None)
    headers.update(outcome_headers(Outcome.RAN, call.request.request_id))
    return Response(status=response.status, body=body, headers=headers)
