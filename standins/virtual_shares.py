"""Routers' admission, replicas that add up and engines as one queue, in virtual time.

Routers and replicas run the product's own load system. Engines are one queue in order
of admission, so that who is served is decided by shares alone and not by placement.
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
from standins.engine_queue import EngineQueue, QueuePlacement
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
BEAT_SECONDS = 0.5
# The part of calls that come on a connection which is open already.
KEPT_PART = 0.5
# Routers start one after the other, so that they don't tell their loads all at once.
STARTS_WITHIN_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Demand:
    """What a customer asks; ``routers`` are the ones that its callers reach.

    ``spread`` is how far its demand swings to either side, as a part of it, with
    ``period_seconds``: a square wave.
    """

    tokens_per_second: float
    routers: Sequence[int]
    size_tokens: int = 3_000
    spread: float = 0.0
    period_seconds: float = 1.0
    from_seconds: float = 0.0

    def rate(self, now_seconds: float) -> float:
        """Return what is asked a second at a time."""
        if now_seconds < self.from_seconds:
            return 0.0
        is_up = (now_seconds / self.period_seconds) % 1.0 < 0.5
        return self.tokens_per_second * (1 + (self.spread if is_up else -self.spread))


class VirtualShares:
    """Routers, replicas and engines; ``lost`` are links on which answers are lost.

    ``silent`` are links on which nothing is heard at all, heartbeats included; a link
    is a router's number and a replica's name. Replicas that are ``frozen`` stand still,
    and what is sent to them waits; those that are ``deaf`` hear no other replica, and
    ``cut`` has pairs of replicas of which the second does not hear the first. Engines
    fail ``failed_part`` of what is let in, at once.
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
        self.deaf: set[str] = set()
        self.now_seconds = 0.0
        self.exchanged = 0
        self.failed_part = 0.0
        self._draws = Random("failures")
        self.cut: set[tuple[str, str]] = set()
        self._data_centres = data_centres
        self._queue = EngineQueue(tokens_per_second)
        self._replica_ids = tuple(replicas)
        self._numbers = {f"r{number}": number for number in range(routers)}
        keys = ", ".join(
            f"{one}: {{key_digests: [{digest_of_key(one)}]}}" for one in customers
        )
        text = TREE.format(tokens=declared_tokens, customers=f"{{{keys}}}")
        state = make_gateway_state(effective_tree(parse_tree(text, "t"), 1))
        self._state = state
        self.loops: dict[int, VirtualLoop] = {}
        self._sent: list[tuple[str, Outgoing]] = []
        self.routers = [
            self._make(f"r{number}", False, state) for number in range(routers)
        ]
        self.replicas = {
            name: self._make(name, True, state) for name in self._replica_ids
        }
        self._arriving: list[tuple[float, int, WaitingCall]] = []
        self._waits: list[tuple[float, float]] = []
        self._last_seen_at_seconds: dict[tuple[str, str], float] = {}
        self._waiting: dict[str, list[tuple[str, Message]]] = defaultdict(list)
        self._due_tokens: dict[str, float] = defaultdict(float)

    def _make(self, name: str, has_disk: bool, state: GatewayState) -> LoadSystem:
        def is_live(other: str, now_seconds: float, within_seconds: float) -> bool:
            last_seen_at_seconds = self._last_seen_at_seconds.get(
                (other, name), float("-inf")
            )
            return now_seconds - last_seen_at_seconds < within_seconds

        def live_replicas(now_seconds: float, within_seconds: float) -> Collection[str]:
            return [
                one
                for one in self._replica_ids
                if is_live(one, now_seconds, within_seconds)
            ]

        def near_replicas(now_seconds: float, within_seconds: float) -> Collection[str]:
            return [
                one
                for one in live_replicas(now_seconds, within_seconds)
                if self._data_centre(one) == self._data_centre(name)
            ]

        def live_routers(now_seconds: float, within_seconds: float) -> int:
            return sum(
                is_live(one, now_seconds, within_seconds) for one in self._numbers
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
        room_seconds: float = 0.0,
    ) -> None:
        """Let time pass.

        Args:
            seconds: How long.
            demands: By customer.
            random: Spreads each customer's requests over routes and its routers.
            room_seconds: Who is over its share is served where prompts wait less.
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
                    self._ask(name, router, route, demand.size_tokens, room_seconds)
            self._run_loops()
            self._begin()
            self._waits.append((self.now_seconds, self._queue.wait_seconds))
            self._tick()
            self.now_seconds += REPORT_SECONDS

    def charge(self, router: int, costs: CallCosts) -> None:
        """Let calls cost a router processor time, from now on.

        Args:
            router: Its number. Its customers are those that the fleet was made with.
            costs: What calls cost it.
        """

        def begin(call: WaitingCall) -> None:
            self._queue.add(call.customer, router, call.tokens)
            self.ledger.asked(call.customer, call.tokens, False, int(self.now_seconds))

        def refuse(call: WaitingCall) -> None:
            self.ledger.asked(call.customer, call.tokens, True, int(self.now_seconds))

        loop = make_virtual_loop(
            self.routers[router],
            costs,
            self._state,
            cast(Placement, QueuePlacement(self._queue)),
            begin,
            refuse,
        )
        loop.clock_seconds = self.now_seconds
        self.loops[router] = loop

    def let_in_without_limit(self) -> int:
        """Return the tokens that routers let in because nobody limited them."""
        return sum(
            router.gate.account.totals[Admission.NOT_LIMITED] for router in self.routers
        )

    def longest_wait(self, from_seconds: float) -> float:
        """Return how long a prompt waited at most for engines since a time, seconds."""
        return max(wait for at, wait in self._waits if at >= from_seconds)

    def _ask(
        self, name: str, router: int, route: str, tokens: int, room_seconds: float
    ) -> None:
        self.ledger.largest(name, tokens)
        if router in self.loops:
            at_seconds = self.now_seconds + self._draws.random() * REPORT_SECONDS
            is_kept = self._draws.random() < KEPT_PART
            call = WaitingCall(at_seconds, name, HOST, PATH, tokens, is_kept)
            self._arriving.append((at_seconds, router, call))
            return

        def has_room() -> bool:
            return self._queue.wait_seconds < room_seconds

        is_in = self.routers[router].gate.admits(name, route, tokens, has_room)
        self.ledger.asked(name, tokens, not is_in, int(self.now_seconds))
        if not is_in:
            return
        if self._draws.random() < self.failed_part:
            self.routers[router].gate.record_failure(tokens)
        else:
            self._queue.add(name, router, tokens)

    def _run_loops(self) -> None:
        """Let the charged routers work until the next step."""
        arriving, self._arriving = sorted(self._arriving, key=lambda one: one[0]), []
        for _, router, call in arriving:
            self.loops[router].arrive(call)
        for loop in self.loops.values():
            loop.run(self.now_seconds + REPORT_SECONDS)

    def _begin(self) -> None:
        for name, router, tokens in self._queue.start_requests(REPORT_SECONDS):
            self.routers[router].gate.record_start(name, tokens)
            self.ledger.began(name, tokens, int(self.now_seconds))

    def _beat(self) -> None:
        """Let everybody who beats now be heard, where links and processes allow it."""
        everybody = [*self._numbers, *self._replica_ids]
        for position, sender in enumerate(everybody):
            phase_seconds = BEAT_SECONDS * position / len(everybody)
            before = (self.now_seconds - REPORT_SECONDS - phase_seconds) // BEAT_SECONDS
            if (self.now_seconds - phase_seconds) // BEAT_SECONDS == before:
                continue
            for receiver in everybody:
                if sender != receiver and self._passes(sender, receiver):
                    self._last_seen_at_seconds[sender, receiver] = self.now_seconds

    def _passes(self, sender: str, receiver: str) -> bool:
        """Return whether a heartbeat comes through."""
        if sender in self.frozen or receiver in self.frozen:
            return False
        if receiver in self.deaf and sender in self._replica_ids:
            return False
        if (sender, receiver) in self.cut:
            return False
        for one, other in ((sender, receiver), (receiver, sender)):
            if one in self._numbers and (self._numbers[one], other) in self.silent:
                return False
        return True

    def _tick(self) -> None:
        """Run all load systems; what they send comes within the same step."""
        self._beat()
        started = int(self.now_seconds / STARTS_WITHIN_SECONDS * len(self.routers))
        for number, router in enumerate(self.routers[:started]):
            if number not in self.loops:
                router.tick(self.now_seconds)
        self._deliver()
        for name, replica in self.replicas.items():
            if name not in self.frozen:
                self._catch_up(name)
                replica.tick(self.now_seconds)
        self._deliver()

    def _data_centre(self, name: str) -> int:
        """Return where an instance is; each data centre has a replica."""
        if name in self._replica_ids:
            return self._replica_ids.index(name) % self._data_centres
        return self._numbers[name] % self._data_centres

    def _deliver(self) -> None:
        sent, self._sent = self._sent, []
        for sender, outgoing in sent:
            receiver, message = str(outgoing.receiver_id), outgoing.message
            if isinstance(message, RouterLoad | RouterLoadHandover):
                if (self._numbers[sender], receiver) not in self.silent:
                    self._waiting[receiver].append((sender, message))
            elif isinstance(message, PartialLoad):
                self.exchanged += 1
                if receiver in self.deaf or (sender, receiver) in self.cut:
                    continue
                self._waiting[receiver].append((sender, message))
            elif isinstance(message, FleetLoad):
                number = self._numbers[receiver]
                if (number, sender) not in self.lost | self.silent:
                    self._hear(number, sender, message)

    def _hear(self, number: int, sender: str, fleet: FleetLoad) -> None:
        """Let a router hear the sums of a replica, a charged one when it turns."""
        router = self.routers[number]
        if number in self.loops:
            self.loops[number].receive(partial(router.handle_fleet_load, sender, fleet))
        else:
            router.handle_fleet_load(sender, fleet, self.now_seconds)

    def _catch_up(self, replica_id: str) -> None:
        """Let a replica read what has come."""
        replica = self.replicas[replica_id]
        for sender, message in self._waiting.pop(replica_id, []):
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
    """Return a fleet that has not been asked for anything.

    Args:
        routers: How many.
        replicas: Their names; the first in order adds up while all hear it.
        tokens_per_second: What engines read.
        declared_tokens: What they are declared to read, None if it is the same.
        data_centres: Over how many routers and replicas are spread.
        customers: Those that ask by routers whose calls cost processor time.
    """
    declared_tokens = declared_tokens or tokens_per_second
    return VirtualShares(
        routers, replicas, tokens_per_second, declared_tokens, data_centres, customers
    )
