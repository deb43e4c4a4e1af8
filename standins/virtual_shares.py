"""Simulates admission at routers, aggregation at replicas and engines in virtual time.

Routers and replicas run the product's load system. All engines are one queue in order
of admission, so that shares alone decide which customer is served, not placement.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import cycle
from random import Random
from typing import cast

from sesameford.gateway.call_context import GatewayState, make_gateway_state
from sesameford.gateway.fleet_sums import LiveInstances
from sesameford.gateway.load_report import REPORT_SECONDS
from sesameford.gateway.load_system import LoadSystem, make_load_system
from sesameford.gateway.placement import Placement
from sesameford.gateway.share_account import Admission
from sesameford.load_messages import (
    FleetLoad,
    PartialLoad,
    RouterLoad,
    RouterLoadHandover,
)
from sesameford.messages import Message, Outgoing
from sesameford.operators_http import digest_of_key
from sesameford.tree import effective_tree, parse_tree
from standins.engine_queue import FAILED_WORK, EngineQueue, QueuePlacement
from standins.share_ledger import make_share_ledger
from standins.virtual_loop import (
    CallCosts,
    VirtualLoop,
    WaitingCall,
    make_virtual_loop,
)

ROUTES = ("long", "short", "tag")
HOST = "h.example"
PATH = "/l/"
TREE = """
fleet: {{tokens_per_second: {tokens}}}
customers: {{children: {customers}}}
services: {{children: {{pool: {{batch_slots: 16}}}}}}
routes:
  host: h.example
  objective_seconds: 0.25
  backends: [{{service: pool, weight: 1}}]
  children: {{long: {{path_prefix: /l/, is_stream: true}}}}
"""
HEARTBEAT_SECONDS = 0.5
# Fraction of calls that arrive on a connection that is already open.
REUSED_CONNECTION_FRACTION = 0.5
# Routers start one after the other, so that they don't all report at the same time.
START_SPREAD_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand of one customer, which its callers send to ``routers``.

    It is a square wave of ``period_seconds`` around ``tokens_per_second``, with
    ``spread`` as its amplitude, a fraction of the mean. It starts at ``from_seconds``.
    """

    tokens_per_second: float
    routers: Sequence[int]
    size_tokens: int = 3_000
    spread: float = 0.0
    period_seconds: float = 1.0
    from_seconds: float = 0.0

    def rate(self, now_seconds: float) -> float:
        """Return the demand at a time, in tokens per second."""
        if now_seconds < self.from_seconds:
            return 0.0
        is_up = (now_seconds / self.period_seconds) % 1.0 < 0.5
        return self.tokens_per_second * (1 + (self.spread if is_up else -self.spread))


class VirtualShares:
    """Simulates routers, replicas and engines, with faults of links and processes.

    A link is a router's number and a replica's name. On ``silent`` links no message is
    delivered, heartbeats included; on ``lost`` links only the replica's answers are
    lost. ``frozen`` replicas are suspended, and messages to them wait. ``isolated``
    replicas receive nothing from other replicas. ``cut`` has pairs of replicas of which
    the second receives nothing from the first. Engines fail ``failed_fraction`` of the
    admitted requests at once, ``failed_fractions`` of single customers. If
    ``failed_work`` is set, they have done the work of these before. The callers of
    ``left_fractions`` of a customer's admitted requests leave before an engine works on
    them. ``refused_fractions`` of its requests are refused before its share is asked.
    """

    def __init__(
        self,
        routers: int,
        replicas: Sequence[str],
        tokens_per_second: float,
        declared_tokens: float,
        data_centres: int,
        customers: Sequence[str],
    ) -> None:
        self.ledger = make_share_ledger()
        self.lost: set[tuple[int, str]] = set()
        self.silent: set[tuple[int, str]] = set()
        self.frozen: set[str] = set()
        self.isolated: set[str] = set()
        self.now_seconds = 0.0
        self.partial_loads_sent = 0
        self.failed_fraction = 0.0
        self.failed_fractions: dict[str, float] = {}
        self.failed_work = False
        self.left_fractions: dict[str, float] = {}
        self.refused_fractions: dict[str, float] = {}
        self._random = Random("failures")
        self.cut: set[tuple[str, str]] = set()
        self._data_centres = data_centres
        self._queue = EngineQueue(tokens_per_second)
        self._replica_ids = tuple(replicas)
        self._numbers = {f"r{number}": number for number in range(routers)}
        keys = ", ".join(
            f"{customer}: {{key_digests: [{digest_of_key(customer)}]}}"
            for customer in customers
        )
        text = TREE.format(tokens=declared_tokens, customers=f"{{{keys}}}")
        state = make_gateway_state(effective_tree(parse_tree(text, "t"), 1))
        self._state = state
        self.loops: dict[int, VirtualLoop] = {}
        self._sent: list[tuple[str, Outgoing]] = []
        self.routers = [
            self._make_load_system(f"r{number}", False, state)
            for number in range(routers)
        ]
        self.replicas = {
            name: self._make_load_system(name, True, state)
            for name in self._replica_ids
        }
        self._arriving: list[tuple[float, int, WaitingCall]] = []
        self._queue_waits: list[tuple[float, float]] = []
        self._last_seen_at_seconds: dict[tuple[str, str], float] = {}
        self._replica_inboxes: dict[str, list[tuple[str, Message]]] = defaultdict(list)
        self._due_tokens: dict[str, float] = defaultdict(float)

    def _make_load_system(
        self, name: str, has_disk: bool, state: GatewayState
    ) -> LoadSystem:
        def is_live(other: str, now_seconds: float, within_seconds: float) -> bool:
            last_seen_at_seconds = self._last_seen_at_seconds.get(
                (other, name), float("-inf")
            )
            return now_seconds - last_seen_at_seconds < within_seconds

        def live_replicas(now_seconds: float, within_seconds: float) -> Collection[str]:
            return [
                replica
                for replica in self._replica_ids
                if is_live(replica, now_seconds, within_seconds)
            ]

        def near_replicas(now_seconds: float, within_seconds: float) -> Collection[str]:
            return [
                replica
                for replica in live_replicas(now_seconds, within_seconds)
                if self._data_centre(replica) == self._data_centre(name)
            ]

        def live_routers(now_seconds: float, within_seconds: float) -> int:
            return sum(
                is_live(router, now_seconds, within_seconds) for router in self._numbers
            )

        return make_load_system(
            has_disk,
            cast(Placement, QueuePlacement(self._queue)),
            lambda: state,
            LiveInstances(live_replicas, near_replicas, live_routers),
            lambda outgoing: self._sent.append((name, outgoing)),
            Random(name),
        )

    def play(
        self,
        seconds: float,
        demands: Mapping[str, Demand],
        random: Random,
        spare_capacity_wait_seconds: float = 0.0,
    ) -> None:
        """Advance virtual time.

        Args:
            seconds: Time to simulate.
            demands: Demand of each customer.
            random: Distributes each customer's requests over routes and its routers.
            spare_capacity_wait_seconds: Requests above a customer's share are admitted
                while prompts wait less than this for an engine.
        """
        end_seconds = self.now_seconds + seconds
        routers = {
            name: cycle(random.sample(list(one.routers), len(one.routers)))
            for name, one in demands.items()
        }
        while self.now_seconds < end_seconds:
            for name, demand in demands.items():
                rate = demand.rate(self.now_seconds)
                self._due_tokens[name] += rate * REPORT_SECONDS
                while self._due_tokens[name] >= demand.size_tokens:
                    self._due_tokens[name] -= demand.size_tokens
                    router = next(routers[name])
                    route = random.choice(ROUTES)
                    self._submit_request(
                        name,
                        router,
                        route,
                        demand.size_tokens,
                        spare_capacity_wait_seconds,
                    )
            self._run_loops()
            self._start_requests()
            self._queue_waits.append((self.now_seconds, self._queue.wait_seconds))
            self._tick()
            self.now_seconds += REPORT_SECONDS

    def set_call_costs(self, router: int, costs: CallCosts) -> None:
        """Set the processor time that calls cost a router from now on.

        Args:
            router: The router's number. It accepts calls of the customers that were
                passed to `make_virtual_shares`.
            costs: Processor time of each call.
        """

        def admit(call: WaitingCall) -> None:
            self._queue.add(call.customer, router, call.tokens)
            self.ledger.record_request(
                call.customer, call.tokens, False, int(self.now_seconds)
            )

        def refuse(call: WaitingCall) -> None:
            self.ledger.record_request(
                call.customer, call.tokens, True, int(self.now_seconds)
            )

        loop = make_virtual_loop(
            self.routers[router],
            costs,
            self._state,
            cast(Placement, QueuePlacement(self._queue)),
            admit,
            refuse,
        )
        loop.clock_seconds = self.now_seconds
        self.loops[router] = loop

    def tokens_admitted_without_limit(self) -> int:
        """Return the tokens that routers admitted while no limit was in force."""
        return sum(
            router.gate.account.totals[Admission.NOT_LIMITED] for router in self.routers
        )

    def longest_wait(self, from_seconds: float) -> float:
        """Return the longest wait for engines since a time, in seconds."""
        return max(
            wait for at_seconds, wait in self._queue_waits if at_seconds >= from_seconds
        )

    def _submit_request(
        self,
        name: str,
        router: int,
        route: str,
        tokens: int,
        spare_capacity_wait_seconds: float,
    ) -> None:
        self.ledger.record_request_size(name, tokens)
        if router in self.loops:
            at_seconds = self.now_seconds + self._random.random() * REPORT_SECONDS
            is_connected = self._random.random() < REUSED_CONNECTION_FRACTION
            call = WaitingCall(at_seconds, name, HOST, PATH, tokens, is_connected)
            self._arriving.append((at_seconds, router, call))
            return

        def has_spare_capacity() -> bool:
            return self._queue.wait_seconds < spare_capacity_wait_seconds

        gate = self.routers[router].gate
        is_admitted = False
        if self._is_drawn(self.refused_fractions.get(name, 0.0)):
            gate.record_refused_demand(name, tokens)
        else:
            is_admitted = gate.admits(name, route, tokens, has_spare_capacity)
        self.ledger.record_request(name, tokens, not is_admitted, int(self.now_seconds))
        if is_admitted:
            self._run_admitted(name, router, tokens)

    def _run_admitted(self, name: str, router: int, tokens: int) -> None:
        """Send an admitted request to the engines, or lose it before."""
        gate = self.routers[router].gate
        if self._is_drawn(self.left_fractions.get(name, 0.0)):
            gate.record_lost(name, "caller-left", tokens)
            return
        failed_fraction = self.failed_fractions.get(name, self.failed_fraction)
        if self._random.random() >= failed_fraction:
            self._queue.add(name, router, tokens)
            return
        gate.record_failure(tokens)
        gate.record_lost(name, "failed", tokens)
        if self.failed_work:
            self._queue.add_failed(router, tokens)

    def _is_drawn(self, fraction: float) -> bool:
        return fraction > 0.0 and self._random.random() < fraction

    def _run_loops(self) -> None:
        """Run the loops of routers with call costs until the next step."""
        arriving, self._arriving = (
            sorted(self._arriving, key=lambda arrival: arrival[0]),
            [],
        )
        for _, router, call in arriving:
            self.loops[router].arrive(call)
        for loop in self.loops.values():
            loop.run(self.now_seconds + REPORT_SECONDS)

    def _start_requests(self) -> None:
        for name, router, tokens in self._queue.start_requests(REPORT_SECONDS):
            if name == FAILED_WORK:
                continue
            self.routers[router].gate.record_start(name, tokens)
            self.ledger.record_start(name, tokens, int(self.now_seconds))

    def _exchange_heartbeats(self) -> None:
        """Deliver the heartbeats that are due where links and processes allow it."""
        instances = [*self._numbers, *self._replica_ids]
        for position, sender in enumerate(instances):
            phase_seconds = HEARTBEAT_SECONDS * position / len(instances)
            previous_period = (
                self.now_seconds - REPORT_SECONDS - phase_seconds
            ) // HEARTBEAT_SECONDS
            if (
                self.now_seconds - phase_seconds
            ) // HEARTBEAT_SECONDS == previous_period:
                continue
            for receiver in instances:
                if sender != receiver and self._is_delivered(sender, receiver):
                    self._last_seen_at_seconds[sender, receiver] = self.now_seconds

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        """Return whether a heartbeat is delivered."""
        if sender in self.frozen or receiver in self.frozen:
            return False
        if receiver in self.isolated and sender in self._replica_ids:
            return False
        if (sender, receiver) in self.cut:
            return False
        for router, replica in ((sender, receiver), (receiver, sender)):
            if (
                router in self._numbers
                and (self._numbers[router], replica) in self.silent
            ):
                return False
        return True

    def _tick(self) -> None:
        """Run all load systems; their messages arrive within the same step."""
        self._exchange_heartbeats()
        started = int(self.now_seconds / START_SPREAD_SECONDS * len(self.routers))
        for number, router in enumerate(self.routers[:started]):
            if number not in self.loops:
                router.tick(self.now_seconds)
        self._deliver_messages()
        for name, replica in self.replicas.items():
            if name not in self.frozen:
                self._process_messages(name)
                replica.tick(self.now_seconds)
        self._deliver_messages()

    def _data_centre(self, name: str) -> int:
        """Return the data centre of an instance; each data centre has a replica."""
        if name in self._replica_ids:
            return self._replica_ids.index(name) % self._data_centres
        return self._numbers[name] % self._data_centres

    def _deliver_messages(self) -> None:
        sent, self._sent = self._sent, []
        for sender, outgoing in sent:
            receiver, message = str(outgoing.receiver_id), outgoing.message
            if isinstance(message, RouterLoad | RouterLoadHandover):
                if (self._numbers[sender], receiver) not in self.silent:
                    self._replica_inboxes[receiver].append((sender, message))
            elif isinstance(message, PartialLoad):
                self.partial_loads_sent += 1
                if receiver in self.isolated or (sender, receiver) in self.cut:
                    continue
                self._replica_inboxes[receiver].append((sender, message))
            elif isinstance(message, FleetLoad):
                number = self._numbers[receiver]
                if (number, sender) not in self.lost | self.silent:
                    self._deliver_fleet_load(number, sender, message)

    def _deliver_fleet_load(self, number: int, sender: str, fleet: FleetLoad) -> None:
        """Pass a replica's sums to a router; one with call costs queues them."""
        router = self.routers[number]
        if number in self.loops:
            self.loops[number].receive(partial(router.handle_fleet_load, sender, fleet))
        else:
            router.handle_fleet_load(sender, fleet, self.now_seconds)

    def _process_messages(self, replica_id: str) -> None:
        """Process the messages that wait for a replica."""
        replica = self.replicas[replica_id]
        for sender, message in self._replica_inboxes.pop(replica_id, []):
            if isinstance(message, RouterLoad):
                replica.handle_report(sender, message, self.now_seconds)
            elif isinstance(message, RouterLoadHandover):
                replica.handle_handover(sender)
            elif isinstance(message, PartialLoad):
                replica.handle_partial(sender, message, self.now_seconds)


def make_virtual_shares(
    routers: int,
    replicas: Sequence[str],
    tokens_per_second: float,
    declared_tokens: float | None = None,
    data_centres: int = 1,
    customers: Sequence[str] = (),
) -> VirtualShares:
    """Return a fleet without load.

    Args:
        routers: Number of routers.
        replicas: Names of replicas; the first in order is the aggregator while all
            routers receive its heartbeats.
        tokens_per_second: Prompt tokens that all engines read per second.
        declared_tokens: Tokens per second declared in the settings; None for the same.
        data_centres: Number of data centres of routers and replicas.
        customers: Customers of the routers whose calls cost processor time.
    """
    declared_tokens = declared_tokens or tokens_per_second
    return VirtualShares(
        routers, replicas, tokens_per_second, declared_tokens, data_centres, customers
    )
