"""HTTP helpers of the operators' port: problems, bodies, keys, sliced work."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import Any

from aiohttp import web
from msgspec import DecodeError, ValidationError, json

from sesameford.connection_memory import NoRoomError
from sesameford.request_body import (
    BodyTooLargeError,
    BodyTooSlowError,
    read_whole_body,
)
from sesameford.yaml_text import Result, SlicedWork

BODY_TIMEOUT_SECONDS = 30.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Problem(Exception):
    """An error response.

    Args:
        status: The HTTP status code.
        reason: A short, stable code for programs.
        detail: A message for people.
        more: Further fields of the body.
    """

    def __init__(self, status: int, reason: str, detail: str, **more: Any) -> None:
        super().__init__(detail)
        self.status = status
        self.body = {
            "type": "about:blank",
            "title": reason.replace("-", " "),
            "status": status,
            "detail": detail,
            "reason": reason,
            **more,
        }


def with_problem_responses(handler: Handler) -> Handler:
    """Return a handler that converts each ``Problem`` into its response."""

    async def answer(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except Problem as problem:
            headers = {"WWW-Authenticate": "Bearer"} if problem.status == 401 else None
            return web.Response(
                body=json.encode(problem.body),
                status=problem.status,
                headers=headers,
                content_type="application/problem+json",
            )

    return answer


def json_response(value: Any) -> web.Response:
    """Return a successful response."""
    return web.Response(body=json.encode(value), content_type="application/json")


def bearer_digest(request: web.Request) -> str:
    """Return the digest of the bearer key of a request.

    Raises:
        Problem: The request has no bearer key.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise Problem(401, "no-key", "an Authorization: Bearer header is needed")
    return digest_of_key(key)


def digest_of_key(key: str) -> str:
    """Return the digest that the tree stores in place of a key."""
    return sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()


async def read_body(
    request: web.Request, decoder: json.Decoder[Any], limit_bytes: int
) -> Any:
    """Read and decode a body within limits of size and time."""
    try:
        body = await read_whole_body(request.content, limit_bytes, BODY_TIMEOUT_SECONDS)
    except BodyTooLargeError as error:
        raise Problem(413, "body-too-large", str(error)) from error
    except NoRoomError as error:
        raise Problem(503, "no-room-for-body", str(error)) from error
    except BodyTooSlowError as error:
        raise Problem(408, "slow-body", str(error)) from error
    try:
        return decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        raise Problem(400, "bad-body", str(error)) from error


async def run_in_slices(work: SlicedWork[Result]) -> Result:
    """Run sliced work, yielding to the event loop after each slice."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: Result = stop.value
            return result
        await sleep(0)
