"""Callers of the soak, which keep connections until the process has ended."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
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
    KEY,
    PlatformFleet,
    Program,
    prompt_headers,
    request_headers,
)
from standins.platform_server import CRASHING_BODY_PREFIX, CRASHING_PART
from tools.platform_soak_records import Records, SentRequest

# A caller waits longer than the deadline it sends, to receive an answer that arrives at
# the deadline.
CALLER_GRACE_SECONDS = 0.5
# A request that crashes its servers is sent so often, with at most so many copies.
MIN_CRASHING_PAUSE_SECONDS = 0.2
MAX_CRASHING_PAUSE_SECONDS = 1.5
MAX_CRASHING_COPIES = 3
CRASHING_KINDS = ("safe", "unsafe", "stream", "stream/resumed")
# The customers who send prompts that crash servers, the one of all others first.
CUSTOMERS = {"club": KEY, "rival": "the-rivals-key", "third": "the-thirds-key"}
# The parts that innocent prompts share with those that crash servers.
FIRST_PART, NEXT_PART = "f1", "f2"
CRASHING_PROMPTS = (
    (CRASHING_PART,),
    (FIRST_PART, CRASHING_PART),
    (FIRST_PART, CRASHING_PART, NEXT_PART),
    (FIRST_PART, NEXT_PART, CRASHING_PART),
)
INNOCENT_PROMPTS = ((), (FIRST_PART,), (FIRST_PART, NEXT_PART))
KINDS = ("safe", "unsafe", "stream", "stream/resumed", "new")
# The part of the streams that their callers leave after an event and resume.
BROKEN_OFF_PART = 0.4
READY_LIMIT_SECONDS = 15.0


@dataclass(slots=True)
class Callers:
    """All callers of one seed."""

    fleet: PlatformFleet
    records: Records
    count: int
    seed: int
    _stopping: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _number: int = 0

    def start(self) -> None:
        """Start the callers."""
        self._tasks = [
            asyncio.create_task(self._run_caller(number))
            for number in range(self.count)
        ]
        self._tasks.append(asyncio.create_task(self._run_crashing_callers()))
        self._tasks.append(asyncio.create_task(self._run_crashing_prompts()))

    async def stop(self) -> None:
        """Send no more requests, and wait for all answers."""
        self._stopping.set()
        await asyncio.gather(*self._tasks)

    async def is_every_router_serving(self) -> bool:
        """Send one request to each router; return whether all were served."""
        async with _make_session() as session:
            sent = [
                await self._send(session, router, "safe")
                for router in self.fleet.routers
            ]
        return all(sent_request.status == 200 for sent_request in sent)

    async def wait_until_ready(self, router: Program) -> None:
        """Wait until a router reports that it serves callers."""
        try:
            async with asyncio.timeout(READY_LIMIT_SECONDS):
                while not await self.fleet.is_ready(router):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.records.never_ready.append(router.name)

    async def _run_caller(self, number: int) -> None:
        """Send one request after another, over a persistent connection per router."""
        random = Random(self.seed * 1000 + number)
        async with _make_session() as session:
            while not self._stopping.is_set():
                router = random.choice(self.fleet.routers)
                kind = random.choice(KINDS)
                if kind == "stream/resumed" and random.random() < BROKEN_OFF_PART:
                    await self._break_off_and_resume(session, random)
                else:
                    parts = random.choice(INNOCENT_PROMPTS)
                    await self._send(session, router, kind, parts=parts)
                await asyncio.sleep(random.uniform(0.0, 0.15))

    async def _break_off_and_resume(
        self, session: ClientSession, random: Random
    ) -> None:
        """Leave a stream after its first event, and resume it at any router."""
        kind = "stream/resumed"
        router = random.choice(self.fleet.routers)
        first = await self._send(session, router, kind, leaves_after=1)
        if not first.event_versions:
            return
        await asyncio.sleep(random.choice((0.0, 0.0, 0.2, 1.0)))
        router = random.choice(self.fleet.routers)
        await self._send(session, router, kind, resumes=first.request_id)

    async def _run_crashing_callers(self) -> None:
        """Send one request that crashes its servers again and again, over all routers.

        It comes with copies at once, and from one customer or more.
        """
        random = Random(self.seed)
        keys = list(CUSTOMERS.values())[: random.randint(1, len(CUSTOMERS))]
        kind = random.choice(CRASHING_KINDS)
        body = CRASHING_BODY_PREFIX + b"%d" % self.seed
        await self._send_in_bursts(
            random,
            lambda session, router: self._send(
                session, router, kind, body, key=random.choice(keys)
            ),
        )

    async def _run_crashing_prompts(self) -> None:
        """Send requests of which no two are alike, with one part that crashes servers.

        They come over all routers and routes, some at once, from one customer or more.
        """
        random = Random(self.seed + 1)
        parts = random.choice(CRASHING_PROMPTS)
        keys = list(CUSTOMERS.values())[: random.randint(1, len(CUSTOMERS))]
        await self._send_in_bursts(
            random,
            lambda session, router: self._send(
                session,
                router,
                random.choice(CRASHING_KINDS),
                parts=parts,
                key=random.choice(keys),
            ),
        )

    async def _send_in_bursts(
        self,
        random: Random,
        send: Callable[[ClientSession, Program], Coroutine[None, None, SentRequest]],
    ) -> None:
        """Send some requests at once, again and again, to any router."""
        sending: set[asyncio.Task[SentRequest]] = set()
        async with _make_session() as session:
            while not self._stopping.is_set():
                for _ in range(random.randint(1, MAX_CRASHING_COPIES)):
                    router = random.choice(self.fleet.routers)
                    sending.add(asyncio.create_task(send(session, router)))
                pause_seconds = random.uniform(
                    MIN_CRASHING_PAUSE_SECONDS, MAX_CRASHING_PAUSE_SECONDS
                )
                await asyncio.sleep(pause_seconds)
            await asyncio.gather(*sending)

    async def _send(
        self,
        session: ClientSession,
        router: Program,
        kind: str,
        body: bytes | None = None,
        leaves_after: int | None = None,
        resumes: str = "",
        parts: Sequence[str] = (),
        key: str = KEY,
    ) -> SentRequest:
        self._number += 1
        request_id = f"{self.seed}-{self._number}"
        sent = SentRequest(
            request_id,
            kind,
            router.name,
            monotonic(),
            resumes=resumes,
            is_crashing=body is not None or CRASHING_PART in parts,
            left_early=leaves_after is not None,
        )
        sent.settled_version = self.records.settled_version(sent.at_seconds)
        url = f"http://{router.front}/{kind}/x"
        deadline_seconds = self.records.deadline_seconds
        headers = request_headers(request_id, deadline_seconds, key)
        if parts:
            headers |= prompt_headers(parts, self._number)
        if resumes:
            headers |= {"Last-Event-Id": "1", "Resumes": resumes}
        sent_body = request_id.encode() if body is None else body
        try:
            async with session.post(
                url,
                data=sent_body,
                headers=headers,
                timeout=ClientTimeout(total=deadline_seconds + CALLER_GRACE_SECONDS),
            ) as answer:
                await _record_answer(answer, sent, sent_body, leaves_after)
        except TimeoutError:
            sent.failure = "timeout"
        except (ClientError, OSError) as error:
            sent.failure = type(error).__name__
        sent.duration_seconds = monotonic() - sent.at_seconds
        self.records.sent.append(sent)
        return sent


async def _record_answer(
    answer: ClientResponse,
    sent: SentRequest,
    sent_body: bytes,
    leaves_after: int | None,
) -> None:
    sent.status = answer.status
    if answer.status != 200 or not sent.kind.startswith("stream"):
        body = await answer.read()
        sent.is_complete = True
        if answer.status != 200:
            sent.reason = body.decode("latin-1").strip()
        if answer.status == 200:
            sent.is_own_answer = body == b"answer to " + sent_body
        return
    text = b""
    async for chunk in answer.content.iter_any():
        text += chunk
        sent.event_versions = _versions_of(text)
        if leaves_after is not None and text.count(b"\n\n") >= leaves_after:
            answer.close()
            return
    sent.is_complete = True
    events = [line for line in text.split(b"\n") if line.startswith(b"id: ")]
    first = 2 if sent.resumes else 1
    sent.is_own_answer = events == [b"id: %d" % number for number in range(first, 4)]


def _versions_of(text: bytes) -> frozenset[str]:
    """Return the software versions that the complete events of a stream tell."""
    complete, _, _ = text.rpartition(b"\n\n")
    return frozenset(
        line.removeprefix(b"data: ").decode()
        for line in complete.split(b"\n")
        if line.startswith(b"data: ")
    )


def _make_session() -> ClientSession:
    session = ClientSession(connector=TCPConnector(limit=0))
    # An automatic retry of the client would look like a request that ran twice.
    session._retry_connection = False
    return session


def make_callers(
    fleet: PlatformFleet, records: Records, count: int, seed: int
) -> Callers:
    """Return callers that are not started yet."""
    return Callers(fleet, records, count, seed)
