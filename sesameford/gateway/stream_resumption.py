"""Restricts a call that resumes a stream to the service and version that began it."""

import asyncio
import logging

from sesameford.gateway.call_context import (
    RETRY_AFTER_SECONDS,
    CallContext,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.origin_exchange import OriginAnswer
from sesameford.gateway.stream_origins import StreamOrigin, origin_key

logger = logging.getLogger(__name__)

# The time that a call may spend on finding out where its stream began.
MAX_LOOKUP_PART = 0.25
MAX_LOOKUP_SECONDS = 0.3
# An origin may still be on its way when the replicas are asked for the first time.
ASK_AGAIN_SECONDS = 0.05
# A caller may return for a while after its deadline, as its messages travel.
KEEP_SLACK_SECONDS = 2.0
MAX_STREAM_SECONDS = 60.0


def record_origin(deps: GatewayDeps, context: CallContext, version: str) -> None:
    """Record where a stream begins, when its first event is about to be forwarded.

    Args:
        deps: The router's parts.
        context: The call.
        version: The software version of the target, empty if it is unknown.
    """
    if context.origin is not None:
        return
    context.origin = StreamOrigin(context.service, version)
    if not context.route.resumable or not version:
        return
    key = origin_key(context.customer, context.call.request_id)
    keep_seconds = _longest_stream_seconds(context) + KEEP_SLACK_SECONDS
    deps.origin_exchange.record(key, context.origin, keep_seconds, deps.now())


async def restrict_to_origin(deps: GatewayDeps, context: CallContext) -> None:
    """Find where the stream that a call resumes began, and set its origin.

    Raises:
        Refusal: That can't be known, or the route leads there no more.
    """
    call = context.call
    is_resumption = bool(call.resume_after or call.resumes_request_id)
    if not context.route.is_stream or not is_resumption:
        return
    started_seconds = deps.now()
    answer = await _find(deps, context)
    origin = answer.origin or _only_origin(deps, context, answer)
    logger.info(
        "stream resumption",
        extra={
            "request": call.request_id,
            "resumes": call.resumes_request_id or "",
            "resumed_after": call.resume_after or "",
            "service": origin.service if origin else "",
            "version": origin.software_version if origin else "",
            "is_recorded": answer.origin is not None,
            "is_final": answer.is_final,
            "took_seconds": round(deps.now() - started_seconds, 3),
        },
    )
    if origin is None:
        retry_seconds = None if answer.has_same_table else RETRY_AFTER_SECONDS
        raise Refusal(503, "unknown-stream", retry_seconds)
    if origin.service not in _services(context):
        raise Refusal(503, "stream-elsewhere", detail=origin.service)
    context.service = origin.service
    context.origin = origin


async def _find(deps: GatewayDeps, context: CallContext) -> OriginAnswer:
    """Return what this router or the replicas know of the stream's origin."""
    request_id = context.call.resumes_request_id
    exchange = deps.origin_exchange
    key = origin_key(context.customer, request_id) if request_id else b""
    known = exchange.origins.find(key, deps.now())
    if known is not None:
        return OriginAnswer(known, is_final=True)
    until_seconds = deps.loop_time() + min(
        MAX_LOOKUP_PART * (context.until_seconds - deps.loop_time()),
        MAX_LOOKUP_SECONDS,
    )
    answer = await exchange.ask(key, until_seconds - deps.loop_time(), deps.now())
    if key and answer.origin is None and answer.is_final:
        await asyncio.sleep(ASK_AGAIN_SECONDS)
        left_seconds = max(until_seconds - deps.loop_time(), 0.0)
        answer = await exchange.ask(key, left_seconds, deps.now())
    if answer.origin is not None:
        keep_until_seconds = deps.now() + _longest_stream_seconds(context)
        exchange.origins.record(key, answer.origin, keep_until_seconds)
    return answer


def _only_origin(
    deps: GatewayDeps, context: CallContext, answer: OriginAnswer
) -> StreamOrigin | None:
    """Return the one origin that the stream can have, None if there are several.

    The replicas must have known the same targets after the call came. A router that is
    cut off may lack those of another version that have served since.
    """
    if not answer.has_same_table or len(_services(context)) != 1:
        return None
    version = deps.service_versions.only_version(
        context.service,
        2 * _longest_stream_seconds(context),
        bool(context.call.resumes_request_id),
        deps.now(),
    )
    return None if version is None else StreamOrigin(context.service, version)


def _services(context: CallContext) -> set[str]:
    """Return the services to which the route of a call may lead."""
    return {one.service for one in context.route.backends if one.weight > 0}


def _longest_stream_seconds(context: CallContext) -> float:
    """Return how long after its first event a stream may be resumed."""
    timeout_seconds = context.call.caller_timeout_seconds or 0.0
    longest_seconds = max(context.route.timeout_seconds, timeout_seconds)
    return min(longest_seconds, MAX_STREAM_SECONDS)
