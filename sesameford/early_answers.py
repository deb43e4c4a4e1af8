"""Deciding on a request when its head comes, before the HTTP library begins with it.

The library makes two tasks, a request and a response of each request. Where most of
them are turned away, as in a flood, that costs several times what the decision does,
and the loop falls behind. So a whole head that comes between two requests is read
first, and who is turned away is answered at once. All other requests go on to the
library.
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

logger = logging.getLogger(__name__)

# The library knows which answers to these have no body.
ANSWERED_WITHOUT_BODY = ("HEAD", "CONNECT")
# For so long the rest of a request is read that has its answer already.
LINGER_SECONDS = 1.0
MAX_HEADER_BYTES = 16_384
# What is parsed at once of a request; the rest of its body is not looked at.
PARSED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """A whole answer as it is sent, by whether the connection ends with it."""

    lasting: bytes
    last: bytes
    is_last: bool


# Returns the answer, or what its handler is to know of a request that goes on.
Decide = Callable[[RawRequestMessage], EarlyAnswer | Any]


class EarlyHandler(web.RequestHandler):
    """The library's handler of a connection, with a decision before each request."""

    __slots__ = ("_decide", "_decision", "_is_answered", "_is_mid_head")

    def __init__(self, manager: web.Server, decide: Decide, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        self._decide = decide
        self._decision: Any = None
        self._is_answered = False
        self._is_mid_head = False

    def pop_decision(self) -> Any:
        """Return what was decided on the request that is handled now, or None."""
        decision, self._decision = self._decision, None
        return decision

    def receive(self, data: bytes, decision: Any) -> None:
        """Take data with which a request begins that is left to the library.

        Args:
            data: What has come; maybe not the whole head.
            decision: What was decided on it, None where that is left to its handler.
        """
        self._decision = decision
        super().data_received(data)
        self._is_mid_head = not self._messages

    def data_received(self, data: bytes) -> None:
        """Answer a request at once, or pass it on to the library."""
        if self._is_answered:
            return
        if not self._is_between_requests():
            super().data_received(data)
            if self._messages:
                self._is_mid_head = False
            return
        head = _parse(data, self._loop)
        decision = None if head is None else self._decide(head.message)
        if head is None or not isinstance(decision, EarlyAnswer):
            self.receive(data, decision)
            return
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout
        assert self.transport is not None
        is_last = decision.is_last or head.message.should_close
        is_last |= not head.has_whole_body
        self.transport.write(decision.last if is_last else decision.lasting)
        if is_last:
            self._is_answered = True
            _end(self.transport, head, self._loop)

    def _is_between_requests(self) -> bool:
        waiter = self._waiter
        is_idle = waiter is not None and not waiter.done()
        return is_idle and not self._messages and not self._is_mid_head


class EarlyProtocol(asyncio.Protocol):
    """A connection that has no handler until a request of it goes on to the library.

    A caller who is turned away comes back on a new connection, so one whose first
    request is refused is closed.
    """

    def __init__(self, server: "EarlyServer", decide: Decide) -> None:
        self._server = server
        self._decide = decide
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
            self._first_received(data)

    def _first_received(self, data: bytes) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        head = _parse(data, loop)
        decision = None if head is None else self._decide(head.message)
        if head is not None and isinstance(decision, EarlyAnswer):
            self._is_answered = True
            self._transport.write(decision.last)
            _end(self._transport, head, loop)
            return
        self._server.unhandled.discard(self)
        self._handler = self._server.make_handler()
        self._handler.connection_made(self._transport)
        self._handler.receive(data, decision)

    def close(self) -> None:
        """Close a connection that has no handler."""
        if self._transport is not None and not self._is_answered:
            self._transport.close()

    def eof_received(self) -> None:
        """Pass on that the caller sends nothing more; without a handler it has left."""
        if self._handler is not None:
            self._handler.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the caller reads too slowly."""
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the caller reads again."""
        if self._handler is not None:
            self._handler.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection has ended."""
        self._server.unhandled.discard(self)
        if self._handler is not None:
            self._handler.connection_lost(exc)


@dataclass(frozen=True, slots=True)
class _Head:
    """The head of a request, and whether all that follows it has come."""

    message: RawRequestMessage
    has_whole_body: bool


def _parse(data: bytes, loop: asyncio.AbstractEventLoop) -> _Head | None:
    """Return the one request that begins here; None is for the library to handle."""
    parser = HttpRequestParser(
        BaseProtocol(loop),
        loop,
        PARSED_BYTES,
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
    if message.method in ANSWERED_WITHOUT_BODY:
        return None
    return _Head(message, payload.is_eof())


def _end(
    transport: asyncio.Transport, head: _Head, loop: asyncio.AbstractEventLoop
) -> None:
    """End a connection after an answer.

    Closed with bytes unread it would be reset, and the caller might lose the answer.
    """
    if head.has_whole_body:
        transport.close()
    else:
        loop.call_later(LINGER_SECONDS, transport.close)


class EarlyServer(web.Server):
    """The library's server, whose connections decide early.

    ``unhandled`` are connections without a handler.
    """

    def __init__(self, decide: Decide, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._decide = decide
        self.unhandled: set[EarlyProtocol] = set()

    def __call__(self) -> EarlyProtocol:  # type: ignore[override]
        """Return the protocol of a new connection."""
        return EarlyProtocol(self, self._decide)

    def make_handler(self) -> EarlyHandler:
        """Return the library's handler of a connection."""
        return EarlyHandler(self, self._decide, loop=self._loop, **self._kwargs)


def pop_decision(http: web.BaseRequest) -> Any:
    """Return what was decided on a request when its head came, or None."""
    handler = http.protocol
    return handler.pop_decision() if isinstance(handler, EarlyHandler) else None
