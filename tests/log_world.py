"""A simulation of replicas in virtual time, with failing disks and links.

Used by the Hypothesis state machines.
"""

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
    """Simulates a power failure at this point."""


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
    """The synced contents of one disk."""

    me: Member
    hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotImage | None = None
    entries: dict[int, Entry] = field(default_factory=dict)

    def load(self) -> StoredState:
        base = self.snapshot.index if self.snapshot else 0
        entries = [
            self.entries[index] for index in sorted(self.entries) if index > base
        ]
        assert [entry.index for entry in entries] == list(
            range(base + 1, base + 1 + len(entries))
        )
        return StoredState(self.me, self.hard_state, self.snapshot, tuple(entries))


class FakeStorage:
    """Storage that loses all or a part of the unsynced writes at a crash."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.crash_after: int | None = None
        self.surviving_parts = 0
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
        """Drop the unsynced writes except for the first ``surviving_parts``."""
        self._persist(self.surviving_parts)
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
    """Nodes, links and the oracle: a plain list of the accepted changes."""

    def __init__(self, size: int) -> None:
        self.now_seconds = 0.0
        self.names = [f"r{number}" for number in range(size)]
        self.random = Random(size)
        self.incarnations = 0
        self.lost_at_seconds: dict[Member, float] = {}
        self.desired_voters: frozenset[str] | None = None
        self.in_flight: list[tuple[str, str, bytes]] = []
        self.blocked: set[tuple[str, str]] = set()
        self.paused_links: set[tuple[str, str]] = set()
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
        """Start a node's process from the contents of its disk."""
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
            lambda applied: self._check_applied(applied),
            seed=self.incarnations,
            now_seconds=self.clock(name),
            snapshot_entries=8,
            trailing_entries=3,
        )
        node.replica.core.chunk_bytes = 100
        node.replica.core.desired_voters = self.desired_voters

    def crash(self, name: str) -> None:
        """Kill a node's process; unsynced writes may be lost."""
        node = self.nodes[name]
        node.storage.crash()
        node.replica = None

    def empty_disk(self, name: str) -> None:
        """Replace a stopped node's disk by an empty one."""
        node = self.nodes[name]
        self.incarnations += 1
        self.lost_at_seconds[node.disk.me] = self.now_seconds
        node.disk = Disk(Member(name, self.incarnations))

    def set_desired_voters(self, desired: frozenset[str] | None) -> None:
        """Set the voters that operators want."""
        self.desired_voters = desired
        for name in self.living():
            self.nodes[name].replica.core.desired_voters = desired

    def may_empty_disk(self, name: str) -> bool:
        """Whether the remaining nodes with their disks would still be a majority.

        The log can't survive the loss of a majority. The same must hold for the
        configurations that the desired voters lead to: removing one voter just when
        another's disk is lost is a double loss.
        """
        lost = self.nodes[name].disk.me
        present = {node.disk.me for node in self.nodes.values()} - {lost}
        joining = {lost, *self._recently_lost()}
        return (
            self.has_majority(present, None)
            and self.has_majority(present, self.desired_voters)
            and self.has_majority(present, None, joining)
            and self.has_majority(present, self.desired_voters, joining)
        )

    def may_change_voters(self) -> bool:
        """Whether no disk was lost too recently for a leader to have noticed.

        Removing a live voter at such a time is a double loss as well.
        """
        return not self._recently_lost()

    def _recently_lost(self) -> set[Member]:
        """Return the identities lost too recently for a leader to have noticed."""
        earliest = self.now_seconds - ELECTION_MAX_SECONDS
        return {
            member
            for member, lost_at in self.lost_at_seconds.items()
            if lost_at >= earliest
        }

    def has_majority(
        self,
        present: set[Member],
        desired: frozenset[str] | None,
        joining: Collection[Member] = (),
    ) -> bool:
        """Whether each configuration's desired voters have a majority present.

        Lost voters may be the last to be removed, and a lost learner may be in the
        middle of its promotion to a voter.
        """
        for configuration in map(self._configuration, self.nodes.values()):
            if configuration is None:
                continue
            voters = {
                voter
                for voter in configuration.voters
                if desired is None
                or voter.instance_id in desired
                or voter not in present
            }
            voters |= set(joining) & set(configuration.learners)
            if voters and 2 * len(present & voters) <= len(voters):
                return False
        return True

    def _configuration(self, node: Node) -> Configuration | None:
        """Return the newest configuration in a node's log."""
        if node.replica is not None:
            return node.replica.core.log.configuration
        return make_core(node.disk.load(), (), 0, 0.0).log.configuration

    def living(self) -> list[str]:
        """Return the nodes whose process runs."""
        return [name for name in self.names if self.nodes[name].replica]

    def act(self, name: str, action: Callable[[Replica], object]) -> None:
        """Run an action on a replica and flush its effects."""
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
        """Advance time by one tick and run each replica's timers."""
        self.now_seconds += TICK_SECONDS
        for name in self.living():
            self.act(name, lambda replica, name=name: replica.tick(self.clock(name)))

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Deliver one message in flight; with ``duplicate`` it stays in flight."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        sender, receiver, encoded = self.in_flight[position]
        if (sender, receiver) in self.paused_links:
            return
        if not duplicate:
            self.in_flight[position] = self.in_flight[-1]
            self.in_flight.pop()
        if (sender, receiver) not in self.blocked:
            packet = decode_packet(encoded)
            now = self.clock(receiver)
            self.act(receiver, lambda replica: replica.receive(packet, now))

    def run(self, ticks: int, random: Random, loss: float, delay: float) -> None:
        """Advance time over links that lose, duplicate, reorder and delay messages."""
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
                        self.deliver(position, duplicate=random.random() < loss / 2)
            del self.in_flight[:-400]

    def propose(self, name: str, command: Command) -> bool:
        """Propose a command to a replica and return whether it appended it."""
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

    def _check_applied(self, applied: AppliedProposal) -> None:
        """Compare the outcome of an applied proposal with the oracle."""
        row = (applied.command, applied.answer)
        if applied.index in self.log:
            assert self.log[applied.index] == row, "two replicas disagree"
            return
        assert not self.log or applied.index > max(self.log), "an entry came in between"
        self.log[applied.index] = row
        proposal_id = applied.command.proposal_id
        earlier_answer = self.answers.get(proposal_id)
        if earlier_answer is not None:
            assert not applied.first, "a proposal was accepted twice"
            assert applied.answer == earlier_answer, "a resend got another answer"
            return
        expected = self._expected_answer(applied)
        assert applied.answer == expected, "an answer is not the truth"
        self.answers[proposal_id] = expected
        for listener in self.listeners:
            listener(applied.command, expected)

    def _expected_answer(self, applied: AppliedProposal) -> bytes:
        """Return the oracle's answer to a command that is no resend."""
        command = applied.command
        if command.machine == "fencing":
            return self.fence.apply(applied.index, command.command)
        base, _, value = command.command.decode().partition(":")
        if int(base) != len(self.accepted):
            return b"conflict:%d" % len(self.accepted)
        self.accepted.append(value)
        return b"accepted:%d" % len(self.accepted)

    def check(self) -> None:
        """Check the invariants of the cluster."""
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
