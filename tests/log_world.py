"""Replicas in virtual time with disks and links that fail, for the state machines."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

from sesameford.fencing import FencingMachine
from sesameford.log_apply import AppliedProposal
from sesameford.log_core import has_lease, make_core
from sesameford.log_messages import (
    Command,
    Configuration,
    Entry,
    HardState,
    Member,
    Packet,
    VoteReply,
    decode_packet,
    encode_packet,
)
from sesameford.log_replica import Replica, make_replica
from sesameford.log_state import ELECTION_MAX_SECONDS, Role, SnapshotImage, StoredState
from sesameford.log_storage import Batch

TICK_SECONDS = 0.1


class CrashError(Exception):
    """The power fails here."""


class RevisionMachine:
    """Accepts a command ``base:value`` only if the base is the present length."""

    name = "revisions"

    def __init__(self) -> None:
        self.values: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        base, _, value = command.decode().partition(":")
        if int(base) != len(self.values):
            return b"conflict:%d" % len(self.values)
        self.values.append(value)
        return b"accepted:%d" % len(self.values)

    def snapshot(self) -> bytes:
        return ",".join(self.values).encode()

    def restore(self, snapshot: bytes) -> None:
        self.values = snapshot.decode().split(",") if snapshot else []


@dataclass
class Disk:
    """What is synced on one disk."""

    me: Member
    hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotImage | None = None
    entries: dict[int, Entry] = field(default_factory=dict)

    def load(self) -> StoredState:
        base = self.snapshot.index if self.snapshot else 0
        kept = [self.entries[index] for index in sorted(self.entries) if index > base]
        assert [entry.index for entry in kept] == list(
            range(base + 1, base + 1 + len(kept))
        )
        return StoredState(self.me, self.hard_state, self.snapshot, tuple(kept))


class FakeStorage:
    """Loses at a crash what was not synced, or keeps a part of it."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.crash_after: int | None = None
        self.keep = 0
        self.pending: list[HardState | Entry | SnapshotImage] = []

    def write(self, batch: Batch) -> None:
        self._maybe_crash()
        parts = (batch.snapshot, batch.hard_state, *batch.entries)
        self.pending += [part for part in parts if part is not None]

    def sync(self) -> None:
        self._maybe_crash()
        self._persist(len(self.pending))
        self._maybe_crash()

    def save_snapshot(self, image: SnapshotImage) -> None:
        self._maybe_crash()
        self._persist(len(self.pending))
        self.disk.snapshot = image
        self._maybe_crash()

    def close(self) -> None:
        pass

    def crash(self) -> None:
        """Let a part of what was written reach the disk all the same."""
        self._persist(self.keep)
        self.pending = []

    def _maybe_crash(self) -> None:
        if self.crash_after is not None:
            self.crash_after -= 1
            if self.crash_after < 0:
                raise CrashError

    def _persist(self, parts: int) -> None:
        for part in self.pending[:parts]:
            if isinstance(part, HardState):
                self.disk.hard_state = part
            elif isinstance(part, SnapshotImage):
                self.disk.snapshot = part
                self.disk.entries = {}
            else:
                for index in [i for i in self.disk.entries if i >= part.index]:
                    del self.disk.entries[index]
                self.disk.entries[part.index] = part
        del self.pending[:parts]


@dataclass
class Node:
    """An instance with a disk; ``replica`` is None while its process is down."""

    disk: Disk
    storage: FakeStorage
    clock_rate: float
    clock_offset_seconds: float
    replica: Replica | None = None
    revisions: RevisionMachine = field(default_factory=RevisionMachine)
    fencing: FencingMachine = field(default_factory=FencingMachine)


class World:
    """Nodes, links and the oracle: a plain list of what was accepted."""

    def __init__(self, size: int) -> None:
        self.now_seconds = 0.0
        self.names = [f"r{number}" for number in range(size)]
        self.random = Random(size)
        self.incarnations = 0
        self.lost: dict[Member, float] = {}
        self.wanted: frozenset[str] | None = None
        self.in_flight: list[tuple[str, str, bytes]] = []
        self.blocked: set[tuple[str, str]] = set()
        self.held: set[tuple[str, str]] = set()
        self.leaders: dict[int, Member] = {}
        self.votes: dict[tuple[Member, int], str] = {}
        self.log: dict[int, tuple[Command, bytes]] = {}
        self.accepted: list[str] = []
        self.answers: dict[str, bytes] = {}
        self.fence = FencingMachine()
        self.listeners: list[Callable[[Command, bytes], None]] = []
        self.nodes = {name: self._new_node(name) for name in self.names}
        for name in self.names:
            self.start(name)

    def _new_node(self, name: str) -> Node:
        self.incarnations += 1
        disk = Disk(Member(name, self.incarnations))
        rate = 1 + self.random.uniform(-0.02, 0.02)
        return Node(disk, FakeStorage(disk), rate, self.random.uniform(0, 1000))

    def clock(self, name: str) -> float:
        """Return the present time on a node's own clock."""
        node = self.nodes[name]
        return self.now_seconds * node.clock_rate + node.clock_offset_seconds

    def start(self, name: str) -> None:
        """Start a process from what its disk holds."""
        node = self.nodes[name]
        node.storage = FakeStorage(node.disk)
        node.revisions, node.fencing = RevisionMachine(), FencingMachine()
        self.incarnations += 1
        node.replica = make_replica(
            node.disk.load(),
            node.storage,
            tuple(self.names),
            (node.revisions, node.fencing),
            lambda packet: self._send(name, packet),
            lambda applied: self._applied(applied),
            seed=self.incarnations,
            now_seconds=self.clock(name),
            snapshot_entries=8,
            trailing_entries=3,
        )
        node.replica.core.chunk_bytes = 100
        node.replica.core.desired_voters = self.wanted

    def crash(self, name: str) -> None:
        """End a process without warning; what was not synced may be lost."""
        node = self.nodes[name]
        node.storage.crash()
        node.replica = None

    def empty_disk(self, name: str) -> None:
        """Replace a stopped node's disk by an empty one."""
        node = self.nodes[name]
        self.incarnations += 1
        self.lost[node.disk.me] = self.now_seconds
        node.disk = Disk(Member(name, self.incarnations))

    def want_voters(self, wanted: frozenset[str] | None) -> None:
        """Let operators say who should vote."""
        self.wanted = wanted
        for name in self.living():
            self.nodes[name].replica.core.desired_voters = wanted

    def may_empty(self, name: str) -> bool:
        """Whether a majority that has its disks would be left without this one.

        More can't be survived, and it holds as well for the configurations that
        operators' wishes lead to: taking one voter's vote right when another's
        disk is lost is a double loss.
        """
        lost = self.nodes[name].disk.me
        present = {node.disk.me for node in self.nodes.values()} - {lost}
        joining = {lost, *self._unnoticed_losses()}
        return (
            self.has_majority(present, None)
            and self.has_majority(present, self.wanted)
            and self.has_majority(present, None, joining)
            and self.has_majority(present, self.wanted, joining)
        )

    def may_want(self) -> bool:
        """Whether no disk was lost so shortly ago that a leader can't know it.

        To take the vote from a living voter just then is a double loss as well.
        """
        return not self._unnoticed_losses()

    def _unnoticed_losses(self) -> set[Member]:
        """Return the identities lost so shortly ago that a leader can't know it."""
        since = self.now_seconds - ELECTION_MAX_SECONDS
        return {member for member, lost_at in self.lost.items() if lost_at >= since}

    def has_majority(
        self,
        present: set[Member],
        wanted: frozenset[str] | None,
        joining: Collection[Member] = (),
    ) -> bool:
        """Whether each configuration's voters, as wanted, have a majority present.

        The voters that are lost may be the last to be taken out, and a learner
        that is lost may just now be getting the vote.
        """
        for configuration in map(self._configuration, self.nodes.values()):
            if configuration is None:
                continue
            voters = {
                voter
                for voter in configuration.voters
                if wanted is None or voter.instance_id in wanted or voter not in present
            }
            voters |= set(joining) & set(configuration.learners)
            if voters and 2 * len(present & voters) <= len(voters):
                return False
        return True

    def _configuration(self, node: Node) -> Configuration | None:
        """Return the newest configuration that a node has."""
        if node.replica is not None:
            return node.replica.core.log.configuration
        return make_core(node.disk.load(), (), 0, 0.0).log.configuration

    def living(self) -> list[str]:
        """Return the nodes whose process runs."""
        return [name for name in self.names if self.nodes[name].replica]

    def act(self, name: str, action: Callable[[Replica], object]) -> None:
        """Let a replica do something and carry out what follows."""
        node = self.nodes[name]
        if node.replica is None:
            return
        try:
            action(node.replica)
            for _ in range(10):
                if not node.replica.flush(self.clock(name)):
                    break
        except CrashError:
            self.crash(name)

    def tick(self) -> None:
        """Let time pass and each replica do what is due."""
        self.now_seconds += TICK_SECONDS
        for name in self.living():
            self.act(name, lambda replica, name=name: replica.tick(self.clock(name)))

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver one message under way; with ``keep`` it will come again."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        sender, receiver, encoded = self.in_flight[position]
        if (sender, receiver) in self.held:
            return
        if not keep:
            self.in_flight[position] = self.in_flight[-1]
            self.in_flight.pop()
        if (sender, receiver) not in self.blocked:
            packet = decode_packet(encoded)
            now = self.clock(receiver)
            self.act(receiver, lambda replica: replica.receive(packet, now))

    def run(self, ticks: int, random: Random, loss: float, delay: float) -> None:
        """Let time pass over links that lose, double, reorder and delay."""
        for _ in range(ticks):
            self.tick()
            for _ in range(3):
                due = len(self.in_flight)
                random.shuffle(self.in_flight)
                for _ in range(due):
                    chance = random.random()
                    if chance < loss and self.in_flight:
                        self.in_flight.pop()
                    elif chance < loss + delay:
                        continue
                    else:
                        position = random.randrange(400)
                        self.deliver(position, keep=random.random() < loss / 2)
            del self.in_flight[:-400]

    def propose(self, name: str, command: Command) -> bool:
        """Hand a command to a replica, which appends it if it leads."""
        done = []
        self.act(name, lambda replica: done.append(replica.propose([command])))
        return bool(done and done[0])

    def _send(self, sender: str, packet: Packet) -> None:
        body = packet.body
        if isinstance(body, VoteReply) and body.granted and not body.pre:
            vote = (packet.sender, packet.term)
            first = self.votes.setdefault(vote, packet.receiver_id)
            assert first == packet.receiver_id, "a replica voted twice in one term"
        self.in_flight.append((sender, packet.receiver_id, encode_packet(packet)))

    def _applied(self, applied: AppliedProposal) -> None:
        """Hold what a replica applied against the oracle."""
        row = (applied.command, applied.answer)
        if applied.index in self.log:
            assert self.log[applied.index] == row, "two replicas disagree"
            return
        assert not self.log or applied.index > max(self.log), "an entry came in between"
        self.log[applied.index] = row
        proposal_id = applied.command.proposal_id
        known = self.answers.get(proposal_id)
        if known is not None:
            assert not applied.first, "a proposal was accepted twice"
            assert applied.answer == known, "a resend got another answer"
            return
        expected = self._expected(applied)
        assert applied.answer == expected, "an answer is not the truth"
        self.answers[proposal_id] = expected
        for listener in self.listeners:
            listener(applied.command, expected)

    def _expected(self, applied: AppliedProposal) -> bytes:
        """Return what the oracle answers to a command seen first."""
        command = applied.command
        if command.machine == "fencing":
            return self.fence.apply(applied.index, command.command)
        base, _, value = command.command.decode().partition(":")
        if int(base) != len(self.accepted):
            return b"conflict:%d" % len(self.accepted)
        self.accepted.append(value)
        return b"accepted:%d" % len(self.accepted)

    def check(self) -> None:
        """Check what must hold at every moment."""
        holders = [
            name
            for name in self.living()
            if has_lease(self.nodes[name].replica.core, self.clock(name))
        ]
        assert len(holders) <= 1, "two leaders hold the lease"
        for name in self.living():
            node = self.nodes[name]
            core = node.replica.core
            values = node.revisions.values
            assert values == self.accepted[: len(values)], "a replica reverted"
            if core.role is Role.LEADER:
                leader = self.leaders.setdefault(core.term, core.me)
                assert leader == core.me, "two leaders in one term"
            assert core.commit_index <= core.log.last_index
            for proposal_id, answer in self.answers.items():
                row = node.replica.applier.proposals.find(proposal_id)
                assert row is None or row.answer == answer, "an answer changed"
