"""Bytes that are no body: heads and framing that never end, bytes behind an answer."""

import asyncio
from time import monotonic

import pytest

from tests.endless_fixture import (
    CHUNK,
    CHUNKED,
    DEADLINE_SECONDS,
    EVENT,
    EVENTS,
    PATHS,
    PIECE_BYTES,
    X,
    check_many,
    never_ends,
    start,
    text,
)
from tests.raw_fixture import Seen, ask_raw, open_raw_desk, raw_head

pytestmark = pytest.mark.heavy


def foreign(*lines, status=200):
    return lambda request_id: raw_head("other", status, lines)


HEADS = {
    "nothing": never_ends(text(b""), X),
    "newlines": never_ends(text(b""), b"\r\n" * 9000),
    "line feeds": never_ends(text(b""), b"\n" * 9000),
    "the status line": never_ends(text(b"HTTP/1.1 200 "), X),
    "a field": never_ends(text(b"HTTP/1.1 200 OK\r\nA: "), X),
    "fields": never_ends(text(b"HTTP/1.1 200 OK\r\n"), b"A: b\r\n" * 9000),
    "100": never_ends(text(b""), b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "103": never_ends(text(b""), b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" * 2000),
    "503": never_ends(text(b""), raw_head("other", 503, ("Content-Length: 0",)) * 500),
    "503, a foreign body": never_ends(foreign("Content-Length: 9999999999"), X),
    "200, a foreign body": never_ends(foreign(CHUNKED), CHUNK),
    "200, a foreign body without a length": never_ends(foreign(), X),
}
FRAMING = {
    "small chunks": never_ends(start(CHUNKED), b"1\r\nx\r\n" * 9000),
    "the size of a chunk": never_ends(start(CHUNKED), b"0" * PIECE_BYTES),
    "an extension of a chunk": never_ends(start(CHUNKED, body=b"1;"), X),
    "extensions of chunks": never_ends(
        start(CHUNKED), b"1;" + X[:30_000] + b"\r\nx\r\n"
    ),
    "trailers": never_ends(start(CHUNKED, body=b"1\r\nx\r\n0\r\n"), b"A: b\r\n" * 9000),
    "a trailer": never_ends(start(CHUNKED, body=b"1\r\nx\r\n0\r\nA: "), X),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("answer", HEADS.values(), ids=HEADS.keys())
async def test_heads_that_never_end_are_given_up(answer, path):
    """Guards against reading what is no answer until the deadline, for nobody."""
    took_seconds = await check_many(answer, path)
    assert took_seconds < DEADLINE_SECONDS - 0.2


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("answer", FRAMING.values(), ids=FRAMING.keys())
async def test_framing_that_never_ends_is_given_up(answer, path):
    """Guards against chunks that bring next to no body, and trailers without end."""
    took_seconds = await check_many(answer, path, count=4)
    assert took_seconds < DEADLINE_SECONDS - 0.2


async def test_a_malformed_body_fails_its_call_at_once():
    """Guards against waiting until the deadline for a body that can't go on."""

    async def answer(server, request_id, writer):
        writer.write(raw_head(request_id, 200, (CHUNKED,)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b"no size\r\n")
        await asyncio.sleep(DEADLINE_SECONDS)
        return False

    async with open_raw_desk(answer) as desk:
        started_seconds = monotonic()
        one = await ask_raw(desk, "/unsafe/permit")
        assert monotonic() - started_seconds < 1
    assert one.status == 502


BEHIND = {
    "text": b"not an answer at all\r\n\r\n",
    "a piece": b"HTTP/1.1 20",
    "nothing but newlines": b"\r\n\r\n\r\n",
    "the answer again": raw_head("id-2", 200, ("Content-Length: 2",)) + b"no",
    "64 KB": X,
}
WHOLE_ANSWERS = {
    "length": (raw_head("ID", 200, ("Content-Length: 4",)) + b"mine", "/unsafe/permit"),
    "chunks": (
        raw_head("ID", 200, (CHUNKED,)) + b"4\r\nmine\r\n0\r\n\r\n",
        "/unsafe/permit",
    ),
    "no body": (raw_head("ID", 204), "/unsafe/permit"),
    "stream": (
        raw_head("ID", 200, (EVENTS, f"Content-Length: {len(EVENT)}")) + EVENT,
        "/stream/draft",
    ),
    "stream in chunks": (
        raw_head("ID", 200, (EVENTS, CHUNKED))
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT),
        "/stream/resumed/draft",
    ),
}


@pytest.mark.parametrize("ends", [True, False], ids=["ends", "never ends"])
@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND.keys())
@pytest.mark.parametrize("whole", WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS.keys())
async def test_bytes_behind_a_whole_answer_do_not_fail_it(whole, behind, ends):
    """Guards against an answer that is lost for bytes that belong to no request."""
    own, path = whole

    async def answer(server, request_id, writer):
        writer.write(own.replace(b"ID", request_id.encode()) + behind)
        while not ends:
            writer.write(behind * (1 + PIECE_BYTES // len(behind)))
            await writer.drain()
        return True

    async with open_raw_desk(answer) as desk:
        answers = [await ask_raw(desk, path) for _ in range(3)]
        await asyncio.sleep(0.05)
        connections = desk.raw_servers[0].connections
    for one in answers:
        assert one.status in (200, 204)
        assert one.seen is Seen.WHOLE
        assert one.body in (b"mine", EVENT, b"")
    assert connections == 3
