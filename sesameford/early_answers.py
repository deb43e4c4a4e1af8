"""Decides on a request once its head has arrived, before aiohttp handles it.

aiohttp makes two tasks, a request object and a response object for each request. If
most requests are refused, as during a burst, that costs several times as much as the
decision, and the event loop falls behind. So a complete head that arrives between two
requests is parsed first, and a refusal is sent at once. aiohttp handles all other
requests.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage

from sesameford.bounded_requests import BoundedHandler
from sesameford.listener import AcceptBacklog

logger = logging.getLogger(__name__)

# aiohttp decides which answers to these methods have no body.
BODILESS_ANSWER_METHODS = ("HEAD", "CONNECT")
# The rest of a request is read for this long after its answer was sent.
LINGER_SECONDS = 1.0
MAX_HEADER_BYTES = 16_384
# The parser's buffer limit; the rest of a body is not read for a decision.
MAX_PARSED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """An encoded answer: one that keeps the connection open, and one that closes it."""

    keep_alive_bytes: bytes
    closing_bytes: bytes
    closes_connection: bool


# Returns the answer, or the decision for the handler of a request that continues. The
# number is for how many seconds the connection may have waited to be accepted, 0 after
# its first request.
Decide = Callable[[RawRequestMessage, float], EarlyAnswer | Any]


class EarlyHandler(BoundedHandler):
    """aiohttp's handler of a connection, with a decision before each request."""

    __slots__ = ("_decide", "_decision", "_is_answered", "_is_head_incomplete")

    def __init__(self, manager: web.Server, decide: Decide, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        self._decide = decide
        self._decision: Any = None
        self._is_answered = False
        self._is_head_incomplete = False

    def pop_decision(self) -> Any:
        """Remove and return the decision on the current request, or None."""
        decision, self._decision = self._decision, None
        return decision

    def receive_first_data(self, data: bytes, decision: Any) -> None:
        """Handle the first data of a request through aiohttp.

        Args:
            data: The received bytes; possibly not the whole head.
            decision: The decision on the request, or None if its handler decides.
        """
        self._decision = decision
        super().data_received(data)
        self._is_head_incomplete = not self._messages

    def data_received(self, data: bytes) -> None:
        """Answer a request at once, or pass it on to aiohttp."""
        if self._is_answered:
            return
        if not self._is_between_requests():
            super().data_received(data)
            if self._messages:
                self._is_head_incomplete = False
            return
        head = _parse_head(data, self._loop)
        decision = None if head is None else self._decide(head.message, 0.0)
        if head is None or not isinstance(decision, EarlyAnswer):
            self.receive_first_data(data, decision)
            return
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout
        assert self.transport is not None
        closes_connection = decision.closes_connection or head.message.should_close
        closes_connection |= not head.has_whole_body
        self.transport.write(
            decision.closing_bytes if closes_connection else decision.keep_alive_bytes
        )
        if closes_connection:
            self._is_answered = True
            _close_after_answer(self.transport, head, self._loop)

    def _is_between_requests(self) -> bool:
        waiter = self._waiter
        is_idle = waiter is not None and not waiter.done()
        return is_idle and not self._messages and not self._is_head_incomplete


class EarlyProtocol(asyncio.Protocol):
    """A connection without a handler until aiohttp handles one of its requests.

    A refused caller retries on a new connection, so a connection whose first request
    is refused is closed.
    """

    def __init__(
        self, server: "EarlyServer", decide: Decide, backlog_seconds: float
    ) -> None:
        self._server = server
        self._decide = decide
        self._backlog_seconds = backlog_seconds
        self._transport: asyncio.Transport | None = None
        self._handler: EarlyHandler | None = None
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.unhandled.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer the first request at once, or make the handler of this connection."""
        if self._handler is not None:
            self._handler.data_received(data)
        elif not self._is_answered:
            self._handle_first_data(data)

    def _handle_first_data(self, data: bytes) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        head = _parse_head(data, loop)
        decision = None
        if head is not None:
            decision = self._decide(head.message, self._backlog_seconds)
        if head is not None and isinstance(decision, EarlyAnswer):
            self._is_answered = True
            self._transport.write(decision.closing_bytes)
            _close_after_answer(self._transport, head, loop)
            return
        self._server.unhandled.discard(self)
        self._handler = self._server.make_handler()
        self._handler.connection_made(self._transport)
        self._handler.receive_first_data(data, decision)

    def close(self) -> None:
        """Close a connection that has no handler."""
        if self._transport is not None and not self._is_answered:
            self._transport.close()

    def eof_received(self) -> None:
        """Forward the caller's EOF; without a handler the caller has left."""
        if self._handler is not None:
            self._handler.eof_received()

    def pause_writing(self) -> None:
        """Forward that the write buffer is full."""
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Forward that the write buffer has drained."""
        if self._handler is not None:
            self._handler.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forward that the connection has closed."""
        self._server.unhandled.discard(self)
        if self._handler is not None:
            self._handler.connection_lost(exc)


@dataclass(frozen=True, slots=True)
class _Head:
    """The head of a request, and whether its whole body has arrived."""

    message: RawRequestMessage
    has_whole_body: bool


def _parse_head(data: bytes, loop: asyncio.AbstractEventLoop) -> _Head | None:
    """Parse data that holds the head of one request; None if aiohttp must handle it."""
    parser = HttpRequestParser(
        BaseProtocol(loop),
        loop,
        MAX_PARSED_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    try:
        messages, is_upgraded, tail = parser.feed_data(data)
    except HttpProcessingError as error:
        logger.debug("not a request: %s", error)
        return None
    if len(messages) != 1 or is_upgraded or tail:
        return None
    message, payload = messages[0]
    if message.method in BODILESS_ANSWER_METHODS:
        return None
    return _Head(message, payload.is_eof())


def _close_after_answer(
    transport: asyncio.Transport, head: _Head, loop: asyncio.AbstractEventLoop
) -> None:
    """Close a connection after an answer, delayed if its request is incomplete.

    Closing it with unread bytes would reset it, and the caller could lose the answer.
    """
    if head.has_whole_body:
        transport.close()
    else:
        loop.call_later(LINGER_SECONDS, transport.close)


class EarlyServer(web.Server):
    """aiohttp's server, with a decision before each request is handled.

    ``unhandled`` holds the connections without a handler. ``backlog`` tells for how
    long new connections have waited to be accepted.
    """

    def __init__(
        self, decide: Decide, backlog: AcceptBacklog, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._decide = decide
        self._backlog = backlog
        self.unhandled: set[EarlyProtocol] = set()

    def __call__(self) -> EarlyProtocol:  # type: ignore[override]
        """Return the protocol of a new connection."""
        backlog_seconds = self._backlog.opened_wait_seconds
        return EarlyProtocol(self, self._decide, backlog_seconds)

    def make_handler(self) -> EarlyHandler:
        """Return aiohttp's handler of a connection."""
        return EarlyHandler(self, self._decide, loop=self._loop, **self._kwargs)


def pop_decision(http: web.BaseRequest) -> Any:
    """Remove and return the early decision on a request, or None."""
    handler = http.protocol
    return handler.pop_decision() if isinstance(handler, EarlyHandler) else None
