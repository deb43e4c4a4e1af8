"""What targets get that have just started and take little yet.

The pattern: targets come back together, all routers find them idle at the same moment,
and each knows of the others only what it hears late or not at all.
"""

from collections import deque
from random import Random

import pytest

from sesameford.discovery.heartbeat_table import make_heartbeat_table, short_name
from sesameford.effective import DataCentreSettings, EffectiveTree, ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.candidates import NoTargetReason
from sesameford.gateway.cold_permits import (
    SPARE_PARTS,
    WINDOW_SECONDS,
    make_cold_permits,
)
from sesameford.gateway.cold_targets import PERMIT_SECONDS
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow
from sesameford.settings import ColdBoundSettings
from sesameford.tables import TargetState

RATE = 17.0
BOUND = ColdBoundSettings(factor=1.5, spare_requests=5.0)
# What all routers together may send a cold target in any second.
MOST_REQUESTS = 30
ENGINE = ServiceSettings(
    "pool", batch_slots=32, cold_start_seconds=3.0, cold_requests_per_second=RATE
)
COLD = short_name("e1")


def row(name, sequence=1, cold_milliseconds=0, place="a"):
    ready = TargetState.READY
    return HeartbeatRow(
        name, sequence, "pool", f"{name}:1", place, 32, ready, cold_milliseconds
    )


def make_router(*rows, seed=1, evacuated=()):
    """Return the placement of one router over targets, and its table."""
    table = make_heartbeat_table()
    for one in rows:
        table.handle_heartbeat(one, 0.0)
    placement = make_placement(table, "a", 1000.0, Random(seed))
    placement.configure(tree(evacuated), 0.0)
    return placement, table


def tree(evacuated=()):
    rows = {name: DataCentreSettings(name, True) for name in evacuated}
    return EffectiveTree(1, services={"pool": ENGINE}, data_centres=rows)


def choose(placement, now):
    prompt = Prompt("m", 2_000, 50)
    return placement.choose("pool", prompt, ENGINE, 0.3, frozenset(), now)


class Sends:
    """Requests sent to one target, and the most of them in any second so far."""

    def __init__(self):
        self.times = deque()
        self.most = self.total = 0

    def add(self, now_seconds):
        self.times.append(now_seconds)
        while now_seconds - self.times[0] >= 1.0:
            self.times.popleft()
        self.total += 1
        self.most = max(self.most, len(self.times))


@pytest.mark.parametrize("routers", [7, 73, 195])
@pytest.mark.parametrize("data_centres", [1, 3, 5])
@pytest.mark.parametrize("cut", [False, True])
def test_routers_together_don_t_overload_a_cold_target(routers, data_centres, cut):
    """A target has just come back, and every router finds it idle.

    Permits are held up on their way by anything up to a second; while data centres are
    cut off from each other each goes on by itself, and in one of them two replicas
    give out permits.
    """
    random = Random(routers)
    replicas = [
        make_cold_permits(BOUND, data_centres)
        for _ in range(data_centres + (SPARE_PARTS if cut else 0))
    ]
    fleet = [make_router(row("e0"), row("e1", 1, 60_000))[0] for _ in range(routers)]
    sends, coming, step = Sends(), [], 0.05
    for tick in range(int(6 / step)):
        now = tick * step
        for number, replica in enumerate(replicas):
            asking = [
                router
                for router in range(routers)
                if router % len(replicas) == number and random.random() < 0.4
            ]
            given = replica.give({COLD: RATE}, asking, now)
            for router, names in given.items():
                late_seconds = random.choice([0.01, 0.05, 0.3, 1.0])
                coming.append((now + late_seconds, router, names, now))
        for one in [one for one in coming if one[0] <= now]:
            coming.remove(one)
            _, router, names, asked_at_seconds = one
            fleet[router].candidates.cold.take(names, asked_at_seconds, now)
        for placement in fleet:
            if random.random() < 0.6 and choose(placement, now).target_id == "e1":
                sends.add(now)
    assert sends.most <= MOST_REQUESTS
    assert sends.total > 0


def test_without_a_replica_nothing_is_sent_to_a_cold_target():
    placement, _ = make_router(row("e0"), row("e1", 1, 3_000))
    assert {choose(placement, step / 10).target_id for step in range(29)} == {"e0"}
    assert {choose(placement, 3.1 + step / 10).target_id for step in range(20)} == {
        "e0",
        "e1",
    }


def test_a_target_that_grows_cold_again_is_cold_at_once():
    placement, table = make_router(row("e0"), row("e1"))
    table.handle_heartbeat(row("e1", 2, 2_000), 5.0)
    assert {choose(placement, 5.0 + step / 10).target_id for step in range(19)} == {
        "e0"
    }


def test_targets_that_are_restored_count_as_cold():
    """They grew cold before their data centre was restored, and beat only later."""
    placement, _ = make_router(
        row("e0"), row("e1", place="b"), row("e2", place="b"), evacuated=("b",)
    )
    placement.configure(tree(), 4.0)
    assert {choose(placement, 4.0 + step / 10).target_id for step in range(29)} == {
        "e0"
    }
    assert choose(placement, 7.1).target_id != "e0"


def test_a_permit_is_for_one_request_and_for_a_short_while():
    placement, _ = make_router(row("e1", 1, 9_000))
    placement.candidates.cold.take([COLD], 1.0, 1.1)
    lease = choose(placement, 1.2)
    assert (lease.target_id, lease.is_cold) == ("e1", True)
    assert choose(placement, 1.2) is None
    assert (
        placement.candidates.no_target_reason("pool", frozenset(), 1.2)
        is NoTargetReason.COLD
    )
    placement.candidates.cold.take([COLD], 1.0, 1.0 + PERMIT_SECONDS)
    assert choose(placement, 1.0 + PERMIT_SECONDS) is None


def test_a_replica_that_has_started_again_gives_nothing_out_at_first():
    """It does not know what it gave out before."""
    permits = make_cold_permits(BOUND, 3)
    assert not permits.give({COLD: RATE}, ["r1"], 100.0)
    assert not permits.give({COLD: RATE}, ["r1"], 100.0 + WINDOW_SECONDS / 2)
    assert permits.give({COLD: RATE}, ["r1"], 100.1 + WINDOW_SECONDS)


def test_what_a_cold_engine_shows_says_nothing_of_its_kind():
    placement, _ = make_router(row("e0"), row("e1", 1, 9_000))
    placement.candidates.cold.take([COLD], 0.9, 1.0)
    for _ in range(9):
        lease = choose(placement, 1.0)
        if lease.is_cold:
            break
    before = placement._record("e0").backlog.rate_tokens
    placement.record_first_event(lease, 4.0)
    assert lease.is_cold
    assert placement._record("e0").backlog.rate_tokens == before
