"""Raw servers before one router, and a raw caller that reads the framing strictly."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic

from standins.platform_server import reset_connection
from tests.gateway_fixture import add_target, open_desk

READ_SECONDS = 3.0


class Seen(StrEnum):
    """What the framing of an answer says to its caller about the end."""

    WHOLE = "whole"
    CUT = "no end of the answer"


class Close(StrEnum):
    """How a server ends the connection after the bytes that it sent."""

    IN_ORDER = "closes in order"
    RESET = "resets"
    KEEP = "keeps the connection open"


@dataclass(frozen=True)
class Script:
    """A server's answer: lines of the head, then parts of the body, then the end."""

    head: tuple[str, ...] = ()
    parts: tuple[bytes, ...] = ()
    close: Close = Close.IN_ORDER
    status: int = 200
    pause_seconds: float = 0.03


@dataclass
class RawServer:
    """Answers each call by a function; ``calls`` are their heads.

    The function takes the server, the call's id and the writer, and returns whether the
    connection stays open. ``runs`` counts by request id what it says it ran.
    """

    answer: Callable[["RawServer", str, asyncio.StreamWriter], Awaitable[bool]]
    target_id: str
    address: str = ""

    def __post_init__(self):
        self.calls = []
        self.runs = Counter()
        self.connections = 0
        self.open_connections = 0
        self.before_body = _send_nothing
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        self.connections += 1
        self.open_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.calls.append(head)
                await self.before_body(self, writer)
                await reader.readexactly(int(header_of(head, "Content-Length") or 0))
                request_id = header_of(head, "X-Sesameford-Attempt-Id")
                if not await self.answer(self, request_id, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.open_connections -= 1
            writer.close()


async def _send_nothing(server, writer):
    """Send nothing before a call's body was read."""


def answer_by_script(script):
    """Return the answer function that gives the same answer to each call."""

    async def answer(server, request_id, writer):
        writer.write(raw_head(request_id, script.status, script.head))
        for part in script.parts:
            writer.write(part)
            await writer.drain()
            # Each part is read by itself, as on a real network.
            await asyncio.sleep(script.pause_seconds)
        if script.close is Close.RESET:
            reset_connection(writer)
        return script.close is Close.KEEP

    return answer


def raw_head(request_id, status=200, more=()):
    """Return the bytes of the head of a signed answer, without an id if it is None."""
    lines = [f"HTTP/1.1 {status} OK"]
    if request_id is not None:
        lines.append(f"X-Sesameford-Attempt-Id: {request_id}")
    lines.append(f"X-Sesameford-Response-Signature: signed-{request_id}")
    return "\r\n".join([*lines, *more, "", ""]).encode()


def header_of(head, name):
    """Return the value of a header in a raw head, None without it."""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


@dataclass(frozen=True)
class RawAnswer:
    """An answer as a raw caller read it."""

    status: int
    body: bytes
    seen: Seen
    head: str = ""
    arrivals_seconds: tuple[float, ...] = ()


async def ask_raw(desk, path, version="1.1", body=b"notes", keeps_body=True, **headers):
    """Send one call over a socket and read the answer by its framing alone."""
    host, port = desk.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sent = {**desk.headers(**headers), "Content-Length": str(len(body))}
    lines = [f"POST {path} HTTP/{version}", *(f"{k}: {v}" for k, v in sent.items())]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    try:
        async with asyncio.timeout(READ_SECONDS):
            return await _read_answer(reader, keeps_body)
    finally:
        writer.close()


async def _read_answer(reader, keeps_body):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawAnswer(0, b"", Seen.CUT)
    status = int(head.split(" ")[1])
    chunks, arrivals = [], []
    seen = Seen.WHOLE
    try:
        async for chunk in _read_body(reader, head):
            if keeps_body:
                chunks.append(chunk)
            arrivals.append(monotonic())
    except (asyncio.IncompleteReadError, ConnectionError):
        seen = Seen.CUT
    return RawAnswer(status, b"".join(chunks), seen, head, tuple(arrivals))


async def _read_body(reader, head):
    length = header_of(head, "Content-Length")
    if head.split(" ")[1] in ("204", "304"):
        return
    if (header_of(head, "Transfer-Encoding") or "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    elif length is not None:
        left_bytes = int(length)
        while left_bytes:
            data = await reader.read(min(left_bytes, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left_bytes)
            left_bytes -= len(data)
            yield data
    else:
        while data := await reader.read(65536):
            yield data


@asynccontextmanager
async def open_raw_desk(*answers, **desk_arguments):
    """Start a router before one raw server for each script or answer function."""
    servers = [
        RawServer(
            answer_by_script(answer) if isinstance(answer, Script) else answer,
            f"raw{number}",
        )
        for number, answer in enumerate(answers)
    ]
    for server in servers:
        await server.start()
    async with open_desk(**desk_arguments) as desk:
        for server in servers:
            add_target(desk.table, server)
        desk.raw_servers = servers
        try:
            yield desk
        finally:
            for server in servers:
                server.server.close()
