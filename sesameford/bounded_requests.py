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

# What a request may have beside its body: its head, and the framing of chunks.
MAX_OVERHEAD_BYTES = 32_768


class BoundedHandler(web.RequestHandler):
    """The library's handler of a connection, which is closed if no request ends."""

    __slots__ = ("_body", "_received_bytes")

    def __init__(self, manager: web.Server, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        # Since the head of the last request was complete, and that request's body.
        self._received_bytes = 0
        self._body: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the library, unless they are more than requests may have."""
        if not data:
            # The library continues with what it held back while a reader was behind.
            super().data_received(data)
        rest = data
        while rest:
            # The library may have paused in a body, and takes what has arrived at once.
            part_bytes = len(rest) if self._is_in_body() else MAX_PART_BYTES
            if not self._receive_part(rest[:part_bytes]):
                return
            rest = rest[part_bytes:]

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
        allowed_bytes = MAX_OVERHEAD_BYTES + RECEIVED_BYTES_PER_BODY_BYTE * body_bytes
        if self._received_bytes <= allowed_bytes:
            return True
        if self.transport is not None:
            logger.warning(
                "connection closed as its request does not end",
                extra={"received_bytes": self._received_bytes},
            )
            self.transport.abort()
        return False


def bound_requests(server: web.Server) -> Callable[[], web.RequestHandler]:
    """Return the protocol factory of a server, with bounds on each connection."""
    return lambda: BoundedHandler(server, loop=server._loop, **server._kwargs)
