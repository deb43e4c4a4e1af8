"""Compares fairness of leased slots and independent routers in virtual time.

It simulates both deployments with 8 routers and 16 customers. Three customers are
large and enter through one or two routers. Costs are lognormal over two decades, cost
hints are wrong by up to a factor of four, and the load is 1.6 times the capacity. The
phases are: steady load, a burst of one small customer, changing loads of customers, a
router that restarts without state, a partitioned data centre, and the network after
the partition. The last line printed is one JSON object.

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
    """Engines by data centre, and the delay between data centres."""

    engines: Mapping[str, int]
    delay_seconds: float


DEPLOYMENTS = {
    "desk": Deployment({"a": 3, "b": 3, "c": 3}, 0.0012),
    "consortium": Deployment({"a": 2, "b": 2, "c": 1, "d": 1}, 0.0005),
}


class Load:
    """An open load: arrival rate and entry routers of each customer.

    ``rates`` holds requests per second; ``entries`` holds the routers that receive a
    customer's requests.
    """

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
        """Submit the requests that arrive during one step."""
        for customer, rate in self.rates.items():
            for _ in range(self._draw_count(rate * STEP_SECONDS)):
                cost = self.random.lognormvariate(self._mu, COST_SIGMA)
                cost = min(max(cost, 1.0), LARGEST_COST_UNITS)
                hint = cost * HINT_ERROR ** self.random.uniform(-1.0, 1.0)
                router = self.random.choice(self.entries[customer])
                fleet.submit(router, customer, cost, hint)

    def _draw_count(self, expected: float) -> int:
        """Return a random number of arrivals with the expected mean."""
        floor = int(expected)
        return floor + (self.random.random() < expected - floor)


def run_variant(
    deployment: Deployment, make_scheduler: MakeScheduler, seconds: float, seed: int
) -> dict[str, object]:
    """Run all phases and return the figures.

    Args:
        deployment: The deployment to simulate.
        make_scheduler: Factory of the scheduler to measure.
        seconds: Length of a phase in virtual seconds.
        seed: Seed of the arrivals and of the network.

    Returns:
        Figures by name; gaps are in cost units.
    """
    data_centres = sorted(deployment.engines)
    routers = {
        f"e{number}": data_centres[number % len(data_centres)]
        for number in range(ROUTERS)
    }
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
        backlogged = fleet.backlogged()
        fleet.gaps = GapMeter(dict.fromkeys(load.customers, 1.0))
        fleet.run(seconds, load.arrive)
        phases[phase] = round(fleet.gaps.widest, 1)
        starved.update(
            customer
            for customer in backlogged & fleet.backlogged()
            if fleet.served.get(customer, 0.0) <= served.get(customer, 0.0)
        )
        if phase != "cut-off":
            samples.extend(fleet.gaps.samples)
    counted = fleet.measurements
    router_seconds = seconds * len(PHASES) * ROUTERS
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
            (counted.bytes_sent - warm.bytes_sent) / router_seconds
        ),
        "control_messages_per_instance_second": round(
            (counted.messages_sent - warm.messages_sent) / router_seconds, 2
        ),
        "processor_seconds_per_instance_second": round(
            decide_seconds / router_seconds, 4
        ),
        "processor_seconds_per_request": round(decide_seconds / started, 6),
        "started": started,
    }


def _unserved_cost() -> float:
    """Return the mean cost units of a running request that are not served yet."""
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
    """Apply the changes to load, routers and network at the start of a phase."""
    small = load.customers[-1]
    if phase == "flood":
        load.rates[small] *= 20.0
    elif phase == "come-and-go":
        load.rates[small] /= 20.0
        load.rates["c02"], load.rates["c03"] = load.rates["c03"], load.rates["c02"]
    elif phase == "restart":
        fleet.start_router("e1")
    elif phase == "cut-off":
        cut_data_centre = max(deployment.engines)
        cut_routers = {
            name
            for name, data_centre in fleet.data_centres.items()
            if data_centre == cut_data_centre
        }
        fleet.network.cut = _is_across(cut_routers)
    elif phase == "healed":
        fleet.network.cut = lambda sender, receiver: False


def _is_across(routers: set[str]) -> Callable[[str, str], bool]:
    """Return a test whether a message enters or leaves a set of routers."""
    return lambda sender, receiver: (sender in routers) != (receiver in routers)


def main() -> None:
    """Run the chosen deployments and variants and print their figures."""
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
