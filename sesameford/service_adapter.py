"""HTTP client of plain services."""

from collections.abc import Callable
from urllib.parse import urlsplit

from aiohttp import ClientError, ClientResponse, ClientSession

from sesameford.answers import Completeness, judge_body
from sesameford.effective import ServiceSettings
from sesameford.errors import TargetLostError
from sesameford.framing import Framing, framing_of
from sesameford.held_answers import collect_held
from sesameford.model_adapter import ATTEMPT_HEADER, send_request
from sesameford.retries import Failure
from sesameford.tables import Attempt, Target
from sesameford.verbatim_request import VERBATIM_TARGET_HEADER

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
# Headers that belong to one connection, not to the message, and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
    }
)
# Nor is what a caller sends under the name that hands the target to the session.
OWN_HEADERS = HOP_BY_HOP_HEADERS | {VERBATIM_TARGET_HEADER.lower()}


def is_repeatable(service: ServiceSettings, method: str, path: str) -> bool:
    """Return whether a call may run more than once.

    Args:
        service: The settings; the route with the longest matching prefix overrides
            the method's default.
        method: The HTTP method.
        path: The path after the service's name, with a leading slash.
    """
    matching_routes = [
        route
        for route in service.routes
        if route.method in (method, "*") and path.startswith(route.path_prefix)
    ]
    if matching_routes:
        return max(matching_routes, key=lambda route: len(route.path_prefix)).repeatable
    return method in IDEMPOTENT_METHODS


async def open_call(
    session: ClientSession,
    target: Target,
    attempt: Attempt,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> ClientResponse:
    """Send a call to a service and return the response once its headers arrived.

    Raises:
        TargetRefusedError: The service provably did not start the call.
        TargetLostError: The connection failed; the call may have run.
    """
    headers = {
        **{k: v for k, v in headers.items() if k.lower() not in OWN_HEADERS},
        ATTEMPT_HEADER: attempt.attempt_id,
        VERBATIM_TARGET_HEADER: urlsplit(target.url).path + path,
    }
    return await send_request(session, method, target.url + path, body or None, headers)


async def read_complete_body(
    response: ClientResponse, hold: Callable[[int], None]
) -> bytes:
    """Return the body of a complete answer.

    Args:
        response: The answer, whose head has arrived.
        hold: Takes the bytes held so far; see ``RelayDeps.hold_answer``.

    Raises:
        TargetLostError: The connection closed before the Content-Length or the last
            chunk, the head has no framing of the body, or it is too long.
    """
    hold(response.content_length or 0)
    try:
        body = await collect_held(response.content.iter_any(), hold)
    except (ClientError, TimeoutError, OSError) as error:
        response.close()
        raise TargetLostError(
            f"the answer was cut: {error!r}", Failure.ANSWER_CUT
        ) from error
    framing = framing_of(response)
    if framing is Framing.NO_BODY:
        return body
    # aiohttp reads an answer without a length up to the end of the connection, but a
    # target that crashes in the middle of the answer also closes its connection.
    chunked = framing is Framing.CHUNKED
    length = response.content_length
    completeness = judge_body(length, chunked, chunked, len(body))
    if completeness is not Completeness.COMPLETE:
        raise TargetLostError(
            f"the answer is {completeness.value}", Failure.ANSWER_INVALID
        )
    return body
