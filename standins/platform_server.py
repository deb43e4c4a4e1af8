"""A stand-in for a server of the users' platform that answers calls or injects faults.

It writes raw bytes to the connection, because the faults concern framing: answers that
arrive twice, without a length, truncated, or from another server.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from time import monotonic

from sesameford.abortive_close import set_reset_on_close

EVENTS = 3
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
UNFRAMED_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Connection": "close"}
# The bytes of an event that a server sends before it breaks off.
PART_OF_EVENT_BYTES = 5
# A call with a body that begins so crashes its server, where servers heed it.
CRASHING_BODY_PREFIX = b"crashes "
# A call with this part in its prompt, other than as the last, crashes its server too.
CRASHING_PART = "dead"
PROMPT_PARTS_HEADER = "x-sesameford-prompt-prefix"
# How long a call is worked on before it crashes its server, if it does so late.
WORK_BEFORE_CRASH_SECONDS = 0.5


class Fault(StrEnum):
    """The fault that a server applies to the next calls."""

    NONE = "none"
    TWICE = "answers twice"
    UNFRAMED = "no length, ends in order"
    UNFRAMED_RESET = "no length, reset in the middle"
    CUT_STREAM = "a stream that ends inside an event"
    CUT_UNFRAMED_STREAM = "a stream without a length that ends inside an event"
    SILENT = "runs and never answers"
    CLOSE = "runs and closes without an answer"
    SHED = "does not run it and says so"
    BUSY = "does not run it and answers 503 without saying so"
    ERROR = "runs and fails"
    LATE_END = "keeps the last byte of its answer back"


class CrashManner(StrEnum):
    """How a call that crashes its server does so."""

    AT_ONCE = "resets all connections"
    AFTER_WORK = "works first, then resets all connections"
    IN_STREAM = "sends the head of its answer, then resets all connections"
    SILENT = "closes its port and leaves all connections without a word"
    PART_OF_EVENT = "sends a part of an event without a length, then ends in order"
    PART_OF_BODY = "sends a part of an answer without a length, then ends in order"
    AFTER_ANSWER = "answers completely, then resets all connections"


# These close all connections in order, as if the answers on them were complete.
ORDERLY_CRASHES = {
    CrashManner.PART_OF_EVENT: b"id: 1",
    CrashManner.PART_OF_BODY: b"half of an ans",
}


@dataclass(slots=True)
class ReceivedCall:
    """A call as the server received it, and what its answer stated about the server.

    ``retry_after_seconds`` is the backoff that the server requested in its answer at
    ``answered_at_seconds``; ``announced_drain`` says that the answer announced a
    shutdown.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at_seconds: float = 0.0
    answered_at_seconds: float | None = None
    retry_after_seconds: float | None = None
    announced_drain: bool = False

    @property
    def request_id(self) -> str:
        """Return the id of the caller's request."""
        return self.headers["x-sesameford-attempt-id"]


@dataclass(slots=True)
class PlatformServer:
    """One incarnation of a server; ``runs`` counts executions by request id.

    It waits ``pause_seconds`` before an answer and before each event. A plain answer
    has ``padding_bytes`` more than its text.
    ``peer_disconnects`` counts connections that the other side closed. Each 503 of its
    own has ``retry_after``, if set, and while ``is_draining`` all answers say so. A
    call for which ``crashes`` returns true ends the server in its ``crash_manner``, and
    ``on_crash`` is called; ``restart`` starts another incarnation at its address. After
    an answer it lives on for ``crash_delay_seconds``.
    ``crashing_calls`` are the calls that crashed it. A stream has so many ``events``,
    which tell its ``software_version``.
    """

    target_id: str
    fault: Fault = Fault.NONE
    software_version: str = "v1"
    events: int = EVENTS
    pause_seconds: float = 0.0
    padding_bytes: int = 0
    retry_after: str | None = None
    is_draining: bool = False
    last_arrival_seconds: float = 0.0
    arrivals_seconds: list[float] = field(default_factory=list)
    received_calls: list[ReceivedCall] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    peer_disconnects: int = 0
    address: str = ""
    crashes: Callable[[ReceivedCall], bool] | None = None
    crash_manner: CrashManner = CrashManner.AT_ONCE
    crash_delay_seconds: float = 0.0
    on_crash: Callable[[], None] = lambda: None
    crashes_seconds: list[float] = field(default_factory=list)
    crashing_calls: list[ReceivedCall] = field(default_factory=list)
    is_running: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _abandoned: list[asyncio.StreamWriter] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, a free one that the system selects if it is 0."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.is_running = True

    async def restart(self, target_id: str) -> None:
        """Start another incarnation at the same address after a crash."""
        host, _, port = self.address.rpartition(":")
        self.target_id = target_id
        await self.start(host, int(port))

    async def stop(self) -> None:
        """Close the port and all connections."""
        assert self._server is not None
        self._server.close()
        self.is_running = False
        for writer in [*self._writers, *self._abandoned]:
            writer.close()

    def crash(self) -> None:
        """End without notice, in the server's crash manner."""
        if not self.is_running:
            return
        assert self._server is not None
        self._server.close()
        self.is_running = False
        self.crashes_seconds.append(monotonic())
        for writer in list(self._writers):
            if self.crash_manner is CrashManner.SILENT:
                self._abandoned.append(writer)
            elif self.crash_manner in ORDERLY_CRASHES:
                writer.close()
            else:
                reset_connection(writer)
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        self.on_crash()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                call = await _read_call(reader)
                call.arrived_at_seconds = monotonic()
                self.received_calls.append(call)
                if not await self._answer(call, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_disconnects += 1
        except asyncio.CancelledError:
            # The loop closes while a call runs, or the server crashes. If this were
            # raised again, the library would print a traceback for each connection.
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            if writer not in self._abandoned:
                writer.close()

    async def _answer(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one call; return False to close the connection."""
        request_id = call.request_id
        if call.headers.get("x-sesameford-expect-instance") != self.target_id:
            writer.write(_head(421, request_id, {"Content-Length": "0"}))
            return True
        if self.fault in (Fault.SHED, Fault.BUSY):
            writer.write(self._reject(call))
            return True
        self.runs[request_id] += 1
        self.last_arrival_seconds = monotonic()
        self.arrivals_seconds.append(self.last_arrival_seconds)
        is_crashing = self.crashes is not None and self.crashes(call)
        if is_crashing and self.crash_manner is not CrashManner.AFTER_ANSWER:
            await self._crash_under(call, writer)
            return False
        keeps_connection = await self._respond(call, reader, writer)
        if is_crashing:
            self._crash_later(call)
        return keeps_connection

    async def _respond(
        self,
        call: ReceivedCall,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call that is run; return False to close the connection."""
        if self.fault is Fault.SILENT:
            await reader.read()
            self.peer_disconnects += 1
            return False
        if self.fault is Fault.CLOSE:
            return False
        if "/stream/" in call.target:
            return await self._stream(call, writer)
        return await self._plain(call, writer)

    async def _crash_under(
        self, call: ReceivedCall, writer: asyncio.StreamWriter
    ) -> None:
        """Crash as a call that crashes the server makes it do."""
        if self.crash_manner is CrashManner.AFTER_WORK:
            await asyncio.sleep(WORK_BEFORE_CRASH_SECONDS)
        if self.crash_manner is CrashManner.IN_STREAM:
            event = make_event(1, self.software_version)
            writer.write(self._head(200, call, STREAM_HEADERS) + _chunk(event))
            await writer.drain()
            # Gives the peer time to read the first part, as on a real network.
            await asyncio.sleep(0.05)
        part = ORDERLY_CRASHES.get(self.crash_manner)
        if part is not None:
            writer.write(self._head(200, call, {"Connection": "close"}) + part)
            await writer.drain()
        if self.is_running:
            self.crashing_calls.append(call)
        self.crash()

    def _crash_later(self, call: ReceivedCall) -> None:
        """Crash some time after a call's answer."""
        target_id = self.target_id

        def crash() -> None:
            if self.is_running and self.target_id == target_id:
                self.crashing_calls.append(call)
                self.crash()

        asyncio.get_running_loop().call_later(self.crash_delay_seconds, crash)

    def _reject(self, call: ReceivedCall) -> bytes:
        """Return an answer to a call that is not run."""
        extra = {"Content-Length": "0"}
        if self.fault is Fault.SHED:
            extra["X-Sesameford-Not-Executed"] = "1"
        if self.retry_after is not None:
            extra["Retry-After"] = self.retry_after
            with suppress(ValueError):
                call.retry_after_seconds = float(self.retry_after)
        return self._head(503, call, extra)

    def _head(self, status: int, call: ReceivedCall, extra: dict[str, str]) -> bytes:
        """Return the head of an answer, with the server's statements about itself."""
        call.answered_at_seconds = monotonic()
        if self.is_draining:
            call.announced_drain = True
            extra = {**extra, "Server-Leaving": "1"}
        return _head(status, call.request_id, extra)

    async def _plain(self, call: ReceivedCall, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.pause_seconds)
        status = 500 if self.fault is Fault.ERROR else 200
        body = b"answer to " + call.body + bytes(self.padding_bytes)
        if self.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            writer.write(self._head(status, call, {"Connection": "close"}) + body)
            await writer.drain()
            if self.fault is Fault.UNFRAMED_RESET:
                # Gives the peer time to read the first part, as on a real network.
                await asyncio.sleep(0.05)
                reset_connection(writer)
            return False
        answer = self._head(status, call, {"Content-Length": str(len(body))}) + body
        if self.fault is Fault.LATE_END:
            writer.write(answer[:-1])
            answer = answer[-1:]
            await asyncio.sleep(self.pause_seconds)
        writer.write(answer)
        await writer.drain()
        if self.fault is Fault.TWICE:
            # Late enough that the connection is idle when the second answer arrives.
            await asyncio.sleep(0.02)
            writer.write(answer)
            await writer.drain()
        return True

    async def _stream(self, call: ReceivedCall, writer: asyncio.StreamWriter) -> bool:
        first = int(call.headers.get("last-event-id", "0")) + 1
        is_framed = self.fault not in (Fault.UNFRAMED, Fault.CUT_UNFRAMED_STREAM)
        is_cut = self.fault in (Fault.CUT_STREAM, Fault.CUT_UNFRAMED_STREAM)
        frame = _chunk if is_framed else bytes
        headers = STREAM_HEADERS if is_framed else UNFRAMED_STREAM_HEADERS
        writer.write(self._head(200, call, headers))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_seconds)
            if writer.is_closing():
                return False
            event = make_event(number, self.software_version)
            if is_cut and number == 2:
                writer.write(frame(event[:PART_OF_EVENT_BYTES]))
                await writer.drain()
                await asyncio.sleep(0.05)
                return False
            writer.write(frame(event))
            await writer.drain()
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return is_framed


def make_event(number: int, software_version: str) -> bytes:
    """Return the event with this number that servers of a version send."""
    return f"id: {number}\ndata: {software_version}\n\n".encode()


def has_crashing_body(call: ReceivedCall) -> bool:
    """Return whether a call's body marks it as one that crashes its server."""
    return call.body.startswith(CRASHING_BODY_PREFIX)


def shared_parts(call: ReceivedCall) -> set[str]:
    """Return the ids of the parts of a call's prompt that other prompts may share."""
    entries = call.headers.get(PROMPT_PARTS_HEADER, "").split(",")[:-1]
    return {entry.partition(":")[0] for entry in entries}


def has_crashing_part(call: ReceivedCall) -> bool:
    """Return whether a call's prompt has the part that crashes servers."""
    return CRASHING_PART in shared_parts(call)


def crashes_its_server(call: ReceivedCall) -> bool:
    """Return whether a call crashes its server by its body or a part of its prompt."""
    return has_crashing_body(call) or has_crashing_part(call)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly end."""
    set_reset_on_close(writer.transport)
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _head(status: int, request_id: str, extra: dict[str, str]) -> bytes:
    headers = {
        "X-Sesameford-Attempt-Id": request_id,
        "X-Sesameford-Response-Signature": f"signed-{request_id}",
        **extra,
    }
    lines = [f"HTTP/1.1 {status} Said", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


async def _read_call(reader: asyncio.StreamReader) -> ReceivedCall:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedCall(method, target, headers, body)


def make_platform_server(target_id: str, fault: Fault = Fault.NONE) -> PlatformServer:
    """Return a server that is not started yet."""
    return PlatformServer(target_id, fault)
