"""The HTTP client of the command-line tool for the operators' port."""

from asyncio import sleep
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from ssl import SSLContext, create_default_context
from time import monotonic
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import DecodeError, Struct, json

from sesameford.errors import SesamefordError
from sesameford.target_connections import make_connector

REQUEST_TIMEOUT_SECONDS = 30.0
RETRY_INTERVAL_SECONDS = 0.25


class ControlError(SesamefordError):
    """A command of the tool failed.

    Args:
        detail: A message for people.
        exit_code: The exit code of the tool.
    """

    def __init__(self, detail: str, exit_code: int) -> None:
        super().__init__(detail)
        self.exit_code = exit_code


class ServerAnswer(Struct, frozen=True):
    """A decoded response and the server that sent it."""

    server: str
    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class Client:
    """Sends requests to any of several instances, trying the next after a failure.

    Args:
        session: An open session.
        servers: Base addresses, such as ``http://127.0.0.1:7001``.
        key: The operator's key.
        timeout_seconds: How long a request is retried.
    """

    session: ClientSession
    servers: Sequence[str]
    key: str
    timeout_seconds: float

    async def request(
        self, method: str, path: str, body: bytes | None = None
    ) -> ServerAnswer:
        """Return the first response with a status below 500.

        An instance that can't be reached or that answers with a server error, such
        as 503 without a quorum, is skipped. A lost response is treated the same, so
        a change may be sent again; it then has the same change id.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON, for a change.

        Returns:
            The response, of any status below 500.

        Raises:
            ControlError: No instance gave such a response before the timeout.
        """
        deadline_seconds = monotonic() + self.timeout_seconds
        errors: dict[str, str] = {}
        while True:
            for server in self.servers:
                try:
                    answer = await self._send_request(server, method, path, body)
                except (ClientError, OSError, TimeoutError, DecodeError) as error:
                    errors[server] = str(error) or type(error).__name__
                    continue
                if answer.status < 500:
                    return answer
                errors[server] = problem_detail(answer)
            if monotonic() + RETRY_INTERVAL_SECONDS >= deadline_seconds:
                raise ControlError(
                    "no instance could answer: "
                    + "; ".join(
                        f"{address}: {detail}" for address, detail in errors.items()
                    ),
                    exit_code=4,
                )
            await sleep(RETRY_INTERVAL_SECONDS)

    async def _send_request(
        self, server: str, method: str, path: str, body: bytes | None
    ) -> ServerAnswer:
        """Send a request to one server and return its response."""
        headers = {"Authorization": f"Bearer {self.key}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        total_seconds = min(REQUEST_TIMEOUT_SECONDS, max(self.timeout_seconds, 1.0))
        async with self.session.request(
            method,
            server.rstrip("/") + path,
            data=body,
            headers=headers,
            timeout=ClientTimeout(total=total_seconds),
            allow_redirects=False,
        ) as response:
            raw = await response.read()
            if response.status >= 500 and "json" not in response.content_type:
                return ServerAnswer(
                    server, response.status, raw.decode(errors="replace")
                )
            return ServerAnswer(server, response.status, json.decode(raw))


@asynccontextmanager
async def open_client(
    servers: Sequence[str], key: str, timeout_seconds: float, authority_file: str | None
) -> AsyncIterator[Client]:
    """Open a client for the duration of a command.

    Args:
        servers: Base addresses of instances.
        key: The operator's key.
        timeout_seconds: How long a request is retried.
        authority_file: Certificates to trust instead of the system's own.

    Raises:
        ControlError: The certificates can't be read.
    """
    context: SSLContext | bool = True
    if authority_file is not None:
        try:
            context = create_default_context(cafile=authority_file)
        except OSError as error:
            raise ControlError(f"{authority_file}: {error}", exit_code=2) from error
    # An instance in trouble must not pass for one that answered, nor may a proxy.
    async with ClientSession(connector=make_connector(context, None)) as session:
        yield Client(session, servers, key, timeout_seconds)


def problem_detail(answer: ServerAnswer) -> str:
    """Return the error message of a response."""
    if isinstance(answer.body, dict):
        return str(answer.body.get("detail", answer.body))
    return f"status {answer.status}: {answer.body}"


def require_success(answer: ServerAnswer) -> Any:
    """Return the body of a successful response.

    Raises:
        ControlError: The request was refused; the exit code gives the reason.
    """
    if answer.status == 200:
        return answer.body
    exit_codes = {401: 5, 403: 5, 409: 3, 503: 4}
    raise ControlError(
        f"{answer.server}: {problem_detail(answer)}", exit_codes.get(answer.status, 2)
    )
