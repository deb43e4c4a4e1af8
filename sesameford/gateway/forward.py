"""Sends a call to one target; failures show whether the call may have run."""

from asyncio import get_running_loop, sleep, timeout_at
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum
from errno import ECONNREFUSED
from types import SimpleNamespace

from aiohttp import (
    ClientConnectionError,
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ConnectionTimeoutError,
    TraceConfig,
    TraceRequestHeadersSentParams,
)
from multidict import CIMultiDict
from yarl import URL

from sesameford.answer_heads import MalformedHeadError
from sesameford.errors import SesamefordError
from sesameford.framing import Framing, framing_of
from sesameford.gateway.calls import AnswerHead, Call, SendAttempt, WireAdapter
from sesameford.gateway.gateway_metrics import GatewayMetrics
from sesameford.http_ports import make_session
from sesameford.target_answers import (
    AnswerOwners,
    EndlessAnswerError,
    ForeignAnswerError,
)
from sesameford.target_connections import PoolOptions
from sesameford.verbatim_request import VERBATIM_TARGET_HEADER

# A target in another data centre accepts within some hundredths of a second; one that
# is unreachable would delay each call. TCP resends a lost first packet only after a
# second, which is longer than a call can wait.
CONNECT_TIMEOUT_SECONDS = 0.3
# Headers that the HTTP library would add; a target receives only the caller's.
SKIPPED_AUTO_HEADERS = frozenset(
    {"User-Agent", "Accept", "Accept-Encoding", "Content-Type"}
)


class SendOutcome(StrEnum):
    """How a send attempt without an answer failed."""

    NEVER_SENT = "never-sent"
    WITHHELD = "withheld"
    OUTDATED = "table-outdated"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"
    LOST = "lost"
    FOREIGN = "foreign-answer"
    BROKEN = "broken"
    TOO_LONG = "answer-too-long"
    TIMEOUT = "timeout"


# After these outcomes the call has certainly not run at that target.
NOT_RUN_OUTCOMES = frozenset(
    {
        SendOutcome.NEVER_SENT,
        SendOutcome.WITHHELD,
        SendOutcome.OUTDATED,
        SendOutcome.NOT_RUN,
        SendOutcome.WRONG_TARGET,
    }
)
# After these outcomes the target has accepted the call and failed it.
FAILED_OUTCOMES = frozenset(
    {
        SendOutcome.LOST,
        SendOutcome.FOREIGN,
        SendOutcome.BROKEN,
        SendOutcome.TOO_LONG,
    }
)


class SendAttemptError(SesamefordError):
    """A send attempt returned no complete answer.

    Args:
        outcome: How it failed, and so whether the call may have run.
        detail: The error or the answer observed, for the log.
        head: The head of the target's answer, if one arrived.
        is_connection_lost: Whether the connection to the target broke.
        is_refused: Whether the target refused the connection.
    """

    def __init__(
        self,
        outcome: SendOutcome,
        detail: str,
        head: AnswerHead | None = None,
        is_connection_lost: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(f"{outcome.value}: {detail}")
        self.outcome = outcome
        self.detail = detail
        self.head = head
        self.is_connection_lost = is_connection_lost
        self.is_refused = is_refused


@dataclass(frozen=True, slots=True)
class Exchange:
    """A target's answer whose head has arrived and whose body is not read yet."""

    head: AnswerHead
    response: ClientResponse

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        return framing_of(self.response)

    @property
    def length_bytes(self) -> int | None:
        """Return the length that the head states for the body, None without one."""
        return self.response.content_length

    async def chunks(self, limit_bytes: int) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives; the caller must bound the time.

        Args:
            limit_bytes: The longest body.

        Raises:
            SendAttemptError: It broke off, or is longer.
        """
        content = self.response.content
        read_bytes = 0
        while True:
            if content.total_bytes > limit_bytes:
                detail = f"over {limit_bytes} bytes"
                raise SendAttemptError(SendOutcome.TOO_LONG, detail)
            try:
                chunk = await content.readany()
            except EndlessAnswerError as error:
                raise SendAttemptError(SendOutcome.TOO_LONG, str(error)) from error
            except (ClientError, OSError) as error:
                raise SendAttemptError(
                    SendOutcome.BROKEN, _describe_error(error), is_connection_lost=True
                ) from error
            if not chunk:
                return
            yield chunk
            read_bytes += len(chunk)
            if content.total_bytes > read_bytes:
                # The next read won't wait, and others would as long as that lasts.
                await sleep(0)


@asynccontextmanager
async def body_until(until_seconds: float) -> AsyncIterator[None]:
    """Bound the time in which a body is read and forwarded.

    A stream has one timeout in all, because one for each event costs a router a sixth
    of its time: 3.6 instead of 3.0 ms for a stream of 38 events.

    Args:
        until_seconds: The deadline on the loop's clock.

    Raises:
        SendAttemptError: The deadline has passed.
    """
    try:
        async with timeout_at(until_seconds):
            yield
    except TimeoutError as error:
        raise SendAttemptError(SendOutcome.TIMEOUT, "the body came too late") from error


@dataclass(frozen=True, slots=True)
class Sender:
    """Sends calls to targets over HTTP."""

    session: ClientSession
    wire_adapter: WireAdapter

    @asynccontextmanager
    async def exchange(
        self,
        call: Call,
        body: bytes,
        address: str,
        attempt: SendAttempt,
        until_seconds: float,
        before_write: Callable[[], None],
    ) -> AsyncIterator[Exchange]:
        """Send a call and wait for the head of its answer.

        On exit the connection returns to the pool if the answer was read to its end.
        Otherwise it is closed, so that the target stops work for a caller who left.

        Args:
            call: The call.
            body: Its whole body.
            address: The target's address, ``IP:port``.
            attempt: The data that the system adds to the call's headers.
            until_seconds: The deadline on the loop's clock.
            before_write: Called when a connection is ready, before the first byte. It
                may raise a ``SendAttemptError`` to withhold the call.

        Raises:
            SendAttemptError: No answer of this target to this call arrived.
        """
        response = await self._send(
            call, body, address, attempt, until_seconds, before_write
        )
        try:
            yield Exchange(self._check_head(call, response), response)
        finally:
            if response.content.is_eof() and response.content.exception() is None:
                response.release()
            else:
                response.close()

    async def _send(
        self,
        call: Call,
        body: bytes,
        address: str,
        attempt: SendAttempt,
        until_seconds: float,
        before_write: Callable[[], None],
    ) -> ClientResponse:
        loop = get_running_loop()

        def complete_headers(headers: CIMultiDict[str]) -> None:
            before_write()
            # Connecting takes time, most of all on a late loop: a target that gets more
            # than is left would work for a caller that has gone.
            name, value = self.wire_adapter.deadline_header(until_seconds - loop.time())
            headers[name] = value

        url = URL(f"http://{address}{call.target}", encoded=True)
        headers = CIMultiDict(self.wire_adapter.sent_headers(call, attempt))
        headers[VERBATIM_TARGET_HEADER] = call.target
        try:
            async with timeout_at(until_seconds):
                return await self.session.request(
                    call.method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED_AUTO_HEADERS,
                    trace_request_ctx=complete_headers,
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise SendAttemptError(
                SendOutcome.NEVER_SENT,
                _describe_error(error),
                is_refused=_is_refused(error),
            ) from error
        except TimeoutError as error:
            raise SendAttemptError(SendOutcome.TIMEOUT, "no answer in time") from error
        except ForeignAnswerError as error:
            raise SendAttemptError(SendOutcome.FOREIGN, str(error)) from error
        except EndlessAnswerError as error:
            raise SendAttemptError(SendOutcome.TOO_LONG, str(error)) from error
        except MalformedHeadError as error:
            # The connection is closed. Only a probe shows if the target lives on.
            raise SendAttemptError(
                SendOutcome.BROKEN, _describe_error(error), is_connection_lost=True
            ) from error
        except (ClientConnectionError, ClientError, OSError) as error:
            # A part of the call may have arrived. Only the target could report that
            # it did not run, and this connection delivers nothing more.
            raise SendAttemptError(
                SendOutcome.LOST, _describe_error(error), is_connection_lost=True
            ) from error

    def _check_head(self, call: Call, response: ClientResponse) -> AnswerHead:
        """Return an answer's head after checking that it is this call's and it ran.

        Nothing else in a head counts before the id is compared: a rejection of another
        request would tell this call's caller that it has not run.

        Raises:
            SendAttemptError: The answer is another call's, or the call did not run.
        """
        headers = [(str(name), value) for name, value in response.headers.items()]
        head = self.wire_adapter.read_answer(response.status, headers)
        if head.request_id != call.request_id:
            detail = f"an answer to {head.request_id or 'nobody'}"
            raise SendAttemptError(SendOutcome.FOREIGN, detail)
        if head.is_other_target:
            raise SendAttemptError(
                SendOutcome.WRONG_TARGET, "another target has the address", head
            )
        if head.not_run:
            raise SendAttemptError(SendOutcome.NOT_RUN, f"status {head.status}", head)
        return head


def _is_refused(error: Exception) -> bool:
    if not isinstance(error, ClientConnectorError):
        return False
    return error.os_error.errno == ECONNREFUSED


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:200]


async def _complete_headers(
    session: ClientSession,
    trace: SimpleNamespace,
    params: TraceRequestHeadersSentParams,
) -> None:
    """Complete the headers of a request; the library calls this before writing."""
    trace.trace_request_ctx(params.headers)


def make_target_session(
    idle_seconds: float,
    wire_adapter: WireAdapter,
    metrics: GatewayMetrics,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
) -> ClientSession:
    """Return a client session for ``make_sender``.

    Args:
        idle_seconds: The idle timeout of a pooled connection.
        wire_adapter: Reads whose an answer is.
        metrics: Counts what the connections show.
        connect_seconds: The connect timeout.
    """
    trace = TraceConfig()
    trace.on_request_headers_sent.append(_complete_headers)
    owners = AnswerOwners(wire_adapter.read_request_id, metrics.record_skipped_answer)
    pool = PoolOptions(idle_seconds, owners)
    return make_session(None, pool, connect_seconds, trace)


def make_sender(session: ClientSession, wire_adapter: WireAdapter) -> Sender:
    """Return a sender that uses a session of ``make_target_session``."""
    return Sender(session, wire_adapter)
