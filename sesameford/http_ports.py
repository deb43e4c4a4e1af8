"""HTTP listeners and client sessions, with limits on connections and time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from ssl import SSLContext

from aiohttp import (
    ClientRequest,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TraceConfig,
    web,
)

from sesameford.bounded_requests import MAX_OVERHEAD_BYTES, bound_requests
from sesameford.connection_guard import GuardCounts, GuardLimits, make_guard
from sesameford.early_answers import (
    LINGER_SECONDS,
    MAX_HEADER_BYTES,
    Decide,
    EarlyServer,
)
from sesameford.listener import (
    AcceptBacklog,
    Listener,
    Shedder,
    make_accept_backlog,
    make_listener,
)
from sesameford.settings import split_address
from sesameford.target_connections import PoolOptions, make_connector

CONNECT_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 60.0
SHUTDOWN_TIMEOUT_SECONDS = 1.0
BACKLOG_CONNECTIONS = 1024
# What an answer may be ahead of its reader, and so the longest turn to parse it.
READ_BUFFER_BYTES = 65_536


def make_session(
    context: SSLContext | None,
    pool: PoolOptions | None = None,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    trace: TraceConfig | None = None,
    request_class: type[ClientRequest] = ClientRequest,
) -> ClientSession:
    """Return the client session for targets, with a timeout only for connecting.

    The code that knows the deadline of a request bounds the time of its answer.

    Args:
        context: The TLS context, or None.
        pool: How connections are used again, or None.
        connect_seconds: The connect timeout.
        trace: Callbacks for the steps of each request, or None.
        request_class: How requests are written.

    Without ``pool`` each exchange has its own connection. On a pooled one a late answer
    to an abandoned exchange would be read as the answer to the next, and a connection
    that the target has just closed looks like a target that crashed during the request.
    """
    ssl = context if context is not None else True
    connector = make_connector(ssl, pool)
    timeout = ClientTimeout(total=None, sock_connect=connect_seconds)
    session = ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        cookie_jar=DummyCookieJar(),
        request_class=request_class,
        trace_configs=None if trace is None else [trace],
    )
    # By default aiohttp resends GET, PUT and DELETE when a connection breaks, whatever
    # the tree allows for the route: a call that may run once would run twice, and no
    # retry budget would count it. aiohttp has no public option for this.
    session._retry_connection = False
    return session


async def listen(
    app: web.Application,
    address: str,
    context: SSLContext | None,
    limits: GuardLimits | None = None,
    counts: GuardCounts | None = None,
    max_framing_bytes: int = MAX_OVERHEAD_BYTES,
) -> Callable[[], Awaitable[None]]:
    """Serve an application on an address.

    Args:
        app: The application; a handler is cancelled when its caller disconnects.
        address: IP address and port.
        context: The TLS context, or None.
        limits: The connection limits of the listener.
        counts: The connection counts, updated by the listener.
        max_framing_bytes: See ``BoundedHandler``.

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
        keepalive_timeout=IDLE_TIMEOUT_SECONDS,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        lingering_time=LINGER_SECONDS,
    )
    await runner.setup()
    assert runner.server is not None
    make_protocol = bound_requests(runner.server, max_framing_bytes)
    server = _listen_guarded(make_protocol, address, context, limits, counts)

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
        """Accept no new connections, and close each open one after its response.

        Callers reuse their connections until they are closed, and would lose requests
        when the process exits.
        """
        self.server.close()
        if isinstance(self.calls, EarlyServer):
            for unhandled in tuple(self.calls.unhandled):
                unhandled.close()
        for connection in self.calls.connections:
            if _awaits_body(connection):
                # After ``close`` the library drops the rest of the body. The answer of
                # an instance that stops closes the connection as well.
                continue
            # aiohttp has no current request on an idle connection, and none yet on one
            # whose request has arrived but not started, so ``_is_idle`` checks more.
            is_idle = _is_idle(connection)
            connection.close()
            # aiohttp ends the handler of an idle connection and leaves it open; a
            # request that arrives there would never be read.
            if is_idle and connection.transport is not None:
                connection.transport.close()

    def set_idle_seconds(self, idle_seconds: float) -> None:
        """Set the idle timeout of connections accepted from now on."""
        self.calls._kwargs["keepalive_timeout"] = idle_seconds

    async def stop(self) -> None:
        """Stop serving."""
        self.server.close()
        await self.calls.shutdown(SHUTDOWN_TIMEOUT_SECONDS)


def _is_idle(connection: web.RequestHandler) -> bool:
    """Return whether aiohttp has no request to handle on a connection."""
    waiter = connection._waiter
    is_new = connection._request_count == 0
    return is_new or (waiter is not None and not waiter.done())


def _awaits_body(connection: web.RequestHandler) -> bool:
    """Return whether the body of a request is still on its way."""
    request = connection._current_request
    if request is not None and not request.content.is_eof():
        return True
    return any(not body.is_eof() for _, body in connection._messages)


async def listen_calls(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
    limits: GuardLimits | None = None,
    counts: GuardCounts | None = None,
    decide: Decide | None = None,
    shed: Shedder | None = None,
) -> CallsPort:
    """Serve all paths of an address by one handler, without an application's routes.

    Args:
        handler: Answers a request; cancelled when its caller disconnects.
        address: IP address and port.
        limits: The connection limits of the listener.
        counts: The connection counts, updated by the listener.
        decide: Decides on a request once its head has arrived, before the handler;
            see ``early_answers``.
        shed: Answers requests that can't be read in time, see ``listener``.

    Returns:
        The open port.

    Raises:
        OSError: The address can't be listened on.
    """
    backlog = make_accept_backlog(BACKLOG_CONNECTIONS)
    make_server: Callable[..., web.Server] = web.Server
    if decide is not None:
        make_server = partial(EarlyServer, decide, backlog)
    calls = make_server(
        handler,
        handler_cancellation=True,
        access_log=None,
        # A target receives the body as its caller encoded it.
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=IDLE_TIMEOUT_SECONDS,
    )
    # The early server's own connections have the bounds already.
    make_protocol = bound_requests(calls) if decide is None else calls
    server = _listen_guarded(
        make_protocol, address, None, limits, counts, backlog, shed
    )
    return CallsPort(calls, server)


def _listen_guarded(
    make_protocol: Callable[[], asyncio.Protocol],
    address: str,
    context: SSLContext | None,
    limits: GuardLimits | None,
    counts: GuardCounts | None,
    backlog: AcceptBacklog | None = None,
    shed: Shedder | None = None,
) -> Listener:
    """Listen with the limits of ``connection_guard``."""
    make_guarded_protocol = make_guard(
        make_protocol, limits or GuardLimits(), counts or GuardCounts()
    )
    host, port = split_address(address)
    return make_listener(
        make_guarded_protocol,
        host,
        port,
        context,
        BACKLOG_CONNECTIONS,
        backlog,
        shed,
    )
