"""Simulates the schedulers of several routers in virtual time, without a cluster.

Each router runs the product's scheduler. Messages between routers can be lost, delayed,
duplicated or reordered. A target is a number of slots that serve the true cost of each
request. The true service of each customer is recorded for comparison with the
scheduler's estimates.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time

import numpy

from sesameford.codec import encode_envelope
from sesameford.effective import EffectiveTree
from sesameford.errors import NotRunError
from sesameford.messages import Envelope, Message
from sesameford.scheduling import Scheduler
from sesameford.tables import (
    Attempt,
    InstanceRow,
    InstanceState,
    Outcome,
    Request,
    Target,
    TargetKind,
    Usage,
)

MakeScheduler = Callable[[str, int, str, int], Scheduler]

STEP_SECONDS = 0.01
WIRE_OVERHEAD_BYTES = 112
_OBSERVE_SECONDS = 0.5
_PROGRESS_SECONDS = 0.25
_SAMPLE_SECONDS = 0.05


@dataclass(slots=True)
class _TargetRequest:
    """A request at a target; it is served only while it occupies a slot."""

    router_id: str
    attempt: Attempt
    cost_units: float
    served_cost_units: float = 0.0


@dataclass(slots=True)
class Network:
    """Faults of the network between routers.

    ``loss`` and ``doubling`` are the probabilities that a message is lost or delivered
    twice; ``cut`` returns whether the link from a sender to a receiver is down.
    """

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.002
    loss: float = 0.0
    doubling: float = 0.0
    cut: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass(slots=True)
class Measurements:
    """Totals of one simulation."""

    bytes_sent: int = 0
    messages_sent: int = 0
    decide_seconds: float = 0.0
    decisions: int = 0
    started: int = 0
    refused: int = 0
    expired: int = 0
    busy_slot_seconds: float = 0.0
    backlogged_slot_seconds: float = 0.0
    idle_run_seconds: float = 0.0
    longest_idle_seconds: float = 0.0
    max_overfill_requests: int = 0
    start_delays_seconds: list[float] = field(default_factory=list)


class GapMeter:
    """Measures the largest service gap of two customers that are both backlogged."""

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._customers = sorted(shares)
        self._shares = numpy.array([shares[name] for name in self._customers])
        size = len(self._customers)
        self._low = numpy.full((size, size), numpy.inf)
        self._high = numpy.full((size, size), -numpy.inf)
        self.widest = 0.0
        self.widest_pair: tuple[str, ...] = ()
        self.samples: list[float] = []

    def sample(self, served: Mapping[str, float], backlogged: set[str]) -> None:
        """Record one sample.

        Args:
            served: True service of each customer so far, in cost units.
            backlogged: Customers that have waiting requests now.
        """
        service = numpy.array([served.get(name, 0.0) for name in self._customers])
        service = service / self._shares
        is_backlogged = numpy.array([name in backlogged for name in self._customers])
        both = is_backlogged[:, None] & is_backlogged[None, :]
        lead = service[:, None] - service[None, :]
        self._low = numpy.where(both, numpy.minimum(self._low, lead), numpy.inf)
        self._high = numpy.where(both, numpy.maximum(self._high, lead), -numpy.inf)
        if both.any():
            ranges = numpy.where(both, self._high - self._low, 0.0)
            widest = float(ranges.max())
            self.samples.append(widest)
            if widest > self.widest:
                self.widest = widest
                indexes = numpy.unravel_index(ranges.argmax(), ranges.shape)
                self.widest_pair = tuple(self._customers[index] for index in indexes)


class VirtualFleet:
    """Simulates routers, targets and the network between the routers.

    The answers of ``lost_fractions`` of a customer's requests are lost when they end;
    ``completed`` are the cost units of the others.

    Args:
        make_scheduler: Returns a scheduler for a router's id, incarnation, data centre
            and random seed.
        data_centres: The data centre of each router.
        targets: All targets by id.
        tree: Settings that are in force.
        seed: Seed of the network's random faults.
        network: Faults of the network; None for a network without loss.
        units_per_second: Cost units that one slot serves per second.
    """

    def __init__(
        self,
        make_scheduler: MakeScheduler,
        data_centres: Mapping[str, str],
        targets: Mapping[str, Target],
        tree: EffectiveTree,
        seed: int = 0,
        network: Network | None = None,
        units_per_second: float = 100.0,
    ) -> None:
        self.now_seconds = 100.0
        self.tree = tree
        self.data_centres = dict(data_centres)
        self.targets = dict(targets)
        self.network = network or Network()
        self.random = Random(seed)
        self.measurements = Measurements()
        self.served: dict[str, float] = {}
        self.completed: dict[str, float] = {}
        self.lost_fractions: dict[str, float] = {}
        self.gaps = GapMeter(
            {name: customer.share for name, customer in tree.customers.items()}
        )
        self.routers: dict[str, Scheduler] = {}
        self.incarnations: dict[str, int] = {}
        self.waiting: dict[str, dict[str, Request]] = {}
        self._make_scheduler = make_scheduler
        self._units_per_second = units_per_second
        self._costs: dict[str, float] = {}
        self._runs: dict[str, list[_TargetRequest]] = {name: [] for name in targets}
        self._in_flight: list[tuple[float, int, str, str, int, Message]] = []
        self._numbers = count()
        self._sequences: dict[str, int] = {}
        self._observed_at = float("-inf")
        self._progressed_at = float("-inf")
        self._sampled_at = float("-inf")
        self._last_seen_at_seconds: dict[tuple[str, str], float] = {}
        for router_id in data_centres:
            self.start_router(router_id)

    # --- events ------------------------------------------------------------------

    def start_router(self, router_id: str) -> None:
        """Start a router, or restart it without state: its requests are lost."""
        incarnation = self.incarnations.get(router_id, 0) + 1
        self.incarnations[router_id] = incarnation
        for runs in self._runs.values():
            runs[:] = [run for run in runs if run.router_id != router_id]
        self.waiting[router_id] = {}
        scheduler = self._make_scheduler(
            router_id, incarnation, self.data_centres[router_id], incarnation
        )
        self.routers[router_id] = scheduler
        scheduler.configure(self.tree, self.now_seconds)
        scheduler.observe_instances({}, self.now_seconds)
        scheduler.observe_targets(self.targets, self.now_seconds)
        self._observed_at = float("-inf")

    def stop_router(self, router_id: str) -> None:
        """Stop a router without notice; its requests are lost."""
        del self.routers[router_id]
        self.waiting[router_id] = {}
        for runs in self._runs.values():
            runs[:] = [run for run in runs if run.router_id != router_id]

    def submit(
        self,
        router_id: str,
        customer_id: str,
        cost_units: float,
        hint_cost_units: float | None = None,
        resource: str = "m",
        patience_seconds: float = 1e6,
        body_bytes: int = 100,
    ) -> bool:
        """Submit a request to a router.

        Returns:
            False if the router is down or refuses the request.
        """
        if router_id not in self.routers:
            return False
        number = next(self._numbers)
        request = Request(
            f"r{number}",
            customer_id,
            TargetKind.MODEL,
            resource,
            self.now_seconds,
            self.now_seconds + patience_seconds,
            body_bytes,
            0,
            hint_cost_units,
            True,
            b"",
        )
        try:
            self.routers[router_id].submit(request, self.now_seconds)
        except NotRunError:
            self.measurements.refused += 1
            return False
        self._costs[request.request_id] = cost_units
        self.waiting[router_id][request.request_id] = request
        return True

    # --- simulation of time -------------------------------------------------------

    def run(
        self, seconds: float, arrive: Callable[["VirtualFleet"], None] | None = None
    ) -> None:
        """Advance virtual time; ``arrive`` is called before each step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now_seconds += STEP_SECONDS
            if arrive is not None:
                arrive(self)
            self._run_step()

    def _run_step(self) -> None:
        """Run one step: liveness, messages, service, decisions and measurements."""
        if self.now_seconds - self._observed_at >= _OBSERVE_SECONDS:
            self._observe_instances()
        self._deliver_messages()
        self._serve_requests()
        for router_id, scheduler in list(self.routers.items()):
            started_at = process_time()
            for request_id in scheduler.remove_expired(self.now_seconds):
                self.waiting[router_id].pop(request_id)
                self.measurements.expired += 1
            attempts = scheduler.decide(self.now_seconds)
            outgoing = scheduler.collect_outgoing(self.now_seconds)
            self.measurements.decide_seconds += process_time() - started_at
            self.measurements.decisions += 1
            for attempt in attempts:
                self._start_attempt(router_id, attempt)
            self._send_messages(router_id, outgoing)
        self._record_measurements()

    def _observe_instances(self) -> None:
        """Report live instances to each router; cut links drop heartbeats too."""
        self._observed_at = self.now_seconds
        for receiver, scheduler in self.routers.items():
            for sender in self.routers:
                if sender != receiver and not self.network.cut(sender, receiver):
                    self._last_seen_at_seconds[(receiver, sender)] = self.now_seconds
            instances = {
                sender: InstanceRow(
                    sender,
                    self.incarnations[sender],
                    self.data_centres[sender],
                    InstanceState.READY,
                    1,
                    self._last_seen_at_seconds[(receiver, sender)],
                )
                for sender in self.data_centres
                if (receiver, sender) in self._last_seen_at_seconds
                and self.now_seconds - self._last_seen_at_seconds[(receiver, sender)]
                < 5.0
            }
            scheduler.observe_instances(instances, self.now_seconds)

    def _deliver_messages(self) -> None:
        """Deliver the messages that are due."""
        while self._in_flight and self._in_flight[0][0] <= self.now_seconds:
            _, _, sender, receiver, incarnation, message = heappop(self._in_flight)
            if receiver in self.routers:
                started_at = process_time()
                self.routers[receiver].handle_message(
                    sender, incarnation, message, self.now_seconds
                )
                self.measurements.decide_seconds += process_time() - started_at

    def _send_messages(self, sender: str, outgoing: object) -> None:
        """Send one envelope to each receiver and count its bytes."""
        by_receiver: dict[str, list[Message]] = {}
        for sent in outgoing:  # type: ignore[attr-defined]
            by_receiver.setdefault(sent.receiver_id, []).append(sent.message)
        network = self.network
        for receiver, messages in by_receiver.items():
            incarnation = self.incarnations[sender]
            sequence = self._sequences.get(sender, 0) + 1
            self._sequences[sender] = sequence
            envelope = Envelope(
                sender, incarnation, sequence, (1, sequence), tuple(messages)
            )
            encoded = encode_envelope(envelope)
            self.measurements.bytes_sent += len(encoded) + WIRE_OVERHEAD_BYTES
            self.measurements.messages_sent += 1
            if network.cut(sender, receiver) or self.random.random() < network.loss:
                continue
            copies = 2 if self.random.random() < network.doubling else 1
            for _ in range(copies):
                delay = network.delay_seconds
                delay += self.random.random() * network.jitter_seconds
                at = self.now_seconds + delay
                for message in messages:
                    number = next(self._numbers)
                    row = (at, number, sender, receiver, incarnation, message)
                    heappush(self._in_flight, row)

    def _start_attempt(self, router_id: str, attempt: Attempt) -> None:
        """Add an attempt to its target's requests, in order of arrival."""
        request = self.waiting[router_id].pop(attempt.request_id)
        cost = self._costs.pop(attempt.request_id)
        self._runs[attempt.target_id].append(_TargetRequest(router_id, attempt, cost))
        self.measurements.started += 1
        self.measurements.start_delays_seconds.append(
            self.now_seconds - request.arrived_at_seconds
        )

    def _serve_requests(self) -> None:
        """Serve the oldest requests of each target, one per slot."""
        reports_progress = self.now_seconds - self._progressed_at >= _PROGRESS_SECONDS
        if reports_progress:
            self._progressed_at = self.now_seconds
        unit = self._units_per_second * STEP_SECONDS
        for target_id, runs in self._runs.items():
            finished = []
            for run in runs[: self.targets[target_id].capacity_slots]:
                served = min(unit, run.cost_units - run.served_cost_units)
                run.served_cost_units += served
                customer = run.attempt.customer_id
                self.served[customer] = self.served.get(customer, 0.0) + served
                if run.served_cost_units >= run.cost_units - 1e-9:
                    finished.append(run)
                elif reports_progress and customer not in self.lost_fractions:
                    usage = Usage(output_tokens=int(run.served_cost_units))
                    self.routers[run.router_id].record_progress(
                        run.attempt.attempt_id, usage, self.now_seconds
                    )
            for run in finished:
                runs.remove(run)
                self._end_run(run)

    def _end_run(self, run: _TargetRequest) -> None:
        """Settle a finished run, or lose its answer."""
        customer = run.attempt.customer_id
        lost_fraction = self.lost_fractions.get(customer, 0.0)
        if lost_fraction > 0.0 and self.random.random() < lost_fraction:
            usage, outcome = Usage(), Outcome.UNKNOWN
        else:
            usage, outcome = Usage(output_tokens=round(run.cost_units)), Outcome.RAN
            completed = self.completed.get(customer, 0.0)
            self.completed[customer] = completed + run.cost_units
        self.routers[run.router_id].settle_attempt(
            run.attempt.attempt_id, usage, outcome, self.now_seconds
        )

    # --- measurements ----------------------------------------------------------------

    def backlogged(self) -> set[str]:
        """Return the customers with waiting requests."""
        return {
            request.customer_id
            for waiting in self.waiting.values()
            for request in waiting.values()
        }

    def running(self, target_id: str) -> int:
        """Return the number of requests at a target, served or waiting for a slot."""
        return len(self._runs[target_id])

    def _record_measurements(self) -> None:
        """Record slot use while requests wait, and sample the service gap."""
        measurements = self.measurements
        slots = sum(target.capacity_slots for target in self.targets.values())
        busy = 0
        for target_id, target in self.targets.items():
            running = len(self._runs[target_id])
            busy += min(running, target.capacity_slots)
            over = running - target.capacity_slots
            measurements.max_overfill_requests = max(
                measurements.max_overfill_requests, over
            )
        if any(self.waiting.values()):
            measurements.busy_slot_seconds += busy * STEP_SECONDS
            measurements.backlogged_slot_seconds += slots * STEP_SECONDS
            if busy < slots:
                measurements.idle_run_seconds += STEP_SECONDS
            else:
                measurements.idle_run_seconds = 0.0
        else:
            measurements.idle_run_seconds = 0.0
        measurements.longest_idle_seconds = max(
            measurements.longest_idle_seconds, measurements.idle_run_seconds
        )
        if self.now_seconds - self._sampled_at >= _SAMPLE_SECONDS:
            self._sampled_at = self.now_seconds
            self.gaps.sample(self.served, self.backlogged())

    def utilisation_while_backlogged(self) -> float:
        """Return the fraction of slots in use while any request waited."""
        measurements = self.measurements
        if measurements.backlogged_slot_seconds == 0.0:
            return 1.0
        return measurements.busy_slot_seconds / measurements.backlogged_slot_seconds


def make_targets(
    engines_by_data_centre: Mapping[str, int],
    slots: int,
    serves: tuple[str, ...] = ("m",),
) -> dict[str, Target]:
    """Return model engines in each data centre.

    Args:
        engines_by_data_centre: Number of engines in each data centre.
        slots: Requests that each engine runs at once.
        serves: Models that each engine serves.

    Returns:
        Targets by id.
    """
    row = Target("", 1, TargetKind.MODEL, serves, "http://127.0.0.1:1", "", slots, 1e12)
    return {
        f"{data_centre}-t{number}": replace(
            row, target_id=f"{data_centre}-t{number}", data_centre=data_centre
        )
        for data_centre, engines in engines_by_data_centre.items()
        for number in range(engines)
    }
