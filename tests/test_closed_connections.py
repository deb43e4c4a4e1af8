"""What a closed connection held is free at once."""

import asyncio
import gc
import weakref
from contextlib import contextmanager

import pytest
from aiohttp import web

from sesameford.connection_memory import NoRoomError
from sesameford.http_ports import listen_calls
from tools.members import free_ports

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
SENT = {
    "nothing": b"",
    "a part of a head": HEAD + b"X: y\r\n",
    "a whole request": HEAD + b"Content-Length: 2\r\n\r\nab",
    "a part of a body": HEAD + b"Content-Length: 64001\r\n\r\n" + b"x" * 20_000,
    "a part of a chunked body": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
}
CONNECTIONS = 8
FREED_SECONDS = 5.0


@contextmanager
def no_search_for_cycles():
    """Let the interpreter free nothing that refers to itself."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def answer(request):
    try:
        await request.content.read()
    except NoRoomError:
        return web.Response(status=503)
    return web.Response()


def leave(writers, connections):
    for writer in writers:
        writer.transport.abort()


def evict(writers, connections):
    for connection in connections:
        connection.held.evict()


@pytest.mark.parametrize("close", [leave, evict])
@pytest.mark.parametrize("name", SENT)
async def test_a_closed_connection_leaves_nothing_to_a_search_for_cycles(name, close):
    """Guards against evicted connections whose memory is not free for seconds."""
    address = f"127.0.0.1:{free_ports(1)[0]}"
    host, number = address.split(":")
    port = await listen_calls(answer, address)
    counts = port.guard.counts
    writers = []
    for _ in range(CONNECTIONS):
        _, writer = await asyncio.open_connection(host, int(number))
        writer.write(SENT[name])
        writers.append(writer)
    try:
        await asyncio.sleep(0.2)
        connections = [one for stage in counts.by_stage.values() for one in stage]
        assert len(connections) == CONNECTIONS
        kept = weakref.WeakSet(connections)
        with no_search_for_cycles():
            close(writers, connections)
            connections.clear()
            async with asyncio.timeout(FREED_SECONDS):
                while kept:
                    await asyncio.sleep(0.05)
    finally:
        leave(writers, ())
        await port.stop()
