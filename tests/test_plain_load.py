"""A plain service that receives more requests than it has capacity for.

The failure: some of its targets are lost, the queues of the others fill up, and from
then on every answer is late. Routers receive the load of the others with some delay.
"""

from heapq import heappop, heappush
from random import Random

import pytest

from sesameford.discovery.heartbeat_table import make_heartbeat_table, short_name
from sesameford.effective import BackendSettings, HttpRouteSettings, ServiceSettings
from sesameford.gateway.admit import _check_queue
from sesameford.gateway.call_context import Refusal
from sesameford.gateway.placement import make_placement
from sesameford.gateway.queue_limit import make_queue_limit
from sesameford.load_messages import TargetLoad
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

SLOTS = 6
QUEUE = 24
WORK_SECONDS = 0.072
OBJECTIVE_SECONDS = 0.3
REPORT_SECONDS = 0.05
ROUTE = HttpRouteSettings(
    "roster",
    backends=(BackendSettings("desk", 1.0),),
    objective_seconds=OBJECTIVE_SECONDS,
)


class Deps:
    """The parts of a router that ``_check_queue`` uses."""

    def __init__(self, placement, random, clock):
        self.placement = placement
        self.random = random
        self.now = lambda: clock[0]
        self.queue_limits = {}


def simulate(load, routers, rejects, seconds=12.0):
    """Return how many answers are in time and late at ``load`` times the capacity."""
    random, clock = Random(7), [0.0]
    targets = ["t0", "t1"]
    deps = []
    for number in range(routers):
        table = make_heartbeat_table()
        for name in targets:
            ready = TargetState.READY
            table.handle_heartbeat(
                HeartbeatRow(name, 1, "desk", f"{name}:1", "a", SLOTS, ready), 0.0
            )
        placement = make_placement(table, "a", 1000.0, Random(number))
        deps.append(Deps(placement, random, clock))
    waiting = {name: [] for name in targets}
    running = dict.fromkeys(targets, 0)
    events, order, counts = [], 0, {"in time": 0, "late": 0}
    rate = load * len(targets) * SLOTS / WORK_SECONDS
    arrivals, arrival_seconds = [], 0.0
    while arrival_seconds < seconds:
        arrival_seconds += random.expovariate(rate)
        arrivals.append(arrival_seconds)
    for arrival_seconds in arrivals:
        order += 1
        heappush(events, (arrival_seconds, order, "arrives", None))
    for step in range(int(seconds / REPORT_SECONDS)):
        order += 1
        heappush(events, (step * REPORT_SECONDS, order, "tell", None))

    def start_waiting(name):
        nonlocal order
        while waiting[name] and running[name] < SLOTS:
            running[name] += 1
            order += 1
            done = clock[0] + WORK_SECONDS * random.uniform(0.5, 1.5)
            heappush(events, (done, order, "done", (name, *waiting[name].pop(0))))

    while events:
        clock[0], _, kind, payload = heappop(events)
        if kind == "tell":
            for router in deps:
                loads = [
                    TargetLoad(short_name(name), running[name] + len(waiting[name]), 0)
                    for name in targets
                ]
                own = {
                    load.name: load for load in router.placement.reports.loads(clock[0])
                }
                router.placement.set_other_routers_load(
                    TargetLoad(load.name, load.requests - own[load.name].requests, 0)
                    if load.name in own
                    else load
                    for load in loads
                )
        elif kind == "arrives":
            router = random.choice(deps)
            if rejects:
                try:
                    _check_queue(router, ROUTE, "club", "desk")
                except Refusal:
                    continue
            reservation = router.placement.choose(
                "desk", None, ServiceSettings("desk"), 0.3, frozenset(), clock[0]
            )
            if running[reservation.target_id] + len(waiting[reservation.target_id]) >= (
                SLOTS + QUEUE
            ):
                router.placement.release(reservation, clock[0])
                continue
            waiting[reservation.target_id].append((router, reservation, clock[0]))
            start_waiting(reservation.target_id)
        else:
            name, router, reservation, arrived_at_seconds = payload
            running[name] -= 1
            router.placement.record_answer_data(reservation, clock[0])
            router.placement.record_work_time("desk", reservation, clock[0])
            router.placement.release(reservation, clock[0])
            is_late = clock[0] - arrived_at_seconds > OBJECTIVE_SECONDS
            counts["late" if is_late else "in time"] += 1
            start_waiting(name)
    return counts["in time"], counts["late"]


@pytest.mark.parametrize("routers", [7, 73])
@pytest.mark.parametrize("load", [1.1, 1.5, 3.0])
def test_an_overloaded_service_answers_admitted_requests_in_time(load, routers):
    in_time, late = simulate(load, routers, rejects=True)
    in_time_without_rejections, _ = simulate(load, routers, rejects=False)
    assert in_time > 1.3 * in_time_without_rejections
    assert in_time > 5 * late


@pytest.mark.parametrize("routers", [7, 73])
def test_a_service_within_its_capacity_rejects_almost_no_requests(routers):
    served = sum(simulate(0.7, routers, rejects=True))
    assert served > 0.99 * sum(simulate(0.7, routers, rejects=False))


def test_an_idle_service_rejects_no_requests_however_long_its_work_takes():
    limit = make_queue_limit()
    for step in range(200):
        part = limit.update(0.4, 0.4, OBJECTIVE_SECONDS, step * 0.06)
        assert part == 0.0
