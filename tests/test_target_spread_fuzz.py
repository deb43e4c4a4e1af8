"""Targets in a fleet with message loss: only live targets get work."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sesameford.messages import (
    LeaseAttestations,
    TargetAnnouncement,
    TargetRenewal,
    TargetRow,
    TargetRows,
    TargetRowsRequest,
)
from sesameford.tables import TargetKind
from sesameford.target_replication import (
    ATTESTED_LEASE_SECONDS,
    make_target_replication,
)
from sesameford.targets import TargetRegistry

LEASE_SECONDS = 2.0
ANNOUNCE_SECONDS = 0.5
STEP_SECONDS = 0.125
MAX_DELAY_SECONDS = 0.5
SETTLE_SECONDS = 6.0
TARGETS = ("t0", "t1", "t2")


@dataclass
class FakeTarget:
    """A target's real state; ``silent_since`` is its last announcement or leave."""

    incarnation: int = 0
    sequence: int = 0
    is_up: bool = False
    next_announcement: float = 0.0
    silent_since: float = -100.0


@dataclass
class Instance:
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    incarnation: int = 1


class SpreadMachine(RuleBasedStateMachine):
    """Mesh of four instances, or two data centres behind two hubs."""

    @initialize(seed=st.integers(0, 2**32), hubs=st.booleans())
    def begin(self, seed, hubs):
        self.random = Random(seed)
        self.now = 0.0
        self.hubs = hubs
        self.loss = 0.0
        self.cut = frozenset()
        self.wire = []
        self.targets = {name: FakeTarget() for name in TARGETS}
        self.starts = 0
        self.hub_reachable_at = {}
        self.instances = {}
        self.replications = {}
        for name in ("h0", "h1", "r0", "r1"):
            self.start(name)

    def start(self, name):
        self.starts += 1
        self.instances[name] = Instance(incarnation=self.starts * 1000)
        is_hub = self.hubs and name in ("h0", "h1")
        replication = make_target_replication(
            self.instances[name].registry,
            name,
            self.instances[name].incarnation,
            is_hub,
            {"h0", "h1"} - {name} if self.hubs else (),
        )
        # An instance that has just started has not yet received from its hub.
        self.hub_reachable_at[name] = self.now + self.random.choice((0.5, 1.0, 3.0))
        self.replications[name] = replication

    def peers(self, name):
        if not self.hubs:
            return [one for one in self.instances if one != name]
        if name.startswith("r"):
            return ["h" + name[1]]
        return [one for one in self.instances if one[0] == "h" and one != name] + [
            "r" + name[1]
        ]

    def is_cut(self, one, other):
        return bool({one, other} & self.cut) and not {one, other} <= self.cut

    @rule(count=st.integers(1, 16))
    def pass_time(self, count):
        for _ in range(count):
            self.step()

    @rule(name=st.sampled_from(TARGETS))
    def target_starts(self, name):
        target = self.targets[name]
        target.incarnation += 1
        target.sequence = 0
        target.is_up = True
        target.next_announcement = self.now

    @rule(name=st.sampled_from(TARGETS))
    def target_dies(self, name):
        self.targets[name].is_up = False

    @rule(name=st.sampled_from(TARGETS))
    def target_leaves(self, name):
        target = self.targets[name]
        if not target.is_up:
            return
        target.is_up = False
        target.sequence += 1
        at = self.random.choice(sorted(self.instances))
        self.replications[at].handle_leave(
            name, target.incarnation, target.sequence, self.now
        )
        self.flush(at)

    @rule(name=st.sampled_from(("h0", "h1", "r0", "r1")))
    def instance_restarts_empty(self, name):
        self.start(name)

    @rule(
        cut=st.sets(st.sampled_from(("h0", "h1", "r0", "r1")), max_size=2),
        loss=st.sampled_from((0.0, 0.2, 0.6)),
    )
    def network_worsens(self, cut, loss):
        self.cut = frozenset(cut)
        self.loss = loss

    @rule()
    def network_heals_and_all_agree(self):
        self.cut, self.loss = frozenset(), 0.0
        for _ in range(int(SETTLE_SECONDS / STEP_SECONDS)):
            self.step()
        for instance_name, instance in self.instances.items():
            # Not ``usable``: that also leaves out targets that are in backoff after
            # frequent restarts, which may differ between routers by design.
            for name, target in self.targets.items():
                entry = instance.registry.get(name)
                is_live = entry is not None and instance.registry.is_live(
                    entry, self.now
                )
                assert is_live == target.is_up, (instance_name, name)
                if entry is not None and is_live:
                    assert entry.target.incarnation == target.incarnation

    @invariant()
    def the_silent_get_no_work(self):
        if not hasattr(self, "instances"):
            return
        bound = LEASE_SECONDS + ATTESTED_LEASE_SECONDS + MAX_DELAY_SECONDS
        for instance in self.instances.values():
            for name in instance.registry.usable({}, self.now):
                target = self.targets[name]
                silent = self.now - target.silent_since
                assert target.is_up or silent <= bound, (name, silent)

    def step(self):
        self.now += STEP_SECONDS
        for name, target in self.targets.items():
            if target.is_up and target.next_announcement <= self.now:
                target.sequence += 1
                target.next_announcement = self.now + ANNOUNCE_SECONDS
                target.silent_since = self.now
                at = self.random.choice(sorted(self.instances))
                announcement = TargetAnnouncement(
                    name,
                    target.incarnation,
                    target.sequence,
                    TargetKind.MODEL,
                    ("m",),
                    "http://t",
                    "a",
                    4,
                    LEASE_SECONDS,
                )
                self.replications[at].handle_announcement(announcement, self.now)
        for name in list(self.instances):
            if self.hubs and name[0] == "r" and self.now >= self.hub_reachable_at[name]:
                self.replications[name].set_hub("h" + name[1])
            self.flush(name)
        due = [item for item in self.wire if item[0] <= self.now]
        self.wire = [item for item in self.wire if item[0] > self.now]
        for _, sender, receiver, message in due:
            if not self.is_cut(sender, receiver):
                self.deliver(sender, receiver, message)

    def flush(self, name):
        for outgoing in self.replications[name].collect_outgoing(self.now):
            peers = self.peers(name)
            if outgoing.receiver_id is not None:
                peers = [one for one in peers if one == outgoing.receiver_id]
            for peer in peers:
                copies = 1 + (self.random.random() < 0.1)
                for _ in range(copies):
                    if self.random.random() >= self.loss:
                        delay = self.random.uniform(0, MAX_DELAY_SECONDS / 4)
                        item = (self.now + delay, name, peer, outgoing.message)
                        self.wire.append(item)

    def deliver(self, sender, receiver, message):
        replication = self.replications[receiver]
        match message:
            case TargetAnnouncement():
                replication.handle_announcement(message, self.now)
            case TargetRenewal():
                replication.handle_renewal(sender, message, self.now)
            case TargetRow():
                replication.handle_row(sender, message, self.now)
            case TargetRows():
                replication.handle_rows(sender, message, self.now)
            case LeaseAttestations():
                replication.handle_attestations(sender, message, self.now)
            case TargetRowsRequest():
                replication.handle_rows_request(sender, message, self.now)


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
