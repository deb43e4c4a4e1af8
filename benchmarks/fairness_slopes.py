"""Measures the cost of a data centre's router and allocator by the size of the fleet.

One data centre grows to its part of the target size: 51 routers with 30 requests/s
each and 314 backlogged customers. The last line printed is one JSON object.

Run it with ``python -m benchmarks.fairness_slopes``.
"""

import argparse
import json
from dataclasses import dataclass
from random import Random
from time import process_time

from sesameford.allocator import Allocator
from sesameford.codec import encode_envelope
from sesameford.effective import (
    CustomerSettings,
    EffectiveTree,
    FleetSettings,
    LimitSettings,
)
from sesameford.leased import make_leased_scheduler
from sesameford.messages import Envelope
from sesameford.slot_messages import DemandRow, PoolReport, ServedRow, ShareReport
from standins.virtual_fleet import (
    STEP_SECONDS,
    WIRE_OVERHEAD_BYTES,
    Network,
    VirtualFleet,
    make_targets,
)

REQUESTS_PER_ROUTER_SECOND = 30.0
MEAN_COST_UNITS = 150.0
SLOTS_PER_TARGET = 32
SLOTS_PER_ROUTER = 43
SIZES = ((8, 50), (24, 150), (51, 314))
ALLOCATOR_SIZES = ((8, 314), (24, 314), (51, 314), (51, 1000), (51, 2200))


@dataclass(slots=True)
class _SentTotals:
    """Bytes and messages sent by all routers except the one with the allocator."""

    bytes_sent: int = 0
    messages: int = 0


def make_tree(customers: int) -> EffectiveTree:
    """Return a tree with equal customers and practically unlimited queues."""
    limits = LimitSettings(queued_requests=10**9, queued_bytes=10**12)
    names = [f"c{number}" for number in range(customers)]
    return EffectiveTree(
        1,
        FleetSettings(queued_limit_bytes=10**12),
        {name: CustomerSettings(name, limits=limits) for name in names},
    )


def measure_router(
    routers: int, customers: int, load: float, seconds: float
) -> dict[str, float]:
    """Return the traffic and the scheduler's CPU seconds of one router per second.

    Args:
        routers: Number of routers in the data centre.
        customers: Number of customers, each of which enters through two routers.
        load: Load as a multiple of the capacity; above one, customers are backlogged.
        seconds: Virtual seconds to measure, after as many seconds to settle.
    """
    engines = max(1, routers * SLOTS_PER_ROUTER // SLOTS_PER_TARGET)
    targets = make_targets({"a": engines}, SLOTS_PER_TARGET)
    locations = {f"e{number:03d}": "a" for number in range(routers)}
    tree = make_tree(customers)
    fleet = VirtualFleet(make_leased_scheduler, locations, targets, tree, 1, Network())
    random = Random(1)
    names = sorted(locations)
    slots = engines * SLOTS_PER_TARGET
    rate = load * slots * 100.0 / MEAN_COST_UNITS

    def arrive(fleet: VirtualFleet) -> None:
        expected = rate * STEP_SECONDS
        number = int(expected) + (random.random() < expected % 1.0)
        for _ in range(number):
            customer = random.randrange(customers)
            router = names[(customer + random.randrange(2)) % routers]
            cost = MEAN_COST_UNITS * 10.0 ** random.uniform(-0.8, 0.6) / 1.2
            fleet.submit(router, f"c{customer}", cost, cost)

    sent = _SentTotals()
    original_send = fleet._send_messages

    def send(sender: str, outgoing: object) -> None:
        before = (fleet.measurements.bytes_sent, fleet.measurements.messages_sent)
        original_send(sender, outgoing)
        if sender != names[0]:
            sent.bytes_sent += fleet.measurements.bytes_sent - before[0]
            sent.messages += fleet.measurements.messages_sent - before[1]

    fleet._send_messages = send  # type: ignore[method-assign]
    fleet.run(seconds, arrive)
    sent.bytes_sent = sent.messages = 0
    total_before = fleet.measurements.bytes_sent
    decide_before = fleet.measurements.decide_seconds
    started = fleet.measurements.started
    fleet.run(seconds, arrive)
    router_seconds = max(routers - 1, 1) * seconds
    allocator_bytes = fleet.measurements.bytes_sent - total_before - sent.bytes_sent
    started = fleet.measurements.started - started
    return {
        "routers": routers,
        "customers": customers,
        "load": load,
        "requests_per_router_second": round(started / seconds / routers, 1),
        "router_sent_bytes_per_second": round(sent.bytes_sent / router_seconds),
        "router_received_bytes_per_second": round(allocator_bytes / router_seconds),
        "router_messages_per_second": round(sent.messages / router_seconds, 2),
        "processor_seconds_per_router_second": round(
            (fleet.measurements.decide_seconds - decide_before) / seconds / routers, 4
        ),
        "waiting_requests": sum(map(len, fleet.waiting.values())),
        "utilisation_while_backlogged": round(fleet.utilisation_while_backlogged(), 4),
    }


def measure_allocator(routers: int, customers: int) -> dict[str, float]:
    """Return the allocator's CPU seconds per report and per tick, and its bytes."""
    allocator = Allocator("e000", "a")
    allocator.configure(make_tree(customers))
    engines = max(1, routers * SLOTS_PER_ROUTER // SLOTS_PER_TARGET)
    targets = make_targets({"a": engines}, SLOTS_PER_TARGET)
    allocator.observe_targets(targets, {"m": "m"}, dict.fromkeys(targets, "a"))
    allocator.activate([], 0.0)
    now = 0.0
    router_customers = max(1, 2 * customers // routers)

    def make_report(number: int, sequence: int, full: bool) -> ShareReport:
        served = []
        demands = []
        for index in range(router_customers if full else 5):
            customer = f"c{(number * router_customers // 2 + index) % customers}"
            served.append(ServedRow(customer, 100.0 * sequence))
            demands.append(DemandRow(customer, "m", 5 + sequence % 3, 700.0, 1.0))
        pools = (PoolReport("m", tuple(served), tuple(demands)),)
        return ShareReport(1, sequence, 10**9, full=full, pools=pools)

    for number in range(routers):
        allocator.handle_report(f"e{number:03d}", 1, make_report(number, 1, True), now)
    allocator.tick(now)
    rounds = 6
    report_seconds = tick_seconds = 0.0
    bytes_sent = 0
    for sequence in range(2, 2 + rounds):
        now += 0.5
        started_at = process_time()
        for number in range(routers):
            allocator.handle_report(
                f"e{number:03d}", 1, make_report(number, sequence, False), now
            )
        reported_at = process_time()
        outgoing = allocator.tick(now)
        tick_seconds += process_time() - reported_at
        report_seconds += reported_at - started_at
        for item in outgoing:
            envelope = Envelope("e000", 1, 1, (1, 1), (item.message,))
            bytes_sent += len(encode_envelope(envelope)) + WIRE_OVERHEAD_BYTES
    return {
        "routers": routers,
        "customers": customers,
        "report_seconds": round(report_seconds / rounds / routers, 6),
        "tick_seconds": round(tick_seconds / rounds, 5),
        "answer_bytes_per_router": round(bytes_sent / rounds / routers),
    }


def measure(seconds: float) -> dict[str, list[dict[str, float]]]:
    """Return the rows of all routers' and allocators' sizes."""
    routers = [
        measure_router(size, customers, load, seconds)
        for size, customers in SIZES
        for load in (0.7, 1.2)
    ]
    allocators = [measure_allocator(*size) for size in ALLOCATOR_SIZES]
    return {"routers": routers, "allocators": allocators}


def main() -> None:
    """Measure and print all rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    results = measure(parser.parse_args().seconds)
    for rows in results.values():
        for row in rows:
            print(row)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
