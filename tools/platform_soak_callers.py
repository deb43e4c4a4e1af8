"""Callers of the soak: they keep connections until the process is gone."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from time import monotonic

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from standins.platform_fleet import (
    PlatformFleet,
    Program,
    request_headers,
)
from tools.platform_soak_verdict import Records, Sent

DEADLINE_SECONDS = 4.0
# A caller waits a little longer than it says, to see an answer that comes at the end.
SEEN_LATER_SECONDS = 0.5
KINDS = ("safe", "unsafe", "stream", "stream/resumed", "new")
READY_LIMIT_SECONDS = 15.0


@dataclass(slots=True)
class Callers:
    """All callers of one seed."""

    fleet: PlatformFleet
    records: Records
    count: int
    seed: int
    _over: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _number: int = 0

    def begin(self) -> None:
        """Start to call."""
        self._tasks = [
            asyncio.create_task(self._call(number)) for number in range(self.count)
        ]

    async def end(self) -> None:
        """Call no more, and wait for all answers."""
        self._over.set()
        await asyncio.gather(*self._tasks)

    async def all_served(self) -> bool:
        """Return whether each router serves a request of its own."""
        async with _make_session() as session:
            sent = [
                await self._send(session, router, "safe")
                for router in self.fleet.routers
            ]
        return all(one.status == 200 for one in sent)

    async def until_ready(self, router: Program) -> None:
        """Wait until a router says that it takes callers."""
        try:
            async with asyncio.timeout(READY_LIMIT_SECONDS):
                while not await self.fleet.is_ready(router):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.records.never_ready.append(router.name)

    async def _call(self, number: int) -> None:
        """Send one request after another, each router over a kept connection."""
        random = Random(self.seed * 1000 + number)
        async with _make_session() as session:
            while not self._over.is_set():
                router = random.choice(self.fleet.routers)
                kind = random.choice(KINDS)
                await self._send(session, router, kind)
                await asyncio.sleep(random.uniform(0.0, 0.15))

    async def _send(self, session: ClientSession, router: Program, kind: str) -> Sent:
        self._number += 1
        request_id = f"{self.seed}-{self._number}"
        sent = Sent(request_id, kind, router.name, monotonic())
        sent.settled_version = self.records.settled_version(sent.at_seconds)
        url = f"http://{router.front}/{kind}/x"
        try:
            async with session.post(
                url,
                data=request_id.encode(),
                headers=request_headers(request_id, DEADLINE_SECONDS),
                timeout=ClientTimeout(total=DEADLINE_SECONDS + SEEN_LATER_SECONDS),
            ) as answer:
                await _read(answer, sent)
        except TimeoutError:
            sent.end = "timeout"
        except (ClientError, OSError) as error:
            sent.end = type(error).__name__
        sent.took_seconds = monotonic() - sent.at_seconds
        self.records.sent.append(sent)
        return sent


async def _read(answer: ClientResponse, sent: Sent) -> None:
    sent.status = answer.status
    body = await answer.read()
    sent.is_complete = True
    if answer.status != 200:
        return
    if sent.kind.startswith("stream"):
        events = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        sent.is_own = events == [b"id: %d" % number for number in (1, 2, 3)]
    else:
        sent.is_own = body == b"answer to " + sent.request_id.encode()


def _make_session() -> ClientSession:
    session = ClientSession(connector=TCPConnector(limit=0))
    # A caller that sends again by itself would look like a request that ran twice.
    session._retry_connection = False
    return session


def make_callers(
    fleet: PlatformFleet, records: Records, count: int, seed: int
) -> Callers:
    """Return callers that do nothing yet."""
    return Callers(fleet, records, count, seed)
