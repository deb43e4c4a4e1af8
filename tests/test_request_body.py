"""Whole bodies are read within limits of size and time."""

import asyncio

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader

from sesameford.connection_memory import NoRoomError
from sesameford.request_body import (
    BodyTooLargeError,
    BodyTooSlowError,
    read_whole_body,
)

LIMIT_BYTES = 10
LIMIT_SECONDS = 0.05


def content_of(*pieces, ends=True):
    """Return a reader to which pieces have come, and perhaps the end."""
    loop = asyncio.get_running_loop()
    protocol = BaseProtocol(loop)
    protocol.connection_made(asyncio.Transport())
    content = StreamReader(protocol, 2**16, loop=loop)
    for piece in pieces:
        content.feed_data(piece)
    if ends:
        content.feed_eof()
    return content


async def read(content):
    return await read_whole_body(content, LIMIT_BYTES, LIMIT_SECONDS)


async def test_a_body_is_read_to_its_end():
    assert await read(content_of(b"some", b" notes")) == b"some notes"
    assert await read(content_of()) == b""


async def test_a_body_that_comes_later_is_read_to_its_end():
    content = content_of(b"some", ends=False)
    loop = asyncio.get_running_loop()
    loop.call_soon(content.feed_data, b" notes")
    loop.call_soon(content.feed_eof)
    assert await read(content) == b"some notes"


async def test_a_body_beyond_its_limits_is_refused():
    """Guards against bodies that grow, or stay open, without end."""
    with pytest.raises(BodyTooLargeError):
        await read(content_of(b"x" * LIMIT_BYTES, b"x"))
    with pytest.raises(BodyTooSlowError):
        await read(content_of(b"some", ends=False))


async def test_a_refused_body_is_not_read_as_whole():
    """Guards against a request that runs with a part of its body."""
    content = content_of(b"some", ends=False)
    reading = asyncio.create_task(read(content))
    await asyncio.sleep(0)
    content.set_exception(NoRoomError("no room"))
    with pytest.raises(NoRoomError):
        await reading
