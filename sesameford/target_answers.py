"""Reads the answers of targets: each exchange gets its own one, and no endless one.

A target may send an answer late: where the answer to the next request on its connection
is expected. The request id in an answer shows whose it is. A server in trouble may also
send bytes without end, in a head, a body or behind an answer, and heads that are none.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPMethod
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from sesameford.answer_heads import MalformedHeadError, check_head, find_head_end
from sesameford.answer_turns import AnswerTurns
from sesameford.framing import MAX_PART_BYTES, RECEIVED_BYTES_PER_BODY_BYTE
from sesameford.upload_watch import Delivery, UploadWatch, make_upload_watch
from sesameford.verbatim_request import count_body_bytes

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, BaseTransport

    from aiohttp import ClientRequest

logger = logging.getLogger(__name__)

# The body of another request's answer that is read to get to the own answer behind it.
MAX_SKIPPED_BYTES = 4_000_000
# Bodies in chunks end with it.
_EMPTY_LINE = b"\r\n\r\n"
# Interim answers and answers to other requests before one answer.
MAX_HEADS = 32
# What an answer may have beside its body: its head, and the framing of chunks.
MAX_FRAMING_BYTES = 131_072
# An answer that is late by more requests than this is not expected.
REMEMBERED_REQUESTS = 64


class ForeignAnswerError(ClientError):
    """Another request's answer arrived, and the own one can't follow it."""


class EndlessAnswerError(ClientPayloadError):
    """An answer was given up: it brought far more bytes than it may have."""


@dataclass(frozen=True, slots=True)
class AnswerOwners:
    """How the answers on a connection are told apart.

    Args:
        read_request_id: Returns the request id in the headers of a request or an
            answer, None without one.
        record_skipped: Counts an answer to another request that was skipped.
    """

    read_request_id: Callable[[Mapping[str, str]], str | None]
    record_skipped: Callable[[], None]


# A connection that carries one exchange carries no other one's answer.
SINGLE_EXCHANGE = AnswerOwners(lambda headers: "", lambda: None)


class TargetConnection(ResponseHandler):
    """Delivers to each exchange its own answer alone, and only if it is whole.

    An answer without a length ends with its connection. The library accepts any end,
    even a reset in the middle of the body, or one that this side made. The caller would
    get a part of the answer, framed as if it were complete.

    A server in trouble may send bytes without end that are no part of a body. The
    library reads them until the deadline, and holds the heads of interim answers. It
    also takes heads that are not as HTTP says, so each one is checked before.

    Args:
        owners: How answers are told apart.
        turns: Which connections read in a turn of the loop.
        loop: The running loop.
    """

    def __init__(
        self, owners: AnswerOwners, turns: AnswerTurns, loop: "AbstractEventLoop"
    ) -> None:
        super().__init__(loop=loop)
        self._owners = owners
        self._turns = turns
        self._waits_for_turn = False
        self._request_ids: deque[str | None] = deque(maxlen=REMEMBERED_REQUESTS)
        self._request_id: str | None = ""
        # What arrived while the reader was behind.
        self._unparsed = b""
        # What has arrived of a head that goes on.
        self._head = bytearray()
        self._heads = 0
        self._received_bytes = 0
        self._body: StreamReader | None = None
        self._earlier_body_bytes = 0
        self._has_own_head = False
        # None if the length of the present body is not known.
        self._left_body_bytes: int | None = None
        self._ends_with_connection = False
        self._upload_bytes = 0
        self._has_peer_ended = False
        self._upload_watch: UploadWatch | None = None

    def connection_made(self, transport: "BaseTransport") -> None:
        """Take turns with the other connections."""
        super().connection_made(transport)
        self._turns.add(self)

    def begin_exchange(self, request: "ClientRequest") -> bool:
        """Take a request whose answer is to be read next.

        Returns:
            Whether its id is new here. A late answer to an earlier request of the same
            id could not be told from the answer to this one.
        """
        request_id = self._owners.read_request_id(request.headers)
        if request_id in self._request_ids:
            return False
        self._request_ids.append(request_id)
        self._request_id = request_id
        self._upload_bytes = count_body_bytes(request)
        self._heads = self._received_bytes = self._earlier_body_bytes = 0
        self._body = None
        self._head.clear()
        self._has_own_head = False
        if request.method == HTTPMethod.HEAD:
            # Its answer has a length and no body. If it came once more, the next
            # exchange would take its own answer for that body.
            self.force_close()
        return True

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and the body of the next interim answer or of the own one.

        The library calls this for the head of an answer.

        Raises:
            ForeignAnswerError: The own answer can't be found behind another one.
            ClientError: The connection broke.
        """
        while True:
            message, body = await super().read()
            if _is_interim(message) or self._is_own(message):
                return message, body
            # Even if the own answer follows, it may be sent twice as well.
            self.force_close()
            await self._skip(message, body)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the library up to the end of the answer, and bound them.

        Each head and each body goes by itself, so that an error in what follows does
        not fail it.
        """
        self._turns.record_received(self, len(data))
        if self._parser is None:
            # The library keeps the bytes, and passes them in here with its parser.
            super().data_received(data)
            return
        if not data:
            # The reader has caught up, and the parser goes on with what it holds.
            super().data_received(data)
            self._fail_malformed_body()
        self._unparsed += data
        while self._unparsed and not self._reading_paused:
            try:
                part, self._unparsed = self._split(self._unparsed)
            except MalformedHeadError as error:
                self._give_up(error)
                return
            if not part:
                self._close_behind_answer()
                return
            self._received_bytes += len(part)
            super().data_received(part)
            self._fail_malformed_body()
            if max(self._heads, len(self._buffer)) > MAX_HEADS:
                self._give_up(EndlessAnswerError("too many heads"))
            elif self._framing_bytes() > MAX_FRAMING_BYTES:
                self._give_up(EndlessAnswerError("too many bytes that are no body"))

    def pause_for_turn(self) -> bool:
        """Read nothing more until a later turn; see ``PausableConnection``."""
        transport = self.transport
        if self._waits_for_turn or self._has_peer_ended:
            return False
        if transport is None or transport.is_closing():
            return False
        self._waits_for_turn = True
        self._pause_transport_reading()
        return True

    def resume_for_turn(self) -> None:
        """Read on, unless the reader is behind."""
        self._waits_for_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on in this connection's turn; the library calls this, too."""
        transport = self.transport
        if self._waits_for_turn or transport is None or transport.is_closing():
            return
        super()._resume_transport_reading()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a head and its body; the library calls this when a head has arrived."""
        message, body = data
        if self._head:
            # The library sees the end of a head where none has been checked.
            self._give_up(MalformedHeadError("its end is ambiguous"))
            return
        if self._body is not None:
            self._earlier_body_bytes += self._body.total_bytes
        self._body = body
        self._has_own_head = self._has_own_head or self._is_own(message)
        length = None if message.chunked else message.headers.get("Content-Length")
        self._left_body_bytes = None if length is None else int(length)
        self._ends_with_connection = length is None and not message.chunked
        super().feed_data(data, size)

    def _fail_malformed_body(self) -> None:
        """Fail a body in which the library found an error, which it leaves open."""
        if self._exception is None or self._payload is None:
            return
        if not self._payload.is_eof() and self._payload.exception() is None:
            self._payload.set_exception(ClientPayloadError("the body is malformed"))

    def _split(self, data: bytes) -> tuple[bytes, bytes]:
        """Split bytes where a head or a body may end.

        Returns:
            What belongs to the present head or body, nothing behind the own answer, and
            the rest.

        Raises:
            MalformedHeadError: A head ends that is none.
        """
        if self._payload is None or self._payload.is_eof():
            return (b"", data) if self._has_own_head else self._split_head(data)
        if self._left_body_bytes is not None:
            at = self._left_body_bytes
            self._left_body_bytes -= min(at, len(data))
            return data[:at], data[at:]
        end = data.find(_EMPTY_LINE, 0, MAX_PART_BYTES)
        at = MAX_PART_BYTES if end < 0 else end + len(_EMPTY_LINE)
        return data[:at], data[at:]

    def _split_head(self, data: bytes) -> tuple[bytes, bytes]:
        """Split bytes where the present head ends, and check it there.

        Returns:
            What belongs to it, not more than the library is passed at once, and the
            rest.

        Raises:
            MalformedHeadError: It is none.
        """
        known_bytes = len(self._head)
        self._head += data[:MAX_PART_BYTES]
        end = find_head_end(self._head, known_bytes)
        if end is None:
            return data[:MAX_PART_BYTES], data[MAX_PART_BYTES:]
        check_head(bytes(self._head[:end]))
        self._head.clear()
        self._heads += 1
        at = end - known_bytes
        return data[:at], data[at:]

    def _framing_bytes(self) -> int:
        """Return by how many bytes more arrived than the bodies so far explain."""
        body_bytes = self._earlier_body_bytes
        if self._body is not None:
            body_bytes += self._body.total_bytes
        return self._received_bytes - RECEIVED_BYTES_PER_BODY_BYTE * body_bytes

    def _close_behind_answer(self) -> None:
        """Close a connection on which bytes follow a complete answer.

        They belong to no request. The library would parse them and, if they are no
        answer, drop the complete one unless it has been read already.
        """
        self.force_close()
        self._unparsed = b""
        if self.transport is not None:
            self.transport.abort()

    def _give_up(self, error: ClientError) -> None:
        """Close the connection, and fail the exchange with an error."""
        body, transport = self._payload, self.transport
        # The library would replace the error when it learns that the connection ended.
        self._parser = self._payload = None
        self._unparsed = b""
        self._buffer.clear()
        self.set_exception(error)
        if body is not None and not body.is_eof():
            body.set_exception(error)
        if transport is not None:
            transport.abort()

    def _is_own(self, message: RawResponseMessage) -> bool:
        if _is_interim(message):
            return False
        answered_id = self._owners.read_request_id(message.headers)
        return answered_id is not None and answered_id == self._request_id

    async def _skip(self, message: RawResponseMessage, body: StreamReader) -> None:
        """Read another request's answer to its end.

        Raises:
            ForeignAnswerError: Its end can't be found, or nothing comes after it.
            ClientError: The connection broke.
        """
        answered_id = self._owners.read_request_id(message.headers)
        logger.warning(
            "answer to another request",
            extra={
                "request": self._request_id or "",
                "answered": answered_id or "",
                "status": message.code,
            },
        )
        description = f"an answer to {answered_id or 'nobody'}"
        if message.should_close or message.upgrade or self._skip_payload:
            raise ForeignAnswerError(description)
        skipped_bytes = 0
        while data := await body.readany():
            skipped_bytes += len(data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise ForeignAnswerError(f"{description}, too long to skip")
        self._owners.record_skipped()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep a connection on which an upload may be under way.

        Returns:
            Whether the connection stays open for what is still to be sent.
        """
        super().eof_received()
        self._has_peer_ended = True
        transport = self.transport
        ends_answer = self._ends_with_connection and self._is_body_open()
        if transport is None or not (ends_answer and self._upload_bytes):
            return False
        if transport.get_extra_info("ssl_object") is not None:
            # It can't be closed by half.
            return False
        self._upload_watch = make_upload_watch(transport, self._loop, self._end_upload)
        self._upload_watch.start(self._upload_bytes)
        return True

    def _end_upload(self, delivery: Delivery) -> None:
        """End an answer by what became of the upload that it answers."""
        if delivery is Delivery.RESET:
            self._fail_body("reset behind its end")
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an incomplete body as broken before the library ends it."""
        self._turns.discard(self)
        if self._upload_watch is not None:
            self._upload_watch.close()
        if exc is not None:
            self._fail_body(f"reset: {exc}")
        elif not self._has_peer_ended:
            self._fail_body("closed before its end")
        super().connection_lost(exc)

    def _is_body_open(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _fail_body(self, detail: str) -> None:
        """Fail a body that goes on, unless it has failed before."""
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(ClientPayloadError(detail))


def _is_interim(message: RawResponseMessage) -> bool:
    return 100 <= message.code < 200 and not message.upgrade
