"""Connections to targets while the event loop is late."""

import asyncio
import socket
import time

import pytest
from aiohttp import ClientConnectorError, ConnectionTimeoutError, web
from aiohttp.test_utils import TestServer

from sesameford.http_ports import make_session

CONNECT_SECONDS = 0.3


def open_session():
    """Return a session that connects for each request."""
    return make_session(None, None, CONNECT_SECONDS)


async def answer(request):
    return web.Response(text="answered")


async def test_a_connection_is_not_given_up_while_the_loop_stands_still():
    """Guards against accepted connections that a late router counts as unreachable."""
    app = web.Application()
    app.router.add_get("/", answer)
    async with TestServer(app) as server, open_session() as session:
        request = asyncio.create_task(session.get(server.make_url("/")))
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(2 * CONNECT_SECONDS)
        response = await request
        assert await response.text() == "answered"


async def test_a_target_that_accepts_nothing_is_given_up_in_time():
    """Guards against calls that wait for an unreachable target until their deadline."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        async with open_session() as session:
            began_seconds = time.monotonic()
            with pytest.raises((ConnectionTimeoutError, ClientConnectorError)):
                await session.get(f"http://127.0.0.1:{port}/")
            took_seconds = time.monotonic() - began_seconds
        for filler in fillers:
            filler.close()
    assert took_seconds < 3 * CONNECT_SECONDS
