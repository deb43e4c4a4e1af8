"""The callers' HTTP interface: keys, bodies and errors."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from hashlib import sha256
from itertools import count
from typing import Any

from aiohttp import web
from msgspec import DecodeError
from msgspec.json import decode
from opentelemetry.trace import Tracer

from sesameford.answers_http import (
    not_run_response,
    outcome_headers,
    unknown_response,
)
from sesameford.effective import CustomerSettings
from sesameford.errors import NotRunError, UnknownOutcomeError
from sesameford.logs import log_context
from sesameford.metrics_http import make_metrics_handler
from sesameford.prompts import prefix_digests, prompt_text, prompt_tokens
from sesameford.relay import Call, RelayDeps, outcome_of, serve
from sesameford.router import Router
from sesameford.service_adapter import is_repeatable
from sesameford.tables import Outcome, Request, TargetKind
from sesameford.traces import propagator

logger = logging.getLogger(__name__)

DEADLINE_HEADER = "Sesameford-Deadline-Seconds"
HINT_HEADER = "Sesameford-Cost-Hint"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
MAX_HEADER_BYTES = 16_384

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class CallersDeps:
    """What the callers' interface needs.

    ``is_ready`` answers the platform's balancer; ``is_open`` is False once new
    requests are no longer taken. A body must have come within its timeout.
    """

    relay: RelayDeps
    tracer: Tracer
    instance_id: str
    incarnation: int
    is_ready: Callable[[], bool]
    is_open: Callable[[], bool]
    body_timeout_seconds: float = 30.0


def make_callers_app(deps: CallersDeps, body_limit_bytes: int) -> web.Application:
    """Return the application for the callers' port."""
    app = web.Application(client_max_size=body_limit_bytes)
    handler = _make_handler(deps)
    app.router.add_post("/v1/completions", handler(_completion_call))
    app.router.add_post("/v1/chat/completions", handler(_completion_call))
    app.router.add_get("/v1/models", _make_models(deps))
    app.router.add_route("*", "/services/{service}/{path:.*}", handler(_service_call))
    app.router.add_get("/healthz", _healthz)
    app.router.add_get("/readyz", _make_readyz(deps))
    app.router.add_get(
        "/metrics", make_metrics_handler(deps.relay.router.metrics.registry)
    )
    return app


ReadCall = Callable[[CallersDeps, web.Request, str], Awaitable[Call]]


def _make_handler(deps: CallersDeps) -> Callable[[ReadCall], Handler]:
    """Return what turns a reader of calls into an aiohttp handler."""
    numbers = count(1)

    def make(read_call: ReadCall) -> Handler:
        async def handle(http: web.Request) -> web.StreamResponse:
            request_id = f"{deps.instance_id}-{deps.incarnation:x}-{next(numbers)}"
            log_context.set({"request": request_id})
            parent = propagator.extract(http.headers)
            with deps.tracer.start_as_current_span("accept", parent) as span:
                span.set_attribute("request", request_id)
                trace_id = format(span.get_span_context().trace_id, "032x")
                log_context.set({"request": request_id, "trace": trace_id})
                return await _answer(deps, read_call, http, request_id)

        return handle

    return make


async def _answer(
    deps: CallersDeps, read_call: ReadCall, http: web.Request, request_id: str
) -> web.StreamResponse:
    """Serve one request and turn errors into answers."""
    metrics = deps.relay.router.metrics
    customer = "unknown"
    try:
        call = await read_call(deps, http, request_id)
        customer = call.request.customer_id
        log_context.set({**(log_context.get() or {}), "customer": customer})
        response = await serve(deps.relay, http, call)
        outcome = outcome_of(response)
    except NotRunError as error:
        metrics.refusals.inc({"reason": error.reason})
        response = not_run_response(error, request_id)
        outcome = Outcome.NOT_RUN
    except UnknownOutcomeError as error:
        logger.warning("outcome unknown: %s", error.detail)
        response = unknown_response(error, request_id)
        outcome = Outcome.UNKNOWN
    metrics.requests.inc({"customer": customer, "outcome": outcome.value})
    return response


def find_customer(router: Router, http: web.Request) -> CustomerSettings:
    """Return the customer whose key a request bears.

    Keys are compared by their digest: how long the look-up takes says nothing of a
    key, because nobody can choose a key by parts of its digest.

    Raises:
        NotRunError: No key, an unknown one, or the customer is suspended.
    """
    scheme, _, key = http.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise NotRunError("no-key", "a bearer key is needed", 401)
    digest = sha256(key.encode()).hexdigest()
    customer_id = router.tree.customer_ids_by_digest.get(digest)
    if customer_id is None:
        raise NotRunError("wrong-key", "this key is not known", 401)
    customer = router.tree.customers[customer_id]
    if customer.suspended:
        raise NotRunError("suspended", "this customer is suspended", 403)
    return customer


async def _completion_call(
    deps: CallersDeps, http: web.Request, request_id: str
) -> Call:
    """Read a completion request."""
    tree = deps.relay.router.tree
    customer = _admit(deps, http)
    body = await _read_body(deps, http)
    parsed = _parse_object(body)
    model = parsed.get("model")
    if not isinstance(model, str) or model not in tree.models:
        raise NotRunError("unknown-model", f"there is no model {model!r}", 404)
    text = prompt_text(parsed)
    request = _make_request(
        deps,
        http,
        customer,
        request_id,
        kind=TargetKind.MODEL,
        resource=model,
        body=body,
        repeatable=tree.models[model].repeatable,
        default_seconds=customer.deadline_seconds,
        text=text,
    )
    return Call(request, "POST", http.path, dict(http.headers), body, parsed)


async def _service_call(deps: CallersDeps, http: web.Request, request_id: str) -> Call:
    """Read a call of a plain service."""
    tree = deps.relay.router.tree
    customer = _admit(deps, http)
    name = http.match_info["service"]
    service = tree.services.get(name)
    if service is None:
        raise NotRunError("unknown-service", f"there is no service {name!r}", 404)
    # The raw path keeps what the caller escaped as it was; its first two parts
    # are ours.
    path = "/" + http.raw_path.split("/", 3)[3]
    body = await _read_body(deps, http)
    request = _make_request(
        deps,
        http,
        customer,
        request_id,
        kind=TargetKind.SERVICE,
        resource=name,
        body=body,
        repeatable=is_repeatable(service, http.method, path),
        default_seconds=min(customer.deadline_seconds, service.deadline_seconds),
    )
    return Call(request, http.method, path, dict(http.headers), body)


def _admit(deps: CallersDeps, http: web.Request) -> CustomerSettings:
    """Return the caller's customer if new requests are taken here."""
    customer = find_customer(deps.relay.router, http)
    if not deps.is_open():
        raise NotRunError("stopping", "this instance is stopping", 503, 1.0)
    return customer


async def _read_body(deps: CallersDeps, http: web.Request) -> bytes:
    """Return the whole body.

    Raises:
        NotRunError: It is too large, too slow, or its length is not what was said.
    """
    try:
        async with asyncio.timeout(deps.body_timeout_seconds):
            return await http.read()
    except TimeoutError as error:
        raise NotRunError("slow-body", "the body did not come in time", 408) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise NotRunError("body-too-large", str(error.text), 413) from error
    except (web.RequestPayloadError, ConnectionError) as error:
        raise NotRunError("broken-body", str(error), 400) from error


def _parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body."""
    try:
        parsed = decode(body)
    except (DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise NotRunError("not-json", f"the body is no JSON: {error}", 400) from error
    if not isinstance(parsed, dict):
        raise NotRunError("not-json", "the body is no JSON object", 400)
    return parsed


def _make_request(
    deps: CallersDeps,
    http: web.Request,
    customer: CustomerSettings,
    request_id: str,
    *,
    kind: TargetKind,
    resource: str,
    body: bytes,
    repeatable: bool,
    default_seconds: float,
    text: str = "",
) -> Request:
    """Return the request as the deciding modules see it."""
    now_seconds = deps.relay.now()
    asked_seconds = _positive_number(http, DEADLINE_HEADER)
    allowed_seconds = min(asked_seconds or default_seconds, default_seconds)
    key = http.headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise NotRunError("bad-idempotency-key", "1 to 255 characters", 400)
    digest = sha256(f"{http.method} {http.raw_path}\n".encode() + body).digest()
    return Request(
        request_id=request_id,
        customer_id=customer.customer_id,
        kind=kind,
        resource=resource,
        arrived_at_seconds=now_seconds,
        deadline_seconds=now_seconds + allowed_seconds,
        body_bytes=len(body),
        prompt_tokens=prompt_tokens(text) if kind is TargetKind.MODEL else 0,
        hint_cost_units=_positive_number(http, HINT_HEADER),
        repeatable=repeatable,
        body_digest=digest,
        prefix_digests=prefix_digests(customer.customer_id, text),
        idempotency_key=key,
    )


def _positive_number(http: web.Request, header: str) -> float | None:
    """Return a header's number, None where it is absent.

    Raises:
        NotRunError: It is no number above zero.
    """
    text = http.headers.get(header)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0.0 < number < 1e12:
        raise NotRunError("bad-header", f"{header} must be a number above 0", 400)
    return number


def _make_models(deps: CallersDeps) -> Handler:
    """Return the handler that lists models."""

    async def models(http: web.Request) -> web.Response:
        tree = deps.relay.router.tree
        try:
            find_customer(deps.relay.router, http)
        except NotRunError as error:
            return not_run_response(error, "none")
        rows = [{"id": name, "object": "model"} for name in sorted(tree.models)]
        headers = outcome_headers(Outcome.RAN, "none")
        return web.json_response({"object": "list", "data": rows}, headers=headers)

    return models


async def _healthz(http: web.Request) -> web.Response:
    """Say that the process lives."""
    return web.Response(text="ok\n")


def _make_readyz(deps: CallersDeps) -> Handler:
    """Return the handler that tells the balancer whether to send callers here."""

    async def readyz(http: web.Request) -> web.Response:
        if deps.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return readyz
