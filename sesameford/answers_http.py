"""The HTTP form of outcomes: headers and problem documents."""

from math import ceil

from aiohttp.web import Response, ResponseKey
from msgspec.json import encode

from sesameford.errors import NotRunError, UnknownOutcomeError
from sesameford.tables import Outcome

OUTCOME_HEADER = "Sesameford-Outcome"
REQUEST_ID_HEADER = "Sesameford-Request-Id"
# Stores the outcome on a response whose headers were sent before it was known.
OUTCOME_KEY = ResponseKey("sesameford-outcome", Outcome)
PROBLEM_TYPE = "application/problem+json"


def outcome_headers(outcome: Outcome, request_id: str) -> dict[str, str]:
    """Return the headers that every answer to a caller has."""
    return {OUTCOME_HEADER: outcome.value, REQUEST_ID_HEADER: request_id}


def problem_body(status: int, reason: str, detail: str) -> bytes:
    """Return a problem document (RFC 9457) as JSON."""
    return encode(
        {
            "type": f"urn:sesameford:{reason}",
            "title": reason.replace("-", " "),
            "status": status,
            "detail": detail,
            "reason": reason,
        }
    )


def not_run_response(error: NotRunError, request_id: str) -> Response:
    """Return the response for a request that did not run."""
    headers = outcome_headers(Outcome.NOT_RUN, request_id)
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, ceil(error.retry_after_seconds)))
    return Response(
        status=error.status,
        body=problem_body(error.status, error.reason, error.detail),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def unknown_response(error: UnknownOutcomeError, request_id: str) -> Response:
    """Return the response for a request that may have run."""
    return Response(
        status=error.status,
        body=problem_body(error.status, error.reason, error.detail),
        content_type=PROBLEM_TYPE,
        headers=outcome_headers(Outcome.UNKNOWN, request_id),
    )
