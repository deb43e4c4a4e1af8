"""Client of the completions API of a model engine."""

from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ConnectionTimeoutError,
)
from msgspec.json import encode

from sesameford.errors import TargetLostError, TargetRefusedError
from sesameford.retries import Failure
from sesameford.retry_after import read_retry_after_seconds
from sesameford.tables import Attempt, Target

ATTEMPT_HEADER = "X-Attempt-Id"
NOT_STARTED_HEADER = "X-Not-Started"


def engine_body(body: dict[str, Any]) -> bytes:
    """Return the body for the engine, which always requests a stream with usage."""
    options = body.get("stream_options")
    options = {**options} if isinstance(options, dict) else {}
    options["include_usage"] = True
    return encode({**body, "stream": True, "stream_options": options})


async def open_completion(
    session: ClientSession,
    target: Target,
    attempt: Attempt,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> ClientResponse:
    """Send a completion request and return the response once its headers arrived.

    Raises:
        TargetRefusedError: The engine provably did not start the request.
        TargetLostError: The connection failed; the request may have run.
    """
    headers = {
        **headers,
        ATTEMPT_HEADER: attempt.attempt_id,
        "Content-Type": "application/json",
    }
    return await send_request(session, "POST", target.url + path, body, headers)


async def resume_completion(
    session: ClientSession, target: Target, attempt: Attempt, last_event_id: int
) -> ClientResponse:
    """Request the rest of a stream from the engine, on a new connection.

    Raises:
        TargetRefusedError: The engine can't be reached.
        TargetLostError: The engine has no such stream, or the connection failed.
    """
    url = f"{target.url}/v1/streams/{attempt.attempt_id}"
    headers = {"Last-Event-ID": str(last_event_id)}
    response = await send_request(session, "GET", url, None, headers)
    if response.status != 200:
        response.close()
        raise TargetLostError(
            f"resume was answered with status {response.status}", Failure.ANSWER_CUT
        )
    return response


async def cancel_completion(
    session: ClientSession, target: Target, attempt_id: str
) -> None:
    """Request that the engine stops an attempt; failures are ignored."""
    url = f"{target.url}/v1/streams/{attempt_id}"
    try:
        async with session.delete(url):
            pass
    except (ClientError, TimeoutError, OSError):
        return


async def send_request(
    session: ClientSession,
    method: str,
    url: str,
    body: bytes | None,
    headers: dict[str, str],
) -> ClientResponse:
    """Send one request and return the response once its headers arrived.

    Raises:
        TargetRefusedError: The connection could not be opened, or the target reports
            that it did not start the request.
        TargetLostError: Any other failure; the request may have run.
    """
    try:
        response = await session.request(
            method, url, data=body, headers=headers, allow_redirects=False
        )
    except ClientConnectorError as error:
        raise TargetRefusedError(
            f"no connection: {error}", Failure.CONNECT_REFUSED
        ) from error
    except ConnectionTimeoutError as error:
        raise TargetRefusedError(
            f"no connection: {error}", Failure.CONNECT_TIMEOUT
        ) from error
    except (ClientError, TimeoutError, OSError) as error:
        raise TargetLostError(
            f"the exchange broke: {error!r}", Failure.LOST_BEFORE_ANSWER
        ) from error
    if response.status == 503 and response.headers.get(NOT_STARTED_HEADER) == "true":
        response.close()
        raise TargetRefusedError(
            "the target did not start the request",
            Failure.NOT_STARTED,
            read_retry_after_seconds(response.headers.get("Retry-After")),
        )
    return response
