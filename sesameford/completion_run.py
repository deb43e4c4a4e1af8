"""Runs one attempt at a completion on an engine, over resumed connections."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from dataclasses import dataclass, field
from functools import partial

from aiohttp import ClientError, ClientResponse
from aiohttp.web import Response, StreamResponse

from sesameford.answers import Completeness, judge_stream
from sesameford.answers_http import outcome_headers
from sesameford.caller_stream import CallerDisconnectedError, CallerStream
from sesameford.errors import TargetError, TargetLostError, TargetRefusedError
from sesameford.event_stream import MAX_EVENT_BYTES, EventStream
from sesameford.held_answers import collect_held
from sesameford.model_adapter import (
    cancel_completion,
    engine_body,
    open_completion,
    resume_completion,
)
from sesameford.read_watch import ReadWatch
from sesameford.relay_deps import Call, RelayDeps, make_relayed_response, settle
from sesameford.retries import AttemptHistory, Failure
from sesameford.service_adapter import read_complete_body
from sesameford.silence import (
    MAX_RESUMES_WITHOUT_DATA,
    PROBE_TIMEOUT_SECONDS,
    NextStep,
    Probe,
    StreamProgress,
    choose_next_step,
    make_stream_progress,
    record_resume,
    silent_at_seconds,
)
from sesameford.tables import Attempt, Outcome, Target, Usage
from sesameford.whole_answer import assemble_completion

PROGRESS_EVENTS = 16
CANCEL_TIMEOUT_SECONDS = 0.3


@dataclass(slots=True)
class CompletionRun:
    """The dependencies and state of one attempt on an engine."""

    deps: RelayDeps
    call: Call
    attempt: Attempt
    target: Target
    history: AttemptHistory
    progress: StreamProgress
    events: EventStream = field(default_factory=EventStream)


async def run_completion(run: CompletionRun, caller: CallerStream) -> StreamResponse:
    """Run a completion, which the engine always streams, and return the answer.

    Raises:
        TargetError: The completion failed; the attempt is not settled.
    """
    try:
        response = await _open_stream(run)
        if response.status != 200:
            with run.deps.tracer.start_as_current_span("relay"):
                with run.deps.hold_answer() as hold:
                    body = await read_complete_body(response, hold)
                settle(run.deps, run.call, run.attempt, _usage(run), Outcome.RAN)
                return make_relayed_response(response, body, run.call)
        with run.deps.tracer.start_as_current_span("relay"):
            if run.call.is_streamed:
                return await _relay_stream(run, response, caller)
            return await _relay_whole(run, response)
    except (asyncio.CancelledError, CallerDisconnectedError):
        settle(run.deps, run.call, run.attempt, _usage(run), Outcome.UNKNOWN)
        await asyncio.shield(_cancel(run))
        raise
    except TargetLostError:
        # The engine may still run the attempt, whose answer is no longer used.
        run.deps.spawn(_cancel(run))
        raise


async def _open_stream(run: CompletionRun) -> ClientResponse:
    """Send the request and return the engine's response once its headers arrived."""
    assert run.call.parsed is not None
    started_seconds = run.deps.now()
    with run.deps.tracer.start_as_current_span("target"):
        try:
            async with asyncio.timeout(_silence_left(run)):
                response = await open_completion(
                    run.deps.session,
                    run.target,
                    run.attempt,
                    run.call.path,
                    engine_body(run.call.parsed),
                    _trace_headers(run.call),
                )
        except (TimeoutError, TargetLostError) as error:
            response = await _resume(run, error)
    waited_seconds = run.deps.now() - started_seconds
    run.deps.router.metrics.first_byte_seconds.observe({}, waited_seconds)
    return response


async def _relay_whole(run: CompletionRun, response: ClientResponse) -> Response:
    """Collect a stream and return the completion as one response."""
    with run.deps.hold_answer() as hold:
        async with aclosing(_read_events(run, response)) as events:
            collected = await collect_held(events, hold)
    body = assemble_completion(collected, run.call.path.endswith("/chat/completions"))
    settle(run.deps, run.call, run.attempt, _usage(run), Outcome.RAN)
    return Response(
        body=body,
        content_type="application/json",
        headers=outcome_headers(Outcome.RAN, run.call.request.request_id),
    )


async def _relay_stream(
    run: CompletionRun, response: ClientResponse, caller: CallerStream
) -> StreamResponse:
    """Relay a stream to the caller as its events arrive."""
    heartbeat = run.deps.spawn(caller.keep_alive())
    try:
        async with aclosing(_read_events(run, response)) as events:
            async for ready in events:
                await caller.write(ready)
    except TargetLostError as error:
        if not caller.started:
            raise
        # The caller has bytes of this answer, so a new attempt would mix two
        # answers. The stream itself reports that the answer is truncated.
        settle(run.deps, run.call, run.attempt, _usage(run), Outcome.UNKNOWN)
        run.deps.spawn(_cancel(run))
        await run.deps.check_target_after_failure(
            run.call, run.attempt, run.target, error
        )
        return await caller.end_with_error("answer-cut", str(error))
    finally:
        heartbeat.cancel()
    settle(run.deps, run.call, run.attempt, _usage(run), Outcome.RAN)
    return await caller.end()


async def _read_events(
    run: CompletionRun, response: ClientResponse
) -> AsyncGenerator[bytes, None]:
    """Yield complete events until the end mark, over resumed connections.

    Raises:
        TargetLostError: The rest of the stream can't be obtained.
    """
    while True:
        connection_error: Exception | None = None
        watch = ReadWatch(response.content, partial(_silent_at, run), run.deps.now)
        try:
            async with aclosing(_read_connection(run, watch)) as parts:
                async for ready in parts:
                    yield ready
        except (ClientError, TimeoutError, OSError) as error:
            connection_error = error
        finally:
            watch.close()
            response.close()
        if run.events.is_done:
            break
        run.events.drop_partial()
        response = await _resume(run, connection_error)


async def _read_connection(
    run: CompletionRun, watch: ReadWatch
) -> AsyncGenerator[bytes, None]:
    """Yield complete events of one connection until it ends, breaks or is silent."""
    events = run.events
    next_progress = events.event_count + PROGRESS_EVENTS
    while not events.is_done:
        data = await watch.read()
        if not data:
            return
        run.progress = make_stream_progress(run.deps.now())
        ready = events.feed(data)
        if not events.in_order or events.held_bytes > MAX_EVENT_BYTES:
            raise TargetLostError(
                "events are missing, doubled or too long", Failure.ANSWER_INVALID
            )
        judged = judge_stream(events.is_done, events.usage is not None, events.in_order)
        if events.is_done and judged is not Completeness.COMPLETE:
            # Checked before the end mark is relayed: with the mark, the caller
            # would accept the answer as complete.
            raise TargetLostError("the end came without usage", Failure.ANSWER_INVALID)
        if ready:
            yield ready
        if events.event_count >= next_progress:
            next_progress = events.event_count + PROGRESS_EVENTS
            run.deps.router.record_progress(run.attempt, _usage(run))


async def _resume(
    run: CompletionRun, connection_error: Exception | None
) -> ClientResponse:
    """Resume the stream on a fresh connection, which also probes the target.

    Raises:
        TargetLostError: The engine has no such stream, or can't be reached.
    """
    silent = isinstance(connection_error, TimeoutError)
    run.deps.outcomes.silent_connections += silent
    if run.progress.resumes_without_data >= MAX_RESUMES_WITHOUT_DATA and not silent:
        raise TargetLostError(
            f"the stream broke again: {connection_error!r}", Failure.ANSWER_CUT
        )
    if not silent:
        # The delay prevents a tight loop if each connection breaks at once.
        await asyncio.sleep(run.deps.outcomes.backoff_seconds(1))
    probe, response = await _probe(run)
    now_seconds = run.deps.now()
    step = choose_next_step(run.target.kind, probe, run.history, now_seconds)
    if step is NextStep.READ_ON and response is not None:
        run.progress = record_resume(run.progress, now_seconds)
        run.deps.outcomes.resumes += 1
        return response
    if response is not None:
        response.close()
    if step is NextStep.TARGET_DOWN:
        raise TargetLostError(
            f"the target is gone: {connection_error!r}", Failure.TARGET_GONE
        )
    if now_seconds >= run.history.deadline_at_seconds:
        raise TargetLostError("silent until the deadline", Failure.DEADLINE)
    failure = Failure.SILENT if silent else Failure.ANSWER_CUT
    raise TargetLostError(f"the stream can't be resumed: {connection_error!r}", failure)


async def _probe(run: CompletionRun) -> tuple[Probe, ClientResponse | None]:
    """Request the rest of the stream on a fresh connection."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            response = await resume_completion(
                run.deps.session, run.target, run.attempt, run.events.last_event_id
            )
    except TimeoutError:
        return Probe.NO_ANSWER, None
    except TargetRefusedError as error:
        refused = error.failure == Failure.CONNECT_REFUSED
        return (Probe.REFUSED if refused else Probe.NO_ANSWER), None
    except TargetError as error:
        is_cut = error.failure == Failure.ANSWER_CUT
        return (Probe.UNKNOWN_STREAM if is_cut else Probe.NO_ANSWER), None
    return Probe.RESUMED, response


async def _cancel(run: CompletionRun) -> None:
    # An engine that doesn't answer must not hold up a planned stop.
    with suppress(TimeoutError):
        async with asyncio.timeout(CANCEL_TIMEOUT_SECONDS):
            await cancel_completion(
                run.deps.session, run.target, run.attempt.attempt_id
            )


def _silent_at(run: CompletionRun, read_started_at_seconds: float) -> float:
    """Return when a read counts as silent if no data arrives before."""
    silence_seconds = run.deps.router.tree.fleet.silence_seconds
    by_progress_seconds = silent_at_seconds(run.progress, silence_seconds)
    return max(by_progress_seconds, read_started_at_seconds + silence_seconds)


def _silence_left(run: CompletionRun) -> float:
    """Return the seconds without data after which the connection is silent."""
    silence_seconds = run.deps.router.tree.fleet.silence_seconds
    until_seconds = silent_at_seconds(run.progress, silence_seconds)
    return max(until_seconds - run.deps.now(), 0.0)


def _usage(run: CompletionRun) -> Usage:
    return run.events.usage_so_far(run.call.request.prompt_tokens)


def _trace_headers(call: Call) -> dict[str, str]:
    """Return the caller's trace context headers."""
    return {
        key: value
        for key, value in call.headers.items()
        if key.lower() in ("traceparent", "tracestate")
    }
