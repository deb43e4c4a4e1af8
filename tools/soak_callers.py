"""The soak's callers, which send requests of all kinds and record each result."""

import time
from asyncio import sleep
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from tools.client import Work, request_completion
from tools.members import Member
from tools.shapes import Shape
from tools.trees import Customer

TIMEOUT_SECONDS = 25.0
DEADLINE_SECONDS = 6.0
MAX_RESENDS = 3


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request sent once, with the result that its caller received.

    ``outcome`` is ``ran``, ``not-run``, ``unknown``, ``cut`` for a stream that
    reported its cut itself, or ``none`` without an answer. ``runs_at_most_once`` marks
    a request that must not run twice, ``looks_complete`` an answer of the announced
    length or with its end mark. ``is_own`` is whether the answer belongs to this
    request, ``is_whole`` whether it was really complete. Times are monotonic seconds.
    """

    mark: str
    kind: str
    url: str
    runs_at_most_once: bool
    outcome: str
    reason: str
    looks_complete: bool
    is_own: bool
    is_whole: bool
    started_at: float
    ended_at: float


class Caller:
    """A caller that sends requests one after another.

    Args:
        session: HTTP client session.
        shape: The deployment, with its models and services.
        customer: The customer whose key the requests carry.
        number: Number of the caller; makes its marks unique.
        seed: Seed of its random choices, combined with the number.
    """

    def __init__(
        self,
        session: ClientSession,
        shape: Shape,
        customer: Customer,
        number: int,
        seed: int,
    ) -> None:
        self._session = session
        self._shape = shape
        self._customer = customer
        self._number = number
        self._random = Random(seed * 1000 + number)
        self._count = 0

    async def send_next(
        self, ready: Callable[[], Sequence[Member]]
    ) -> list[SentRequest]:
        """Send the next request; resend a keyed one until its outcome is certain.

        Args:
            ready: Returns the instances that accept requests now.

        Returns:
            One row for each time the request was sent.
        """
        self._count += 1
        mark = f"c{self._number}.{self._count}"
        kind = self._random.choices(
            ("lookup", "mailing", "keyed", "stream", "keyed-whole"), (58, 14, 8, 14, 6)
        )[0]
        is_keyed = kind.startswith("keyed")
        sent: list[SentRequest] = []
        for _ in range(1 + MAX_RESENDS if is_keyed else 1):
            one = await self._send(mark, kind, ready)
            sent.append(one)
            if one.outcome in ("ran", "not-run"):
                break
        return sent

    async def send_poison(self, member: Member) -> SentRequest:
        """Send the request that crashes engines; its body is always the same."""
        work = Work("poison", self._customer.name, self._shape.models[0], 8, "#crash")
        return await self._complete(member, work, "poison")

    async def _send(
        self, mark: str, kind: str, ready: Callable[[], Sequence[Member]]
    ) -> SentRequest:
        """Send a request once, through a ready instance that accepts connections."""
        while True:
            members = ready()
            if not members:
                await _pause()
                continue
            member = self._random.choice(members)
            if kind in ("stream", "keyed-whole"):
                work = Work(
                    mark,
                    self._customer.name,
                    self._shape.models[0],
                    12,
                    stream=kind == "stream",
                )
                sent = await self._complete(member, work, kind)
            else:
                sent = await self._call(member, mark, kind)
            if sent.reason != "no-connection":
                return sent
            # A load balancer also tries another instance after a refused connection.
            await _pause()

    def _headers(self, mark: str, kind: str) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._customer.key}",
            "Sesameford-Deadline-Seconds": str(DEADLINE_SECONDS),
        }
        if kind.startswith("keyed"):
            headers["Idempotency-Key"] = mark
        return headers

    async def _call(self, member: Member, mark: str, kind: str) -> SentRequest:
        started_at = time.monotonic()
        method, path = ("GET", "lookup") if kind == "lookup" else ("POST", "mailing")
        delay = self._random.choice((0.0, 0.0, 0.005, 0.02, 0.3))
        url = f"{member.url}/services/{self._shape.service_names[0]}/{path}"
        url += f"?mark={mark}&customer={self._customer.name}&delay={delay}"
        if kind == "keyed":
            # Resends must equal the first request byte for byte: no random delay.
            url = url.rpartition("&")[0]
        outcome, reason, echoed_mark, is_answered = "none", "", mark, False
        try:
            async with self._session.request(
                method,
                url,
                headers=self._headers(mark, kind),
                timeout=ClientTimeout(total=TIMEOUT_SECONDS),
            ) as response:
                reported_outcome = response.headers.get("Sesameford-Outcome", "")
                body = await response.json(content_type=None)
                outcome = reported_outcome or "none"
                reason = str(body.get("reason", ""))
                if response.status == 200:
                    echoed_mark, is_answered = body.get("mark", ""), True
        except ClientConnectorError:
            reason = "no-connection"
        except (ClientError, TimeoutError, OSError, ValueError) as error:
            reason = repr(error)
        return SentRequest(
            mark,
            kind,
            member.url,
            kind != "lookup",
            outcome,
            reason,
            is_answered,
            echoed_mark == mark,
            is_answered and echoed_mark == mark,
            started_at,
            time.monotonic(),
        )

    async def _complete(self, member: Member, work: Work, kind: str) -> SentRequest:
        started_at = time.monotonic()
        is_connected = await _accepts_connections(self._session, member)
        if not is_connected:
            reason = "no-connection"
            return SentRequest(
                work.mark, kind, member.url, False, "none", reason, False, True, False,
                started_at, time.monotonic(),
            )  # fmt: skip
        answer = await request_completion(
            self._session,
            member.url,
            self._customer.key,
            work,
            TIMEOUT_SECONDS,
            self._headers(work.mark, kind),
        )
        looks_complete = answer.status == 200 and answer.reason == ""
        outcome = answer.outcome or "none"
        if answer.status == 0:
            outcome = "none"
        elif answer.status == 200 and not looks_complete:
            outcome = "cut"
        return SentRequest(
            work.mark,
            kind,
            member.url,
            False,
            outcome,
            answer.reason,
            looks_complete,
            not answer.crossed or answer.status != 200,
            answer.complete,
            started_at,
            time.monotonic(),
        )


async def _accepts_connections(session: ClientSession, member: Member) -> bool:
    """Return whether an instance answers ``/healthz`` within 2 seconds."""
    try:
        async with session.get(
            f"{member.url}/healthz", timeout=ClientTimeout(total=2.0)
        ) as answer:
            return answer.status == 200
    except (ClientError, TimeoutError, OSError):
        return False


async def _pause() -> None:
    """Wait 0.1 seconds before another attempt."""
    await sleep(0.1)
