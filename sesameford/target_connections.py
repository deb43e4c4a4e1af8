"""Connections to targets that are kept: never one with bytes that nobody asked for."""

from functools import partial
from ssl import SSLContext
from typing import TYPE_CHECKING, cast

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace


class WholeAnswerHandler(ResponseHandler):
    """Takes an answer as whole only if its connection ended in order.

    An answer without a length ends with its connection. The library takes any end
    for it, also a reset in the middle of the body. The caller would get a part of
    the answer, framed as if it were all of it.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a body that was under way as broken before the library ends it."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class CleanConnector(TCPConnector):
    """Hands out kept connections on which nothing has come since the last answer.

    A target may send a second answer after a complete one. It lies on the connection
    when the next request takes it, and would be read as that request's answer.
    """

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


def make_connector(ssl: SSLContext | bool, idle_seconds: float) -> TCPConnector:
    """Return a connector that keeps connections; to be called on the running loop.

    Args:
        ssl: A context for TLS, or True for none of one's own.
        idle_seconds: For how long one is kept without an exchange.
    """
    connector = CleanConnector(limit=0, ssl=ssl, keepalive_timeout=idle_seconds)
    # The library has no public way to choose the protocol of its connections.
    connector._factory = cast(
        "partial[ResponseHandler]", partial(WholeAnswerHandler, loop=connector._loop)
    )
    return connector
