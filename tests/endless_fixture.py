"""Servers whose bytes never end, and a watch over the process that reads them.

A server sends as fast as the router reads, until the connection is closed. A router
that reads on holds more and more, or spends its processor time on nobody's answer.
"""

import asyncio
from contextlib import asynccontextmanager
from time import monotonic

from tests.raw_fixture import Seen, ask_raw, open_raw_desk, raw_head

EVENTS = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
PIECE_BYTES = 65_536
MAX_GROWTH_BYTES = 64_000_000
MAX_LATE_SECONDS = 0.25
DEADLINE_SECONDS = 2.0
PAGE_BYTES = 4096
X = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%b\r\n" % (len(X), X)
EVENT = b"id: 1\ndata: one\n\n"
PATHS = ("/unsafe/permit", "/safe/permit", "/stream/draft", "/stream/resumed/draft")


def never_ends(head, piece, runs=True):
    """Return a server's answer: a head, made from the call's id, and then pieces."""

    async def answer(server, request_id, writer):
        server.runs[request_id] += runs
        writer.write(head(request_id))
        try:
            while True:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            return False

    return answer


def start(*lines, status=200, body=b""):
    return lambda request_id: raw_head(request_id, status, lines) + body


def text(data):
    return lambda request_id: data


class Watch:
    """The most by which the process grew and its loop was late."""

    growth_bytes = 0
    late_seconds = 0.0


@asynccontextmanager
async def watch_process():
    """Watch the memory and the loop of this process, which is also the router's."""
    watch = Watch()
    before_bytes = resident_bytes()

    async def look():
        while True:
            due_seconds = monotonic() + 0.01
            await asyncio.sleep(0.01)
            watch.late_seconds = max(watch.late_seconds, monotonic() - due_seconds)
            growth_bytes = resident_bytes() - before_bytes
            watch.growth_bytes = max(watch.growth_bytes, growth_bytes)

    looking = asyncio.create_task(look())
    try:
        yield watch
    finally:
        looking.cancel()


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


async def ask_many(desk, path, count):
    """Return the answers to calls at once, and what was seen of the process."""
    async with watch_process() as watch:
        answers = await asyncio.gather(
            *(ask_raw(desk, path, keeps_body=False) for _ in range(count))
        )
    return answers, watch


async def check_many(answer, path, count=8):
    """Ask a server whose answers never end many times at once, and check the router."""
    async with open_raw_desk(answer) as desk:
        started_seconds = monotonic()
        answers, watch = await ask_many(desk, path, count)
        took_seconds = monotonic() - started_seconds
        await asyncio.sleep(0.05)
        assert desk.raw_servers[0].open_connections == 0
    check_broken(answers, watch, desk.raw_servers[0].runs.total() > 0)
    return took_seconds


def check_broken(answers, watch, has_run):
    for one in answers:
        assert one.status not in (408, 421, 429, 503) or not has_run
        assert one.seen is Seen.CUT or one.status >= 500
    assert watch.growth_bytes < MAX_GROWTH_BYTES
    assert watch.late_seconds < MAX_LATE_SECONDS
