"""Connections of callers that bring no more bytes than requests may have.

The HTTP library bounds a field of a head, and neither their number nor the framing of a
body. A faulty peer may send fields, empty lines, or chunk sizes without end, and the
process would be ended for its memory, with all that other callers have open there.
"""

import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from sesameford.framing import MAX_PART_BYTES, RECEIVED_BYTES_PER_BODY_BYTE

logger = logging.getLogger(__name__)

# What a request may have beside its body: its head, or the framing of chunks.
MAX_OVERHEAD_BYTES = 32_768
# The same of the framing at a replica's control port. Each small chunk takes as long to
# parse as a large one, and replicas whose loops are late lose their leader.
MAX_CONTROL_FRAMING_BYTES = 8_192


class BoundedHandler(web.RequestHandler):
    """The library's handler of a connection, which is closed if no request ends.

    Args:
        manager: The library's server.
        max_framing_bytes: What a body may have beyond one byte of framing for each of
            its own.
        kwargs: What else the library's handler takes.
    """

    __slots__ = ("_body", "_max_framing_bytes", "_received_bytes")

    def __init__(
        self,
        manager: web.Server,
        max_framing_bytes: int = MAX_OVERHEAD_BYTES,
        **kwargs: Any,
    ) -> None:
        super().__init__(manager, **kwargs)
        self._max_framing_bytes = max_framing_bytes
        # Since the head of the last request was complete, and that request's body.
        self._received_bytes = 0
        self._body: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the library, unless they are more than requests may have."""
        if not data:
            # The library continues with what it held back while a reader was behind.
            super().data_received(data)
        part_bytes = min(MAX_PART_BYTES, self._max_framing_bytes)
        for start in range(0, len(data), part_bytes):
            if not self._receive_part(data[start : start + part_bytes]):
                return

    def _is_in_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _receive_part(self, part: bytes) -> bool:
        """Pass some bytes to the library; return whether more may follow."""
        requests = self._request_count
        super().data_received(part)
        self._received_bytes += len(part)
        if self._request_count != requests and self._messages:
            message, body = self._messages[-1]
            # The library makes a request of each error, which ends none.
            if isinstance(message, RawRequestMessage):
                self._received_bytes = 0
                self._body = body
        body_bytes = 0 if self._body is None else self._body.total_bytes
        in_body = self._is_in_body()
        allowed_bytes = self._max_framing_bytes if in_body else MAX_OVERHEAD_BYTES
        allowed_bytes += RECEIVED_BYTES_PER_BODY_BYTE * body_bytes
        if self._received_bytes <= allowed_bytes:
            return True
        if self.transport is not None:
            logger.warning(
                "connection closed as its request does not end",
                extra={"received_bytes": self._received_bytes},
            )
            self.transport.abort()
        return False


def bound_requests(
    server: web.Server, max_framing_bytes: int = MAX_OVERHEAD_BYTES
) -> Callable[[], web.RequestHandler]:
    """Return the protocol factory of a server, with bounds on each connection.

    Args:
        server: The library's server.
        max_framing_bytes: See ``BoundedHandler``.
    """
    return lambda: BoundedHandler(
        server, max_framing_bytes, loop=server._loop, **server._kwargs
    )
