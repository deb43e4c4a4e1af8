"""Simulates model engines and the routers before them in virtual time.

An engine admits requests in order of arrival while it has free slots and reads their
prompts one after another. It caches the prompt parts that it read in limited memory,
with least-recently-used eviction, and frees the slot when the answer ends. Routers run
the product's placement and receive each other's loads with a delay, as on real links.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.fleet_sums import FleetSums, LiveInstances, make_fleet_sums
from sesameford.gateway.placement import Placement, make_placement
from sesameford.gateway.target_record import Reservation
from sesameford.load_messages import FleetLoad, RouterLoad
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

SERVICE = "pool"
NO_LIVE_INSTANCES = LiveInstances(lambda *_: (), lambda *_: (), lambda *_: 0)


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """Capacity and speed of one engine.

    ``first_event_seconds`` is the time from the end of reading a prompt to the first
    event at the router; ``event_tokens_per_second`` is the output rate of one answer.
    """

    slots: int = 32
    read_tokens_per_second: float = 75_000.0
    event_tokens_per_second: float = 270.0
    cache_tokens: int = 660_000
    copy_tokens_per_second: float | None = 400_000.0
    first_event_seconds: float = 0.012


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

    @property
    def is_in_time(self) -> bool:
        """Return whether the first event came within the objective."""
        is_late = self.first_event_seconds > self.arrival.objective_seconds
        return not is_late and not self.is_failed


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
    """

    routers: list[Placement]
    engines: dict[str, _Engine]
    settings: ServiceSettings
    report_interval_seconds: float
    delay_seconds: float
    now_seconds: float = 0.0
    failing: dict[str, float] = field(default_factory=dict)
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

    def _schedule(self, at_seconds: float, run_event: Callable[[], None]) -> None:
        heappush(self._events, (at_seconds, next(self._order), run_event))

    def _report_loads(self) -> None:
        for number, router in enumerate(self.routers):
            load = RouterLoad(
                router.loads(self.now_seconds),
                used=router.flush_used_parts(),
                outcomes=router.flush_outcomes(),
            )
            self._sums.handle_report(f"r{number}", load, self.now_seconds)
        for answer in self._sums.tick(None, 0.0, self.now_seconds):
            assert isinstance(answer.message, FleetLoad)
            router = self.routers[int((answer.receiver_id or "")[1:])]
            apply_load = partial(self._apply_fleet_load, router, answer.message)
            self._schedule(self.now_seconds + self.delay_seconds, apply_load)

    def _apply_fleet_load(self, router: Placement, fleet: FleetLoad) -> None:
        router.set_other_routers_load(fleet.target_loads)
        router.record_used_parts(fleet.used, {SERVICE: self.settings})
        router.set_failing_targets(fleet.failing)

    def _handle_arrival(self, arrival: Arrival) -> None:
        reservation = self.routers[arrival.router].choose(
            SERVICE,
            arrival.prompt,
            self.settings,
            arrival.objective_seconds,
            frozenset(),
            self.now_seconds,
        )
        assert reservation is not None
        outcome = Outcome(arrival, reservation.target_id)
        self.outcomes.append(outcome)
        if self.random.random() < self.failing.get(reservation.target_id, 0.0):
            outcome.is_failed = True
            self.routers[arrival.router].record_bad_answer(reservation.target_id)
            self.routers[arrival.router].release(reservation, self.now_seconds)
            return
        engine = self.engines[reservation.target_id]
        engine.waiting.append((outcome, reservation))
        self._start_requests(engine)

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
        self._schedule(
            first_seconds,
            lambda: self._handle_first_event(engine, outcome, reservation),
        )

    def _record_read(self, prompt: Prompt) -> bool:
        """Record a read of the last shared part; return whether it was read before."""
        if not prompt.shared_parts:
            return False
        part_id = prompt.shared_parts[-1].part_id
        was_read = part_id in self._read_anywhere
        self._read_anywhere.add(part_id)
        return was_read

    def _handle_first_event(
        self, engine: _Engine, outcome: Outcome, reservation: Reservation
    ) -> None:
        arrival = outcome.arrival
        router = self.routers[arrival.router]
        outcome.first_event_seconds = self.now_seconds - arrival.at_seconds
        router.record_answer_data(reservation, self.now_seconds)
        router.record_first_event(reservation, self.now_seconds)
        answer_seconds = arrival.output_tokens / engine.figures.event_tokens_per_second
        self._schedule(
            self.now_seconds + answer_seconds,
            lambda: self._finish_request(engine, router, reservation),
        )

    def _finish_request(
        self, engine: _Engine, router: Placement, reservation: Reservation
    ) -> None:
        router.record_success(reservation.target_id)
        router.release(reservation, self.now_seconds)
        engine.running -= 1
        self._start_requests(engine)


def make_virtual_engines(
    routers: int,
    engines: int,
    figures: EngineFigures,
    report_interval_seconds: float,
    delay_seconds: float = 0.01,
    seed: int = 1,
) -> VirtualEngines:
    """Return a simulation with idle engines.

    Args:
        routers: Number of routers.
        engines: Number of engines.
        figures: Capacity and speed of each engine.
        report_interval_seconds: Interval between load reports.
        delay_seconds: Transmission delay of a report.
        seed: Seed of placement's random choices.
    """
    table = make_heartbeat_table()
    for number in range(engines):
        name = f"e{number}"
        row = HeartbeatRow(
            name, 1, SERVICE, f"{name}:1", "a", figures.slots, TargetState.READY
        )
        table.handle_heartbeat(row, 0.0)
    return VirtualEngines(
        [make_placement(table, "a", 1e6, Random(seed + n)) for n in range(routers)],
        {f"e{number}": _Engine(figures) for number in range(engines)},
        ServiceSettings(
            SERVICE,
            batch_slots=figures.slots,
            cache_tokens=figures.cache_tokens,
            cache_copy_tokens_per_second=figures.copy_tokens_per_second,
        ),
        report_interval_seconds,
        delay_seconds,
    )
