"""Pooled connections to targets; one with unsolicited bytes is never reused."""

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
    """Accepts an answer as complete only if its connection was closed in order.

    An answer without a length ends with its connection. The library accepts any end,
    even a reset in the middle of the body. The caller would get a part of the answer,
    framed as if it were complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an incomplete body as broken before the library ends it."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class CleanConnector(TCPConnector):
    """Reuses connections only if no bytes have arrived since the last answer.

    A target may send a second answer after a complete one. Its bytes would be read as
    the answer to the next request on that connection.
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
    """Return a connector with a connection pool; call it on the running loop.

    Args:
        ssl: A context for TLS, or True for the default one.
        idle_seconds: How long an idle connection stays in the pool.
    """
    connector = CleanConnector(limit=0, ssl=ssl, keepalive_timeout=idle_seconds)
    # The library has no public way to set the protocol of its connections.
    connector._factory = cast(
        "partial[ResponseHandler]", partial(WholeAnswerHandler, loop=connector._loop)
    )
    return connector
