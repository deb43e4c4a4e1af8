"""The callers' HTTP interface: authentication, request bodies and errors."""

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
from sesameford.connection_memory import NoRoomError
from sesameford.effective import CustomerSettings
from sesameford.errors import NotRunError, UnknownOutcomeError
from sesameford.logs import log_context
from sesameford.metrics_http import make_metrics_handler
from sesameford.prompts import prefix_digests, prompt_text, prompt_tokens
from sesameford.relay import Call, RelayDeps, outcome_of, serve
from sesameford.request_body import (
    BodyTooLargeError,
    BodyTooSlowError,
    read_whole_body,
)
from sesameford.request_digest import digest_request
from sesameford.router import Router
from sesameford.service_adapter import is_repeatable
from sesameford.stop_bound import make_stopping_error
from sesameford.tables import Outcome, Request, TargetKind
from sesameford.traces import propagator

logger = logging.getLogger(__name__)

DEADLINE_HEADER = "Sesameford-Deadline-Seconds"
HINT_HEADER = "Sesameford-Cost-Hint"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
MAX_HEADER_NUMBER = 1e12

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class CallersDeps:
    """The dependencies of the callers' interface.

    ``is_ready`` is the readiness for the platform's balancer; ``is_open`` is False
    once new requests are no longer accepted. A body must arrive within
    ``body_timeout_seconds``.
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
    handler = _make_handler_factory(deps)
    app.router.add_post("/v1/completions", handler(_read_completion_call))
    app.router.add_post("/v1/chat/completions", handler(_read_completion_call))
    app.router.add_get("/v1/models", _make_models_handler(deps))
    app.router.add_route(
        "*", "/services/{service}/{path:.*}", handler(_read_service_call)
    )
    app.router.add_get("/healthz", _healthz)
    app.router.add_get("/readyz", _make_readyz_handler(deps))
    app.router.add_get(
        "/metrics", make_metrics_handler(deps.relay.router.metrics.registry)
    )
    return app


ReadCall = Callable[[CallersDeps, web.Request, str], Awaitable[Call]]


def _make_handler_factory(deps: CallersDeps) -> Callable[[ReadCall], Handler]:
    """Return a function that makes an aiohttp handler from a reader of calls."""
    numbers = count(1)

    def make_handler(read_call: ReadCall) -> Handler:
        async def handle(http: web.Request) -> web.StreamResponse:
            request_id = f"{deps.instance_id}-{deps.incarnation:x}-{next(numbers)}"
            log_context.set({"request": request_id})
            parent = propagator.extract(http.headers)
            with deps.tracer.start_as_current_span("accept", parent) as span:
                span.set_attribute("request", request_id)
                trace_id = format(span.get_span_context().trace_id, "032x")
                log_context.set({"request": request_id, "trace": trace_id})
                return await _handle_call(deps, read_call, http, request_id)

        return handle

    return make_handler


async def _handle_call(
    deps: CallersDeps, read_call: ReadCall, http: web.Request, request_id: str
) -> web.StreamResponse:
    """Serve one request and convert errors to responses."""
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


def authenticate_customer(router: Router, http: web.Request) -> CustomerSettings:
    """Return the customer that a request's bearer key belongs to.

    Keys are looked up by their digest, so the look-up's duration doesn't reveal parts
    of a key: an attacker can't choose a key by parts of its digest.

    Raises:
        NotRunError: The key is absent or unknown, or the customer is suspended.
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


async def _read_completion_call(
    deps: CallersDeps, http: web.Request, request_id: str
) -> Call:
    """Read a completion request."""
    tree = deps.relay.router.tree
    customer = _authorize_new_call(deps, http)
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


async def _read_service_call(
    deps: CallersDeps, http: web.Request, request_id: str
) -> Call:
    """Read a call of a plain service."""
    tree = deps.relay.router.tree
    customer = _authorize_new_call(deps, http)
    name = http.match_info["service"]
    service = tree.services.get(name)
    if service is None:
        raise NotRunError("unknown-service", f"there is no service {name!r}", 404)
    # The raw path keeps the caller's escapes. Its first two parts, ``/services`` and
    # the name, are not sent to the service.
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


def _authorize_new_call(deps: CallersDeps, http: web.Request) -> CustomerSettings:
    """Return the caller's customer if this instance accepts new requests."""
    customer = authenticate_customer(deps.relay.router, http)
    if not deps.is_open():
        raise make_stopping_error()
    return customer


async def _read_body(deps: CallersDeps, http: web.Request) -> bytes:
    """Return the whole body.

    Raises:
        NotRunError: It is too large, too slow or shorter than its Content-Length.
    """
    try:
        return await read_whole_body(
            http.content, http.client_max_size, deps.body_timeout_seconds
        )
    except BodyTooSlowError as error:
        raise NotRunError("slow-body", str(error), 408) from error
    except NoRoomError as error:
        raise NotRunError("no-room-for-body", str(error), 503) from error
    except BodyTooLargeError as error:
        raise NotRunError("body-too-large", str(error), 413) from error
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
    """Return the request for the modules that make decisions."""
    now_seconds = deps.relay.now()
    requested_seconds = _parse_positive_header(http, DEADLINE_HEADER)
    allowed_seconds = min(requested_seconds or default_seconds, default_seconds)
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
        hint_cost_units=_parse_positive_header(http, HINT_HEADER),
        repeatable=repeatable,
        body_digest=digest,
        request_digest=digest_request(
            customer.customer_id, http.method, "", http.raw_path, body
        ),
        prefix_digests=prefix_digests(customer.customer_id, text),
        idempotency_key=key,
    )


def _parse_positive_header(http: web.Request, header: str) -> float | None:
    """Return a header's number, or None if the header is absent.

    Raises:
        NotRunError: The value is not a number above zero.
    """
    text = http.headers.get(header)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0.0 < number < MAX_HEADER_NUMBER:
        raise NotRunError("bad-header", f"{header} must be a number above 0", 400)
    return number


def _make_models_handler(deps: CallersDeps) -> Handler:
    """Return the handler that lists models."""

    async def models(http: web.Request) -> web.Response:
        tree = deps.relay.router.tree
        try:
            authenticate_customer(deps.relay.router, http)
        except NotRunError as error:
            return not_run_response(error, "none")
        rows = [{"id": name, "object": "model"} for name in sorted(tree.models)]
        headers = outcome_headers(Outcome.RAN, "none")
        return web.json_response({"object": "list", "data": rows}, headers=headers)

    return models


async def _healthz(http: web.Request) -> web.Response:
    """Answer the liveness check."""
    return web.Response(text="ok\n")


def _make_readyz_handler(deps: CallersDeps) -> Handler:
    """Return the handler of the balancer's readiness check."""

    async def readyz(http: web.Request) -> web.Response:
        if deps.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return readyz
