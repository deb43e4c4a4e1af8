"""Speaks plain HTTP with a service."""

from aiohttp import ClientError, ClientResponse, ClientSession

from sesameford.answers import Completeness, judge_body
from sesameford.effective import ServiceSettings
from sesameford.errors import TargetLostError
from sesameford.model_adapter import ATTEMPT_HEADER, send_request
from sesameford.retries import Failure
from sesameford.tables import Attempt, Target

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
BODILESS_STATUSES = frozenset({204, 304})
# Headers that belong to one connection, not to the message.
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


def is_repeatable(service: ServiceSettings, method: str, path: str) -> bool:
    """Return whether a call may run more than once.

    Args:
        service: Its routes overrule the method's default, the longest prefix first.
        method: The HTTP method.
        path: The path behind the service's name, with a leading slash.
    """
    fitting = [
        route
        for route in service.routes
        if route.method in (method, "*") and path.startswith(route.path_prefix)
    ]
    if fitting:
        return max(fitting, key=lambda route: len(route.path_prefix)).repeatable
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
    """Send a call to a service and return the answer at its headers.

    Raises:
        TargetRefusedError: The service provably did not start the call.
        TargetLostError: The exchange broke; the call may have run.
    """
    headers = {
        **{k: v for k, v in headers.items() if k.lower() not in HOP_BY_HOP_HEADERS},
        ATTEMPT_HEADER: attempt.attempt_id,
    }
    return await send_request(session, method, target.url + path, body or None, headers)


async def read_complete_body(response: ClientResponse) -> bytes:
    """Return the body of an answer, complete or not at all.

    Raises:
        TargetLostError: The connection ended before the length or end mark, or the
            head promised neither.
    """
    try:
        body = await response.read()
    except (ClientError, TimeoutError, OSError) as error:
        response.close()
        raise TargetLostError(
            f"the answer was cut: {error!r}", Failure.ANSWER_CUT
        ) from error
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return body
    # The library reads an answer without a length up to the end of the connection,
    # and a target that dies in the middle of it ends its connection too.
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    length = response.content_length
    judged = judge_body(length, chunked, chunked, len(body))
    if judged is not Completeness.COMPLETE:
        raise TargetLostError(f"the answer is {judged.value}", Failure.ANSWER_INVALID)
    return body
