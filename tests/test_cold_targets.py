"""Requests to cold targets, without a network.

The failure: targets come back together and all routers find them idle at the same time,
while routers' reports on each other arrive late or not at all.
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
from sesameford.gateway.cold_targets import PERMIT_VALID_SECONDS
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow
from sesameford.settings import ColdBoundSettings
from sesameford.tables import TargetState

RATE = 17.0
BOUND = ColdBoundSettings(factor=1.5, spare_requests=5.0)
# The most requests that all routers together may send a cold target in any second.
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
    """Return the placement and the table of one router with some targets."""
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
    """Counts requests to one target, and the most of them in any second."""

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
def test_routers_together_keep_the_bound_of_a_cold_target(routers, data_centres, cut):
    """A target has just come back, and every router finds it idle.

    Permits are delayed by up to a second. During a partition each data centre
    continues alone, and in one of them two replicas grant permits.
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
            given = replica.grant({COLD: RATE}, asking, now)
            for router, names in given.items():
                late_seconds = random.choice([0.01, 0.05, 0.3, 1.0])
                coming.append((now + late_seconds, router, names, now))
        for one in [one for one in coming if one[0] <= now]:
            coming.remove(one)
            _, router, names, requested_at_seconds = one
            fleet[router].candidates.cold.record_permits(
                names, requested_at_seconds, now
            )
        for placement in fleet:
            if random.random() < 0.6 and choose(placement, now).target_id == "e1":
                sends.add(now)
    assert sends.most <= MOST_REQUESTS
    assert sends.total > 0


def test_without_a_permit_nothing_is_sent_to_a_cold_target():
    placement, _ = make_router(row("e0"), row("e1", 1, 3_000))
    assert {choose(placement, step / 10).target_id for step in range(29)} == {"e0"}
    assert {choose(placement, 3.1 + step / 10).target_id for step in range(20)} == {
        "e0",
        "e1",
    }


def test_a_target_that_reports_to_be_cold_again_is_cold_at_once():
    placement, table = make_router(row("e0"), row("e1"))
    table.handle_heartbeat(row("e1", 2, 2_000), 5.0)
    assert {choose(placement, 5.0 + step / 10).target_id for step in range(19)} == {
        "e0"
    }


def test_targets_of_a_restored_data_centre_count_as_cold():
    """Their heartbeats report that they are cold only after the restoration."""
    placement, _ = make_router(
        row("e0"), row("e1", place="b"), row("e2", place="b"), evacuated=("b",)
    )
    placement.configure(tree(), 4.0)
    assert {choose(placement, 4.0 + step / 10).target_id for step in range(29)} == {
        "e0"
    }
    assert choose(placement, 7.1).target_id != "e0"


def test_a_permit_is_valid_for_one_request_and_a_short_time():
    placement, _ = make_router(row("e1", 1, 9_000))
    placement.candidates.cold.record_permits([COLD], 1.0, 1.1)
    reservation = choose(placement, 1.2)
    assert (reservation.target_id, reservation.is_cold) == ("e1", True)
    assert choose(placement, 1.2) is None
    assert (
        placement.candidates.no_target_reason("pool", frozenset(), 1.2)
        is NoTargetReason.COLD
    )
    placement.candidates.cold.record_permits([COLD], 1.0, 1.0 + PERMIT_VALID_SECONDS)
    assert choose(placement, 1.0 + PERMIT_VALID_SECONDS) is None


def test_a_restarted_replica_grants_nothing_during_the_first_window():
    """It does not know which permits it granted before."""
    permits = make_cold_permits(BOUND, 3)
    assert not permits.grant({COLD: RATE}, ["r1"], 100.0)
    assert not permits.grant({COLD: RATE}, ["r1"], 100.0 + WINDOW_SECONDS / 2)
    assert permits.grant({COLD: RATE}, ["r1"], 100.1 + WINDOW_SECONDS)


def test_a_cold_engine_does_not_change_the_learned_reading_rate():
    placement, _ = make_router(row("e0"), row("e1", 1, 9_000))
    placement.candidates.cold.record_permits([COLD], 0.9, 1.0)
    for _ in range(9):
        reservation = choose(placement, 1.0)
        if reservation.is_cold:
            break
    before = placement._record("e0").backlog.rate_tokens
    placement.record_first_event(reservation, 4.0)
    assert reservation.is_cold
    assert placement._record("e0").backlog.rate_tokens == before
