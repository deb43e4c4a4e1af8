"""Connections of callers that hold no more than there is room for.

The HTTP library bounds a field of a head, and neither the framing of a body nor what
all connections hold together. A faulty peer may send fields, empty lines, or chunks
without end, and many may stop just short of it; the process would be ended for its
memory, with all that other callers have open there.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from sesameford.body_pieces import drop_pieces, join_pieces, make_framing_lines
from sesameford.connection_memory import NoRoomError
from sesameford.guarded_connection import GuardedConnection, Stage
from sesameford.listener import RECEIVE_BUFFER_BYTES
from sesameford.receive_turns import ReceiveTurns
from sesameford.request_buffer import make_request_buffer
from sesameford.room_queue import RoomQueue
from sesameford.tcp_state import TCP_ESTABLISHED, read_state

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16_384
# The shortest field is a name of one letter, a colon and the end of its line.
MAX_HEADER_FIELDS = MAX_HEADER_BYTES // 4
# What a request may have beside its body: its head, or framing without a byte of body.
MAX_OVERHEAD_BYTES = 32_768
# A head up to this size, and as much of a chunked body, is parsed without waiting.
USUAL_REQUEST_BYTES = 4_096
# The part of what a head holds that the library keeps after the answer.
KEPT_HEAD_FRACTION = 0.4
# A part of a chunked body that is parsed at once.
MAX_CHUNKED_PART_BYTES = 4_096
MAX_BODY_PART_BYTES = 65_536
# What the library may hold of a body before its reader has begun to read.
READ_BUFFER_BYTES = 65_536
# More than this is not read ahead of a request that is being answered.
MAX_READ_AHEAD_BYTES = 16_384
# A parsed head holds each of its fields in strings and pairs, and a call does again.
BYTES_PER_FIELD = 1_500
BYTES_PER_HEAD_BYTE = 6
# The tasks and objects of a request whose handler has begun.
HANDLED_REQUEST_BYTES = 12_000
# What may arrive of a large body before it is read; the kernel doubles it.
BODY_RECEIVE_BUFFER_BYTES = 65_536
# The rest of a request that was refused for the room of its body is not read.
REFUSED_LINGER_SECONDS = 1.0


def head_cost_bytes(head: bytes) -> int:
    """Return what a request with this head holds, without its body."""
    fields_bytes = BYTES_PER_FIELD * head.count(b"\n")
    return HANDLED_REQUEST_BYTES + BYTES_PER_HEAD_BYTE * len(head) + fields_bytes


def _has_peer_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether the caller has closed a connection that is not being read."""
    return read_state(transport) != TCP_ESTABLISHED


class BoundedHandler(web.RequestHandler):
    """The library's handler of a connection, which gets heads and bodies by themselves.

    Args:
        manager: The library's server.
        connection: The record of the connection.
        turns: Bounds what a turn of the loop spends on parsing.
        kwargs: What else the library's handler takes.
    """

    __slots__ = (
        "_body",
        "_body_left_bytes",
        "_connection",
        "_drops_input",
        "_framing",
        "_has_large_buffer",
        "_has_read_ahead",
        "_is_busy",
        "_is_waiting_for_turn",
        "_kept_head_bytes",
        "_lacks_room",
        "_overhead_bytes",
        "_parsed_bytes",
        "_received",
        "_refusal",
        "_request_bytes",
        "_turns",
    )

    def __init__(
        self,
        manager: web.Server,
        connection: GuardedConnection,
        turns: ReceiveTurns,
        **kwargs: Any,
    ) -> None:
        super().__init__(
            manager,
            **kwargs,
            max_headers=MAX_HEADER_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._connection = connection
        self._turns = turns
        self._received = make_request_buffer()
        # The body of the present request until it has come in whole, and its length.
        self._body: StreamReader | None = None
        self._body_left_bytes: int | None = None
        # From a whole head to the end of its answer; the next one waits for that.
        self._is_busy = False
        self._refusal: NoRoomError | None = None
        # After a body that was refused or can't be parsed, its end is not known.
        self._drops_input = False
        self._has_large_buffer = False
        # Whether the next request came before the answer to the one before it.
        self._has_read_ahead = False
        self._is_waiting_for_turn = False
        self._lacks_room = False
        # What the present request holds, what of it was parsed, and what has come
        # without a byte of a body.
        self._request_bytes = 0
        self._parsed_bytes = 0
        self._overhead_bytes = 0
        self._framing = make_framing_lines()
        self._kept_head_bytes = 0
        connection.refuse = self._refuse
        connection.hold_handler(0)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they can be parsed."""
        if self._drops_input or self._force_close or self._close:
            return
        if data:
            self._received.add(data)
        else:
            # The library continues with what it held back while a reader was behind.
            super().data_received(data)
            self._after_body_part()
        self._go_on()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what has come, in which a reader refers back to this handler."""
        super().connection_lost(exc)
        self._body = None
        self._received.clear()

    def _go_on(self) -> None:
        """Parse what may be parsed now."""
        while self._received and not self._is_held_back():
            if self._body is not None:
                if not self._parse_body_part(self._body):
                    break
            elif not self._parse_head():
                break
        self._account()

    def _is_held_back(self) -> bool:
        """Return whether the rest has to wait for the request before it."""
        if self._is_waiting_for_turn or self._reading_paused:
            return True
        if self._drops_input or self._close or self.transport is None:
            return True
        # A caller who doesn't read the answers is asked no more questions.
        return self._body is None and (self._is_busy or self.writing_paused)

    def _has_turn(self, is_usual: bool) -> bool:
        """Return whether bytes may be parsed in this turn; else wait for a later."""
        if is_usual or self._turns.may_parse():
            return True
        self._hold_back()
        self._turns.wait(self._take_turn)
        return False

    def _has_room(self) -> bool:
        """Return whether more may be held; else wait until others were evicted."""
        memory = self._connection.memory
        if not memory.is_full:
            return True
        self._wait_for_room(memory.room_queue)
        return False

    def _has_room_for_head(self, head_bytes: int) -> bool:
        """Return whether a head of many fields may be parsed; else wait."""
        memory = self._connection.memory
        cost_bytes = head_cost_bytes(self._received.peek(head_bytes))
        if memory.may_run(cost_bytes) and memory.has_room_for(cost_bytes):
            return True
        self._wait_for_room(memory.head_room_queue)
        return False

    def _hold_back(self) -> None:
        """Parse and read nothing until ``_take_turn`` is called."""
        self._is_waiting_for_turn = True
        self._pause_reading_for_buffer()

    def _wait_for_room(self, queue: RoomQueue) -> None:
        self._hold_back()
        self._lacks_room = True
        queue.wait(self._take_room)

    def _take_room(self) -> bool:
        """Go on if there is room now; return whether there was."""
        self._lacks_room = False
        self._take_turn()
        return not self._lacks_room

    def _take_turn(self) -> None:
        if self.transport is None or self.transport.is_closing():
            self._received.clear()
            return
        if _has_peer_left(self.transport):
            self._received.clear()
            self.transport.abort()
            return
        self._is_waiting_for_turn = False
        self._go_on()
        self._read_on()

    def _parse_head(self) -> bool:
        """Parse the next head; return whether it has come in whole."""
        self._overhead_bytes += self._received.strip_empty_lines()
        head_bytes = self._received.find_head_end()
        if not head_bytes:
            self._check_overhead(self._overhead_bytes + len(self._received))
            return False
        if self._check_overhead(self._overhead_bytes + head_bytes):
            return False
        is_usual = head_bytes <= USUAL_REQUEST_BYTES
        if not (is_usual or self._has_room_for_head(head_bytes)):
            return False
        # Who sends many requests ahead would always have one that can't be evicted.
        if self._has_read_ahead and not self._has_room():
            return False
        if not self._has_turn(is_usual):
            return False
        if not self._is_answered_early(head_bytes):
            self.parse_whole_head(self._received.take(head_bytes))
        return True

    def _is_answered_early(self, head_bytes: int) -> bool:
        """Return whether the next request was answered without the library.

        Args:
            head_bytes: The length of its head.
        """
        return False

    def parse_whole_head(self, head: bytes) -> None:
        """Pass a whole head to the library."""
        self._has_read_ahead = False
        if len(head) > USUAL_REQUEST_BYTES:
            self._turns.record_parsed(len(head))
        requests = self._request_count
        super().data_received(head)
        if self._request_count == requests:
            self._overhead_bytes += len(head)
            return
        self._is_busy = True
        self._overhead_bytes = 0
        self._request_bytes = head_cost_bytes(head)
        # The library keeps the last request until the next one.
        self._kept_head_bytes = 0
        if len(head) > USUAL_REQUEST_BYTES:
            self._kept_head_bytes = int(KEPT_HEAD_FRACTION * self._request_bytes)
        self._connection.hold_handler(self._kept_head_bytes)
        message, body = self._messages[-1]
        # The library makes a request of each error, which has no body.
        has_body = not body.is_eof() and not self._upgraded
        if has_body and isinstance(message, RawRequestMessage):
            self._body = body
            self._parsed_bytes = 0
            self._framing = make_framing_lines()
            length = message.headers.get("Content-Length")
            self._body_left_bytes = int(length) if length else None
            self._connection.set_stage(Stage.BODY)
            return
        self._connection.set_stage(Stage.ANSWER)
        if not self._connection.start_running(self._request_bytes):
            # Its fields hold more than there is room for; it was not handled yet.
            self._drops_input = True
            self._connection.transport.abort()

    def _enlarge_receive_buffer(self) -> None:
        """Let more of a large body arrive at once, if there is room for that."""
        if self._has_large_buffer or not self._connection.memory.is_half_empty:
            return
        self._request_bytes += 2 * BODY_RECEIVE_BUFFER_BYTES
        self._set_receive_buffer(BODY_RECEIVE_BUFFER_BYTES)
        self._has_large_buffer = True

    def _set_receive_buffer(self, buffer_bytes: int) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        connection = self.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)

    def _parse_body_part(self, body: StreamReader) -> bool:
        """Parse a part of a body; return whether more may be parsed."""
        is_usual = self._parsed_bytes < USUAL_REQUEST_BYTES
        if not is_usual:
            if not self._has_room():
                return False
            self._enlarge_receive_buffer()
        if self._body_left_bytes is not None:
            part = self._received.take(min(self._body_left_bytes, MAX_BODY_PART_BYTES))
            self._body_left_bytes -= len(part)
        elif self._has_turn(is_usual):
            part = self._received.take_chunked(MAX_CHUNKED_PART_BYTES)
            # A usual body costs no turn of its own.
            if not is_usual:
                self._turns.record_parsed(len(part))
        else:
            return False
        self._parsed_bytes += len(part)
        body_bytes, requests = body.total_bytes, self._request_count
        self._framing.before_part(body)
        super().data_received(part)
        if self._body_left_bytes is None:
            self._framing.after_part(part, body)
        # An error in a body is a request more.
        self._drops_input |= self._request_count != requests
        self._after_body_part()
        if body.total_bytes > body_bytes or self._reading_paused:
            self._overhead_bytes = 0
        else:
            self._overhead_bytes += len(part)
        return not self._check_overhead(self._overhead_bytes)

    def _after_body_part(self) -> None:
        """Join what has come of a body, and see whether that was its end."""
        body = self._body
        if body is None:
            return
        join_pieces(body)
        if not body.is_eof():
            return
        self._body = None
        self._overhead_bytes = 0
        self._connection.set_stage(Stage.ANSWER)
        if not self._connection.start_running(self._request_bytes + body.total_bytes):
            self._connection.end_request()
            self._refuse_body(body)
        self._connection.hold_handler(self._kept_head_bytes + self._framing.held_bytes)

    def _check_overhead(self, overhead_bytes: int) -> bool:
        """Close the connection if a request doesn't end; return whether it was."""
        if overhead_bytes <= MAX_OVERHEAD_BYTES:
            return False
        if self.transport is not None:
            logger.info(
                "connection closed as its request does not end",
                extra={"overhead_bytes": overhead_bytes},
            )
            self._received.clear()
            self.transport.abort()
        return True

    def _account(self) -> None:
        """Record what the connection holds, and what it waits for."""
        if self._refusal is not None:
            # What its handler has read is free once the handler has ended.
            return
        held_bytes = len(self._received)
        if self._buffer_paused or self._reading_paused:
            # What the kernel keeps until it is read; it doubles the size.
            held_bytes += 2 * RECEIVE_BUFFER_BYTES
        if self._body is not None:
            self._connection.set_stage(Stage.BODY)
            held_bytes += self._request_bytes + self._body.total_bytes
            held_bytes += self._framing.held_bytes
        elif self._is_busy or self.writing_paused:
            is_ahead = len(self._received) > MAX_READ_AHEAD_BYTES
            if is_ahead and not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif self._received:
            self._connection.set_stage(Stage.HEAD)
        elif self._connection.stage is not Stage.FIRST_BYTE:
            self._connection.set_stage(Stage.IDLE)
        if held_bytes != self._connection.held.received_bytes:
            self._connection.hold_received(held_bytes)

    def _refuse(self) -> bool:
        """Refuse the request that is being received; return whether it could be."""
        if self._body is None or self._current_request is None:
            return False
        self._refuse_body(self._body)
        return True

    def _refuse_body(self, body: StreamReader) -> None:
        self._drops_input = True
        self._body = None
        self._received.clear()
        drop_pieces(body)
        # It keeps the trailers that have come.
        self._parser = None
        self._refusal = NoRoomError("other requests leave no room for this body")
        body.set_exception(self._refusal)

    async def _handle_request(
        self, request: web.BaseRequest, *args: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request; the next one waits for its end."""
        try:
            return await super()._handle_request(request, *args)
        finally:
            if self._refusal is not None:
                # Its traceback holds what was read of the body.
                request.content.set_exception(None)  # type: ignore[arg-type]
                self._refusal.__traceback__ = None
                self._loop.call_soon(self._end_refused_request, request.content)
            else:
                self._loop.call_soon(self._end_request)

    def _end_refused_request(self, body: StreamReader) -> None:
        """Free what a refused request held, and close the connection later."""
        self._connection.end_request()
        self._loop.call_later(REFUSED_LINGER_SECONDS, self._stop_lingering, body)

    def _stop_lingering(self, body: StreamReader) -> None:
        """End the library's wait for the rest of a body, and close the connection.

        If the wait were cancelled, the error would keep all that belongs to the request
        until the interpreter looks for cycles.
        """
        body.feed_eof()
        self.close()
        # Its caller may not read the refusal.
        self._loop.call_later(REFUSED_LINGER_SECONDS, self.force_close)

    def _end_request(self) -> None:
        """Go on with the next request."""
        self._is_busy = False
        self._has_read_ahead = bool(self._received)
        self._request_bytes = 0
        self._connection.end_request()
        if self.transport is None:
            return
        if self._has_large_buffer:
            self._has_large_buffer = False
            self._set_receive_buffer(RECEIVE_BUFFER_BYTES)
        self._go_on()
        self._read_on()

    def _read_on(self) -> None:
        """Read again what the peer sends, unless it has to wait for this connection."""
        is_ahead = len(self._received) > MAX_READ_AHEAD_BYTES
        if self._buffer_paused and not self._is_waiting_for_turn and not is_ahead:
            self._resume_reading_for_buffer()
            self._account()

    def resume_writing(self) -> None:
        """Go on with the next request, if it waited for its caller to read."""
        super().resume_writing()
        self._go_on()
        self._read_on()

    def _resume_reading_if_drained(self) -> None:
        """Read on, unless this connection waits for its turn."""
        self._read_on()

    def _process_keepalive(self) -> None:
        """Close an idle connection, unless the head of a request is on its way."""
        if self._connection.stage is Stage.HEAD:
            self._next_keepalive_close_time = (
                self._loop.time() + self._keepalive_timeout
            )
        super()._process_keepalive()


MakeHandler = Callable[[GuardedConnection], web.RequestHandler]


def bound_requests(server: web.Server, turns: ReceiveTurns) -> MakeHandler:
    """Return what makes the protocol of a server's connection, with these bounds.

    Args:
        server: The library's server.
        turns: Bounds what a turn of the loop spends on parsing.
    """
    return lambda connection: BoundedHandler(
        server, connection, turns, loop=server._loop, **server._kwargs
    )
