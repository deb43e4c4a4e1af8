"""A call from its arrival to its final answer."""

import asyncio

from aiohttp import web

from sesameford.early_answers import pop_decision
from sesameford.event_stream import EventStream
from sesameford.gateway.admit import begin, decide
from sesameford.gateway.call_context import (
    RETRY_AFTER_SECONDS,
    CallContext,
    CutError,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.call_log import log_end, log_failure
from sesameford.gateway.calls import Headers, SendAttempt
from sesameford.gateway.candidates import Nowhere
from sesameford.gateway.early_decision import EarlyCall, read_call
from sesameford.gateway.forward import (
    NOT_RUN_FATES,
    Exchange,
    Fate,
    SendingError,
    body_until,
)
from sesameford.gateway.own_answer import refuse
from sesameford.gateway.target_record import Reservation

# Targets to which no connection comes about, before a call is given up: each costs up
# to the time to connect.
MOST_NEVER_SENT = 3
# A target whose address another one has now is passed over from now on, so a caller who
# may not be sent to a second target is served by another as soon as it is back.
SOON_RETRY_SECONDS = 0.02
# An evacuation lasts until an operator ends it: nothing is gained by coming back often.
EVACUATED_RETRY_SECONDS = 2.0
# Without a target a caller comes back when there may be one.
NOWHERE_RETRY_SECONDS = {
    Nowhere.NO_TARGET: RETRY_AFTER_SECONDS,
    Nowhere.NOT_AT_HOME: RETRY_AFTER_SECONDS,
    Nowhere.COLD: RETRY_AFTER_SECONDS,
    Nowhere.EVACUATED: EVACUATED_RETRY_SECONDS,
}
# With less left than this a sending could bring no answer in time.
LEAST_LEFT_SECONDS = 0.02


async def serve_call(deps: GatewayDeps, http: web.BaseRequest) -> web.StreamResponse:
    """Answer one request of a caller."""
    early: EarlyCall | None = pop_decision(http)
    call = early.call if early is not None else None
    arrived_at_seconds = early.arrived_at_seconds if early is not None else deps.now()
    run = None
    try:
        if call is None:
            call = read_call(deps, http.method, http.raw_path, http.headers)
        admitted = early.admitted if early else decide(deps, call, arrived_at_seconds)
        run = await begin(deps, http, call, admitted, arrived_at_seconds)
        deps.tally.record_call_start()
        try:
            response = await _run_to_answer(deps, http, run)
        finally:
            deps.tally.record_call_end()
        log_end(deps, run, "answered", "")
        return response
    except CutError as cut:
        return _cut(deps, http, cut)
    except Refusal as refusal:
        return refuse(deps, call, run, refusal, arrived_at_seconds).for_library()
    except asyncio.CancelledError:
        if run is not None:
            log_end(deps, run, "caller-left", "")
        raise


async def _run_to_answer(
    deps: GatewayDeps, http: web.BaseRequest, run: CallContext
) -> web.StreamResponse:
    """Send a call to one target after another until there is an answer.

    Raises:
        Refusal: There is none.
    """
    deps.second_sends.requested(run.service, deps.now())
    while True:
        lease = _place(deps, run)
        try:
            return await _send_once(deps, http, run, lease)
        except SendingError as error:
            log_failure(deps, run, lease, error)
            _judge(deps, run, lease, error)
            if not _may_send_again(deps, run, error):
                raise _final(run, error) from error


def _place(deps: GatewayDeps, run: CallContext) -> Reservation:
    """Choose a target.

    Raises:
        Refusal: None can take the call.
    """
    state = deps.state()
    engine = state.tree.services.get(run.service) if state is not None else None
    lease = deps.placement.choose(
        run.service,
        run.call.prompt,
        engine,
        run.route.objective_seconds,
        run.tried,
        deps.now(),
        run.homes,
    )
    if lease is None:
        if run.may_have_run:
            raise Refusal(502, "no-target-left")
        reason = deps.placement.candidates.why_nowhere(
            run.service, run.tried, deps.now(), run.homes
        )
        raise Refusal(503, reason.value, NOWHERE_RETRY_SECONDS[reason])
    return lease


async def _send_once(
    deps: GatewayDeps, http: web.BaseRequest, run: CallContext, lease: Reservation
) -> web.StreamResponse:
    """Send a call to one target and pass its answer on.

    Raises:
        SendingError: It brought no whole answer.
    """
    left_seconds = run.until_seconds - deps.loop_time()
    if left_seconds < LEAST_LEFT_SECONDS:
        deps.placement.released(lease, deps.now())
        raise SendingError(Fate.TIMEOUT, "no time is left")
    run.sendings += 1
    run.lease = lease
    run.tried |= {lease.target_id}
    resume_after = run.call.resume_after
    if run.passed is not None and run.passed.last_event_id >= 0:
        resume_after = str(run.passed.last_event_id)
    sending = SendAttempt(
        lease.target_id, run.customer, left_seconds, resume_after, lease.copy_from
    )

    is_failed = False
    try:
        async with deps.sender.exchange(
            run.call, run.body, lease.address, sending, run.until_seconds
        ) as exchange:
            deps.placement.heard(lease, deps.now())
            async with body_until(run.until_seconds):
                answer = await _pass_on(deps, http, run, lease, exchange)
        is_failed = run.status >= 500
    except SendingError as error:
        is_failed = error.fate in (Fate.LOST, Fate.BROKEN)
        raise
    finally:
        # The caller may have given up on an answer that was lost.
        if is_failed or deps.placement.is_lost(lease, deps.now()):
            _note_failed(deps, run, lease)
        deps.placement.released(lease, deps.now())
    if not is_failed:
        deps.placement.proved(lease.target_id)
        if not run.route.is_stream:
            deps.placement.ran(run.service, lease, deps.now())
    return answer


async def _pass_on(
    deps: GatewayDeps,
    http: web.BaseRequest,
    run: CallContext,
    lease: Reservation,
    exchange: Exchange,
) -> web.StreamResponse:
    head = exchange.head
    run.status = run.status or head.status
    if run.route.is_stream and 200 <= head.status < 300:
        return await _pass_stream(deps, http, run, lease, exchange)
    if run.response is not None:
        raise SendingError(Fate.BROKEN, f"status {head.status} in place of the rest")
    body = await exchange.whole_body()
    if head.status >= 500 and run.route.repeatable and not _is_last(run):
        raise SendingError(Fate.BROKEN, f"status {head.status}")
    run.status = head.status
    answer = web.Response(status=head.status, body=body)
    _set_headers(deps, answer, head.headers)
    return answer


def _is_last(run: CallContext) -> bool:
    return run.sendings >= run.route.attempts


async def _pass_stream(
    deps: GatewayDeps,
    http: web.BaseRequest,
    run: CallContext,
    lease: Reservation,
    exchange: Exchange,
) -> web.StreamResponse:
    """Pass events on as they come; only whole ones where it may be resumed."""
    response = run.response
    if response is None:
        response = web.StreamResponse(status=exchange.head.status)
        _set_headers(deps, response, exchange.head.headers)
    if run.route.resumable and run.passed is None:
        run.passed = EventStream()
    async for chunk in exchange.chunks():
        if run.event_came(deps.now()):
            if run.call.prompt is not None:
                deps.gate.record_start(run.customer or "", run.call.prompt.cost_tokens)
                _note_begin(deps, run)
            deps.placement.first_event(lease, deps.now())
        deps.placement.heard(lease, deps.now())
        ready = run.passed.feed(chunk) if run.passed is not None else chunk
        if ready:
            await _write(http, run, response, ready)
    if run.passed is not None and run.passed.held_bytes:
        raise SendingError(Fate.BROKEN, "the stream ended inside an event")
    if run.response is None:
        await _write(http, run, response, b"")
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise asyncio.CancelledError from error
    return response


async def _write(
    http: web.BaseRequest, run: CallContext, response: web.StreamResponse, data: bytes
) -> None:
    """Write to the caller; one who left is the end of the call."""
    try:
        if run.response is None:
            run.response = response
            await response.prepare(http)
        if data:
            await response.write(data)
    except ConnectionError as error:
        raise asyncio.CancelledError from error


def _judge(
    deps: GatewayDeps, run: CallContext, lease: Reservation, error: SendingError
) -> None:
    """Note what a failed sending shows of its target and of the call."""
    if error.fate in (Fate.NEVER_SENT, Fate.LOST, Fate.WRONG_TARGET):
        deps.placement.failed(lease.target_id, deps.now())
    if error.fate not in NOT_RUN_FATES:
        run.may_have_run = True
    if error.fate is Fate.NEVER_SENT:
        # No target had the call, so this was none of its attempts.
        run.sendings -= 1
        run.never_sent += 1
    if error.fate is Fate.BROKEN and run.passed is not None:
        run.passed.drop_partial()


def _note_begin(deps: GatewayDeps, run: CallContext) -> None:
    """Note how long a caller waited for its answer to begin.

    Where a target failed before, that says nothing of how long prompts wait.
    """
    if run.sendings == 1 and run.first_event_seconds is not None:
        deps.gate.timeliness.record_answer_start(
            run.first_event_seconds, run.route.objective_seconds
        )


def _note_failed(deps: GatewayDeps, run: CallContext, lease: Reservation) -> None:
    """Note a request that its target took and failed."""
    deps.placement.record_bad_answer(lease.target_id)
    if run.call.prompt is not None and run.first_event_seconds is None:
        deps.gate.record_failure(run.call.prompt.cost_tokens)


def _may_send_again(deps: GatewayDeps, run: CallContext, error: SendingError) -> bool:
    """Return whether a call goes to another target after a failure."""
    if error.fate is Fate.TIMEOUT or _is_last(run):
        return False
    if run.never_sent > MOST_NEVER_SENT:
        return False
    if run.may_have_run and not run.may_repeat:
        return False
    if run.response is not None and not run.route.resumable:
        return False
    if run.until_seconds - deps.loop_time() < LEAST_LEFT_SECONDS:
        return False
    if error.fate is Fate.NEVER_SENT:
        return True
    return deps.second_sends.allowed(run.service, deps.routers(), deps.now())


def _final(run: CallContext, error: SendingError) -> Exception:
    """Return the end of a call that has no whole answer."""
    if run.response is not None:
        return CutError(run, error.detail)
    if not run.may_have_run:
        is_gone = error.fate is Fate.WRONG_TARGET
        retry_seconds = SOON_RETRY_SECONDS if is_gone else RETRY_AFTER_SECONDS
        return Refusal(503, error.fate.value, retry_seconds)
    if error.fate is Fate.TIMEOUT:
        return Refusal(504, "timeout")
    return Refusal(502, error.fate.value)


def _cut(deps: GatewayDeps, http: web.BaseRequest, cut: CutError) -> web.StreamResponse:
    """End a stream without its end mark, so that its caller sees that it is cut."""
    log_end(deps, cut.run, "cut", cut.detail)
    if http.transport is not None:
        http.transport.close()
    assert cut.run.response is not None
    return cut.run.response


def _set_headers(
    deps: GatewayDeps, response: web.StreamResponse, headers: Headers
) -> None:
    for name, value in headers:
        response.headers.add(name, value)
    if deps.is_leaving():
        response.force_close()
