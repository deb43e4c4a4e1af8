"""What a few routers measure while their loops are late, and what others make of it.

A late loop reads first events late, so its router takes answered prompts for unread and
engines for slow.
"""

from random import Random
from statistics import mean

import pytest

from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.fleet_sums import LiveInstances, make_fleet_sums
from sesameford.load_messages import CustomerRates, PartialLoad, RouterLoad
from sesameford.messages import Outgoing
from standins.virtual_engines import (
    SERVICE,
    Arrival,
    EngineFigures,
    VirtualEngines,
    make_virtual_engines,
)

ROUTERS = 27
ENGINES = 24
SLOTS = 16
FIGURES = EngineFigures(
    slots=SLOTS,
    read_tokens_per_second=61_800.0,
    event_tokens_per_second=500.0,
    cache_tokens=391_925,
    copy_tokens_per_second=None,
)
REPORT_SECONDS = 0.16
# Shared, own and answered tokens of three kinds of requests, drawn alike.
KINDS = ((5_382, 6_610, 380), (198, 628, 290), (568, 1_800, 20))
SUBJECTS = 60
LATE_CALLS_PER_SECOND = 120.0
OTHER_CALLS_PER_SECOND = 180.0
SETTLED_SECONDS = 3.0
END_SECONDS = 6.0
# A wait that is wrong by this much changes the capacity by a tenth.
MAX_WAIT_ERROR_SECONDS = 0.05


class WaitWatch:
    """The waits that routers expect at engines, and those there, over time."""

    def __init__(self, engines: VirtualEngines, late_routers: int) -> None:
        self.expected_seconds: list[float] = []
        self.true_seconds: list[float] = []
        self._engines = engines
        self._late_routers = late_routers

    def sample(self) -> None:
        """Add the mean wait that the punctual routers expect, and the true one."""
        now_seconds = self._engines.now_seconds
        self.expected_seconds += [
            router.mean_wait_seconds(SERVICE, SLOTS, now_seconds)
            for router in self._engines.routers[self._late_routers :]
        ]
        self.true_seconds += [
            max(engine.busy_until_seconds - now_seconds, 0.0)
            for engine in self._engines.engines.values()
        ]


def list_arrivals(random, routers, calls_per_second):
    """Return calls of all kinds at some routers, at random times."""
    at_seconds = 0.0
    while at_seconds < END_SECONDS:
        at_seconds += random.expovariate(calls_per_second)
        shared, own, answered = random.choice(KINDS)
        parts = (
            PromptPart(SUBJECTS * shared + random.randrange(SUBJECTS), shared),
            PromptPart(random.getrandbits(48), own),
        )
        prompt = Prompt("m", shared + own, answered, parts)
        yield Arrival(at_seconds, random.choice(routers), prompt, answered, 0.5)


@pytest.mark.parametrize(
    ("late_routers", "late_seconds"), [(1, 0.3), (1, 1.0), (3, 0.3), (9, 0.3)]
)
def test_engines_don_t_look_busy_to_all_routers_because_some_are_late(
    late_routers, late_seconds
):
    """Guards against refusals at all routers while engines idle, by a few late ones."""
    engines = make_virtual_engines(ROUTERS, ENGINES, FIGURES, REPORT_SECONDS)
    watch = WaitWatch(engines, late_routers)
    numbers = range(ROUTERS)
    for number in numbers[:late_routers]:
        engines.set_lateness(number, late_seconds)
    random = Random(3)
    arrivals = [
        *list_arrivals(random, numbers[:late_routers], LATE_CALLS_PER_SECOND),
        *list_arrivals(random, numbers[late_routers:], OTHER_CALLS_PER_SECOND),
    ]
    engines.watch(SETTLED_SECONDS, END_SECONDS, REPORT_SECONDS, watch.sample)
    engines.play(arrivals)
    error_seconds = mean(watch.expected_seconds) - mean(watch.true_seconds)
    assert error_seconds < MAX_WAIT_ERROR_SECONDS


FLEET_ROUTERS = 81
CUSTOMERS = tuple(f"c{number}" for number in range(30))
DECLARED_TOKENS = 2_000_000.0
BASE_WAIT_SECONDS = 0.175
STARTED_TOKENS = 45_000
PUNCTUAL_LOAD = RouterLoad(
    (),
    tuple(CustomerRates(one, 4_000, 1_500) for one in CUSTOMERS),
    wait_seconds=0.06,
    handled_tokens=STARTED_TOKENS,
    in_time_answers=11.0,
    late_answers=0.4,
)


def make_late_load(late_seconds):
    """Return the report of a late router that one customer floods."""
    return RouterLoad(
        (),
        (CustomerRates("c0", 3_000_000, 60_000, 30_000),),
        wait_seconds=10.0 * late_seconds,
        handled_tokens=60_000,
        in_time_answers=0.0,
        late_answers=60.0,
    )


def settled_capacity(loads):
    """Return the capacity that follows from one report of each router, repeated."""
    live = LiveInstances(lambda *_: (), lambda *_: (), lambda *_: len(loads))
    sums = make_fleet_sums(live)
    for step in range(40):
        now_seconds = 0.2 * step
        for number, load in enumerate(loads):
            sums.handle_report(f"r{number}", load, now_seconds)
        sums.tick(DECLARED_TOKENS, BASE_WAIT_SECONDS, now_seconds)
    return sums.shares.capacity_tokens


@pytest.mark.parametrize("late_seconds", [0.3, 3.0])
@pytest.mark.parametrize("late_routers", [2, 8, 27])
def test_capacity_follows_the_routers_that_are_not_late(late_routers, late_seconds):
    """Guards against a capacity of the fleet that a few late routers lower for all."""
    punctual = [PUNCTUAL_LOAD] * (FLEET_ROUTERS - late_routers)
    late = [make_late_load(late_seconds)] * late_routers
    assert settled_capacity(punctual + late) > 0.9 * settled_capacity(punctual)


def test_capacity_follows_most_routers_over_all_replicas():
    """Guards against late routers that outweigh others by reporting to one replica."""
    live = LiveInstances(lambda *_: ("b",), lambda *_: (), lambda *_: FLEET_ROUTERS)
    late_sums = make_fleet_sums(live)
    sums = make_fleet_sums(live)
    for step in range(40):
        now_seconds = 0.2 * step
        for number in range(27):
            late_sums.handle_report(f"l{number}", make_late_load(0.3), now_seconds)
        late_sums.handle_partial("b", PartialLoad(), now_seconds)
        for number in range(54):
            sums.handle_report(f"r{number}", PUNCTUAL_LOAD, now_seconds)
        for outgoing in late_sums.tick(DECLARED_TOKENS, BASE_WAIT_SECONDS, now_seconds):
            if is_partial(outgoing):
                sums.handle_partial("l", outgoing.message, now_seconds)
        sums.tick(DECLARED_TOKENS, BASE_WAIT_SECONDS, now_seconds)
    assert sums.shares.routers == FLEET_ROUTERS
    punctual = settled_capacity([PUNCTUAL_LOAD] * 54)
    assert sums.shares.capacity_tokens > 0.9 * punctual


def is_partial(outgoing: Outgoing) -> bool:
    """Return whether a message has the sums of a replica for another one."""
    return isinstance(outgoing.message, PartialLoad)
