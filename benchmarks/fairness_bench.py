"""Fair service in virtual time: leased slots against routers without accounts.

Both deployments of today with 8 routers and 16 customers, of which three are large
and enter through one or two routers. Costs are lognormal over two decades, hints
wrong by up to four times, the load 1.6 of the capacity. Phases: steady, one small
customer floods, customers come and go, a router restarts empty, a data centre is
cut off, and the network whole again. The last line is one JSON object.

Run it with ``python -m benchmarks.fairness_bench``.
"""

import argparse
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from math import log
from random import Random

import numpy

from sesameford.effective import (
    CustomerSettings,
    EffectiveTree,
    FleetSettings,
    LimitSettings,
)
from sesameford.gap_bound import gap_bound
from sesameford.independent import make_independent_scheduler
from sesameford.leased import make_leased_scheduler
from standins.virtual_fleet import (
    STEP_SECONDS,
    GapMeter,
    MakeScheduler,
    Network,
    VirtualFleet,
    make_targets,
)

ROUTERS = 8
CUSTOMERS = 16
LARGE_CUSTOMERS = 3
SLOTS = 8
LOAD = 1.6
UNITS_PER_SECOND = 100.0
MEAN_COST_UNITS = 150.0
COST_SIGMA = 1.2
LARGEST_COST_UNITS = 20.0 * MEAN_COST_UNITS
HINT_ERROR = 4.0
PHASES = ("steady", "flood", "come-and-go", "restart", "cut-off", "healed")
VARIANTS: Mapping[str, MakeScheduler] = {
    "sesameford": make_leased_scheduler,
    "independent": make_independent_scheduler,
}


@dataclass(frozen=True, slots=True)
class Deployment:
    """A shape: engines by data centre, and how far the data centres are apart."""

    engines: Mapping[str, int]
    delay_seconds: float


DEPLOYMENTS = {
    "desk": Deployment({"a": 3, "b": 3, "c": 3}, 0.0012),
    "consortium": Deployment({"a": 2, "b": 2, "c": 1, "d": 1}, 0.0005),
}


class Load:
    """Open arrivals: rates and routers of entry by customer."""

    def __init__(self, slots: int, routers: list[str], seed: int) -> None:
        self.random = Random(seed)
        self.customers = [f"c{number:02d}" for number in range(CUSTOMERS)]
        total = LOAD * slots * UNITS_PER_SECOND / MEAN_COST_UNITS
        small = (1.0 - LARGE_CUSTOMERS * 0.22) / (CUSTOMERS - LARGE_CUSTOMERS)
        self.rates = {
            customer: total * (0.22 if index < LARGE_CUSTOMERS else small)
            for index, customer in enumerate(self.customers)
        }
        self.entries = dict.fromkeys(self.customers, routers)
        self.entries["c00"] = self.entries["c01"] = routers[:1]
        self.entries["c02"] = routers[1:3]
        self._mu = log(MEAN_COST_UNITS) - COST_SIGMA**2 / 2.0

    def arrive(self, fleet: VirtualFleet) -> None:
        """Let the requests of one step enter."""
        for customer, rate in self.rates.items():
            for _ in range(self._number(rate * STEP_SECONDS)):
                cost = self.random.lognormvariate(self._mu, COST_SIGMA)
                cost = min(max(cost, 1.0), LARGEST_COST_UNITS)
                hint = cost * HINT_ERROR ** self.random.uniform(-1.0, 1.0)
                router = self.random.choice(self.entries[customer])
                fleet.submit(router, customer, cost, hint)

    def _number(self, expected: float) -> int:
        """Return how many arrive where some number is expected."""
        whole = int(expected)
        return whole + (self.random.random() < expected - whole)


def run_variant(
    deployment: Deployment, make_scheduler: MakeScheduler, seconds: float, seed: int
) -> dict[str, object]:
    """Run all phases and return the figures.

    Args:
        deployment: The shape.
        make_scheduler: The variant.
        seconds: Length of a phase.
        seed: Of arrivals and of the network.

    Returns:
        Figures by name; gaps in cost units.
    """
    places = sorted(deployment.engines)
    routers = {f"e{number}": places[number % len(places)] for number in range(ROUTERS)}
    targets = make_targets(deployment.engines, SLOTS)
    limits = LimitSettings(queued_requests=10**9, queued_bytes=10**12)
    load = Load(len(targets) * SLOTS, sorted(routers), seed)
    tree = EffectiveTree(
        1,
        FleetSettings(queued_limit_bytes=10**12),
        {name: CustomerSettings(name, limits=limits) for name in load.customers},
    )
    network = Network(deployment.delay_seconds, deployment.delay_seconds)
    fleet = VirtualFleet(
        make_scheduler, routers, targets, tree, seed, network, UNITS_PER_SECOND
    )
    fleet.run(seconds, load.arrive)
    warm = replace(fleet.measurements, start_delays_seconds=[])
    phases: dict[str, float] = {}
    samples: list[float] = []
    starved: set[str] = set()
    for phase in PHASES:
        _enter_phase(phase, fleet, load, deployment)
        served = dict(fleet.served)
        waited = fleet.backlogged()
        fleet.gaps = GapMeter(dict.fromkeys(load.customers, 1.0))
        fleet.run(seconds, load.arrive)
        phases[phase] = round(fleet.gaps.widest, 1)
        starved.update(
            customer
            for customer in waited & fleet.backlogged()
            if fleet.served.get(customer, 0.0) <= served.get(customer, 0.0)
        )
        if phase != "cut-off":
            samples.extend(fleet.gaps.samples)
    counted = fleet.measurements
    spent = seconds * len(PHASES) * ROUTERS
    busy = counted.busy_slot_seconds - warm.busy_slot_seconds
    offered = counted.backlogged_slot_seconds - warm.backlogged_slot_seconds
    decide_seconds = counted.decide_seconds - warm.decide_seconds
    started = counted.started - warm.started
    return {
        "gap_max": max(gap for phase, gap in phases.items() if phase != "cut-off"),
        "gap_bound": round(
            gap_bound(len(targets) * SLOTS, UNITS_PER_SECOND, _unserved_cost(), 200.0)
        ),
        "starved_customers": len(starved),
        "gap_p99": round(float(numpy.percentile(samples, 99)), 1),
        "gap_by_phase": phases,
        "utilisation_while_backlogged": round(busy / offered, 4),
        "control_bytes_per_instance_second": round(
            (counted.bytes_sent - warm.bytes_sent) / spent
        ),
        "control_messages_per_instance_second": round(
            (counted.messages_sent - warm.messages_sent) / spent, 2
        ),
        "processor_seconds_per_instance_second": round(decide_seconds / spent, 4),
        "processor_seconds_per_request": round(decide_seconds / started, 6),
        "started": started,
    }


def _unserved_cost() -> float:
    """Return what of a running request is not yet served, on average."""
    random = Random(0)
    mu = log(MEAN_COST_UNITS) - COST_SIGMA**2 / 2.0
    costs = [
        min(random.lognormvariate(mu, COST_SIGMA), LARGEST_COST_UNITS)
        for _ in range(20_000)
    ]
    return sum(cost * cost for cost in costs) / sum(costs) / 2.0


def _enter_phase(
    phase: str, fleet: VirtualFleet, load: Load, deployment: Deployment
) -> None:
    """Change what a phase changes; the others go on as they were."""
    small = load.customers[-1]
    if phase == "flood":
        load.rates[small] *= 20.0
    elif phase == "come-and-go":
        load.rates[small] /= 20.0
        load.rates["c02"], load.rates["c03"] = load.rates["c03"], load.rates["c02"]
    elif phase == "restart":
        fleet.start_router("e1")
    elif phase == "cut-off":
        lost = max(deployment.engines)
        cut = {name for name, place in fleet.data_centres.items() if place == lost}
        fleet.network.cut = _between(cut)
    elif phase == "healed":
        fleet.network.cut = lambda sender, receiver: False


def _between(cut: set[str]) -> Callable[[str, str], bool]:
    """Return whether a message crosses the border of a set."""
    return lambda sender, receiver: (sender in cut) != (receiver in cut)


def main() -> None:
    """Run what the arguments name and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0, help="of a phase")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", choices=[*DEPLOYMENTS], action="append")
    parser.add_argument("--variant", choices=[*VARIANTS], action="append")
    arguments = parser.parse_args()
    results: dict[str, dict[str, object]] = {}
    for name in arguments.deployment or DEPLOYMENTS:
        results[name] = {}
        for variant in arguments.variant or VARIANTS:
            figures = run_variant(
                DEPLOYMENTS[name], VARIANTS[variant], arguments.seconds, arguments.seed
            )
            results[name][variant] = figures
            print(name, variant, figures)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
