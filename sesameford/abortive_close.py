"""Marks the end of answers that only their connection's end can mark."""

import socket
import struct
from asyncio import BaseTransport

from aiohttp import HttpVersion11
from aiohttp.web import BaseRequest

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_ORDERLY_CLOSE = struct.pack("ii", 0, 0)


def reset_on_close(request: BaseRequest) -> None:
    """Let the connection of a caller without chunks be reset when it closes.

    To a caller of HTTP/1.0 the end of the connection is the end of a stream, whatever
    closes it: a failed call, a timeout or the end of this process. Call it before the
    answer begins, and ``close_in_order`` once it is complete.
    """
    if request.version < HttpVersion11:
        set_reset_on_close(request.transport)


def set_reset_on_close(transport: BaseTransport | None) -> None:
    """Let a connection be reset when it closes; unsent bytes are lost."""
    _set_linger(transport, _RESET_ON_CLOSE)


def close_in_order(request: BaseRequest) -> None:
    """Let the connection of a complete answer be closed in order."""
    if request.version < HttpVersion11:
        _set_linger(request.transport, _ORDERLY_CLOSE)


def _set_linger(transport: BaseTransport | None, linger: bytes) -> None:
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
