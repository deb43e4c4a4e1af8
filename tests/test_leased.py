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


LOSS_SECONDS = 60.0


def play_losses(lost_fractions, customers=11):
    """Return what each customer completes while all always have requests waiting."""
    fleet = make_fleet(8, {"p0": 2, "p1": 2, "p2": 2}, customers=customers)
    fleet.lost_fractions = lost_fractions
    random = Random(3)

    def arrive(fleet):
        for router in sorted(fleet.data_centres):
            waiting = [one.customer_id for one in fleet.waiting[router].values()]
            for customer in sorted(fleet.tree.customers):
                if waiting.count(customer) < 2:
                    fleet.submit(router, customer, random.uniform(50.0, 150.0), 100.0)

    fleet.run(10.0, arrive)
    before = dict(fleet.completed)
    fleet.run(LOSS_SECONDS, arrive)
    return {
        customer: fleet.completed.get(customer, 0.0) - before.get(customer, 0.0)
        for customer in fleet.tree.customers
    }


def test_a_customer_whose_attempts_are_all_lost_leaves_nine_tenths_to_ten_rivals():
    """Guards against attempts that cost nothing, so that their customer is next."""
    calm = play_losses({})
    served = play_losses({"c0": 1.0})
    rivals = [f"c{number}" for number in range(1, 11)]
    kept = [served[name] / calm[name] for name in rivals]
    assert sum(kept) / len(kept) >= 0.9
    # Single requests of some seconds make a difference to each of them.
    assert min(kept) >= 0.8


def test_a_customer_that_loses_some_attempts_is_served_half_of_the_others():
    served = play_losses({"c0": 0.6})
    assert served["c0"] >= 0.5 * max(served.values())
