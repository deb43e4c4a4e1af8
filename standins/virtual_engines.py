"""Simulates model engines and the routers before them in virtual time.

An engine admits requests in order of arrival while it has free slots and reads their
prompts one after another. It caches the prompt parts that it read in limited memory,
with least-recently-used eviction, and frees the slot when the answer ends. Routers run
the product's placement and receive each other's loads with a delay, as on real links.
An engine rejects requests during a spell of rejection or while its queue is full, and
then requests backoff of the router.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import cast

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.effective import ServiceSettings
from sesameford.gateway.call_context import GatewayDeps
from sesameford.gateway.calls import AnswerHead, Prompt
from sesameford.gateway.fleet_sums import FleetSums, LiveInstances, make_fleet_sums
from sesameford.gateway.forward import SendAttemptError, SendOutcome
from sesameford.gateway.no_target import no_target_retry_seconds
from sesameford.gateway.placement import Placement, make_placement
from sesameford.gateway.send_failures import not_run_retry_seconds
from sesameford.gateway.target_record import Reservation
from sesameford.load_messages import FleetLoad, RouterLoad
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

SERVICE = "pool"
# The network delay of a rejected request and its answer.
REJECTION_SECONDS = 0.003
# How often a caller returns after a refusal.
CALLER_RETRIES = 1
NO_LIVE_INSTANCES = LiveInstances(lambda *_: (), lambda *_: (), lambda *_: 0)


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """Capacity and speed of one engine.

    ``first_event_seconds`` is the time from the end of reading a prompt to the first
    event at the router; ``event_tokens_per_second`` is the output rate of one answer.
    With ``max_waiting`` requests in its queue an engine rejects further ones and
    requests backoff for ``full_retry_after_seconds``.
    """

    slots: int = 32
    read_tokens_per_second: float = 75_000.0
    event_tokens_per_second: float = 270.0
    cache_tokens: int = 660_000
    copy_tokens_per_second: float | None = 400_000.0
    first_event_seconds: float = 0.012
    max_waiting: int | None = None
    full_retry_after_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reaches a router at a time."""

    at_seconds: float
    router: int
    prompt: Prompt
    output_tokens: int
    objective_seconds: float


@dataclass(slots=True)
class Outcome:
    """Delay of a request's first event, and the tokens that were read for it.

    ``reread_tokens`` is the part of the shared tokens that an engine had read before.
    """

    arrival: Arrival
    target_id: str
    first_event_seconds: float = 0.0
    read_tokens: int = 0
    reread_tokens: int = 0
    is_failed: bool = False
    is_refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Return whether the first event came within the objective."""
        is_late = self.first_event_seconds > self.arrival.objective_seconds
        return not is_late and not self.is_failed and not self.is_refused


@dataclass(frozen=True, slots=True)
class RejectionSpell:
    """A time in which an engine rejects all requests, and the backoff it requests."""

    from_seconds: float
    to_seconds: float
    retry_after_seconds: float


@dataclass(slots=True)
class _RouterDeps:
    """The parts of a router that determine the Retry-After of a refusal."""

    placement: Placement
    random: Random
    now: Callable[[], float]


@dataclass(slots=True)
class _Engine:
    figures: EngineFigures
    running: int = 0
    waiting: deque[tuple[Outcome, Reservation]] = field(default_factory=deque)
    busy_until_seconds: float = 0.0
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def missing_tokens(self, prompt: Prompt) -> tuple[int, int]:
        """Return a prompt's shared tokens that are not cached, and its own tokens."""
        shared = 0
        is_cached = True
        for part in prompt.shared_parts:
            is_cached = is_cached and part.part_id in self.cache
            shared += 0 if is_cached else part.tokens
        shared_total = sum(part.tokens for part in prompt.shared_parts)
        return shared, max(prompt.prompt_tokens - shared_total, 0)

    def add_to_cache(self, prompt: Prompt) -> None:
        """Cache a prompt's parts and evict the least recently used ones."""
        for part in prompt.parts:
            self.cached_tokens -= self.cache.pop(part.part_id, 0)
            self.cache[part.part_id] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached_tokens > self.figures.cache_tokens:
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens


@dataclass(slots=True)
class VirtualEngines:
    """Simulates engines, routers and the replica that sums the routers' loads.

    ``failing`` has, by engine, the fraction of requests that fail at once.
    ``rejections`` are the times and engines of rejected requests, by router. With
    ``ignores_backoff`` routers don't read what engines request, without
    ``shares_speeds`` each one knows only the speeds that it has seen itself.
    A router whose ``lag`` says so writes requests and reads answers later.
    """

    routers: list[Placement]
    engines: dict[str, _Engine]
    settings: ServiceSettings
    report_interval_seconds: float
    delay_seconds: float
    now_seconds: float = 0.0
    failing: dict[str, float] = field(default_factory=dict)
    spells: dict[str, RejectionSpell] = field(default_factory=dict)
    rejections: list[tuple[float, str, int]] = field(default_factory=list)
    ignores_backoff: bool = False
    shares_speeds: bool = True
    random: Random = field(default_factory=lambda: Random(1))
    outcomes: list[Outcome] = field(default_factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=count)
    _sums: FleetSums = field(default_factory=lambda: make_fleet_sums(NO_LIVE_INSTANCES))
    _read_anywhere: set[int] = field(default_factory=set)

    def play(self, arrivals: Sequence[Arrival]) -> list[Outcome]:
        """Simulate all arrivals until their answers end, and return their outcomes."""
        last_seconds = max(arrival.at_seconds for arrival in arrivals)
        for arrival in arrivals:
            self._schedule(arrival.at_seconds, partial(self._handle_arrival, arrival))
        next_report_at_seconds = self.report_interval_seconds
        while next_report_at_seconds < last_seconds + 1.0:
            self._schedule(next_report_at_seconds, self._report_loads)
            next_report_at_seconds += self.report_interval_seconds
        while self._events:
            self.now_seconds, _, run_event = heappop(self._events)
            run_event()
        return self.outcomes

    def set_lateness(self, router: int, late_seconds: float) -> None:
        """Make the loop of a router late from now on.

        Args:
            router: Its number.
            late_seconds: By how much it writes requests and reads answers later.
        """
        self.routers[router].lag.late_seconds = late_seconds

    def watch(
        self,
        from_seconds: float,
        to_seconds: float,
        every_seconds: float,
        sample: Callable[[], None],
    ) -> None:
        """Call a function at regular times of the simulation that follows."""
        at_seconds = from_seconds
        while at_seconds < to_seconds:
            self._schedule(at_seconds, sample)
            at_seconds += every_seconds

    def _schedule(self, at_seconds: float, run_event: Callable[[], None]) -> None:
        heappush(self._events, (at_seconds, next(self._order), run_event))

    def _report_loads(self) -> None:
        for number, router in enumerate(self.routers):
            load = RouterLoad(
                router.reports.loads(self.now_seconds),
                used=router.reports.flush_used_parts(),
                outcomes=router.reports.flush_outcomes(),
                times=router.reports.flush_times(),
            )
            self._sums.handle_report(f"r{number}", load, self.now_seconds)
        for answer in self._sums.tick(None, 0.0, self.now_seconds):
            assert isinstance(answer.message, FleetLoad)
            router = self.routers[int((answer.receiver_id or "")[1:])]
            apply_load = partial(self._apply_fleet_load, router, answer.message)
            self._schedule(self.now_seconds + self.delay_seconds, apply_load)

    def _apply_fleet_load(self, router: Placement, fleet: FleetLoad) -> None:
        router.set_other_routers_load(fleet.target_loads)
        router.reports.record_used_parts(fleet.used, {SERVICE: self.settings})
        router.reports.set_failing_targets(fleet.failing)
        if fleet.speeds is not None and self.shares_speeds:
            router.reports.set_speeds(fleet.speeds)

    def _handle_arrival(self, arrival: Arrival) -> None:
        outcome = Outcome(arrival, "")
        self.outcomes.append(outcome)
        self._send(outcome, CALLER_RETRIES)

    def _send(self, outcome: Outcome, retries: int) -> None:
        """Send a request to an engine; its caller may return ``retries`` times."""
        arrival = outcome.arrival
        reservation = self.routers[arrival.router].choose(
            SERVICE,
            arrival.prompt,
            self.settings,
            arrival.objective_seconds,
            frozenset(),
            self.now_seconds,
        )
        if reservation is None:
            self._refuse(outcome, retries)
            return
        outcome.target_id = reservation.target_id
        if self.random.random() < self.failing.get(reservation.target_id, 0.0):
            outcome.is_failed = True
            self.routers[arrival.router].record_bad_answer(reservation.target_id)
            self.routers[arrival.router].release(reservation, self.now_seconds)
            return
        engine = self.engines[reservation.target_id]
        retry_after_seconds = self._rejection_seconds(reservation.target_id, engine)
        if retry_after_seconds is not None:
            head = AnswerHead(
                503, (), None, True, True, retry_after_seconds=retry_after_seconds
            )
            reject = partial(self._reject, outcome, reservation, head, retries)
            self._schedule(self.now_seconds + REJECTION_SECONDS, reject)
            return
        self._schedule(
            self.now_seconds + self._late_seconds_of(outcome),
            partial(self._add_waiting, engine, outcome, reservation),
        )

    def _late_seconds_of(self, outcome: Outcome) -> float:
        """Return by how much the loop of a request's router is late."""
        router = self.routers[outcome.arrival.router]
        return router.lag.lateness_seconds(self.now_seconds)

    def _add_waiting(
        self, engine: _Engine, outcome: Outcome, reservation: Reservation
    ) -> None:
        engine.waiting.append((outcome, reservation))
        self._start_requests(engine)

    def _rejection_seconds(self, target_id: str, engine: _Engine) -> float | None:
        """Return the backoff that an engine requests, None if it takes the request."""
        spell = self.spells.get(target_id)
        if spell and spell.from_seconds <= self.now_seconds < spell.to_seconds:
            return spell.retry_after_seconds
        max_waiting = engine.figures.max_waiting
        if max_waiting is not None and len(engine.waiting) >= max_waiting:
            return engine.figures.full_retry_after_seconds
        return None

    def _reject(
        self, outcome: Outcome, reservation: Reservation, head: AnswerHead, retries: int
    ) -> None:
        number = outcome.arrival.router
        router = self.routers[number]
        self.rejections.append((self.now_seconds, reservation.target_id, number))
        if not self.ignores_backoff:
            router.record_answer_head(reservation, head, "", self.now_seconds)
        router.release(reservation, self.now_seconds)
        error = SendAttemptError(SendOutcome.NOT_RUN, "status 503", head)
        retry_seconds = not_run_retry_seconds(self._deps(number), SERVICE, None, error)
        self._return_later(outcome, retries, retry_seconds)

    def _refuse(self, outcome: Outcome, retries: int) -> None:
        number = outcome.arrival.router
        reason = self.routers[number].candidates.no_target_reason(
            SERVICE, frozenset(), self.now_seconds
        )
        retry_seconds = no_target_retry_seconds(
            self._deps(number), reason, SERVICE, None
        )
        self._return_later(outcome, retries, retry_seconds)

    def _return_later(
        self, outcome: Outcome, retries: int, retry_seconds: float
    ) -> None:
        """Let a refused caller return after the Retry-After, or give up."""
        outcome.is_refused = not retries
        if retries:
            send = partial(self._send, outcome, retries - 1)
            self._schedule(self.now_seconds + retry_seconds, send)

    def _deps(self, number: int) -> GatewayDeps:
        deps = _RouterDeps(self.routers[number], self.random, lambda: self.now_seconds)
        return cast(GatewayDeps, deps)

    def _start_requests(self, engine: _Engine) -> None:
        """Admit waiting requests while slots are free."""
        while engine.waiting and engine.running < engine.figures.slots:
            outcome, reservation = engine.waiting.popleft()
            engine.running += 1
            self._read_prompt(engine, outcome, reservation)

    def _read_prompt(
        self, engine: _Engine, outcome: Outcome, reservation: Reservation
    ) -> None:
        figures = engine.figures
        prompt = outcome.arrival.prompt
        shared, own = engine.missing_tokens(prompt)
        copied = 0
        source = next(
            (name for name in self.engines if f"{name}:1" == reservation.copy_from),
            None,
        )
        if source is not None and figures.copy_tokens_per_second:
            copied = max(shared - self.engines[source].missing_tokens(prompt)[0], 0)
        read = shared - copied + own
        outcome.read_tokens = read
        if self._record_read(prompt):
            outcome.reread_tokens = shared - copied
        engine.add_to_cache(prompt)
        start_seconds = max(engine.busy_until_seconds, self.now_seconds)
        engine.busy_until_seconds = (
            start_seconds + read / figures.read_tokens_per_second
        )
        if copied and figures.copy_tokens_per_second:
            engine.busy_until_seconds += copied / figures.copy_tokens_per_second
        first_seconds = engine.busy_until_seconds + figures.first_event_seconds
        answer_seconds = _answer_seconds(outcome.arrival, figures)
        self._schedule(first_seconds + answer_seconds, partial(self._free_slot, engine))
        late_seconds = self._late_seconds_of(outcome)
        self._schedule(
            first_seconds + late_seconds,
            lambda: self._handle_first_event(outcome, reservation),
        )
        self._schedule(
            first_seconds + answer_seconds + late_seconds,
            lambda: self._handle_end(outcome, reservation),
        )

    def _record_read(self, prompt: Prompt) -> bool:
        """Record a read of the last shared part; return whether it was read before."""
        if not prompt.shared_parts:
            return False
        part_id = prompt.shared_parts[-1].part_id
        was_read = part_id in self._read_anywhere
        self._read_anywhere.add(part_id)
        return was_read

    def _handle_first_event(self, outcome: Outcome, reservation: Reservation) -> None:
        arrival = outcome.arrival
        router = self.routers[arrival.router]
        outcome.first_event_seconds = self.now_seconds - arrival.at_seconds
        router.record_answer_data(reservation, self.now_seconds)
        router.record_first_event(reservation, self.now_seconds)

    def _handle_end(self, outcome: Outcome, reservation: Reservation) -> None:
        router = self.routers[outcome.arrival.router]
        router.record_success(reservation.target_id)
        router.release(reservation, self.now_seconds)

    def _free_slot(self, engine: _Engine) -> None:
        engine.running -= 1
        self._start_requests(engine)


def _answer_seconds(arrival: Arrival, figures: EngineFigures) -> float:
    """Return how long an engine generates the answer to a request."""
    return arrival.output_tokens / figures.event_tokens_per_second


def _scaled(figures: EngineFigures, speed: float) -> EngineFigures:
    """Return the figures of an engine of another speed."""
    return replace(
        figures,
        read_tokens_per_second=speed * figures.read_tokens_per_second,
        event_tokens_per_second=speed * figures.event_tokens_per_second,
    )


def make_virtual_engines(
    routers: int,
    engines: int,
    figures: EngineFigures,
    report_interval_seconds: float,
    delay_seconds: float = 0.01,
    seed: int = 1,
    speeds: Sequence[float] = (),
) -> VirtualEngines:
    """Return a simulation with idle engines.

    Args:
        routers: Number of routers.
        engines: Number of engines.
        figures: Capacity and speed of each engine.
        report_interval_seconds: Interval between load reports.
        delay_seconds: Transmission delay of a report.
        seed: Seed of placement's random choices.
        speeds: The speed of each engine, as a multiple of ``figures``; none if they are
            alike.
    """
    table = make_heartbeat_table()
    for number in range(engines):
        name = f"e{number}"
        row = HeartbeatRow(
            name,
            1,
            SERVICE,
            f"{name}:1",
            "a",
            figures.slots,
            TargetState.READY,
            software_version="v1",
        )
        table.handle_heartbeat(row, 0.0)
    return VirtualEngines(
        [make_placement(table, "a", 1e6, Random(seed + n)) for n in range(routers)],
        {
            f"e{number}": _Engine(_scaled(figures, speeds[number] if speeds else 1.0))
            for number in range(engines)
        },
        ServiceSettings(
            SERVICE,
            batch_slots=figures.slots,
            cache_tokens=figures.cache_tokens,
            cache_copy_tokens_per_second=figures.copy_tokens_per_second,
        ),
        report_interval_seconds,
        delay_seconds,
    )
