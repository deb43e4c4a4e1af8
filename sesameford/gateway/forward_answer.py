"""Forwards a target's answer to its caller: whole, or as a stream of events."""

import asyncio
from contextlib import aclosing

from aiohttp import web

from sesameford.abortive_close import close_in_order, reset_on_close
from sesameford.effective import FleetSettings
from sesameford.event_stream import MAX_EVENT_BYTES, EventStream
from sesameford.framing import Framing
from sesameford.gateway.call_context import CallContext, CutError, GatewayDeps
from sesameford.gateway.call_log import log_end
from sesameford.gateway.forward import Exchange, SendAttemptError, SendOutcome
from sesameford.gateway.send_failures import is_last_attempt
from sesameford.gateway.stream_resumption import record_origin
from sesameford.gateway.target_record import Reservation


async def forward_answer(
    deps: GatewayDeps,
    request: web.BaseRequest,
    context: CallContext,
    reservation: Reservation,
    exchange: Exchange,
) -> web.StreamResponse:
    """Forward an answer whose head has arrived.

    Raises:
        SendAttemptError: It is not complete, or the call may go to another target.
    """
    head = exchange.head
    context.status = context.status or head.status
    if context.route.is_stream and 200 <= head.status < 300:
        return await _forward_stream(deps, request, context, reservation, exchange)
    if context.response is not None:
        raise SendAttemptError(
            SendOutcome.BROKEN, f"status {head.status} in place of the rest"
        )
    if head.status >= 500 and context.route.repeatable and not is_last_attempt(context):
        raise SendAttemptError(
            SendOutcome.BROKEN,
            f"status {head.status}",
            is_connection_lost=exchange.framing is Framing.CONNECTION,
        )
    return await _forward_plain(deps, request, context, exchange)


async def _forward_plain(
    deps: GatewayDeps,
    request: web.BaseRequest,
    context: CallContext,
    exchange: Exchange,
) -> web.StreamResponse:
    """Forward a plain answer: at its end, or as it arrives if it can't be held.

    Raises:
        SendAttemptError: It is not complete, or too long.
    """
    settings = _fleet_settings(deps)
    length_bytes = exchange.length_bytes or 0
    if (
        exchange.framing is Framing.LENGTH
        and length_bytes > settings.answer_limit_bytes
    ):
        detail = f"its length is {length_bytes} bytes"
        raise SendAttemptError(SendOutcome.TOO_LONG, detail)
    context.status = exchange.head.status
    parts: list[bytes] = []
    held_bytes = 0
    async with aclosing(exchange.chunks(settings.answer_limit_bytes)) as chunks:
        with deps.held_answers.hold(settings.held_answers_limit_bytes) as held:
            async for part in chunks:
                parts.append(part)
                held_bytes += len(part)
                if not held.resize(held_bytes):
                    break
            else:
                answer = web.Response(status=context.status, body=b"".join(parts))
                _set_headers(deps, answer, exchange)
                return answer
            response = web.StreamResponse(status=context.status)
            _set_headers(deps, response, exchange)
            if exchange.framing is Framing.LENGTH:
                response.content_length = length_bytes
            for part in parts:
                await _write(request, context, response, part)
            parts.clear()
        async for part in chunks:
            await _write(request, context, response, part)
    return await _end(request, response)


async def _forward_stream(
    deps: GatewayDeps,
    request: web.BaseRequest,
    context: CallContext,
    reservation: Reservation,
    exchange: Exchange,
) -> web.StreamResponse:
    """Forward the complete events of a stream as they arrive, and then its end.

    Raises:
        SendAttemptError: The stream broke off.
    """
    response = context.response
    if response is None:
        response = web.StreamResponse(status=exchange.head.status)
        _set_headers(deps, response, exchange)
    events = context.events
    events_before = events.event_count
    settings = _fleet_settings(deps)
    with deps.held_answers.hold(settings.held_answers_limit_bytes) as held:
        async for chunk in exchange.chunks(settings.answer_limit_bytes):
            deps.placement.record_answer_data(reservation, deps.now())
            ready = events.feed(chunk)
            if not held.resize(events.held_bytes, MAX_EVENT_BYTES):
                raise SendAttemptError(SendOutcome.TOO_LONG, "an event is too long")
            if ready:
                _record_event(deps, context, reservation)
                await _write(request, context, response, ready)
    _check_end(events, events.event_count - events_before, exchange.framing)
    _record_pauses(deps, context)
    await _write(request, context, response, events.pop_rest())
    return await _end(request, response)


def _fleet_settings(deps: GatewayDeps) -> FleetSettings:
    """Return the deployment's settings, the defaults before any are in force."""
    state = deps.state()
    return FleetSettings() if state is None else state.tree.fleet


async def _end(
    request: web.BaseRequest, response: web.StreamResponse
) -> web.StreamResponse:
    """Mark the end of an answer that was forwarded as it came.

    Raises:
        CancelledError: The caller closed the connection.
    """
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise asyncio.CancelledError from error
    close_in_order(request)
    return response


def _check_end(events: EventStream, new_events: int, framing: Framing) -> None:
    """Check that a stream whose bytes have ended is complete.

    A target that crashes may close its connections in order. Whether it did so between
    two events can't be told; before its first event it has answered nothing.

    Args:
        events: The events of the whole answer.
        new_events: How many of them this target sent.
        framing: How its answer is framed.

    Raises:
        SendAttemptError: It broke off.
    """
    ends_with_connection = framing is Framing.CONNECTION
    detail = ""
    if events.is_inside_event:
        detail = "the stream ended inside an event"
    elif ends_with_connection and not new_events:
        detail = "the stream ended before any event"
    if detail:
        raise SendAttemptError(
            SendOutcome.BROKEN, detail, is_connection_lost=ends_with_connection
        )


async def _write(
    request: web.BaseRequest,
    context: CallContext,
    response: web.StreamResponse,
    data: bytes,
) -> None:
    """Write to the caller.

    Raises:
        CancelledError: The caller closed the connection.
    """
    try:
        if context.response is None:
            context.response = response
            reset_on_close(request)
            await response.prepare(request)
        if data:
            await response.write(data)
    except ConnectionError as error:
        raise asyncio.CancelledError from error


def _record_event(
    deps: GatewayDeps, context: CallContext, reservation: Reservation
) -> None:
    """Record that events arrived, and what the first one shows."""
    now_seconds = deps.now()
    if not context.record_event(now_seconds):
        return
    record_origin(deps, context, deps.placement.version_of(reservation))
    if context.call.prompt is not None:
        deps.gate.record_start(context.customer or "", context.call.prompt.cost_tokens)
        _record_first_event_time(deps, context)
    deps.placement.record_first_event(reservation, now_seconds)


def _record_first_event_time(deps: GatewayDeps, context: CallContext) -> None:
    """Record how long a caller waited for the first event.

    What it waited before it returned is left out: answers that are late because of
    refusals are no reason to refuse more. Only of the first attempt: after a failed one
    the time includes the failure and says nothing about how long prompts wait.
    """
    if context.send_attempts != 1 or context.first_event_seconds is None:
        return
    # Answers that are late because of a late loop say nothing about engines.
    if not deps.lag.was_lagging_since(context.arrived_at_seconds, deps.now()):
        deps.gate.timeliness.record_answer_start(
            context.first_event_seconds, context.route.objective_seconds
        )


def _record_pauses(deps: GatewayDeps, context: CallContext) -> None:
    """Record whether an answer that started in time paused for too long."""
    objective_seconds = context.route.pause_objective_seconds
    if objective_seconds is None or context.longest_pause_seconds <= objective_seconds:
        return
    if deps.lag.was_lagging_since(context.arrived_at_seconds, deps.now()):
        return
    if (context.first_event_seconds or 0.0) <= context.route.objective_seconds:
        deps.gate.timeliness.record_long_pause()


def cut_stream(
    deps: GatewayDeps, request: web.BaseRequest, cut: CutError
) -> web.StreamResponse:
    """Close the connection without the end mark, so the caller detects the cut."""
    log_end(deps, cut.context, "cut", cut.detail)
    if request.transport is not None:
        request.transport.close()
    assert cut.context.response is not None
    return cut.context.response


def _set_headers(
    deps: GatewayDeps, response: web.StreamResponse, exchange: Exchange
) -> None:
    """Set the headers of a target's answer, except the length of its body.

    The router frames what it forwards: the rest of a stream may come from another
    target, and a length that is too short would clip it to what looks complete.
    """
    for name, value in exchange.head.headers:
        if name.lower() != "content-length" or exchange.framing is Framing.NO_BODY:
            response.headers.add(name, value)
    if deps.is_leaving():
        response.force_close()
