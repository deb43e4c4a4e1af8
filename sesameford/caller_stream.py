"""The caller's end of a request: its stream, and what is kept of it."""

from asyncio import sleep, timeout
from collections.abc import Awaitable
from contextlib import suppress
from time import monotonic

from aiohttp import ClientError
from aiohttp.web import Request as HttpRequest
from aiohttp.web import StreamResponse

from sesameford.answers_http import OUTCOME_KEY, outcome_headers, problem_body
from sesameford.claims import ClaimAnswer
from sesameford.silence import CALLER_HEARTBEAT_SECONDS, CALLER_STALL_SECONDS
from sesameford.tables import Outcome

MAX_KEPT_STREAM_BYTES = 4_000_000
COMMENT = b": still working\n\n"
STREAM_TYPE = "text/event-stream"


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class CallerStream:
    """Writes events to a caller, who may go away.

    Args:
        http: The caller's request.
        request_id: For the answer's headers.
        keeps: Whether the request goes on without its caller, who holds an
            idempotency key and may come back for the answer.
    """

    def __init__(self, http: HttpRequest, request_id: str, keeps: bool) -> None:
        self._http = http
        self._keeps = keeps
        self._gone = False
        self._is_idle = False
        self._kept: list[bytes] = []
        self._kept_bytes = 0
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
        """Pass events on.

        Raises:
            CallerDisconnectedError: Nobody reads them, and nobody will.
        """
        if self._keeps and self._kept_bytes <= MAX_KEPT_STREAM_BYTES:
            self._kept.append(data)
            self._kept_bytes += len(data)
        if not self.started:
            self.started = True
            await self._to_caller(self._stream.prepare(self._http))
        self._is_idle = False
        if self._gone:
            await self._to_caller(self._stream.write(data))
            return
        # No timeout of its own: it would be set and taken back for every few tokens.
        # The heartbeat looks for how long this write has waited.
        self._writing_since_seconds = monotonic()
        try:
            await self._stream.write(data)
        except (ConnectionError, ClientError) as error:
            self._gone = True
            if not self._keeps:
                raise CallerDisconnectedError from error
        finally:
            self._writing_since_seconds = None

    async def keep_alive(self) -> None:
        """Send comments while no events come, until cancelled.

        A caller can't tell an engine that thinks from a connection that went silent
        for good. With a sign of life every few seconds it can give up and resend.
        """
        while not self._gone:
            self._is_idle = True
            await sleep(CALLER_HEARTBEAT_SECONDS)
            self._drop_stalled()
            if self.started and self._is_idle:
                # The stream's own writer meets the same and ends the request.
                with suppress(CallerDisconnectedError):
                    await self._to_caller(self._stream.write(COMMENT))

    def _drop_stalled(self) -> None:
        """Break the connection of a caller that has taken nothing for too long."""
        since_seconds = self._writing_since_seconds
        if since_seconds is None or self._http.transport is None:
            return
        if monotonic() - since_seconds > CALLER_STALL_SECONDS:
            self._http.transport.abort()

    async def end(self) -> StreamResponse:
        """End a whole stream."""
        await self._to_caller(self._stream.write_eof())
        return self._stream

    async def cut(self, reason: str, detail: str) -> StreamResponse:
        """End a stream that can't go on, and say so in the stream itself."""
        self.outcome = Outcome.UNKNOWN
        self._stream[OUTCOME_KEY] = Outcome.UNKNOWN
        problem = problem_body(502, reason, detail)
        await self._to_caller(
            self._stream.write(b"event: error\ndata: " + problem + b"\n\n")
        )
        await self._to_caller(self._stream.write_eof())
        return self._stream

    def stored_answer(self) -> ClaimAnswer | None:
        """Return the whole stream for resends, unless it is too large."""
        if self._kept_bytes > MAX_KEPT_STREAM_BYTES:
            return None
        headers = (("Content-Type", STREAM_TYPE),)
        return ClaimAnswer(200, headers, b"".join(self._kept))

    async def _to_caller(self, writing: Awaitable[object]) -> None:
        if self._gone:
            # Never awaited, so it is closed lest Python warn of it.
            getattr(writing, "close", lambda: None)()
            if not self._keeps:
                raise CallerDisconnectedError
            return
        try:
            async with timeout(CALLER_STALL_SECONDS):
                await writing
        except (ConnectionError, ClientError, TimeoutError) as error:
            self._gone = True
            if not self._keeps:
                raise CallerDisconnectedError from error
