"""Servers that answer a long upload early, and end their connection behind it.

An answer may have no length and end with its connection. If the connection is reset
while the upload is under way, the part of the answer that came is no whole one.
"""

import asyncio
import os
import socket
from contextlib import asynccontextmanager
from time import monotonic

import pytest
from aiohttp import ClientPayloadError

from sesameford.answer_turns import make_answer_turns
from sesameford.target_answers import SINGLE_EXCHANGE, TargetConnection
from sesameford.upload_watch import Delivery, read_delivery
from standins.platform_server import reset_connection
from tests.gateway_fixture import add_target, open_desk
from tests.raw_fixture import Seen, ask_raw, header_of, raw_head
from tests.test_broken_answers import EVENT_1, LAST_CHUNK, chunk

MEGABYTE = 1_000_000
PATHS = ("/unsafe/permit", "/safe/permit", "/stream/draft", "/stream/resumed/draft")
PIECE_BYTES = 4_000
PAUSE_SECONDS = 0.002
CHUNKED = "Transfer-Encoding: chunked"


async def reset(server, reader, writer):
    reset_connection(writer)


async def close_unread(server, reader, writer):
    """Close with a part of the upload unread, for which the kernel resets."""
    writer.transport.abort()


async def end_and_close(server, reader, writer):
    """Send the end of the answer and close; the upload's next bytes are reset."""
    with duplicate(writer) as connection:
        connection.shutdown(socket.SHUT_RDWR)
    writer.transport.abort()


async def read_rest_and_close(server, reader, writer):
    await reader.readexactly(server.upload_bytes - server.read_bytes)


async def end_and_read_rest(server, reader, writer):
    with duplicate(writer) as connection:
        connection.shutdown(socket.SHUT_WR)
    await read_rest_and_close(server, reader, writer)


def duplicate(writer):
    descriptor = writer.get_extra_info("socket").fileno()
    return socket.socket(fileno=os.dup(descriptor))


class EarlyServer:
    """Answers a call as its head has come, reads on for some time, and ends."""

    target_id = "early"

    def __init__(self, head, body, read_seconds, end):
        self._head = head
        self._body = body
        self._read_seconds = read_seconds
        self._end = end
        self.upload_bytes = 0
        self.read_bytes = 0

    async def start(self):
        listening = socket.socket()
        # With a small window the upload is under way for some time.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        listening.bind(("127.0.0.1", 0))
        host, port = listening.getsockname()
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, sock=listening)

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.upload_bytes = int(header_of(head, "Content-Length"))
            request_id = header_of(head, "X-Sesameford-Attempt-Id")
            writer.write(raw_head(request_id, *self._head) + self._body)
            await writer.drain()
            until_seconds = monotonic() + self._read_seconds
            while monotonic() < until_seconds and self.read_bytes < self.upload_bytes:
                self.read_bytes += len(await reader.read(PIECE_BYTES))
                await asyncio.sleep(PAUSE_SECONDS)
            await self._end(self, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()


@asynccontextmanager
async def open_early_desk(status, fields, body, read_seconds, end):
    """Start a router in front of one server that answers early."""
    server = EarlyServer((status, fields), body, read_seconds, end)
    await server.start()
    async with open_desk() as desk:
        add_target(desk.table, server)
        desk.early_server = server
        try:
            yield desk
        finally:
            server.close()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("end", [reset, close_unread, end_and_close])
@pytest.mark.parametrize("read_seconds", [0.0, 0.02, 0.3])
@pytest.mark.parametrize("upload_bytes", [MEGABYTE, 4 * MEGABYTE])
@pytest.mark.parametrize("status", [200, 500])
async def test_a_reset_during_the_upload_ends_no_answer(
    status, upload_bytes, read_seconds, end, path
):
    """Guards against a part of an answer that its caller gets as a whole one."""
    async with open_early_desk(status, (), EVENT_1, read_seconds, end) as desk:
        answer = await ask_raw(desk, path, body=b"x" * upload_bytes)
        assert desk.early_server.read_bytes < upload_bytes
    if answer.status == 502:
        assert header_of(answer.head, "X-Sesameford-Response-Signature") is None
    else:
        assert (answer.status, answer.seen) == (200, Seen.CUT)


FRAMED = {
    "no length": ((), EVENT_1),
    "length": ((f"Content-Length: {len(EVENT_1)}",), EVENT_1),
    "chunks": ((CHUNKED,), chunk(EVENT_1) + LAST_CHUNK),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("end", [read_rest_and_close, end_and_read_rest])
@pytest.mark.parametrize("upload_bytes", [10, MEGABYTE, 4 * MEGABYTE])
@pytest.mark.parametrize(("fields", "body"), FRAMED.values(), ids=FRAMED.keys())
async def test_an_early_answer_of_a_server_that_reads_on_is_whole(
    fields, body, upload_bytes, end, path
):
    """Guards against failing a caller whose server answered early, and in order."""
    async with open_early_desk(200, fields, body, 0.02, end) as desk:
        answer = await ask_raw(desk, path, body=b"x" * upload_bytes)
    assert (answer.status, answer.seen, answer.body) == (200, Seen.WHOLE, EVENT_1)


CUT = {
    "length": (("Content-Length: 100",), EVENT_1),
    "chunks": ((CHUNKED,), chunk(EVENT_1)),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("end", [reset, close_unread, end_and_close])
@pytest.mark.parametrize(("fields", "body"), CUT.values(), ids=CUT.keys())
async def test_a_framed_early_answer_that_breaks_off_is_no_answer(
    fields, body, end, path
):
    """Guards against a part of a framed answer that counts as all of it."""
    async with open_early_desk(200, fields, body, 0.02, end) as desk:
        answer = await ask_raw(desk, path, body=b"x" * MEGABYTE)
    assert answer.status == 502 or answer.seen is Seen.CUT


async def test_an_answer_that_this_end_closes_is_not_complete():
    """Guards against a body that ends whole as the library closes its connection."""
    loop = asyncio.get_running_loop()

    async def answer(reader, writer):
        writer.write(raw_head("a") + EVENT_1)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    _, connection = await loop.create_connection(
        lambda: TargetConnection(SINGLE_EXCHANGE, make_answer_turns(), loop),
        *server.sockets[0].getsockname(),
    )
    connection.set_response_params(read_until_eof=True)
    _, body = await connection.read()
    assert await body.readany() == EVENT_1
    reading = asyncio.create_task(body.readany())
    await asyncio.sleep(0)
    connection.close()
    with pytest.raises(ClientPayloadError):
        await reading
    server.close()


class MuteTransport:
    """A transport whose kernel reports nothing about its connection."""

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        raise OSError("not supported")


def test_an_upload_of_unknown_state_counts_as_delivered(caplog):
    """Guards against failing answers for what such a kernel does not report."""
    assert read_delivery(MuteTransport()) is Delivery.DELIVERED
    assert "not supported" in caplog.text
