"""Servers that end in the middle of an answer's head; no caller gets a whole 200."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError

from sesameford.control_client import ControlError, open_client
from sesameford.errors import TargetLostError
from sesameford.http_ports import make_session
from sesameford.model_adapter import send_request
from standins.platform_server import reset_connection
from tests.raw_fixture import ask_raw, open_raw_desk, raw_head

BODY = b"id: 1\ndata: one\n\n"
FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}",),
    "chunked": ("Transfer-Encoding: chunked",),
    "unframed": (),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


class CuttingServer:
    """Answers whole to calls before the last one, and cuts the head of that one."""

    def __init__(self, framing, prefix, is_reset, whole_answers):
        self.cut_bytes = 0
        self._framing = framing
        self._prefix = prefix
        self._is_reset = is_reset
        self._whole_answers = whole_answers
        self._answered = 0

    async def answer(self, server, request_id, writer):
        if self._answered < self._whole_answers:
            self._answered += 1
            length = f"Content-Length: {len(BODY)}"
            writer.write(raw_head(request_id, more=(length,)) + BODY)
            return True
        self._answered = 0
        writer.write(self._prefix + self.head(request_id)[: self.cut_bytes])
        await writer.drain()
        await asyncio.sleep(0.001)
        if self._is_reset:
            reset_connection(writer)
        return False

    def head(self, request_id):
        """Return the whole head of the answer to a call."""
        more = ("Content-Type: text/event-stream", *self._framing)
        return raw_head(request_id, more=more)


@pytest.mark.parametrize("path", ["/stream/draft", "/unsafe/"])
@pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS.keys())
@pytest.mark.parametrize(
    ("prefix", "whole_answers", "is_reset"),
    [(b"", 0, False), (b"", 0, True), (b"", 1, False), (INTERIM, 0, False)],
    ids=["first", "reset", "kept connection", "behind an interim answer"],
)
async def test_a_head_that_breaks_off_is_no_answer(
    path, framing, prefix, whole_answers, is_reset
):
    """Guards against an empty 200, framed as whole, from a server that ended."""
    cutting = CuttingServer(framing, prefix, is_reset, whole_answers)
    async with open_raw_desk(cutting.answer) as desk:
        # Ids of calls have this length or more, so no head is whole.
        for cut_bytes in range(len(cutting.head("id-1"))):
            cutting.cut_bytes = cut_bytes
            forget_failures(desk)
            for _ in range(whole_answers):
                assert (await ask_raw(desk, path)).status == 200
            answer = await ask_raw(desk, path, body=str(cut_bytes).encode())
            assert answer.status in (502, 503), (cut_bytes, answer)


def forget_failures(desk):
    """Let the router send to its one target again."""
    placement = desk.deps.placement
    for record in placement._records.values():
        record.backoff_until_seconds = 0.0
        record.consecutive_failures = 0
    placement.candidates.ended._ended_at.clear()


@asynccontextmanager
async def open_cutting_port(cut_bytes, head):
    """Start a server that sends a part of a head and closes; yield its address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head[:cut_bytes])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"http://{host}:{port}"
    finally:
        server.close()


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS.keys())
async def test_adapters_of_the_daemon_take_no_head_that_breaks_off(framing, method):
    """Guards against an attempt that counts as answered by a target that ended."""
    head = raw_head("a", more=framing)
    async with make_session(None) as session:
        for cut_bytes in range(len(head) - 1):
            async with open_cutting_port(cut_bytes, head) as url:
                with pytest.raises(TargetLostError):
                    await send_request(session, method, url, b"notes", {})


async def test_the_operators_tool_takes_no_head_that_breaks_off():
    """Guards against a change that an operator takes for accepted."""
    head = raw_head("a", more=("Content-Length: 2",))
    for cut_bytes in range(len(head) - 1):
        async with (
            open_cutting_port(cut_bytes, head) as url,
            open_client(
                [url], "key", timeout_seconds=0.0, authority_file=None
            ) as client,
        ):
            with pytest.raises((ControlError, ClientError)):
                await client.request("GET", "/")
