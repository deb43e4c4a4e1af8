"""Schedulers joined in virtual time: messages under way, slots, a true account.

No cluster: the deciding code of each router, a list of messages that may be lost,
late, doubled or overtaken, and targets that are slots with the true costs. The
true service per customer is what an oracle would know.
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
class _Run:
    """A request on a target; it is served while it has one of the slots."""

    router_id: str
    attempt: Attempt
    cost_units: float
    served_cost_units: float = 0.0


@dataclass(slots=True)
class Network:
    """What the network does to messages."""

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.002
    loss: float = 0.0
    doubling: float = 0.0
    cut: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass(slots=True)
class Measurements:
    """What is measured."""

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
    """The widest service gap of each pair while both were backlogged throughout."""

    def __init__(self, shares: Mapping[str, float]) -> None:
        self._customers = sorted(shares)
        self._shares = numpy.array([shares[one] for one in self._customers])
        size = len(self._customers)
        self._low = numpy.full((size, size), numpy.inf)
        self._high = numpy.full((size, size), -numpy.inf)
        self.widest = 0.0
        self.widest_pair: tuple[str, ...] = ()
        self.samples: list[float] = []

    def sample(self, served: Mapping[str, float], backlogged: set[str]) -> None:
        """Take the true service so far and who waits now."""
        normal = numpy.array([served.get(one, 0.0) for one in self._customers])
        normal = normal / self._shares
        here = numpy.array([one in backlogged for one in self._customers])
        both = here[:, None] & here[None, :]
        ahead = normal[:, None] - normal[None, :]
        self._low = numpy.where(both, numpy.minimum(self._low, ahead), numpy.inf)
        self._high = numpy.where(both, numpy.maximum(self._high, ahead), -numpy.inf)
        if both.any():
            ranges = numpy.where(both, self._high - self._low, 0.0)
            widest = float(ranges.max())
            self.samples.append(widest)
            if widest > self.widest:
                self.widest = widest
                place = numpy.unravel_index(ranges.argmax(), ranges.shape)
                self.widest_pair = tuple(self._customers[one] for one in place)


class VirtualFleet:
    """Routers, targets and the network between the routers."""

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
        self.gaps = GapMeter(
            {name: customer.share for name, customer in tree.customers.items()}
        )
        self.routers: dict[str, Scheduler] = {}
        self.incarnations: dict[str, int] = {}
        self.waiting: dict[str, dict[str, Request]] = {}
        self._make_scheduler = make_scheduler
        self._units_per_second = units_per_second
        self._costs: dict[str, float] = {}
        self._runs: dict[str, list[_Run]] = {name: [] for name in targets}
        self._in_flight: list[tuple[float, int, str, str, int, Message]] = []
        self._numbers = count()
        self._sequences: dict[str, int] = {}
        self._observed_at = float("-inf")
        self._progressed_at = float("-inf")
        self._sampled_at = float("-inf")
        self._heard: dict[tuple[str, str], float] = {}
        for router_id in data_centres:
            self.start_router(router_id)

    # --- events ------------------------------------------------------------------

    def start_router(self, router_id: str) -> None:
        """Start a router, or restart it empty: its requests are lost."""
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
        """Kill a router."""
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
        """Let a request enter; False if it was refused."""
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

    # --- the passing of time -------------------------------------------------------

    def run(
        self, seconds: float, arrive: Callable[["VirtualFleet"], None] | None = None
    ) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now_seconds += STEP_SECONDS
            if arrive is not None:
                arrive(self)
            self._step()

    def _step(self) -> None:
        """Let one step pass: news, completions, decisions, messages, measures."""
        if self.now_seconds - self._observed_at >= _OBSERVE_SECONDS:
            self._observe()
        self._deliver()
        self._serve()
        for router_id, scheduler in list(self.routers.items()):
            began = process_time()
            for request_id in scheduler.remove_expired(self.now_seconds):
                self.waiting[router_id].pop(request_id)
                self.measurements.expired += 1
            attempts = scheduler.decide(self.now_seconds)
            outgoing = scheduler.collect_outgoing(self.now_seconds)
            self.measurements.decide_seconds += process_time() - began
            self.measurements.decisions += 1
            for attempt in attempts:
                self._start(router_id, attempt)
            self._send(router_id, outgoing)
        self._measure()

    def _observe(self) -> None:
        """Pass on who was heard; heartbeats are cut as other messages are."""
        self._observed_at = self.now_seconds
        for receiver, scheduler in self.routers.items():
            for sender in self.routers:
                if sender != receiver and not self.network.cut(sender, receiver):
                    self._heard[(receiver, sender)] = self.now_seconds
            instances = {
                sender: InstanceRow(
                    sender,
                    self.incarnations[sender],
                    self.data_centres[sender],
                    InstanceState.READY,
                    1,
                    self._heard[(receiver, sender)],
                )
                for sender in self.data_centres
                if (receiver, sender) in self._heard
                and self.now_seconds - self._heard[(receiver, sender)] < 5.0
            }
            scheduler.observe_instances(instances, self.now_seconds)

    def _deliver(self) -> None:
        """Hand over the messages that arrive now."""
        while self._in_flight and self._in_flight[0][0] <= self.now_seconds:
            _, _, sender, receiver, incarnation, message = heappop(self._in_flight)
            if receiver in self.routers:
                began = process_time()
                self.routers[receiver].handle_message(
                    sender, incarnation, message, self.now_seconds
                )
                self.measurements.decide_seconds += process_time() - began

    def _send(self, sender: str, outgoing: object) -> None:
        """Put messages on their way, joined by receiver, and count their bytes."""
        by_receiver: dict[str, list[Message]] = {}
        for one in outgoing:  # type: ignore[attr-defined]
            by_receiver.setdefault(one.receiver_id, []).append(one.message)
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

    def _start(self, router_id: str, attempt: Attempt) -> None:
        """Start an attempt on its target, which admits it as it comes."""
        request = self.waiting[router_id].pop(attempt.request_id)
        cost = self._costs.pop(attempt.request_id)
        self._runs[attempt.target_id].append(_Run(router_id, attempt, cost))
        self.measurements.started += 1
        self.measurements.start_delays_seconds.append(
            self.now_seconds - request.arrived_at_seconds
        )

    def _serve(self) -> None:
        """Let the first requests of each target, up to its slots, be served."""
        tells = self.now_seconds - self._progressed_at >= _PROGRESS_SECONDS
        if tells:
            self._progressed_at = self.now_seconds
        unit = self._units_per_second * STEP_SECONDS
        for target_id, runs in self._runs.items():
            done = []
            for run in runs[: self.targets[target_id].capacity_slots]:
                served = min(unit, run.cost_units - run.served_cost_units)
                run.served_cost_units += served
                customer = run.attempt.customer_id
                self.served[customer] = self.served.get(customer, 0.0) + served
                if run.served_cost_units >= run.cost_units - 1e-9:
                    done.append(run)
                elif tells:
                    usage = Usage(output_tokens=int(run.served_cost_units))
                    self.routers[run.router_id].record_progress(
                        run.attempt.attempt_id, usage, self.now_seconds
                    )
            for run in done:
                runs.remove(run)
                usage = Usage(output_tokens=round(run.cost_units))
                self.routers[run.router_id].settle_attempt(
                    run.attempt.attempt_id, usage, Outcome.RAN, self.now_seconds
                )

    # --- measures --------------------------------------------------------------------

    def backlogged(self) -> set[str]:
        """Return the customers with waiting requests."""
        return {
            request.customer_id
            for waiting in self.waiting.values()
            for request in waiting.values()
        }

    def running(self, target_id: str) -> int:
        """Return how many requests are at a target."""
        return len(self._runs[target_id])

    def _measure(self) -> None:
        """Count use of capacity while work waits, and sample the gap."""
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
        """Return the part of the slots in use while any request waited."""
        measurements = self.measurements
        if measurements.backlogged_slot_seconds == 0.0:
            return 1.0
        return measurements.busy_slot_seconds / measurements.backlogged_slot_seconds


def make_targets(
    engines_by_data_centre: Mapping[str, int],
    slots: int,
    serves: tuple[str, ...] = ("m",),
) -> dict[str, Target]:
    """Return model engines, some in each data centre.

    Args:
        engines_by_data_centre: Number of engines in each data centre.
        slots: Requests that each runs at once.
        serves: The models.

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
