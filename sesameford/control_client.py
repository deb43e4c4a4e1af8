"""The command-line tool's talk with the instances' operators' port."""

from asyncio import sleep
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from ssl import SSLContext, create_default_context
from time import monotonic
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import DecodeError, Struct, json

from sesameford.errors import SesamefordError

REQUEST_TIMEOUT_SECONDS = 30.0
PAUSE_SECONDS = 0.25


class ControlError(SesamefordError):
    """A command of the tool failed.

    Args:
        detail: A sentence for people.
        exit_code: What the tool ends with.
    """

    def __init__(self, detail: str, exit_code: int) -> None:
        super().__init__(detail)
        self.exit_code = exit_code


class ServerAnswer(Struct, frozen=True):
    """A decoded answer and the server that gave it."""

    server: str
    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class Client:
    """Asks any one of several instances, the next where one does not answer.

    Args:
        session: An open session.
        servers: Base addresses, such as ``http://127.0.0.1:7001``.
        key: The operator's key.
        timeout_seconds: How long a command goes on trying.
    """

    session: ClientSession
    servers: Sequence[str]
    key: str
    timeout_seconds: float

    async def ask(
        self, method: str, path: str, body: bytes | None = None
    ) -> ServerAnswer:
        """Return the first answer that decides the matter.

        An instance that can't be reached, or that answers that it can't decide
        now (503), is passed over; an answer lost on the way is as good as none,
        which is why a change is sent again with the same change id.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON, for a change.

        Returns:
            The answer, whatever its status.

        Raises:
            ControlError: No instance decided in time.
        """
        deadline_seconds = monotonic() + self.timeout_seconds
        faults: dict[str, str] = {}
        while True:
            for server in self.servers:
                try:
                    answer = await self._ask_one(server, method, path, body)
                except (ClientError, OSError, TimeoutError, DecodeError) as error:
                    faults[server] = str(error) or type(error).__name__
                    continue
                if answer.status < 500:
                    return answer
                faults[server] = problem_detail(answer)
            if monotonic() + PAUSE_SECONDS >= deadline_seconds:
                raise ControlError(
                    "no instance could answer: "
                    + "; ".join(f"{one}: {why}" for one, why in faults.items()),
                    exit_code=4,
                )
            await sleep(PAUSE_SECONDS)

    async def _ask_one(
        self, server: str, method: str, path: str, body: bytes | None
    ) -> ServerAnswer:
        """Return one server's answer."""
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
    """Open a client for the length of a command.

    Args:
        servers: Base addresses of instances.
        key: The operator's key.
        timeout_seconds: How long to go on trying.
        authority_file: Certificates to trust instead of the machine's own.

    Raises:
        ControlError: The certificates can't be read.
    """
    context: SSLContext | bool = True
    if authority_file is not None:
        try:
            context = create_default_context(cafile=authority_file)
        except OSError as error:
            raise ControlError(f"{authority_file}: {error}", exit_code=2) from error
    async with ClientSession(connector=TCPConnector(ssl=context)) as session:
        yield Client(session, servers, key, timeout_seconds)


def problem_detail(answer: ServerAnswer) -> str:
    """Return what a server says is wrong."""
    if isinstance(answer.body, dict):
        return str(answer.body.get("detail", answer.body))
    return f"status {answer.status}: {answer.body}"


def require_success(answer: ServerAnswer) -> Any:
    """Return the body of a successful answer.

    Raises:
        ControlError: The server refused; its exit code tells why.
    """
    if answer.status == 200:
        return answer.body
    exit_codes = {401: 5, 403: 5, 409: 3, 503: 4}
    raise ControlError(
        f"{answer.server}: {problem_detail(answer)}", exit_codes.get(answer.status, 2)
    )
