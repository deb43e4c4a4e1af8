"""Allocators crash or become isolated, and data centres are partitioned."""

import pytest

from sesameford.effective import (
    CustomerSettings,
    EffectiveTree,
    FleetSettings,
    LimitSettings,
)
from sesameford.leased import make_leased_scheduler
from standins.virtual_fleet import VirtualFleet, make_targets

SLOTS = 4
ROUTERS = {"e0": "a", "e1": "b", "e2": "a", "e3": "b"}
NAMES = ("c0", "c1", "c2")


@pytest.fixture
def fleet():
    limits = LimitSettings(queued_requests=10**6, queued_bytes=10**9)
    tree = EffectiveTree(
        1,
        FleetSettings(quantum_cost_units=100.0),
        {name: CustomerSettings(name, limits=limits) for name in NAMES},
    )
    targets = make_targets({"a": 1, "b": 1}, SLOTS)
    fleet = VirtualFleet(make_leased_scheduler, ROUTERS, targets, tree)
    for number in range(600):
        for name, router in zip(NAMES, ("e2", "e3", "e3"), strict=True):
            cost = 50.0 + number % 5 * 25.0
            fleet.submit(router, name, cost, cost)
    fleet.run(6.0)
    return fleet


def served_in(fleet, seconds):
    before = dict(fleet.served)
    fleet.run(seconds)
    return {name: fleet.served[name] - before.get(name, 0.0) for name in NAMES}


def test_the_next_allocator_serves_after_a_crash(fleet):
    """The allocator of a data centre, the instance with the smallest id, crashes.

    The data centre's targets must not be idle for longer than a lease, and no slot
    may be granted twice.
    """
    fleet.stop_router("e0")
    fleet.run(6.0)
    served = served_in(fleet, 5.0)
    assert sum(served.values()) >= 0.9 * 5.0 * 100.0 * 2 * SLOTS
    assert fleet.measurements.max_overfill_requests <= 0


def longest_wait(fleet, name, seconds):
    """Return the longest time in seconds that a waiting customer gets no service."""
    longest = waited = 0.0
    for _ in range(round(seconds / 0.1)):
        before = fleet.served[name]
        fleet.run(0.1)
        waited = waited + 0.1 if fleet.served[name] == before else 0.0
        longest = max(longest, waited)
    return longest


@pytest.mark.parametrize("down_seconds", [0.5, 1.5, 2.5, 4.0])
def test_no_customer_starves_while_an_allocator_restarts(fleet, down_seconds):
    """The allocator of a data centre is killed and restarted with empty tables.

    Customers of its neighbour wait for one takeover. If the restarted instance were
    elected again at once, they would wait for a second one.
    """
    fleet.stop_router("e0")
    waits = [longest_wait(fleet, "c0", down_seconds)]
    fleet.start_router("e0")
    waits.append(longest_wait(fleet, "c0", 10.0))
    assert sum(waits) <= 1.0, waits


def test_an_allocator_that_receives_no_messages_is_replaced(fleet):
    """A firewall drops all connections towards one instance.

    Its heartbeats still go out, so the others consider it live, but it answers no
    report. They report to the next allocator when their leases expire.
    """
    fleet.network.cut = lambda sender, receiver: receiver == "e0"
    fleet.run(7.0)
    served = served_in(fleet, 5.0)
    assert served["c0"] > 0.0
    assert sum(served.values()) >= 0.9 * 5.0 * 100.0 * 2 * SLOTS
    # The isolated instance also acts as the allocator and may fill a target.
    assert fleet.measurements.max_overfill_requests <= SLOTS
    fleet.network.cut = lambda sender, receiver: False
    fleet.run(15.0)
    assert all(fleet.running(target) <= SLOTS for target in fleet.targets)


def test_debt_from_a_partition_does_not_starve_a_customer(fleet):
    """Two data centres are partitioned for a minute; each serves its own customers.

    The only customer of one side gets twice the service of each of the other two.
    After the partition it must wait briefly, not until the others have caught up.
    """
    places = fleet.data_centres
    fleet.network.cut = lambda one, other: places[one] != places[other]
    apart = served_in(fleet, 60.0)
    assert apart["c0"] > 1.5 * apart["c1"]
    fleet.network.cut = lambda one, other: False
    fleet.run(3.0)
    together = served_in(fleet, 15.0)
    assert min(together.values()) > 0.0
    assert sum(together.values()) >= 0.95 * 15.0 * 100.0 * 2 * SLOTS


def test_a_burst_does_not_slow_other_customers(fleet):
    """One customer sends a hundred times its share through every router.

    The other two customers must still get a third of the service each.
    """
    for number in range(2000):
        fleet.submit(sorted(ROUTERS)[number % 4], "c2", 100.0, 25.0)
    fleet.run(4.0)
    served = served_in(fleet, 20.0)
    even = sum(served.values()) / 3.0
    assert all(amount > 0.85 * even for amount in served.values())
