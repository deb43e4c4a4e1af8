"""The leased scheduler in virtual time: one router, a fleet, an unreliable network."""

from random import Random

import pytest

from sesameford.effective import CustomerSettings, EffectiveTree, LimitSettings
from sesameford.leased import make_leased_scheduler
from standins.virtual_fleet import Network, VirtualFleet, make_targets

LARGE_QUEUES = LimitSettings(queued_requests=1_000_000, queued_bytes=10**12)


def make_fleet(routers, places, slots=4, customers=4, seed=1, network=None):
    names = [f"c{number}" for number in range(customers)]
    tree = EffectiveTree(
        1,
        customers={name: CustomerSettings(name, limits=LARGE_QUEUES) for name in names},
    )
    order = sorted(places)
    where = {f"e{number}": order[number % len(order)] for number in range(routers)}
    targets = make_targets(places, slots)
    return VirtualFleet(make_leased_scheduler, where, targets, tree, seed, network)


def make_arrivals(fleet, per_second, seed=1, mean_cost=100.0):
    random = Random(seed)
    customers = sorted(fleet.tree.customers)
    routers = sorted(fleet.data_centres)

    def arrive(fleet):
        if random.random() < per_second * 0.01:
            customer = random.choice(customers)
            cost = mean_cost * 10.0 ** random.uniform(-0.7, 0.7)
            fleet.submit(random.choice(routers), customer, cost, cost)

    return arrive


@pytest.mark.parametrize(("routers", "places"), [(1, 1), (8, 3), (8, 4)])
def test_all_work_runs_and_no_target_is_overfilled(routers, places):
    fleet = make_fleet(routers, {f"p{number}": 2 for number in range(places)})
    fleet.run(10.0, make_arrivals(fleet, 5.0 * places))
    fleet.run(15.0)
    assert fleet.measurements.started > 30
    assert not fleet.backlogged()
    assert fleet.measurements.max_overfill_requests <= 0


def test_messages_lost_doubled_and_late_do_not_stop_work():
    """All requests must run although a tenth of the messages is lost.

    The network also duplicates a fifth of the messages and delays them.
    """
    network = Network(0.005, 0.2, loss=0.1, doubling=0.2)
    fleet = make_fleet(8, {"p0": 2, "p1": 2, "p2": 2}, network=network)
    fleet.run(15.0, make_arrivals(fleet, 20.0))
    fleet.run(20.0)
    assert not fleet.backlogged()
    assert fleet.measurements.max_overfill_requests <= 0
