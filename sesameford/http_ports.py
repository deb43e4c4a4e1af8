"""Listening and connecting over HTTP, with the bounds that outsiders meet."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from ssl import SSLContext

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, TCPConnector, web

from sesameford.connection_guard import GuardCounts, GuardLimits, make_guard
from sesameford.early_answers import MAX_HEADER_BYTES, Decide, EarlyServer
from sesameford.listener import Listener, make_listener
from sesameford.settings import split_address
from sesameford.target_connections import make_connector

CONNECT_TIMEOUT_SECONDS = 2.0
KEEP_ALIVE_SECONDS = 60.0
SHUTDOWN_TIMEOUT_SECONDS = 1.0
BACKLOG_CONNECTIONS = 1024


def make_session(
    context: SSLContext | None,
    idle_seconds: float | None = None,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
) -> ClientSession:
    """Return the session for targets: it bounds no time but that to connect.

    How long an answer may take is decided where the request's deadline is known.

    Args:
        context: For TLS, or None.
        idle_seconds: For how long a connection is kept for the next exchange. Only
            for targets whose answers name the request that they belong to.
        connect_seconds: How long a new connection may take.

    Without ``idle_seconds`` each exchange has a connection of its own. On a pooled
    one a late answer to an exchange that was given up would be read as the answer to
    the next, and one that the target has just closed looks like a target that died
    with the request.
    """
    ssl = context if context is not None else True
    if idle_seconds is None:
        connector = TCPConnector(limit=0, ssl=ssl, force_close=True)
    else:
        connector = make_connector(ssl, idle_seconds)
    timeout = ClientTimeout(total=None, sock_connect=connect_seconds)
    session = ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        cookie_jar=DummyCookieJar(),
    )
    # The library sends GET, PUT and DELETE a second time by itself when a connection
    # breaks, whatever the tree says of the route: a call that may run once would run
    # twice, and no budget would count it. There is no public switch.
    session._retry_connection = False
    return session


async def listen(
    app: web.Application,
    address: str,
    context: SSLContext | None,
    limits: GuardLimits | None = None,
    counts: GuardCounts | None = None,
) -> Callable[[], Awaitable[None]]:
    """Serve an application on an address.

    Args:
        app: The application; a handler is cancelled when its caller goes away.
        address: IP number and port.
        context: For TLS, or None.
        limits: What one outsider can hold of the listener.
        counts: Where connections are counted.

    Returns:
        A function that stops serving.

    Raises:
        OSError: The address can't be listened on.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=KEEP_ALIVE_SECONDS,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    assert runner.server is not None
    server = _listen_guarded(runner.server, address, context, limits, counts)

    async def stop() -> None:
        server.close()
        await runner.cleanup()

    return stop


@dataclass(frozen=True, slots=True)
class CallsPort:
    """An address on which calls are served."""

    calls: web.Server
    server: Listener

    def stop_accepting(self) -> None:
        """Take no new connection, and end each kept one when its request is answered.

        Callers go on using the connections that they have until somebody ends them,
        and would be cut when the process does.
        """
        self.server.close()
        if isinstance(self.calls, EarlyServer):
            for unhandled in tuple(self.calls.unhandled):
                unhandled.close()
        for connection in self.calls.connections:
            # A request that has come and is not begun yet is no current one either.
            is_idle = _waits_for_request(connection)
            connection.close()
            # The library ends the handler of an idle connection and leaves it open;
            # a request that comes there would be read by nobody.
            if is_idle and connection.transport is not None:
                connection.transport.close()

    def set_idle_seconds(self, idle_seconds: float) -> None:
        """Let connections from now on be without a request for so long."""
        self.calls._kwargs["keepalive_timeout"] = idle_seconds

    async def stop(self) -> None:
        """Stop serving."""
        self.server.close()
        await self.calls.shutdown(SHUTDOWN_TIMEOUT_SECONDS)


def _waits_for_request(connection: web.RequestHandler) -> bool:
    """Return whether the library has nothing to do for a connection."""
    waiter = connection._waiter
    is_new = connection._request_count == 0
    return is_new or (waiter is not None and not waiter.done())


async def listen_calls(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
    limits: GuardLimits | None = None,
    counts: GuardCounts | None = None,
    decide: Decide | None = None,
) -> CallsPort:
    """Serve all paths of an address by one handler, without an application's routes.

    Args:
        handler: Answers a request; cancelled when its caller goes away.
        address: IP number and port.
        limits: What one outsider can hold of the listener.
        counts: Where connections are counted.
        decide: Decides on a request when its head has come, before the handler; see
            ``early_answers``.

    Returns:
        The open port.

    Raises:
        OSError: The address can't be listened on.
    """
    make_server = web.Server if decide is None else partial(EarlyServer, decide)
    calls = make_server(
        handler,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=KEEP_ALIVE_SECONDS,
    )
    server = _listen_guarded(calls, address, None, limits, counts)
    return CallsPort(calls, server)


def _listen_guarded(
    make_protocol: Callable[[], asyncio.Protocol],
    address: str,
    context: SSLContext | None,
    limits: GuardLimits | None,
    counts: GuardCounts | None,
) -> Listener:
    """Listen with the bounds of ``connection_guard``."""
    guarded = make_guard(
        make_protocol, limits or GuardLimits(), counts or GuardCounts()
    )
    host, port = split_address(address)
    return make_listener(guarded, host, port, context, BACKLOG_CONNECTIONS)
