"""Membership and messages relayed by hubs over a lossy network."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesameford.members import make_members
from sesameford.messages import (
    Heartbeat,
    MembersRequest,
    Outgoing,
    SuspectUpdate,
    TreeRequest,
)
from sesameford.overlay import Topology, make_overlay
from sesameford.tables import InstanceState

STEP_SECONDS = 0.25
HEARTBEAT_STEPS = 2
SETTLE_SECONDS = 12.0
NAMES_BY_DATA_CENTRE = {
    "a": ("ah1", "ah2", "ar1"),
    "b": ("bh1", "br1", "br2"),
    "c": ("ch1", "cr1"),
}
NAMES = tuple(name for names in NAMES_BY_DATA_CENTRE.values() for name in names)
HUBS = tuple(name for name in NAMES if name[1] == "h")


class Node:
    """One instance: its members, its overlay and the messages delivered to it."""

    def __init__(self, world, name, incarnation):
        self.name = name
        self.is_hub = name in HUBS
        own = NAMES_BY_DATA_CENTRE[name[0]]
        peers = own if self.is_hub else [one for one in own if one in HUBS]
        if self.is_hub:
            peers = {*own, *HUBS}
        self.peers = {one: one[0] for one in sorted(peers) if one != name}
        hubs = tuple(one for one in self.peers if one in HUBS)
        self.revision = 0
        self.delivered = []
        self.members = make_members(name, incarnation, name[0], self.is_hub, hubs)
        topology = Topology(name, incarnation, name[0], self.is_hub, self.peers, hubs)
        self.overlay = make_overlay(
            topology,
            self.members,
            lambda outgoing: world.put_on_links(self, outgoing),
            lambda origin, inc, message: self.handle_message(
                world, origin, inc, message
            ),
        )
        self.incarnation = incarnation

    def handle_message(self, world, origin, incarnation, message):
        if isinstance(message, Heartbeat):
            self.members.handle_heartbeat(origin, incarnation, message, world.now)
        else:
            self.delivered.append((origin, message))


class MembersMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.random = Random(seed)
        self.now = 0.0
        self.steps = 0
        self.loss = 0.0
        self.cut = frozenset()
        self.wire = []
        self.late = []
        self.sent = 0
        self.members_requests = 0
        self.starts = 0
        self.nodes = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.starts += 1
        self.nodes[name] = Node(self, name, self.starts)

    @rule(name=st.sampled_from(NAMES))
    def restart_empty(self, name):
        self.start(name)

    @rule(name=st.sampled_from(NAMES))
    def go_down(self, name):
        self.nodes.pop(name, None)

    @rule(name=st.sampled_from(NAMES), revision=st.integers(1, 9))
    def take_a_tree(self, name, revision):
        if name in self.nodes:
            self.nodes[name].revision = max(self.nodes[name].revision, revision)

    @rule(
        places=st.sets(st.sampled_from("abc"), max_size=1),
        names=st.sets(st.sampled_from(NAMES), max_size=2),
        loss=st.sampled_from((0.0, 0.3)),
    )
    def network_worsens(self, places, names, loss):
        self.cut = frozenset(names) | {
            n for p in places for n in NAMES_BY_DATA_CENTRE[p]
        }
        self.loss = loss

    @rule(count=st.integers(1, 20))
    def pass_time(self, count):
        for _ in range(count):
            self.step()

    @rule()
    def heal_and_all_agree(self):
        self.settle()
        self.members_requests = 0
        for _ in range(16):
            self.step()
        # Digests that never agree would cause requests of whole tables for ever.
        assert self.members_requests == 0
        up = set(self.nodes)
        for name, node in self.nodes.items():
            expected = self.visible_from(name, up)
            live = node.members.live(self.now)
            assert set(live) == expected, (name, sorted(live), sorted(expected))
            for other, row in live.items():
                assert row.revision == self.nodes[other].revision, (name, other)
                assert row.incarnation == self.nodes[other].incarnation

    @rule(origin=st.sampled_from(NAMES), receiver=st.sampled_from(NAMES))
    def a_message_finds_its_way(self, origin, receiver):
        self.settle()
        if not {origin, receiver} <= set(self.nodes) or origin == receiver:
            return
        if receiver not in self.visible_from(origin, set(self.nodes)):
            return
        message = TreeRequest(self.starts)
        self.clear()
        outgoing = Outgoing(receiver, message, urgent=True)
        self.nodes[origin].overlay.send(outgoing, self.now)
        self.drain()
        for name, node in self.nodes.items():
            expected = [(origin, message)] if name == receiver else []
            assert node.delivered == expected, (name, node.delivered)

    @rule(origin=st.sampled_from(NAMES))
    def a_message_to_all_reaches_all(self, origin):
        self.settle()
        if origin not in self.nodes:
            return
        message = SuspectUpdate(b"digest", ("death",), False)
        self.clear()
        before = self.sent
        self.nodes[origin].overlay.send(Outgoing(None, message), self.now)
        self.drain()
        reached = {
            n for n, node in self.nodes.items() if (origin, message) in node.delivered
        }
        assert reached >= self.visible_from(origin, set(self.nodes))
        assert self.sent - before <= 4 * len(NAMES)

    def visible_from(self, name, up):
        """Return the instances that are reachable from one, directly or by hubs."""
        visible = set()
        for place, names in NAMES_BY_DATA_CENTRE.items():
            hubs = [one for one in names if one in HUBS and one in up]
            own_hubs = [
                one
                for one in NAMES_BY_DATA_CENTRE[name[0]]
                if one in HUBS and one in up
            ]
            if (hubs and own_hubs) or (place == name[0] and name in HUBS):
                visible |= {one for one in names if one in up}
        return visible - {name}

    def settle(self):
        self.cut, self.loss = frozenset(), 0.0
        for _ in range(int(SETTLE_SECONDS / STEP_SECONDS)):
            self.step()

    def clear(self):
        self.drain()
        for node in self.nodes.values():
            node.delivered.clear()

    def step(self):
        self.now += STEP_SECONDS
        self.steps += 1
        if self.steps % HEARTBEAT_STEPS == 0:
            for node in list(self.nodes.values()):
                heartbeat = node.members.heartbeat(
                    InstanceState.READY, node.revision, self.now
                )
                self.put_on_links(node, Outgoing(None, heartbeat))
                node.overlay.tick(self.now)
        if self.random.random() < 0.3:
            self.wire += self.late
            self.late = []
        self.drain()

    def drain(self):
        for _ in range(8):
            arriving, self.wire = self.wire, []
            if self.loss and not self.late:
                self.late = [one for one in arriving if self.random.random() < 0.2]
            self.random.shuffle(arriving)
            for sender, incarnation, receiver, message in arriving:
                if receiver in self.nodes and not self.is_cut(sender, receiver):
                    overlay = self.nodes[receiver].overlay
                    overlay.handle_message(sender, incarnation, message, self.now)

    def is_cut(self, one, other):
        return len({one, other} & self.cut) == 1

    def put_on_links(self, node, outgoing):
        receivers = (
            list(node.peers) if outgoing.receiver_id is None else [outgoing.receiver_id]
        )
        for receiver in receivers:
            assert receiver in node.peers
            self.sent += 1
            self.members_requests += isinstance(outgoing.message, MembersRequest)
            for _ in range(1 + (self.random.random() < 0.05 * (self.loss > 0))):
                if self.random.random() >= self.loss:
                    item = (node.name, node.incarnation, receiver, outgoing.message)
                    self.wire.append(item)


TestMembers = MembersMachine.TestCase
TestMembers.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=15, deadline=None
)
