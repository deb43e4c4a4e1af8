"""Answers of a router's own, such as refusals, by the library or before it begins."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from sesameford.early_answers import EarlyAnswer
from sesameford.gateway.call_context import CallContext, GatewayDeps, Refusal
from sesameford.gateway.call_log import log_refusal
from sesameford.gateway.calls import Call


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """A refusal as its caller gets it; ``is_last`` ends the connection."""

    status: int
    headers: Mapping[str, str]
    text: str
    is_last: bool

    def for_library(self) -> web.Response:
        """Return it for a request that the library handles."""
        response = web.Response(status=self.status, text=self.text)
        response.headers.update(self.headers)
        if self.is_last:
            response.force_close()
        return response

    def early(self) -> EarlyAnswer:
        """Return it for a request that the library never sees."""
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


def refuse(
    deps: GatewayDeps,
    call: Call | None,
    run: CallContext | None,
    refusal: Refusal,
    arrived_at_seconds: float,
) -> OwnAnswer:
    """Count and log a refusal, and return its answer."""
    deps.metrics.record_refusal(refusal.reason)
    log_refusal(deps, call, run, refusal, arrived_at_seconds)
    headers = dict(deps.wire_adapter.own_headers(call))
    if refusal.retry_after_seconds is not None:
        headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
    is_last = deps.is_leaving() or deps.is_crowded()
    is_last |= refusal.status in (400, 408, 413)
    return OwnAnswer(refusal.status, headers, f"{refusal.reason}\n", is_last)
