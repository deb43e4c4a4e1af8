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
from typing import Any, Protocol, cast

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage

from sesameford.bounded_requests import (
    MAX_HEADER_BYTES,
    MAX_HEADER_FIELDS,
    MAX_OVERHEAD_BYTES,
    USUAL_REQUEST_BYTES,
    BoundedHandler,
)
from sesameford.guarded_connection import GuardedConnection, Stage
from sesameford.listener import AcceptBacklog
from sesameford.receive_turns import ReceiveTurns, make_receive_turns
from sesameford.request_buffer import make_request_buffer

logger = logging.getLogger(__name__)

# aiohttp decides which answers to these methods have no body.
BODILESS_ANSWER_METHODS = ("HEAD", "CONNECT")
# The rest of a request is read for this long after its answer was sent.
LINGER_SECONDS = 1.0
# The parser's buffer limit.
MAX_PARSED_BYTES = 65_536
# As much of a body is parsed for a decision; whoever sends more is closed after it.
MAX_PARSED_BODY_BYTES = 4_096


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """An encoded answer: one that keeps the connection open, and one that closes it."""

    keep_alive_bytes: bytes
    closing_bytes: bytes
    closes_connection: bool


class Decision(Protocol):
    """What was decided on a request that its handler continues with."""

    def drop(self) -> None:
        """Record that the connection was lost before the handler began."""


# Returns the answer, or the decision for the handler of a request that continues. The
# number is for how many seconds the connection may have waited to be accepted, 0 after
# its first request.
Decide = Callable[[RawRequestMessage, float], EarlyAnswer | Decision]


class EarlyHandler(BoundedHandler):
    """aiohttp's handler of a connection, with a decision before each request."""

    __slots__ = ("_decide", "_decision", "_is_answered")

    def __init__(
        self,
        manager: web.Server,
        connection: GuardedConnection,
        turns: ReceiveTurns,
        decide: Decide,
        **kwargs: Any,
    ) -> None:
        super().__init__(manager, connection, turns, **kwargs)
        self._decide = decide
        self._decision: Decision | None = None
        self._is_answered = False

    def pop_decision(self) -> Any:
        """Remove and return the decision on the current request, or None."""
        decision, self._decision = self._decision, None
        return decision

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop a decision that no handler continues with."""
        super().connection_lost(exc)
        decision = self.pop_decision()
        if decision is not None:
            decision.drop()

    def receive_first_data(self, data: bytes, decision: Decision | None) -> None:
        """Handle the first data of a connection through aiohttp.

        Args:
            data: The received bytes; at least a whole head.
            decision: The decision on the request, or None if its handler decides.
        """
        self._decision = decision
        super().data_received(data)

    def data_received(self, data: bytes) -> None:
        """Pass on what is received, until a request was answered that is the last."""
        if not self._is_answered:
            super().data_received(data)

    def _is_answered_early(self, head_bytes: int) -> bool:
        """Decide on a request that comes after an answer, and answer a refused one."""
        if not self._is_between_requests():
            return False
        data = self._received.peek(head_bytes + MAX_PARSED_BODY_BYTES)
        head = _parse_head(data, self._loop)
        if head is None:
            return False
        decision = self._decide(head.message, 0.0)
        if not isinstance(decision, EarlyAnswer):
            self._decision = decision
            return False
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout
        assert self.transport is not None
        has_whole_body = head.has_whole_body and len(data) == len(self._received)
        closes_connection = decision.closes_connection or head.message.should_close
        closes_connection |= not has_whole_body
        self.transport.write(
            decision.closing_bytes if closes_connection else decision.keep_alive_bytes
        )
        self._received.clear()
        if closes_connection:
            self._is_answered = True
            _close_after_answer(self.transport, has_whole_body, self._loop)
        return True

    def _is_between_requests(self) -> bool:
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages


class EarlyProtocol(asyncio.Protocol):
    """A connection without a handler until aiohttp handles one of its requests.

    A refused caller retries on a new connection, so a connection whose first request
    is refused is closed.
    """

    def __init__(
        self,
        server: "EarlyServer",
        connection: GuardedConnection,
        decide: Decide,
        backlog_seconds: float,
    ) -> None:
        self._server = server
        self._connection = connection
        self._decide = decide
        self._backlog_seconds = backlog_seconds
        self._transport: asyncio.Transport | None = None
        self._handler: EarlyHandler | None = None
        self._received = make_request_buffer()
        self._overhead_bytes = 0
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
            self._received.add(data)
            self._receive_head()

    def _receive_head(self) -> None:
        """Wait for the end of the first head, and decide on its request."""
        assert self._transport is not None
        self._overhead_bytes += self._received.strip_empty_lines()
        head_bytes = self._received.find_head_end()
        waiting_bytes = head_bytes or len(self._received)
        if self._overhead_bytes + waiting_bytes > MAX_OVERHEAD_BYTES:
            self._received.clear()
            self._transport.abort()
        elif not head_bytes:
            self._connection.set_stage(Stage.HEAD)
            self._connection.hold_received(waiting_bytes)
        elif head_bytes > USUAL_REQUEST_BYTES:
            # The handler bounds what such heads cost together.
            self._connection.set_stage(Stage.HEAD)
            self._make_handler(self._received.take(len(self._received)), None)
        else:
            self._connection.set_stage(Stage.ANSWER)
            self._decide_on_head(head_bytes)

    def _decide_on_head(self, head_bytes: int) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        data = self._received.take(len(self._received))
        head = _parse_head(data[: head_bytes + MAX_PARSED_BODY_BYTES], loop)
        decision = None
        if head is not None:
            decision = self._decide(head.message, self._backlog_seconds)
        if isinstance(decision, EarlyAnswer):
            assert head is not None
            self._is_answered = True
            self._connection.hold_received(0)
            self._transport.write(decision.closing_bytes)
            is_whole = len(data) <= head_bytes + MAX_PARSED_BODY_BYTES
            has_whole_body = head.has_whole_body and is_whole
            _close_after_answer(self._transport, has_whole_body, loop)
            return
        self._make_handler(data, decision)

    def _make_handler(self, data: bytes, decision: Decision | None) -> None:
        """Let aiohttp handle a request, and those that follow."""
        assert self._transport is not None
        self._server.unhandled.discard(self)
        self._handler = self._server.make_handler(self._connection)
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
        max_headers=MAX_HEADER_FIELDS,
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
    transport: asyncio.Transport,
    has_whole_body: bool,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Close a connection after an answer, delayed if its request is incomplete.

    Closing it with unread bytes would reset it, and the caller could lose the answer.
    """
    if has_whole_body:
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
        self._turns = make_receive_turns()
        self.unhandled: set[EarlyProtocol] = set()

    def make_protocol(self, connection: GuardedConnection) -> EarlyProtocol:
        """Return the protocol of a new connection."""
        backlog_seconds = self._backlog.opened_wait_seconds
        return EarlyProtocol(self, connection, self._decide, backlog_seconds)

    def make_handler(self, connection: GuardedConnection) -> EarlyHandler:
        """Return aiohttp's handler of a connection."""
        return EarlyHandler(
            self,
            connection,
            self._turns,
            self._decide,
            loop=self._loop,
            **self._kwargs,
        )


def pop_decision(http: web.BaseRequest) -> Any:
    """Remove and return the early decision on a request, or None."""
    handler = http.protocol
    return handler.pop_decision() if isinstance(handler, EarlyHandler) else None
