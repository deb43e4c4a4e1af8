"""Pooled connections to targets; one with unsolicited bytes is never reused."""

from asyncio import Transport
from dataclasses import dataclass
from functools import partial
from ssl import SSLContext
from typing import TYPE_CHECKING, Any, cast

from aiohttp import ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from sesameford.answer_turns import make_answer_turns
from sesameford.connect_timeout import connect_timeout
from sesameford.target_answers import SINGLE_EXCHANGE, AnswerOwners, TargetConnection

if TYPE_CHECKING:
    from aiohttp import ClientRequest
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace


class LagTolerantConnector(TCPConnector):
    """Gives up connections only after a time in which the loop could see them."""

    async def _wrap_create_connection(
        self, *args: Any, timeout: ClientTimeout, **options: Any
    ) -> tuple[Transport, ResponseHandler]:
        if timeout.sock_connect is None:
            return await super()._wrap_create_connection(
                *args, timeout=timeout, **options
            )
        async with connect_timeout(timeout.sock_connect):
            return await super()._wrap_create_connection(
                *args, timeout=ClientTimeout(total=None), **options
            )


class CleanConnector(LagTolerantConnector):
    """Reuses connections only if no bytes have arrived since the last answer.

    A target may send a second answer after a complete one. Its bytes would be read as
    the answer to the next request on that connection.
    """

    async def connect(
        self, req: "ClientRequest", traces: "list[Trace]", timeout: ClientTimeout
    ) -> Connection:
        """Return a connection that has not carried a request of the same id."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = cast(TargetConnection, connection.protocol)
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


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """How connections are used again.

    Args:
        idle_seconds: The idle timeout of a pooled connection.
        owners: How the answers on a connection are told apart.
    """

    idle_seconds: float
    owners: AnswerOwners


def make_connector(ssl: SSLContext | bool, pool: PoolOptions | None) -> TCPConnector:
    """Return a connector that checks answers; call it on the running loop.

    Args:
        ssl: A context for TLS, or True for the default one.
        pool: How connections are used again; None gives each exchange its own.
    """
    owners = SINGLE_EXCHANGE
    if pool is None:
        connector: TCPConnector = LagTolerantConnector(
            limit=0, ssl=ssl, force_close=True
        )
    else:
        owners = pool.owners
        connector = CleanConnector(
            limit=0, ssl=ssl, keepalive_timeout=pool.idle_seconds
        )
    # The library has no public way to set the protocol of its connections.
    connector._factory = cast(
        "partial[ResponseHandler]",
        partial(TargetConnection, owners, make_answer_turns(), loop=connector._loop),
    )
    return connector
