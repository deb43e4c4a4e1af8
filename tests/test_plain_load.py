"""A plain service that is asked for more than it can do.

The pattern: some of its targets are gone, the queues of the others fill up, and from
then on every answer comes late. Routers hear what the others have sent somewhat late.
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
TELL_SECONDS = 0.05
ROUTE = HttpRouteSettings(
    "roster",
    backends=(BackendSettings("desk", 1.0),),
    objective_seconds=OBJECTIVE_SECONDS,
)


class Deps:
    """What the check needs of a router."""

    def __init__(self, placement, random, clock):
        self.placement = placement
        self.random = random
        self.now = lambda: clock[0]
        self.queue_limits = {}


def play(load, routers, rejects, seconds=12.0):
    """Return how many answers came in time and late, of a part ``load`` of capacity."""
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
    arrivals, at = [], 0.0
    while at < seconds:
        at += random.expovariate(rate)
        arrivals.append(at)
    for at in arrivals:
        order += 1
        heappush(events, (at, order, "arrives", None))
    for step in range(int(seconds / TELL_SECONDS)):
        order += 1
        heappush(events, (step * TELL_SECONDS, order, "tell", None))

    def begin(name):
        nonlocal order
        while waiting[name] and running[name] < SLOTS:
            running[name] += 1
            order += 1
            done = clock[0] + WORK_SECONDS * random.uniform(0.5, 1.5)
            heappush(events, (done, order, "done", (name, *waiting[name].pop(0))))

    while events:
        clock[0], _, kind, what = heappop(events)
        if kind == "tell":
            for one in deps:
                loads = [
                    TargetLoad(short_name(name), running[name] + len(waiting[name]), 0)
                    for name in targets
                ]
                own = {load.name: load for load in one.placement.loads(clock[0])}
                one.placement.set_other_routers_load(
                    TargetLoad(load.name, load.requests - own[load.name].requests, 0)
                    if load.name in own
                    else load
                    for load in loads
                )
        elif kind == "arrives":
            one = random.choice(deps)
            if rejects:
                try:
                    _check_queue(one, ROUTE, "club", "desk")
                except Refusal:
                    continue
            lease = one.placement.choose(
                "desk", None, ServiceSettings("desk"), 0.3, frozenset(), clock[0]
            )
            if running[lease.target_id] + len(waiting[lease.target_id]) >= (
                SLOTS + QUEUE
            ):
                one.placement.released(lease, clock[0])
                continue
            waiting[lease.target_id].append((one, lease, clock[0]))
            begin(lease.target_id)
        else:
            name, one, lease, since = what
            running[name] -= 1
            one.placement.heard(lease, clock[0])
            one.placement.ran("desk", lease, clock[0])
            one.placement.released(lease, clock[0])
            is_late = clock[0] - since > OBJECTIVE_SECONDS
            counts["late" if is_late else "in time"] += 1
            begin(name)
    return counts["in time"], counts["late"]


@pytest.mark.parametrize("routers", [7, 73])
@pytest.mark.parametrize("load", [1.1, 1.5, 3.0])
def test_a_service_that_is_asked_too_much_answers_in_time_whom_it_serves(load, routers):
    in_time, late = play(load, routers, rejects=True)
    before_in_time, _ = play(load, routers, rejects=False)
    assert in_time > 1.3 * before_in_time
    assert in_time > 5 * late


@pytest.mark.parametrize("routers", [7, 73])
def test_a_service_that_can_do_all_rejects_next_to_nobody(routers):
    served = sum(play(0.7, routers, rejects=True))
    assert served > 0.99 * sum(play(0.7, routers, rejects=False))


def test_an_idle_service_rejects_nobody_however_long_its_work_takes():
    limit = make_queue_limit()
    for step in range(200):
        part = limit.update(0.4, 0.4, OBJECTIVE_SECONDS, step * 0.06)
        assert part == 0.0
