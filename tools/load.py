"""An open-loop load generator: requests don't wait for earlier ones to end.

Costs are heavy-tailed over two decades, and cost hints are wrong by up to 4 times.
Large customers send to one or two instances, and some customers pause at times. All
random choices come from a seed, so that two variants receive the same load.
"""

import asyncio
import math
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from tools.client import Answer, Work, request_completion
from tools.shapes import Shape
from tools.trees import LARGE_SHARE, Customer

COST_MEDIAN_TOKENS = 55.0
COST_SIGMA = 1.1
COST_LOW_TOKENS, COST_HIGH_TOKENS = 8, 800
HINT_FACTOR = 4.0
LARGE_CUSTOMERS, SMALL_CUSTOMERS, LIGHT_CUSTOMERS = 3, 10, 3
PROMPT_CHARACTERS = (64, 640)
# Upper bound of the characters that the mark fields add to a prompt.
MARK_CHARACTERS = 60
_HISTOGRAM_HIGH = 120_000_000
_IDLE_STEP_SECONDS = 0.1
_FINISH_SECONDS = 2.0
_SERVICE_FRACTION = 0.05
_SERVICE_DELAY_SECONDS = 0.02
OVERDUE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of a run.

    ``load`` is the demand as a multiple of the capacity. With ``churn``, customers
    pause for some seconds in turn. ``flood`` names a customer that requests ten times
    as much.
    """

    name: str
    seconds: float
    load: float
    flood: str = ""
    churn: bool = False
    is_network_whole: bool = True


def draw_tokens(source: random.Random) -> int:
    """Return a heavy-tailed number of output tokens."""
    drawn = source.lognormvariate(math.log(COST_MEDIAN_TOKENS), COST_SIGMA)
    return int(min(COST_HIGH_TOKENS, max(COST_LOW_TOKENS, drawn)))


def mean_tokens() -> float:
    """Return the mean of `draw_tokens`."""
    source = random.Random(0)
    return sum(draw_tokens(source) for _ in range(20_000)) / 20_000


def make_customers(instance_ids: Sequence[str], seed: int) -> Sequence[Customer]:
    """Return 16 customers: a few large ones on one or two instances, and small ones.

    The light ones request 0.3 times as much as small ones and are never backlogged for
    long.
    """
    source = random.Random(seed)
    customers = []
    for position in range(LARGE_CUSTOMERS):
        entries = tuple(source.sample(list(instance_ids), 1 + position % 2))
        customers.append(
            Customer(f"large{position + 1}", "large", LARGE_SHARE, entries)
        )
    for group, count in (("small", SMALL_CUSTOMERS), ("light", LIGHT_CUSTOMERS)):
        for position in range(count):
            entries = tuple(source.sample(list(instance_ids), 2))
            customers.append(Customer(f"{group}{position + 1}", group, 1.0, entries))
    return customers


@dataclass(slots=True)
class Backlog:
    """Requests of a customer without a first token, with the times they were sent."""

    waiting: dict[int, float] = field(default_factory=dict)
    was_empty: bool = True

    def sample(self, now_seconds: float) -> bool:
        """Return whether requests waited all the time since the last sample.

        A request that was just sent does not count as waiting, so the oldest one must
        be older than `OVERDUE_SECONDS`.
        """
        oldest = min(self.waiting.values(), default=now_seconds)
        backlogged = not self.was_empty and now_seconds - oldest > OVERDUE_SECONDS
        self.was_empty = not self.waiting
        return backlogged


@dataclass(frozen=True, slots=True)
class Sent:
    """A request of the load and its answer, None if it was abandoned."""

    mark: str
    customer: str
    instance_id: str
    phase: str
    sent_at_seconds: float
    output_tokens: int
    answer: Answer | None


@dataclass(slots=True)
class _LoadState:
    """Counters and results of one run."""

    sent: list[Sent] = field(default_factory=list)
    backlogs: dict[str, Backlog] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    next_number: int = 0


class Load:
    """Sends the load of one run.

    Args:
        shape: The deployment.
        customers: Customers that send requests.
        urls: Addresses for callers, by instance.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        shape: Shape,
        customers: Sequence[Customer],
        urls: Mapping[str, str],
        seed: int,
    ) -> None:
        self._shape = shape
        self._customers = customers
        self._urls = urls
        self._seed = seed
        self._state = _LoadState()
        self._phase = Phase("idle", 0.0, 0.0)
        self._stopping = False
        self.down_instances: set[str] = set()
        self.first_token = HdrHistogram(1, _HISTOGRAM_HIGH, 3)
        self.total = HdrHistogram(1, _HISTOGRAM_HIGH, 3)
        slots = shape.engines * shape.engine_slots
        capacity = slots * shape.tokens_per_second / mean_tokens()
        shares = sum(customer.share for customer in customers)
        self._request_rate_per_share = capacity / shares

    @property
    def sent(self) -> Sequence[Sent]:
        """Return all requests that have ended."""
        return self._state.sent

    def set_phase(self, phase: Phase) -> None:
        """Set the phase that determines the demand from now on."""
        self._phase = phase

    def backlogged(self, now_seconds: float) -> frozenset[str]:
        """Return the customers that had waiting requests since the last call."""
        return frozenset(
            name
            for name, backlog in self._state.backlogs.items()
            if backlog.sample(now_seconds)
        )

    def waiting(self) -> int:
        """Return the number of requests without a first token."""
        return sum(len(backlog.waiting) for backlog in self._state.backlogs.values())

    async def run(self, stopped: asyncio.Event) -> None:
        """Send requests until stopped, then abandon the open ones.

        Args:
            stopped: Set to end the load.
        """
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            arrivals = [
                asyncio.create_task(self._run_customer(session, customer))
                for customer in self._customers
            ]
            await stopped.wait()
            self._stopping = True
            for task in arrivals:
                task.cancel()
            await asyncio.gather(*arrivals, return_exceptions=True)

            async def finish(seconds: float) -> None:
                if self._state.tasks:
                    await asyncio.wait(list(self._state.tasks), timeout=seconds)

            await finish(_FINISH_SECONDS)
            for task in list(self._state.tasks):
                task.cancel()
            await finish(_FINISH_SECONDS)

    def _rate(self, customer: Customer, now_seconds: float) -> float:
        """Return the current request rate of a customer, per second."""
        phase = self._phase
        rate = self._request_rate_per_share * customer.share * phase.load
        if customer.branch == "light":
            rate *= 0.3
        if phase.churn and _is_away(customer.name, now_seconds):
            return 0.0
        return rate * 10 if phase.flood == customer.name else rate

    async def _run_customer(self, session: ClientSession, customer: Customer) -> None:
        """Send one customer's requests at exponential intervals."""
        source = random.Random(f"{self._seed}-{customer.name}")
        self._state.backlogs[customer.name] = Backlog()
        due_seconds = time.monotonic()
        while True:
            rate = self._rate(customer, time.monotonic())
            if rate <= 0:
                await asyncio.sleep(_IDLE_STEP_SECONDS)
                due_seconds = time.monotonic()
                continue
            due_seconds += source.expovariate(rate)
            await asyncio.sleep(max(0.0, due_seconds - time.monotonic()))
            task = asyncio.create_task(self._send_completion(session, customer, source))
            self._state.tasks.add(task)
            task.add_done_callback(self._state.tasks.discard)

    async def _send_completion(
        self, session: ClientSession, customer: Customer, source: random.Random
    ) -> None:
        """Send one request and record its answer."""
        number = self._state.next_number
        self._state.next_number += 1
        phase = self._phase.name
        instance_id = self._choose_instance(customer, source)
        if source.random() < _SERVICE_FRACTION:
            await self._call_service(session, customer, instance_id, number)
            return
        tokens = draw_tokens(source)
        hint_error = HINT_FACTOR ** source.uniform(-1, 1)
        work = Work(
            mark=f"q{number}",
            customer=customer.name,
            model=source.choice(self._shape.models),
            output_tokens=tokens,
            filler=customer.name.ljust(source.randint(*PROMPT_CHARACTERS), "."),
            hint_cost_units=tokens * hint_error,
        )
        backlog = self._state.backlogs[customer.name]
        sent_at_seconds = time.monotonic()
        backlog.waiting[number] = sent_at_seconds

        def record_start() -> None:
            backlog.waiting.pop(number, None)
            backlog.was_empty = backlog.was_empty or not backlog.waiting

        answer: Answer | None = None
        try:
            answer = await request_completion(
                session,
                self._urls[instance_id],
                customer.key,
                work,
                on_first_byte=record_start,
            )
        finally:
            record_start()
            self._state.sent.append(
                Sent(
                    work.mark,
                    customer.name,
                    instance_id,
                    phase,
                    sent_at_seconds,
                    tokens,
                    answer,
                )
            )
        if answer.complete:
            self.first_token.record_value(int(answer.first_token_seconds * 1e6) + 1)
            self.total.record_value(int(answer.total_seconds * 1e6) + 1)

    async def _call_service(
        self, session: ClientSession, customer: Customer, instance_id: str, number: int
    ) -> None:
        """Send a mailing, which must not run twice, and record its answer."""
        name = self._shape.service_names[0]
        url = f"{self._urls[instance_id]}/services/{name}/mailing"
        query = f"?mark=s{number}&customer={customer.name}"
        phase, sent_at_seconds = self._phase.name, time.monotonic()
        answer: Answer | None = None
        try:
            answer = await call_service(
                session, url + query, customer.key, f"s{number}", _SERVICE_DELAY_SECONDS
            )
        finally:
            self._state.sent.append(
                Sent(
                    f"s{number}",
                    customer.name,
                    instance_id,
                    phase,
                    sent_at_seconds,
                    0,
                    answer,
                )
            )

    def _choose_instance(self, customer: Customer, source: random.Random) -> str:
        """Return the instance for a request, chosen like the platform's balancer."""
        choice = source.choice(customer.entries)
        if choice not in self.down_instances:
            return choice
        return source.choice(
            [
                instance_id
                for instance_id in self._urls
                if instance_id not in self.down_instances
            ]
        )


async def call_service(
    session: ClientSession,
    url: str,
    key: str,
    mark: str,
    delay_seconds: float,
    method: str = "POST",
) -> Answer:
    """Call a plain service and check that the answer echoes the mark of this call."""
    started_at = time.monotonic()
    status, outcome, request_id, echo = 0, "unknown", "", {}
    try:
        async with session.request(
            method,
            url,
            json={"delay": delay_seconds},
            headers={"Authorization": f"Bearer {key}"},
            timeout=ClientTimeout(total=60.0),
        ) as response:
            status = response.status
            outcome = response.headers.get("Sesameford-Outcome", "")
            request_id = response.headers.get("Sesameford-Request-Id", "")
            echo = await response.json(content_type=None)
    except (ClientError, TimeoutError, OSError, ValueError) as error:
        echo = {"reason": repr(error)}
    elapsed = time.monotonic() - started_at
    echoed = echo.get("mark", mark) if status == 200 else mark
    return Answer(
        status=status,
        outcome=outcome,
        complete=status == 200 and echo.get("mark") == mark,
        crossed=echoed != mark,
        first_token_seconds=elapsed,
        total_seconds=elapsed,
        request_id=request_id,
        reason=str(echo.get("reason", "")),
    )


def _is_away(name: str, now_seconds: float) -> bool:
    """Return whether a customer pauses now in a phase with churn."""
    offset = sum(name.encode()) % 7
    return int(now_seconds / 3.0 + offset) % 3 == 0
