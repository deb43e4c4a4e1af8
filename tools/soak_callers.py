"""The soak's callers: requests of all kinds, and what came of each."""

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
RESENDS = 3


@dataclass(frozen=True, slots=True)
class Sent:
    """One sending of a request and what its caller was told.

    ``outcome`` is ``ran``, ``not-run``, ``unknown``, ``cut`` for a stream that said
    so itself, or ``none`` where no answer came. ``once`` says that the request may
    run once only, ``looks_complete`` that length or end mark were there.
    """

    mark: str
    kind: str
    url: str
    once: bool
    outcome: str
    reason: str
    looks_complete: bool
    is_own: bool
    is_whole: bool
    began_at: float
    ended_at: float


class Caller:
    """Sends requests one after another.

    Args:
        session: Its connections.
        shape: What the deployment serves.
        customer: Whose key it bears.
        number: Makes its marks its own.
        seed: For its choices.
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

    async def send_next(self, ready: Callable[[], Sequence[Member]]) -> list[Sent]:
        """Send the next request; with a key, again until it is known what came."""
        self._count += 1
        mark = f"c{self._number}.{self._count}"
        kind = self._random.choices(
            ("lookup", "mailing", "keyed", "stream", "keyed-whole"), (58, 14, 8, 14, 6)
        )[0]
        keyed = kind.startswith("keyed")
        sent: list[Sent] = []
        for _ in range(1 + RESENDS if keyed else 1):
            one = await self._send(mark, kind, ready)
            sent.append(one)
            if one.outcome in ("ran", "not-run"):
                break
        return sent

    async def send_poison(self, member: Member) -> Sent:
        """Send the request that crashes engines; always the same body."""
        work = Work("poison", self._customer.name, self._shape.models[0], 8, "#crash")
        return await self._complete(member, work, "poison")

    async def _send(
        self, mark: str, kind: str, ready: Callable[[], Sequence[Member]]
    ) -> Sent:
        """Send once, through an instance that takes the connection."""
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
            # A balancer too turns to another instance when one takes no connection.
            await _pause()

    def _headers(self, mark: str, kind: str) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._customer.key}",
            "Sesameford-Deadline-Seconds": str(DEADLINE_SECONDS),
        }
        if kind.startswith("keyed"):
            headers["Idempotency-Key"] = mark
        return headers

    async def _call(self, member: Member, mark: str, kind: str) -> Sent:
        began_at = time.monotonic()
        method, path = ("GET", "lookup") if kind == "lookup" else ("POST", "mailing")
        delay = self._random.choice((0.0, 0.0, 0.005, 0.02, 0.3))
        url = f"{member.url}/services/{self._shape.service_names[0]}/{path}"
        url += f"?mark={mark}&customer={self._customer.name}&delay={delay}"
        if kind == "keyed":
            # A resend is the same to the byte.
            url = url.rpartition("&")[0]
        outcome, reason, echoed, whole = "none", "", mark, False
        try:
            async with self._session.request(
                method,
                url,
                headers=self._headers(mark, kind),
                timeout=ClientTimeout(total=TIMEOUT_SECONDS),
            ) as response:
                told = response.headers.get("Sesameford-Outcome", "")
                body = await response.json(content_type=None)
                outcome = told or "none"
                reason = str(body.get("reason", ""))
                if response.status == 200:
                    echoed, whole = body.get("mark", ""), True
        except ClientConnectorError:
            reason = "no-connection"
        except (ClientError, TimeoutError, OSError, ValueError) as error:
            reason = repr(error)
        return Sent(
            mark,
            kind,
            member.url,
            kind != "lookup",
            outcome,
            reason,
            whole,
            echoed == mark,
            whole and echoed == mark,
            began_at,
            time.monotonic(),
        )

    async def _complete(self, member: Member, work: Work, kind: str) -> Sent:
        began_at = time.monotonic()
        connected = await _takes_connections(self._session, member)
        if not connected:
            reason = "no-connection"
            return Sent(
                work.mark, kind, member.url, False, "none", reason, False, True, False,
                began_at, time.monotonic(),
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
        return Sent(
            work.mark,
            kind,
            member.url,
            False,
            outcome,
            answer.reason,
            looks_complete,
            not answer.crossed or answer.status != 200,
            answer.complete,
            began_at,
            time.monotonic(),
        )


async def _takes_connections(session: ClientSession, member: Member) -> bool:
    """Return whether an instance takes connections just now."""
    try:
        async with session.get(
            f"{member.url}/healthz", timeout=ClientTimeout(total=2.0)
        ) as answer:
            return answer.status == 200
    except (ClientError, TimeoutError, OSError):
        return False


async def _pause() -> None:
    """Wait a moment before another try."""
    await sleep(0.1)
