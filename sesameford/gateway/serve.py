"""A call from its arrival to its final answer."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from aiohttp import web

from sesameford.effective import EffectiveTree, HttpRouteSettings
from sesameford.event_stream import EventStream
from sesameford.gateway.calls import BadCallError, Call, Edge, Headers, Prompt, Sending
from sesameford.gateway.forward import (
    NOT_RUN_FATES,
    Exchange,
    Fate,
    Sender,
    SendingError,
)
from sesameford.gateway.placement import Lease, Placement
from sesameford.gateway.route_table import (
    RouteTable,
    choose_service,
    make_route_table,
)
from sesameford.gateway.second_sends import SecondSends
from sesameford.gateway.shares import ShareGate
from sesameford.gateway.tally import Tally
from sesameford.operators_http import digest_of_key

logger = logging.getLogger(__name__)

# A caller is told to come back after so long where nothing better is known: about
# the time in which a resting target is tried again.
RETRY_AFTER_SECONDS = 0.5
# Beyond its share a customer is served while the engine that it would be sent to would
# begin within this part of the shortest objective: nobody is held up by it.
ROOM_PART = 0.1
# A customer over its share is told to come back while its objective can still be met.
SHARE_RETRY_PART = 0.25
# A caller of an instance that stops is served by another one at once.
STOPPING_RETRY_SECONDS = 0.02
# Targets to which no connection comes about, before a call is given up: each costs up
# to the time to connect.
MOST_NEVER_SENT = 3
# With less left than this a sending could bring no answer in time.
LEAST_LEFT_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class GatewayState:
    """What is in force at one router."""

    tree: EffectiveTree
    routes: RouteTable
    engine_services: frozenset[str]
    shortest_objective_seconds: float


def make_gateway_state(tree: EffectiveTree) -> GatewayState:
    """Return what follows from a tree for a router."""
    engines = frozenset(
        service.service
        for service in tree.services.values()
        if service.batch_slots is not None
    )
    objectives = [
        route.objective_seconds
        for route in tree.routes.values()
        if any(one.service in engines for one in route.backends)
    ]
    return GatewayState(
        tree, make_route_table(tree), engines, min(objectives, default=1.0)
    )


@dataclass(frozen=True, slots=True)
class GatewayDeps:
    """The parts of a router that a call meets."""

    edge: Edge
    sender: Sender
    placement: Placement
    gate: ShareGate
    second_sends: SecondSends
    tally: Tally
    random: Random
    state: Callable[[], GatewayState | None]
    routers: Callable[[], int]
    is_leaving: Callable[[], bool]
    accepts: Callable[[], bool]
    now: Callable[[], float]
    loop_time: Callable[[], float]


class Refusal(Exception):
    """A final answer of the system's own.

    Args:
        status: The HTTP status code; 429 and 503 say that the call has not run.
        reason: A short, stable word.
        retry_after_seconds: When a new try makes sense.
    """

    def __init__(
        self, status: int, reason: str, retry_after_seconds: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


@dataclass(slots=True)
class _Run:
    """One call on its way; ``until_seconds`` is on the loop's clock."""

    call: Call
    body: bytes
    route: HttpRouteSettings
    customer: str | None
    service: str
    arrived_at_seconds: float
    until_seconds: float
    tried: frozenset[str] = frozenset()
    sendings: int = 0
    never_sent: int = 0
    may_have_run: bool = False
    response: web.StreamResponse | None = None
    passed: EventStream | None = None
    status: int = 0
    first_event_seconds: float | None = None
    expected_seconds: float = 0.0
    unread_tokens: int = 0
    rate_tokens: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a call that may have run can be sent again."""
        return self.route.repeatable or self.route.resumable


class _CutError(Exception):
    """A stream broke off that its caller has a part of."""

    def __init__(self, run: _Run, detail: str) -> None:
        super().__init__(detail)
        self.run = run
        self.detail = detail


async def serve_call(deps: GatewayDeps, http: web.BaseRequest) -> web.StreamResponse:
    """Answer one request of a caller."""
    call = None
    arrived_at_seconds = deps.now()
    run = None
    try:
        call = _read_call(deps, http)
        run = await _admitted(deps, http, call, arrived_at_seconds)
        deps.tally.opened()
        try:
            response = await _run_to_answer(deps, http, run)
        finally:
            deps.tally.closed()
        _log_end(deps, run, "answered", "")
        return response
    except _CutError as cut:
        return _cut(deps, http, cut)
    except Refusal as refusal:
        deps.tally.refused(refusal.reason)
        _log_refusal(deps, call, run, refusal, arrived_at_seconds)
        return _own_answer(deps, call, refusal)
    except asyncio.CancelledError:
        if run is not None:
            _log_end(deps, run, "caller-left", "")
        raise


def _read_call(deps: GatewayDeps, http: web.BaseRequest) -> Call:
    headers = [(str(name), value) for name, value in http.headers.items()]
    try:
        return deps.edge.read_call(http.method, http.raw_path, http.headers, headers)
    except BadCallError as error:
        raise Refusal(error.status, error.detail) from error


async def _admitted(
    deps: GatewayDeps, http: web.BaseRequest, call: Call, arrived_at_seconds: float
) -> _Run:
    """Find a call's route and customer, and read its body.

    Raises:
        Refusal: It is not to run.
    """
    state = deps.state()
    if state is None:
        raise Refusal(503, "no-configuration", RETRY_AFTER_SECONDS)
    if not deps.accepts():
        raise Refusal(503, "stopping", STOPPING_RETRY_SECONDS)
    route = state.routes.find(call.host, call.path)
    if route is None:
        raise Refusal(404, "no-route")
    customer = _customer_of(state.tree, route, call)
    service = choose_service(route, deps.random.random())
    if service in state.engine_services and call.prompt is not None:
        _check_share(deps, state, route, service, customer or "", call.prompt)
    body = await _body(http, state.tree.fleet.body_limit_bytes)
    patience_seconds = route.timeout_seconds
    if call.patience_seconds is not None:
        patience_seconds = min(patience_seconds, call.patience_seconds)
    spent_seconds = deps.now() - arrived_at_seconds
    return _Run(
        call,
        body,
        route,
        customer,
        service,
        arrived_at_seconds,
        deps.loop_time() + patience_seconds - spent_seconds,
    )


def _check_share(
    deps: GatewayDeps,
    state: GatewayState,
    route: HttpRouteSettings,
    service: str,
    customer: str,
    prompt: Prompt,
) -> None:
    """Reject a request beyond its customer's share, unless an engine is free now.

    Raises:
        Refusal: Others would wait for it.
    """
    if deps.gate.admits(customer, route.route_id, prompt.cost_tokens):
        return
    raise Refusal(429, "over-share", SHARE_RETRY_PART * route.objective_seconds)


def _customer_of(
    tree: EffectiveTree, route: HttpRouteSettings, call: Call
) -> str | None:
    """Return the customer whose key a call has."""
    if call.key is not None:
        customer = tree.customer_ids_by_digest.get(digest_of_key(call.key))
        if customer is not None:
            return customer
    if route.public or not tree.customers:
        return None
    raise Refusal(401, "unknown-key")


async def _body(http: web.BaseRequest, limit_bytes: int) -> bytes:
    if not http.body_exists:
        return b""
    body = bytearray()
    async for chunk in http.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise Refusal(413, "body-too-large")
    return bytes(body)


async def _run_to_answer(
    deps: GatewayDeps, http: web.BaseRequest, run: _Run
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
            _log_failure(deps, run, lease, error)
            _judge(deps, run, lease, error)
            if not _may_send_again(deps, run, error):
                raise _final(run, error) from error


def _place(deps: GatewayDeps, run: _Run) -> Lease:
    """Choose a target.

    Raises:
        Refusal: None can take the call.
    """
    state = deps.state()
    settings = state.tree.services.get(run.service) if state is not None else None
    slots = settings.batch_slots if settings is not None else None
    prompt = run.call.prompt if slots else None
    now_seconds = deps.now()
    lease = deps.placement.choose(
        run.service,
        prompt,
        slots,
        run.route.objective_seconds,
        run.tried,
        now_seconds,
    )
    if lease is None:
        if run.may_have_run:
            raise Refusal(502, "no-target-left")
        raise Refusal(503, "no-target", RETRY_AFTER_SECONDS)
    return lease


async def _send_once(
    deps: GatewayDeps, http: web.BaseRequest, run: _Run, lease: Lease
) -> web.StreamResponse:
    """Send a call to one target and pass its answer on.

    Raises:
        SendingError: It brought no whole answer.
    """
    left_seconds = run.until_seconds - deps.loop_time()
    if left_seconds < LEAST_LEFT_SECONDS:
        raise SendingError(Fate.TIMEOUT, "no time is left")
    run.sendings += 1
    run.expected_seconds = lease.expected_at_seconds - lease.sent_at_seconds
    run.unread_tokens = lease.tokens
    run.rate_tokens = lease.rate_tokens
    run.tried |= {lease.target_id}
    resume_after = run.call.resume_after
    if run.passed is not None and run.passed.last_event_id >= 0:
        resume_after = str(run.passed.last_event_id)
    sending = Sending(lease.target_id, run.customer, left_seconds, resume_after)

    def first_event() -> None:
        deps.placement.first_event(lease, deps.now())

    def heard() -> None:
        deps.placement.heard(lease, deps.now())

    try:
        async with deps.sender.exchange(
            run.call, run.body, lease.address, sending, run.until_seconds
        ) as exchange:
            heard()
            answer = await _pass_on(deps, http, run, exchange, first_event, heard)
    finally:
        deps.placement.released(lease, deps.now())
    deps.placement.proved(lease.target_id)
    return answer


async def _pass_on(
    deps: GatewayDeps,
    http: web.BaseRequest,
    run: _Run,
    exchange: Exchange,
    first_event: Callable[[], None],
    heard: Callable[[], None],
) -> web.StreamResponse:
    head = exchange.head
    run.status = run.status or head.status
    if run.route.is_stream and 200 <= head.status < 300:
        return await _pass_stream(deps, http, run, exchange, first_event, heard)
    if run.response is not None:
        raise SendingError(Fate.BROKEN, f"status {head.status} in place of the rest")
    body = await exchange.whole_body(run.until_seconds)
    if head.status >= 500 and run.route.repeatable and not _is_last(run):
        raise SendingError(Fate.BROKEN, f"status {head.status}")
    run.status = head.status
    answer = web.Response(status=head.status, body=body)
    _set_headers(deps, answer, head.headers)
    return answer


def _is_last(run: _Run) -> bool:
    return run.sendings >= run.route.attempts


async def _pass_stream(
    deps: GatewayDeps,
    http: web.BaseRequest,
    run: _Run,
    exchange: Exchange,
    first_event: Callable[[], None],
    heard: Callable[[], None],
) -> web.StreamResponse:
    """Pass events on as they come; only whole ones where it may be resumed."""
    response = run.response
    if response is None:
        response = web.StreamResponse(status=exchange.head.status)
        _set_headers(deps, response, exchange.head.headers)
    if run.route.resumable and run.passed is None:
        run.passed = EventStream()
    async for chunk in exchange.chunks(run.until_seconds):
        if run.first_event_seconds is None:
            run.first_event_seconds = deps.now() - run.arrived_at_seconds
            if run.call.prompt is not None:
                deps.gate.begun_tokens += run.call.prompt.cost_tokens
            first_event()
        heard()
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
    http: web.BaseRequest, run: _Run, response: web.StreamResponse, data: bytes
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


def _judge(deps: GatewayDeps, run: _Run, lease: Lease, error: SendingError) -> None:
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


def _may_send_again(deps: GatewayDeps, run: _Run, error: SendingError) -> bool:
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


def _final(run: _Run, error: SendingError) -> Exception:
    """Return the end of a call that has no whole answer."""
    if run.response is not None:
        return _CutError(run, error.detail)
    if not run.may_have_run:
        return Refusal(503, error.fate.value, RETRY_AFTER_SECONDS)
    if error.fate is Fate.TIMEOUT:
        return Refusal(504, "timeout")
    return Refusal(502, error.fate.value)


def _cut(
    deps: GatewayDeps, http: web.BaseRequest, cut: _CutError
) -> web.StreamResponse:
    """End a stream without its end mark, so that its caller sees that it is cut."""
    _log_end(deps, cut.run, "cut", cut.detail)
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


def _own_answer(deps: GatewayDeps, call: Call | None, refusal: Refusal) -> web.Response:
    response = web.Response(status=refusal.status, text=f"{refusal.reason}\n")
    for name, value in deps.edge.own_headers(call):
        response.headers[name] = value
    if refusal.retry_after_seconds is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
    if refusal.status in (400, 408, 413) or deps.is_leaving():
        response.force_close()
    return response


# --- log lines -----------------------------------------------------------------


def _log_refusal(
    deps: GatewayDeps,
    call: Call | None,
    run: _Run | None,
    refusal: Refusal,
    arrived_at_seconds: float,
) -> None:
    state = deps.state()
    logger.warning(
        "refused",
        extra={
            "request": call.request_id if call else "",
            "status": refusal.status,
            "reason": refusal.reason,
            "route": run.route.route_id if run else "",
            "customer": run.customer if run else "",
            "sendings": run.sendings if run else 0,
            "revision": state.tree.revision if state else 0,
            "after_seconds": round(deps.now() - arrived_at_seconds, 3),
        },
    )


def _log_failure(
    deps: GatewayDeps, run: _Run, lease: Lease, error: SendingError
) -> None:
    logger.warning(
        "sending failed",
        extra={
            "request": run.call.request_id,
            "target": lease.target_id,
            "address": lease.address,
            "fate": error.fate.value,
            "detail": error.detail,
            "sendings": run.sendings,
        },
    )


def _log_end(deps: GatewayDeps, run: _Run, outcome: str, detail: str) -> None:
    took_seconds = deps.now() - run.arrived_at_seconds
    deps.tally.ended(
        outcome, run.route.route_id, run.status, took_seconds, run.first_event_seconds
    )
    first = run.first_event_seconds
    logger.info(
        outcome,
        extra={
            "request": run.call.request_id,
            "route": run.route.route_id,
            "customer": run.customer or "",
            "targets": ",".join(run.tried),
            "sendings": run.sendings,
            "status": run.status,
            "detail": detail,
            "took_seconds": round(took_seconds, 3),
            "first_event_seconds": "" if first is None else round(first, 3),
            "expected_seconds": round(run.expected_seconds, 3),
            "unread_tokens": run.unread_tokens,
            "rate_tokens": round(run.rate_tokens),
        },
    )
