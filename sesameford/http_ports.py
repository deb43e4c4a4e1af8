"""HTTP listeners and client sessions, with limits on connections and time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from ssl import SSLContext

from aiohttp import (
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TraceConfig,
    web,
)

from sesameford.bounded_requests import (
    MAX_HEADER_BYTES,
    READ_BUFFER_BYTES,
    bound_requests,
)
from sesameford.connection_guard import MakeInner, make_guard
from sesameford.connection_memory import (
    TLS_BYTES,
    ConnectionMemory,
    make_connection_memory,
)
from sesameford.early_answers import LINGER_SECONDS, Decide, EarlyServer
from sesameford.guard_limits import GuardLimits
from sesameford.guarded_connection import GuardCounts
from sesameford.listener import (
    AcceptBacklog,
    Listener,
    Shedder,
    make_accept_backlog,
    make_listener,
)
from sesameford.receive_turns import make_receive_turns
from sesameford.settings import split_address
from sesameford.slow_heads import SlowHeadWatch
from sesameford.target_answers import MAX_FRAMING_BYTES
from sesameford.target_connections import PoolOptions, make_connector
from sesameford.verbatim_request import VerbatimRequest

CONNECT_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 60.0
SHUTDOWN_TIMEOUT_SECONDS = 1.0
BACKLOG_CONNECTIONS = 1024
# A parsed field takes far more memory than its bytes.
MAX_ANSWER_FIELDS = 4_096
# So many connections may wait to be opened, each with a descriptor, for each of these.
CONNECTIONS_PER_WAITING = 7


def make_session(
    context: SSLContext | None,
    pool: PoolOptions | None = None,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    trace: TraceConfig | None = None,
) -> ClientSession:
    """Return the client session for targets, with a timeout only for connecting.

    The code that knows the deadline of a request bounds the time of its answer.

    Args:
        context: The TLS context, or None.
        pool: How connections are used again, or None.
        connect_seconds: The connect timeout.
        trace: Callbacks for the steps of each request, or None.

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
        max_line_size=MAX_FRAMING_BYTES,
        max_field_size=MAX_FRAMING_BYTES,
        max_headers=MAX_ANSWER_FIELDS,
        cookie_jar=DummyCookieJar(),
        request_class=VerbatimRequest,
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
    memory: ConnectionMemory | None = None,
) -> Callable[[], Awaitable[None]]:
    """Serve an application on an address.

    Args:
        app: The application; a handler is cancelled when its caller disconnects.
        address: IP address and port.
        context: The TLS context, or None.
        limits: The connection limits of the listener.
        counts: The connection counts, updated by the listener.
        memory: The account of what the connections of the process hold.

    Returns:
        A function that stops serving.

    Raises:
        OSError: The address can't be listened on.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        # Decoded, a small body may be a thousand times as large.
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=IDLE_TIMEOUT_SECONDS,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        lingering_time=LINGER_SECONDS,
    )
    await runner.setup()
    assert runner.server is not None
    make_handler = bound_requests(runner.server, make_receive_turns())
    guard = _make_guard_state(limits, counts, memory)
    server, watch = _listen_guarded(make_handler, address, context, guard)

    async def stop() -> None:
        watch.close()
        server.close()
        await runner.cleanup()

    return stop


@dataclass(slots=True)
class _Guard:
    """The connection limits in force at a listener, and its connections."""

    limits: GuardLimits
    counts: GuardCounts
    memory: ConnectionMemory

    def free_places(self, has_tls: bool) -> int:
        """Return how many more connections may be open."""
        places = self.limits.connections - self.counts.open
        if has_tls:
            return min(places, self.memory.room_bytes // TLS_BYTES)
        return places


def _make_guard_state(
    limits: GuardLimits | None,
    counts: GuardCounts | None,
    memory: ConnectionMemory | None,
) -> _Guard:
    return _Guard(
        limits or GuardLimits(),
        counts or GuardCounts(),
        memory or make_connection_memory(),
    )


@dataclass(frozen=True, slots=True)
class CallsPort:
    """An address on which calls are served."""

    calls: web.Server
    server: Listener
    guard: _Guard
    watch: SlowHeadWatch

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
        self.guard.limits = replace(
            self.guard.limits, first_byte_timeout_seconds=idle_seconds
        )

    def set_head_seconds(self, head_seconds: float) -> None:
        """Set how long a head may take from its first byte to its end."""
        self.guard.limits = replace(
            self.guard.limits, head_timeout_seconds=head_seconds
        )

    async def stop(self) -> None:
        """Stop serving."""
        self.watch.close()
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
    memory: ConnectionMemory | None = None,
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
        memory: The account of what the connections of the process hold.

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
    make_inner: MakeInner
    if isinstance(calls, EarlyServer):
        make_inner = calls.make_protocol
    else:
        make_inner = bound_requests(calls, make_receive_turns())
    guard = _make_guard_state(limits, counts, memory)
    server, watch = _listen_guarded(make_inner, address, None, guard, backlog, shed)
    return CallsPort(calls, server, guard, watch)


def _listen_guarded(
    make_inner: MakeInner,
    address: str,
    context: SSLContext | None,
    guard: _Guard,
    backlog: AcceptBacklog | None = None,
    shed: Shedder | None = None,
) -> tuple[Listener, SlowHeadWatch]:
    """Listen with the limits of ``connection_guard``.

    Returns:
        The listener, and the watch over its connections' heads.
    """
    now = asyncio.get_running_loop().time
    watch = SlowHeadWatch(guard.counts, lambda: guard.limits)
    make_guarded_protocol = make_guard(
        make_inner, lambda: guard.limits, guard.counts, guard.memory, watch, now
    )
    host, port = split_address(address)
    listener = make_listener(
        make_guarded_protocol,
        host,
        port,
        context,
        BACKLOG_CONNECTIONS,
        backlog,
        shed,
        guard.limits.connections // CONNECTIONS_PER_WAITING,
        partial(guard.free_places, context is not None),
    )
    return listener, watch
