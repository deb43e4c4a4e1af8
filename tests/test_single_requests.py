"""Unusual requests within the limits, each served while nothing is amiss."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.connection_memory import MIN_LIMIT_BYTES, make_connection_memory
from sesameford.held_answers import collect_held
from sesameford.http_ports import listen_calls
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk

ANSWER_SECONDS = 30.0
MAX_BODY_BYTES = 4_000_000
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 30_000


def chunks(body, chunk_bytes, extension=b"", trailers=b""):
    """Return a body in chunks of a size, each with an extension."""
    framed = bytearray()
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        framed += b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk)
    return bytes(framed) + b"0\r\n" + trailers + b"\r\n"


def extension_of(extension_bytes):
    return b";" + b"e" * (extension_bytes - 1) if extension_bytes else b""


def body_of(body_bytes):
    """Return a body that holds what may look like the end of one."""
    return (b"0\r\n\r\n1\r\n\r\nx" * (body_bytes // 11 + 1))[:body_bytes]


@asynccontextmanager
async def open_port():
    """Answer each request by its body, with as little memory as any machine gives."""

    async def answer(request):
        body = await collect_held(request.content.iter_any(), lambda held_bytes: None)
        return web.Response(body=body)

    memory = make_connection_memory(MIN_LIMIT_BYTES)
    port = await listen_calls(answer, "127.0.0.1:0", memory=memory)
    try:
        yield port.server.sockets[0].getsockname()[1]
    finally:
        await port.stop()
    assert memory.held_bytes == 0


async def ask(port, request, piece_bytes=PIECE_BYTES):
    """Send a request in pieces; return the status and the body of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**23)

    async def send():
        for start in range(0, len(request), piece_bytes):
            writer.write(request[start : start + piece_bytes])
            await writer.drain()

    sending = asyncio.create_task(send())
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            return int(head.split()[1]), await reader.readexactly(length)
    finally:
        sending.cancel()
        writer.close()


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 6_000),
    st.one_of(st.integers(1, 20), st.integers(21, 5_000)),
    st.one_of(st.just(0), st.integers(2, 200)),
    st.sampled_from((b"", b"X: y\r\n", b"X-1: y\r\nX-2: y\r\n")),
    st.integers(1, 5_000),
)
async def test_a_body_in_any_chunks_arrives_whole(
    body_bytes, chunk_bytes, extension_bytes, trailers, piece_bytes
):
    """Guards against callers who are cut off for how they divide their bodies."""
    body = body_of(body_bytes)
    framed = chunks(body, chunk_bytes, extension_of(extension_bytes), trailers)
    async with open_port() as port:
        request = HEAD + CHUNKED + framed
        assert await ask(port, request, piece_bytes) == (200, body)


@pytest.mark.parametrize(
    ("body_bytes", "chunk_bytes", "extension_bytes"),
    [
        (5_000, 1, 0),
        (20_000, 1, 0),
        (200_000, 1, 0),
        (MAX_BODY_BYTES, 1, 0),
        (200_000, 2, 0),
        (MAX_BODY_BYTES, 4, 0),
        (500_000, 16, 60),
        (MAX_BODY_BYTES, 16, 0),
        (MAX_BODY_BYTES, 1_000, 200),
        (MAX_BODY_BYTES, 65_536, 0),
        (MAX_BODY_BYTES, MAX_BODY_BYTES, 0),
    ],
)
async def test_a_large_body_in_chunks_arrives_whole(
    body_bytes, chunk_bytes, extension_bytes
):
    """Guards against callers whose framing is taken for an attack."""
    body = b"x" * body_bytes
    framed = chunks(body, chunk_bytes, extension_of(extension_bytes))
    async with open_port() as port:
        for _ in range(2):
            assert await ask(port, HEAD + CHUNKED + framed) == (200, body)


async def test_a_body_by_length_arrives_whole_after_others():
    """Guards against what an earlier request of a connection leaves behind."""
    async with open_port() as port:
        body = body_of(MAX_BODY_BYTES)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        small = HEAD + CHUNKED + chunks(b"notes", 1, b"", b"X: y\r\n")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for request, expected in ((small, b"notes"), (HEAD + length + body, body)):
            writer.write(request)
            async with asyncio.timeout(ANSWER_SECONDS):
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(len(expected)) == expected
        writer.close()


async def test_requests_sent_at_once_are_answered_in_order():
    """Guards against a request that waits behind another and is never parsed."""
    bodies = [b"first", body_of(30_000), b"third", b""]
    requests = b"".join(
        HEAD + CHUNKED + chunks(body, 7)
        if number % 2
        else HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        for number, body in enumerate(bodies)
    )
    async with open_port() as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(requests)
        for body in bodies:
            async with asyncio.timeout(ANSWER_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: %d\r\n" % len(body) in head
                assert await reader.readexactly(len(body)) == body
        writer.close()


def many_fields(count):
    return b"".join(b"a%d:\r\n" % number for number in range(count))


@pytest.mark.parametrize(
    ("before", "fields", "piece_bytes"),
    [
        (b"", many_fields(1_200), PIECE_BYTES),
        (b"", many_fields(2_000), PIECE_BYTES),
        (b"", b"a:\r\n" * 3_900, PIECE_BYTES),
        (b"", b"X: " + b"y" * 15_000 + b"\r\n", PIECE_BYTES),
        (b"", many_fields(100), 8),
        (b"\r\n", b"", PIECE_BYTES),
        (b"\r\n" * 4, b"", PIECE_BYTES),
        (b"\r\n" * 4, b"", 1),
    ],
)
async def test_an_unusual_head_is_served(before, fields, piece_bytes):
    """Guards against callers who are refused for how their heads look."""
    async with open_desk(Fault.NONE) as desk:
        port = int(desk.address.split(":")[1])
        headers = desk.headers()
        del headers["Host"]
        sent = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = before + HEAD + sent.encode() + fields
        request = head + b"Content-Length: 5\r\n\r\nnotes"
        assert (await ask(port, request, piece_bytes))[0] == 200


async def test_a_body_that_waits_for_a_go_ahead_is_served():
    """Guards against callers who send a body only once its head was accepted."""
    async with open_desk(Fault.NONE) as desk:
        host, port = desk.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = {**desk.headers(), "Expect": "100-continue", "Content-Length": "5"}
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST /safe/x HTTP/1.1\r\n{fields}\r\n".encode())
        await asyncio.sleep(0.2)
        writer.write(b"notes")
        async with asyncio.timeout(ANSWER_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 100 " in head.split(b"\r\n")[0]:
                head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        writer.close()
