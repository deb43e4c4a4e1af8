"""The response stream to a caller, and its copy for resends."""

from asyncio import sleep, timeout
from collections.abc import Awaitable
from contextlib import suppress
from time import monotonic

from aiohttp import ClientError
from aiohttp.web import Request as HttpRequest
from aiohttp.web import StreamResponse

from sesameford.abortive_close import close_in_order, reset_on_close
from sesameford.answers_http import OUTCOME_KEY, outcome_headers, problem_body
from sesameford.claims import ClaimAnswer
from sesameford.silence import CALLER_HEARTBEAT_SECONDS, CALLER_STALL_SECONDS
from sesameford.tables import Outcome

MAX_STORED_STREAM_BYTES = 4_000_000
KEEP_ALIVE_COMMENT = b": still working\n\n"
STREAM_TYPE = "text/event-stream"


class CallerDisconnectedError(Exception):
    """The caller closed its connection or stopped reading."""


class CallerStream:
    """Writes events to a caller, which may disconnect.

    Args:
        http: The caller's request.
        request_id: The request id for the response headers.
        stores_answer: Whether the request continues after its caller disconnects.
            A caller with an idempotency key may fetch the answer later.
    """

    def __init__(self, http: HttpRequest, request_id: str, stores_answer: bool) -> None:
        self._http = http
        self._stores_answer = stores_answer
        self._is_disconnected = False
        self._is_idle = False
        self._stored_chunks: list[bytes] = []
        self._stored_bytes = 0
        self._writing_since_seconds: float | None = None
        self.started = False
        self.outcome = Outcome.RAN
        self._stream = StreamResponse(
            headers={
                **outcome_headers(Outcome.RAN, request_id),
                "Content-Type": STREAM_TYPE,
                "Cache-Control": "no-store",
            }
        )

    async def write(self, data: bytes) -> None:
        """Write events to the caller and store them for resends.

        Raises:
            CallerDisconnectedError: The caller disconnected and no answer is stored.
        """
        if self._stores_answer and self._stored_bytes <= MAX_STORED_STREAM_BYTES:
            self._stored_chunks.append(data)
            self._stored_bytes += len(data)
        if not self.started:
            self.started = True
            reset_on_close(self._http)
            await self._write_to_caller(self._stream.prepare(self._http))
        self._is_idle = False
        if self._is_disconnected:
            await self._write_to_caller(self._stream.write(data))
            return
        # No timeout here: it would be set and cancelled for every few tokens.
        # ``keep_alive`` checks how long this write has waited.
        self._writing_since_seconds = monotonic()
        try:
            await self._stream.write(data)
        except (ConnectionError, ClientError) as error:
            self._is_disconnected = True
            if not self._stores_answer:
                raise CallerDisconnectedError from error
        finally:
            self._writing_since_seconds = None

    async def keep_alive(self) -> None:
        """Send a comment whenever the stream is idle, until cancelled.

        Without comments a caller can't distinguish a slow engine from a dead
        connection. With one every few seconds it can time out and resend.
        """
        while not self._is_disconnected:
            self._is_idle = True
            await sleep(CALLER_HEARTBEAT_SECONDS)
            self._abort_stalled()
            if self.started and self._is_idle:
                # ``write`` gets the same error and ends the request.
                with suppress(CallerDisconnectedError):
                    await self._write_to_caller(self._stream.write(KEEP_ALIVE_COMMENT))

    def _abort_stalled(self) -> None:
        """Abort the connection of a caller that has read nothing for too long."""
        since_seconds = self._writing_since_seconds
        if since_seconds is None or self._http.transport is None:
            return
        if monotonic() - since_seconds > CALLER_STALL_SECONDS:
            self._http.transport.abort()

    async def end(self) -> StreamResponse:
        """End a complete stream."""
        await self._write_to_caller(self._stream.write_eof())
        close_in_order(self._http)
        return self._stream

    async def end_with_error(self, reason: str, detail: str) -> StreamResponse:
        """End an incomplete stream with an error event."""
        self.outcome = Outcome.UNKNOWN
        self._stream[OUTCOME_KEY] = Outcome.UNKNOWN
        problem = problem_body(502, reason, detail)
        await self._write_to_caller(
            self._stream.write(b"event: error\ndata: " + problem + b"\n\n")
        )
        await self._write_to_caller(self._stream.write_eof())
        # The error event itself says that the answer is not complete.
        close_in_order(self._http)
        return self._stream

    def stored_answer(self) -> ClaimAnswer | None:
        """Return the whole stream as an answer for resends, or None if too large."""
        if self._stored_bytes > MAX_STORED_STREAM_BYTES:
            return None
        headers = (("Content-Type", STREAM_TYPE),)
        return ClaimAnswer(200, headers, b"".join(self._stored_chunks))

    async def _write_to_caller(self, writing: Awaitable[object]) -> None:
        if self._is_disconnected:
            # Closed because Python warns of a coroutine that is never awaited.
            getattr(writing, "close", lambda: None)()
            if not self._stores_answer:
                raise CallerDisconnectedError
            return
        try:
            async with timeout(CALLER_STALL_SECONDS):
                await writing
        except (ConnectionError, ClientError, TimeoutError) as error:
            self._is_disconnected = True
            if not self._stores_answer:
                raise CallerDisconnectedError from error
