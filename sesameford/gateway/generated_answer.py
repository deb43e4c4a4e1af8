"""Answers that a router generates itself, with the HTTP library or ahead of it."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from sesameford.early_answers import EarlyAnswer
from sesameford.gateway.call_context import (
    NO_ROOM_FOR_BODY,
    CallContext,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.call_log import log_refusal
from sesameford.gateway.calls import Call
from sesameford.gateway.unserved_calls import record_unserved_call


@dataclass(frozen=True, slots=True)
class GeneratedAnswer:
    """The answer to a refused call; ``is_last`` closes the connection after it."""

    status: int
    headers: Mapping[str, str]
    text: str
    is_last: bool

    def to_response(self) -> web.Response:
        """Return the answer for a request that the HTTP library handles."""
        response = web.Response(status=self.status, text=self.text)
        response.headers.update(self.headers)
        if self.is_last:
            response.force_close()
        return response

    def to_early_answer(self) -> EarlyAnswer:
        """Return the answer for a request that does not reach the HTTP library."""
        body = self.text.encode()
        lines = [
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}",
            "Content-Type: text/plain; charset=utf-8",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        ]
        head = "\r\n".join(lines).encode("latin-1", "replace")
        return EarlyAnswer(
            head + b"\r\n\r\n" + body,
            head + b"\r\nConnection: close\r\n\r\n" + body,
            self.is_last,
        )


def refuse_call(
    deps: GatewayDeps,
    call: Call | None,
    context: CallContext | None,
    refusal: Refusal,
    arrived_at_seconds: float,
) -> GeneratedAnswer:
    """Count and log a refusal, and return its answer."""
    deps.metrics.record_refusal(refusal.reason)
    log_refusal(deps, call, context, refusal, arrived_at_seconds)
    if context is not None:
        record_unserved_call(deps, context, refusal.reason)
    elif call is not None and call.prompt is not None:
        deps.gate.account.refused.add(
            refusal.customer, refusal.reason, call.prompt.cost_tokens
        )
    headers = dict(deps.wire_adapter.generated_answer_headers(call))
    if refusal.retry_after_seconds is not None:
        headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
    is_last = deps.is_leaving() or deps.is_crowded()
    is_last |= refusal.status in (400, 408, 413)
    # The rest of its body is not read.
    is_last |= refusal.reason == NO_ROOM_FOR_BODY
    return GeneratedAnswer(refusal.status, headers, f"{refusal.reason}\n", is_last)
