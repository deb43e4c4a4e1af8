"""Connections of callers, which are closed if their requests never end."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from aiohttp import ClientSession, web

from sesameford.body_pieces import BYTES_PER_TRAILER, FRAMING_LINES
from sesameford.bounded_requests import MAX_OVERHEAD_BYTES
from sesameford.connection_memory import NoRoomError
from sesameford.framing import MAX_PART_BYTES
from sesameford.held_answers import collect_held
from sesameford.http_ports import CallsPort, listen, listen_calls
from tools.members import free_ports

LARGE_BYTES = 3_000_000
TINY_CHUNKS = 40_000
# What takes a replica some two milliseconds.
MAX_CHUNKS_PER_TURN = 4_096
ANSWER_SECONDS = 5.0
FIELDS = b"".join(b"X-%d: y\r\n" % number for number in range(1_000))
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@asynccontextmanager
async def open_port():
    """Serve calls whose answers tell the length of their bodies; read them late."""

    async def answer(request):
        await asyncio.sleep(0.05)
        body = await collect_held(request.content.iter_any(), lambda held_bytes: None)
        return web.Response(text=str(len(body)))

    address = f"127.0.0.1:{free_ports(1)[0]}"
    port = await listen_calls(answer, address)
    try:
        yield address
    finally:
        await port.stop()


@dataclass
class OneConnection:
    """A port, and one connection to it."""

    port: CallsPort
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@asynccontextmanager
async def open_connection():
    """Open a connection to a port that reads bodies, once it has a handler."""

    async def answer(request):
        try:
            await collect_held(request.content.iter_any(), lambda held_bytes: None)
        except NoRoomError:
            return web.Response(status=503)
        return web.Response()

    address = f"127.0.0.1:{free_ports(1)[0]}"
    port = await listen_calls(answer, address)
    host, number = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(number))
    while not port.calls.connections:
        await asyncio.sleep(0.01)
    try:
        yield OneConnection(port, reader, writer)
    finally:
        writer.close()
        await port.stop()


async def test_tiny_chunks_cost_a_turn_of_the_loop_little_time():
    """Guards against replicas that lose their leader as they parse one faulty peer."""
    bodies, grown = asyncio.Queue(), []

    async def answer(request):
        await bodies.put(request.content)
        return web.Response(text=str(len(await request.content.read())))

    app = web.Application()
    app.router.add_post("/", answer)
    address = f"127.0.0.1:{free_ports(1)[0]}"
    stop = await listen(app, address, None)
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(CHUNKED)
        async with asyncio.timeout(ANSWER_SECONDS):
            body = await bodies.get()
            writer.write(b"1\r\nx\r\n" * TINY_CHUNKS + b"0\r\n\r\n")
            while not body.is_eof():
                before_bytes = body.total_bytes
                await asyncio.sleep(0)
                grown.append(body.total_bytes - before_bytes)
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(5) == str(TINY_CHUNKS).encode()
        writer.close()
    finally:
        await stop()
    assert sum(grown) > 0
    assert max(grown) <= MAX_CHUNKS_PER_TURN


async def test_a_body_larger_than_the_librarys_buffer_arrives_whole():
    """Guards against a body that the library holds back and is never told to go on."""
    async with open_port() as address, ClientSession() as session:
        for _ in range(2):
            async with (
                asyncio.timeout(ANSWER_SECONDS),
                session.post(f"http://{address}/", data=b"x" * LARGE_BYTES) as answer,
            ):
                assert await answer.text() == str(LARGE_BYTES)


async def send_until_closed(address, head, piece):
    """Return how many bytes a peer can send before its connection is closed."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head)
    closed = asyncio.ensure_future(reader.read())
    sent_bytes = 0
    async with asyncio.timeout(ANSWER_SECONDS):
        while not (closed.done() or writer.is_closing()):
            writer.write(piece)
            sent_bytes += len(piece)
            await asyncio.sleep(0.001)
        await asyncio.wait({closed})
    closed.exception()
    return sent_bytes


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"GET / HTTP/1.1\r\n", FIELDS),
        (b"", b"\r\n" * 1_000),
        (CHUNKED, b"0" * 1_000),
        (CHUNKED + b"1;", b"a" * 1_000),
    ],
)
async def test_a_request_that_never_ends_closes_its_connection(head, piece):
    """Guards against a peer whose heads or framing fill a process's memory."""
    async with open_port() as address:
        sent_bytes = await send_until_closed(address, head, piece)
    assert sent_bytes < 4 * (MAX_OVERHEAD_BYTES + MAX_PART_BYTES)


@pytest.mark.parametrize("trailers", [0, 1_000])
@pytest.mark.parametrize(
    ("chunk", "chunks"),
    [
        (b"1\r\nx\r\n", 500),
        (b"9\r\n\n\r\n\r\n\r\n\r\n\r\n", 200),
        (b"3;e=1\r\n\n\n\n\r\n", 3),
    ],
)
async def test_trailers_are_counted_apart_from_data_and_chunks(trailers, chunk, chunks):
    """Guards against trailers that fill the memory, or bodies counted as trailers."""
    held = []
    async with open_connection() as one:
        for sent in (CHUNKED + chunk * chunks, b"0\r\n" + b"a:\r\n" * trailers):
            one.writer.write(sent)
            await asyncio.sleep(0.2)
            held.append(one.port.guard.memory.held_bytes)
    expected_bytes = BYTES_PER_TRAILER * max(trailers - FRAMING_LINES, 0)
    assert held[1] - held[0] >= expected_bytes
    assert held[1] - held[0] <= expected_bytes + FRAMING_LINES * BYTES_PER_TRAILER
    assert held[0] < 40_000


async def test_a_connection_that_is_lost_as_its_request_begins_holds_nothing():
    """Guards against an account that is full for good once a crowd has left."""
    async with open_connection() as one, asyncio.timeout(ANSWER_SECONDS):
        (handler,) = one.port.calls.connections
        # Its handler has not begun, and most of it waits for other turns of the loop.
        handler.data_received(CHUNKED + b"1\r\nx\r\n" * 10_000)
        handler.transport.abort()
        while one.port.guard.counts.open:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert one.port.guard.memory.held_bytes == 0


async def test_a_body_that_is_refused_as_more_of_it_comes_is_answered():
    """Guards against a refused request that holds its memory and is never answered."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
    async with open_connection() as one, asyncio.timeout(ANSWER_SECONDS):
        one.writer.write(head + b"notes")
        (handler,) = one.port.calls.connections
        while handler._current_request is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        # Its reader is woken for these, and finds the error instead.
        handler.data_received(b"more notes")
        assert handler._refuse()
        assert (await one.reader.readline()).startswith(b"HTTP/1.1 503 ")
