"""Bodies of callers that never end, and the most that a router holds of them."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.endless_fixture import MAX_GROWTH_BYTES, watch_process
from tests.raw_fixture import Close, Script, Seen, ask_raw, open_raw_desk

pytestmark = pytest.mark.heavy

CALLERS = 40
# Less than a body may have, so that none of them is complete.
BODY_BYTES = 4_000_000
SENT_BYTES = 3_900_000
PIECE = bytes(65_000)
ANSWER_SECONDS = 10.0
WHOLE = Script(("Content-Length: 5",), (b"whole",), Close.KEEP)


@asynccontextmanager
async def send_body(desk):
    """Send the most of a body, and keep the connection open; yield its reader."""
    host, port = desk.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = "".join(f"{name}: {value}\r\n" for name, value in desk.headers().items())
    head = f"POST /safe/permit HTTP/1.1\r\n{fields}Content-Length: {BODY_BYTES}\r\n\r\n"
    try:
        writer.write(head.encode())
        for _ in range(SENT_BYTES // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
    except ConnectionError:
        # It was refused, and the rest of its body is not read.
        pass
    try:
        yield reader
    finally:
        writer.close()


async def test_bodies_that_never_end_fill_no_memory():
    """Guards against callers who end a router, and all other callers' calls there."""
    refused = asyncio.Queue()
    may_leave = asyncio.Event()

    async def call(desk):
        async with send_body(desk) as reader:
            leaving = asyncio.ensure_future(may_leave.wait())
            answer = asyncio.ensure_future(reader.read(64))
            await asyncio.wait({leaving, answer}, return_when="FIRST_COMPLETED")
            if answer.done() and answer.exception() is None:
                refused.put_nowait(answer.result())
            answer.cancel()
            leaving.cancel()

    async with open_raw_desk(WHOLE) as desk, watch_process() as watch:
        callers = [asyncio.create_task(call(desk)) for _ in range(CALLERS)]
        async with asyncio.timeout(ANSWER_SECONDS):
            first = await refused.get()
            sound = await ask_raw(desk, "/safe/permit")
        await asyncio.sleep(1.0)
        may_leave.set()
        await asyncio.gather(*callers)
        async with asyncio.timeout(ANSWER_SECONDS):
            while desk.memory.held_bytes:
                await asyncio.sleep(0.01)
    assert first.startswith(b"HTTP/1.1 503 ")
    assert (sound.status, sound.seen) == (200, Seen.WHOLE)
    assert watch.growth_bytes < MAX_GROWTH_BYTES


async def test_a_body_that_stops_is_refused_when_its_time_is_over():
    """Guards against callers whose bodies stay for good, and calls that never end."""
    async with open_raw_desk(WHOLE) as desk:
        host, port = desk.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = {**desk.headers(), "X-Sesameford-Deadline-Ms": "500"}
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST /unsafe/x HTTP/1.1\r\n{fields}".encode())
        writer.write(b"Content-Length: 9\r\n\r\nnotes")
        async with asyncio.timeout(ANSWER_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 408 ")
        assert b"connection: close" in head.lower()
        assert desk.raw_servers[0].runs.total() == 0
        writer.close()
