"""The consensus state of one replica, and the effects that it collects.

The modules ``log_core``, ``log_election``, ``log_replication`` and
``log_membership`` decide on this state. They do no I/O: disk writes and packets
are collected here, and the shell carries them out.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from sesameford.log_entries import LogEntries
from sesameford.log_messages import (
    Body,
    Configuration,
    Entry,
    HardState,
    Member,
    Packet,
)

# As long as a tick, so that a leader sends a heartbeat at each tick.
HEARTBEAT_SECONDS = 0.1
# A follower grants no vote for this long after a message from its leader, and waits at
# least as long before it starts an election. Two to four heartbeats of a healthy leader
# fit in.
ELECTION_MIN_SECONDS = 0.5
# Upper bound of the election timeout, which is random between one and two times a base.
ELECTION_MAX_SECONDS = 2.0
# The base as a multiple of the longest recent pause between heartbeats.
ELECTION_TIMEOUT_PAUSES = 2.5
# Factor on the longest pause at each heartbeat: a stall of the leader's host affects
# the election timeout for about ten seconds.
PAUSE_DECAY_FACTOR = 0.98
# Bounds of the random wait between pre-votes of a newly started replica, which ask
# whether all voters have restarted.
INITIAL_PRE_VOTE_MIN_SECONDS = 0.1
INITIAL_PRE_VOTE_MAX_SECONDS = 0.2
START_TOKEN_BITS = 48
# A leader steps down after this long without replies from a majority.
QUORUM_SECONDS = 1.0
# Shorter than the time in which a follower grants no vote, as clock rates may differ.
LEASE_SECONDS = ELECTION_MIN_SECONDS * 0.9
ANNOUNCE_SECONDS = 0.5
ANNOUNCEMENT_VALID_SECONDS = 3.0
APPEND_LIMIT_BYTES = 512_000
CHUNK_BYTES = 512_000
# With as many unacknowledged entries, a leader waits for the follower.
MAX_IN_FLIGHT_ENTRIES = 4096


class Role(StrEnum):
    """The current role of a replica."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class SnapshotImage:
    """A snapshot up to an index; ``data`` is the encoded state machines."""

    index: int
    index_term: int
    configuration: Configuration
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state that a replica reads from its disk at its start."""

    me: Member
    hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotImage | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True)
class FollowerProgress:
    """The leader's view of the replication progress of one other member.

    ``acked_at_seconds`` is the send time of the newest message that it answered.
    """

    match_index: int = 0
    next_index: int = 1
    acked_at_seconds: float = float("-inf")
    rewound_at_seconds: float = float("-inf")
    rewound_to_index: int = 0
    snapshot_offset_bytes: int = 0
    snapshot_sent_offset_bytes: int = -1
    snapshot_index: int = 0
    snapshot_replied_at_seconds: float = float("-inf")


@dataclass(slots=True)
class IncomingSnapshot:
    """The chunks of a leader's snapshot that have arrived in order.

    Another leader's snapshot up to the same index may have other bytes, so the
    term identifies it as well.
    """

    index: int
    term: int
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, slots=True)
class Effects:
    """The work of the shell, in this order.

    Send ``packets_before_sync``; write ``snapshot``, ``hard_state`` and ``entries``
    (the first of them replaces the log from its index on); sync; send
    ``packets_after_sync``.
    """

    packets_before_sync: tuple[Packet, ...]
    snapshot: SnapshotImage | None
    hard_state: HardState | None
    entries: tuple[Entry, ...]
    packets_after_sync: tuple[Packet, ...]
    last_index: int
    last_term: int

    @property
    def must_sync(self) -> bool:
        """Whether anything must be written to the disk."""
        return bool(self.snapshot or self.hard_state or self.entries)


@dataclass(slots=True)
class Core:
    """One replica's consensus state; see ``make_core``.

    ``start_token`` identifies this start of the replica until it follows a leader or
    leads, then it is 0. ``voter_start_tokens`` are the tokens that voters reported in
    reply to a pre-vote. ``emitted_index`` is the last entry that effects have covered.
    """

    me: Member
    peer_ids: tuple[str, ...]
    log: LogEntries
    hard_state: HardState
    random: Random
    snapshot: SnapshotImage | None = None
    desired_voters: frozenset[str] | None = None
    may_found: bool = True
    chunk_bytes: int = CHUNK_BYTES

    role: Role = Role.FOLLOWER
    leader: Member | None = None
    leader_last_seen_at_seconds: float = 0.0
    election_due_at_seconds: float = 0.0
    heartbeat_due_at_seconds: float = 0.0
    announce_due_at_seconds: float = 0.0
    leader_since_seconds: float = 0.0
    term_start_index: int = 0
    longest_pause_seconds: float = 0.0
    start_token: int = 0
    newly_started_until_seconds: float = float("-inf")
    votes: set[Member] = field(default_factory=set)
    voter_start_tokens: dict[Member, int] = field(default_factory=dict)
    progress: dict[Member, FollowerProgress] = field(default_factory=dict)
    announced: dict[str, tuple[Member, bool, float]] = field(default_factory=dict)
    incoming: IncomingSnapshot | None = None
    encoded_snapshot: tuple[int, bytes] = (0, b"")

    commit_index: int = 0
    synced_index: int = 0
    emitted_index: int = 0
    hard_state_changed: bool = False
    new_snapshot: SnapshotImage | None = None
    packets_before_sync: list[Packet] = field(default_factory=list)
    packets_after_sync: list[Packet] = field(default_factory=list)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def cluster_id(self) -> int:
        """The cluster that this replica belongs to, or 0."""
        configuration = self.log.configuration
        return configuration.cluster_id if configuration else 0

    @property
    def voters(self) -> tuple[Member, ...]:
        """The voters of the newest configuration."""
        configuration = self.log.configuration
        return configuration.voters if configuration else ()

    @property
    def others(self) -> tuple[Member, ...]:
        """All other members of the newest configuration."""
        configuration = self.log.configuration
        if configuration is None:
            return ()
        members = configuration.voters + configuration.learners
        return tuple(member for member in members if member != self.me)

    @property
    def is_member(self) -> bool:
        """Whether the newest configuration contains this identity."""
        configuration = self.log.configuration
        if configuration is None:
            return False
        return self.me in configuration.voters + configuration.learners

    def is_quorum(self, members: set[Member]) -> bool:
        """Return whether the members include a majority of the voters."""
        voters = self.voters
        return 2 * sum(member in members for member in voters) > len(voters)


def set_hard_state(core: Core, hard_state: HardState) -> None:
    """Set term and vote, to be synced before ``packets_after_sync`` are sent."""
    if hard_state != core.hard_state:
        core.hard_state = hard_state
        core.hard_state_changed = True


def append_entry(core: Core, entry: Entry) -> None:
    """Append to the log in memory; the next effects write it to the disk."""
    core.log.append(entry)


def truncate_log(core: Core, index: int) -> None:
    """Drop the entries from an index on, which conflict with those of a leader."""
    core.log.truncate_from(index)
    core.synced_index = min(core.synced_index, index - 1)
    core.emitted_index = min(core.emitted_index, index - 1)


def send(core: Core, receiver: Member, body: Body, before_sync: bool = False) -> None:
    """Queue a message to one incarnation of a replica.

    Args:
        core: The sender.
        receiver: Another replica.
        body: The message.
        before_sync: The message states nothing about this replica's own disk, so it
            need not wait for the sync. It still waits if the term is not yet synced.
    """
    packet = Packet(
        sender=core.me,
        receiver_id=receiver.instance_id,
        receiver_incarnation=receiver.incarnation,
        cluster_id=core.cluster_id,
        term=core.term,
        body=body,
    )
    before_sync = before_sync and not core.hard_state_changed
    (core.packets_before_sync if before_sync else core.packets_after_sync).append(
        packet
    )


def drain_effects(core: Core) -> Effects | None:
    """Return and clear the effects since the last call; None without any."""
    first_index = max(core.emitted_index, core.log.base_index) + 1
    entries = core.log.between(first_index, core.log.last_index)
    hard_state = core.hard_state if core.hard_state_changed else None
    if not (
        entries
        or hard_state
        or core.new_snapshot
        or core.packets_before_sync
        or core.packets_after_sync
    ):
        return None
    effects = Effects(
        packets_before_sync=tuple(core.packets_before_sync),
        snapshot=core.new_snapshot,
        hard_state=hard_state,
        entries=entries,
        packets_after_sync=tuple(core.packets_after_sync),
        last_index=core.log.last_index,
        last_term=core.log.last_term,
    )
    core.packets_before_sync, core.packets_after_sync = [], []
    core.new_snapshot = None
    core.hard_state_changed = False
    core.emitted_index = core.log.last_index
    return effects


def members_by_id(configuration: Configuration | None) -> Mapping[str, Member]:
    """Return the newest identity of each instance; a voter precedes a learner."""
    if configuration is None:
        return {}
    members = configuration.learners + configuration.voters
    return {member.instance_id: member for member in members}
