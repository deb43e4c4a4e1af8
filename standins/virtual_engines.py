"""Model engines and the routers before them in virtual time, without a network.

An engine admits requests in order of arrival while it has places, reads their prompts
one after another, remembers the parts that it read in limited memory, least recently
used first to go, and gives a place back when the answer has ended. Routers run the
product's own placement and hear of each other's loads late, as on the real links.
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
NOBODY_ELSE = LiveInstances(lambda *_: (), lambda *_: (), lambda *_: 0)


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What one engine can do; rates in tokens a second, times in seconds.

    ``first_event_seconds`` is from a prompt's end to its first event at the router;
    ``event_tokens_per_second`` how fast one answer grows.
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
    """When a request's first event came, and what was read for it."""

    arrival: Arrival
    target_id: str
    first_event_seconds: float = 0.0
    read_tokens: int = 0
    again_tokens: int = 0
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
        """Return the tokens of a prompt that are not remembered: shared, and own."""
        shared = 0
        is_kept = True
        for part in prompt.shared_parts:
            is_kept = is_kept and part.part_id in self.cache
            shared += 0 if is_kept else part.tokens
        known = sum(part.tokens for part in prompt.shared_parts)
        return shared, max(prompt.prompt_tokens - known, 0)

    def remember(self, prompt: Prompt) -> None:
        """Keep a prompt's parts; what was used least recently goes."""
        for part in prompt.parts:
            self.cached_tokens -= self.cache.pop(part.part_id, 0)
            self.cache[part.part_id] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached_tokens > self.figures.cache_tokens:
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens


@dataclass(slots=True)
class VirtualEngines:
    """Engines, routers and the replica that adds their loads up.

    ``failing`` engines fail at once this part of what they are sent.
    """

    routers: list[Placement]
    engines: dict[str, _Engine]
    settings: ServiceSettings
    tell_seconds: float
    delay_seconds: float
    now_seconds: float = 0.0
    failing: dict[str, float] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(1))
    outcomes: list[Outcome] = field(default_factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=count)
    _sums: FleetSums = field(default_factory=lambda: make_fleet_sums(NOBODY_ELSE))
    _read_anywhere: set[int] = field(default_factory=set)

    def play(self, arrivals: Sequence[Arrival]) -> list[Outcome]:
        """Play all arrivals to the end of their answers; return what became of them."""
        last_seconds = max(arrival.at_seconds for arrival in arrivals)
        for arrival in arrivals:
            self._at(arrival.at_seconds, partial(self._arrive, arrival))
        report_at_seconds = self.tell_seconds
        while report_at_seconds < last_seconds + 1.0:
            self._at(report_at_seconds, self._tell)
            report_at_seconds += self.tell_seconds
        while self._events:
            self.now_seconds, _, act = heappop(self._events)
            act()
        return self.outcomes

    def _at(self, at_seconds: float, act: Callable[[], None]) -> None:
        heappush(self._events, (at_seconds, next(self._order), act))

    def _tell(self) -> None:
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
            hear = partial(self._hear, router, answer.message)
            self._at(self.now_seconds + self.delay_seconds, hear)

    def _hear(self, router: Placement, fleet: FleetLoad) -> None:
        router.set_other_routers_load(fleet.target_loads)
        router.record_used_parts(fleet.used, {SERVICE: self.settings})
        router.set_failing_targets(fleet.failing)

    def _arrive(self, arrival: Arrival) -> None:
        lease = self.routers[arrival.router].choose(
            SERVICE,
            arrival.prompt,
            self.settings,
            arrival.objective_seconds,
            frozenset(),
            self.now_seconds,
        )
        assert lease is not None
        outcome = Outcome(arrival, lease.target_id)
        self.outcomes.append(outcome)
        if self.random.random() < self.failing.get(lease.target_id, 0.0):
            outcome.is_failed = True
            self.routers[arrival.router].record_bad_answer(lease.target_id)
            self.routers[arrival.router].release(lease, self.now_seconds)
            return
        engine = self.engines[lease.target_id]
        engine.waiting.append((outcome, lease))
        self._begin(engine)

    def _begin(self, engine: _Engine) -> None:
        """Admit what waits while there are places."""
        while engine.waiting and engine.running < engine.figures.slots:
            outcome, lease = engine.waiting.popleft()
            engine.running += 1
            self._read(engine, outcome, lease)

    def _read(self, engine: _Engine, outcome: Outcome, lease: Reservation) -> None:
        figures = engine.figures
        prompt = outcome.arrival.prompt
        shared, own = engine.missing_tokens(prompt)
        copied = 0
        source = next(
            (one for one in self.engines if f"{one}:1" == lease.copy_from), None
        )
        if source is not None and figures.copy_tokens_per_second:
            copied = max(shared - self.engines[source].missing_tokens(prompt)[0], 0)
        read = shared - copied + own
        outcome.read_tokens = read
        if self._note_read(prompt):
            outcome.again_tokens = shared - copied
        engine.remember(prompt)
        start_seconds = max(engine.busy_until_seconds, self.now_seconds)
        engine.busy_until_seconds = (
            start_seconds + read / figures.read_tokens_per_second
        )
        if copied and figures.copy_tokens_per_second:
            engine.busy_until_seconds += copied / figures.copy_tokens_per_second
        first_seconds = engine.busy_until_seconds + figures.first_event_seconds
        self._at(first_seconds, lambda: self._first_event(engine, outcome, lease))

    def _note_read(self, prompt: Prompt) -> bool:
        """Note that the last shared part is read; return whether it was before."""
        if not prompt.shared_parts:
            return False
        part_id = prompt.shared_parts[-1].part_id
        was_read = part_id in self._read_anywhere
        self._read_anywhere.add(part_id)
        return was_read

    def _first_event(
        self, engine: _Engine, outcome: Outcome, lease: Reservation
    ) -> None:
        arrival = outcome.arrival
        router = self.routers[arrival.router]
        outcome.first_event_seconds = self.now_seconds - arrival.at_seconds
        router.record_answer_data(lease, self.now_seconds)
        router.record_first_event(lease, self.now_seconds)
        lasts_seconds = arrival.output_tokens / engine.figures.event_tokens_per_second
        self._at(
            self.now_seconds + lasts_seconds, lambda: self._end(engine, router, lease)
        )

    def _end(self, engine: _Engine, router: Placement, lease: Reservation) -> None:
        router.record_success(lease.target_id)
        router.release(lease, self.now_seconds)
        engine.running -= 1
        self._begin(engine)


def make_virtual_engines(
    routers: int,
    engines: int,
    figures: EngineFigures,
    tell_seconds: float,
    delay_seconds: float = 0.01,
    seed: int = 1,
) -> VirtualEngines:
    """Return routers before idle engines.

    Args:
        routers: How many routers.
        engines: How many engines.
        figures: What each engine can do.
        tell_seconds: How often loads are reported.
        delay_seconds: How long a report is on its way.
        seed: For what placement draws by lot.
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
        tell_seconds,
        delay_seconds,
    )
