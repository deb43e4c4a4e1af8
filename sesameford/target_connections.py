"""Pooled connections to targets, and whose answers they carry.

A target may send an answer late: where the answer to the next request on its connection
is expected. The request id in an answer shows whose it is.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from http import HTTPMethod
from ssl import SSLContext
from typing import TYPE_CHECKING, cast

from aiohttp import ClientError, ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace

logger = logging.getLogger(__name__)

# The body of another request's answer that is read to get to the own answer behind it.
MAX_SKIPPED_BYTES = 4_000_000
# An answer that is late by more requests than this is not expected.
REMEMBERED_REQUESTS = 64


class ForeignAnswerError(ClientError):
    """Another request's answer arrived, and the own one can't follow it."""


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


class TargetConnection(ResponseHandler):
    """Delivers to each exchange its own answer alone, and only if it is whole.

    An answer without a length ends with its connection. The library accepts any end,
    even a reset in the middle of the body. The caller would get a part of the answer,
    framed as if it were complete.

    Args:
        owners: How answers are told apart.
        loop: The running loop.
    """

    def __init__(self, owners: AnswerOwners, loop: "AbstractEventLoop") -> None:
        super().__init__(loop=loop)
        self._owners = owners
        self._request_ids: deque[str | None] = deque(maxlen=REMEMBERED_REQUESTS)

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

    def _is_own(self, message: RawResponseMessage) -> bool:
        answered_id = self._owners.read_request_id(message.headers)
        return answered_id is not None and answered_id == self._request_ids[-1]

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
                "request": self._request_ids[-1] or "",
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

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an incomplete body as broken before the library ends it."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


def _is_interim(message: RawResponseMessage) -> bool:
    return 100 <= message.code < 200 and not message.upgrade


class CleanConnector(TCPConnector):
    """Reuses connections only if no bytes have arrived since the last answer.

    A target may send a second answer after a complete one. Its bytes would be read as
    the answer to the next request on that connection.
    """

    async def connect(
        self, req: "ClientRequest", traces: "list[Trace]", timeout: "ClientTimeout"
    ) -> Connection:
        """Return a connection that has not carried a request of the same id."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = cast("TargetConnection", connection.protocol)
            if protocol.begin_exchange(req):
                return connection
            connection.close()

    async def _get(
        self, key: "ConnectionKey", traces: "list[Trace]"
    ) -> Connection | None:
        while True:
            connection = await super()._get(key, traces)
            if connection is None or connection.protocol is None:
                return connection
            if not connection.protocol.should_close:
                return connection
            connection.close()


def make_connector(
    ssl: SSLContext | bool, idle_seconds: float, owners: AnswerOwners
) -> TCPConnector:
    """Return a connector with a connection pool; call it on the running loop.

    Args:
        ssl: A context for TLS, or True for the default one.
        idle_seconds: How long an idle connection stays in the pool.
        owners: How the answers on a connection are told apart.
    """
    connector = CleanConnector(limit=0, ssl=ssl, keepalive_timeout=idle_seconds)
    # The library has no public way to set the protocol of its connections.
    connector._factory = cast(
        "partial[ResponseHandler]",
        partial(TargetConnection, owners, loop=connector._loop),
    )
    return connector
