"""Reads the whole body of a request, within limits of size and time."""

from asyncio import timeout
from collections.abc import Callable
from contextlib import nullcontext

from aiohttp import StreamReader

from sesameford.errors import SesamefordError
from sesameford.held_answers import collect_held


class BodyTooLargeError(SesamefordError):
    """A body is larger than its request may have."""


class BodyTooSlowError(SesamefordError):
    """A body has not come in whole in time."""


def hold_nothing(held_bytes: int) -> None:
    """Account for a body nowhere else than for its connection."""


async def read_whole_body(
    content: StreamReader,
    limit_bytes: int,
    timeout_seconds: float,
    hold: Callable[[int], None] = hold_nothing,
) -> bytes:
    """Return the whole body of a request.

    Args:
        content: What has come of the body, and what is to come.
        limit_bytes: The most that it may have.
        timeout_seconds: For how long it may come in.
        hold: Called with the bytes held so far; it raises if there is no room for them.

    Raises:
        BodyTooLargeError: It is larger.
        BodyTooSlowError: It takes longer.
        NoRoomError: Other connections leave no room for it.
    """

    def check(held_bytes: int) -> None:
        if held_bytes > limit_bytes:
            raise BodyTooLargeError(f"at most {limit_bytes} bytes")
        hold(held_bytes)

    # A body that has come in already needs no timer.
    has_come = content.is_eof() and content.exception() is None
    try:
        async with nullcontext() if has_come else timeout(timeout_seconds):
            return await collect_held(content.iter_any(), check)
    except TimeoutError as error:
        raise BodyTooSlowError("the body did not come in time") from error
