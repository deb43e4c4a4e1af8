"""The state of one replica's consensus, and how it puts out what is to be done.

The modules ``log_core``, ``log_election``, ``log_replication`` and
``log_membership`` decide over this state. They do no I/O: what must reach the disk
and what may be sent afterwards is collected here and taken by the shell.
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

# A leader speaks this often; a tick is as long, so that it speaks at each.
HEARTBEAT_SECONDS = 0.1
# A follower that heard its leader is silent for so long, whatever it sees. Two to four
# heartbeats of a healthy leader fit in.
ELECTION_MIN_SECONDS = 0.5
# The longest that a follower waits for a leader. It waits once or twice the base, which
# follows from the pauses between heartbeats that it saw of late.
ELECTION_MAX_SECONDS = 2.0
ELECTION_PAUSES = 2.5
# What is left of the longest pause seen at each heartbeat: a stall of the leader's
# machine is remembered for some ten seconds.
PAUSE_KEPT_PART = 0.98
# A replica that has just started asks this often whether all voters have.
FRESH_ASK_MIN_SECONDS = 0.1
FRESH_ASK_MAX_SECONDS = 0.2
FRESH_TOKEN_BITS = 48
# A leader that no majority answers for so long steps down.
QUORUM_SECONDS = 1.0
# A follower keeps its promise on its own clock, whose rate may differ.
LEASE_SECONDS = ELECTION_MIN_SECONDS * 0.9
ANNOUNCE_SECONDS = 0.5
ANNOUNCEMENT_VALID_SECONDS = 3.0
APPEND_LIMIT_BYTES = 512_000
CHUNK_BYTES = 512_000
# More than this unacknowledged, and a follower is waited for.
IN_FLIGHT_ENTRIES = 4096


class Role(StrEnum):
    """What a replica does at present."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class SnapshotImage:
    """A snapshot up to an index; ``data`` is the encoded state of the machines."""

    index: int
    index_term: int
    configuration: Configuration
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica finds on its disk at its start."""

    me: Member
    hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotImage | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True)
class FollowerProgress:
    """How far one other member is, as its leader knows.

    ``acked_at_seconds`` is when the newest message that it answered was sent.
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
    """The parts of a leader's snapshot that have arrived in order.

    Another leader's snapshot up to the same index may have other bytes.
    """

    index: int
    term: int
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, slots=True)
class Effects:
    """What the shell has to do, in this order.

    Send ``early``; write ``snapshot``, ``hard_state`` and ``entries`` (the first of
    them replaces what stands at its index and after it); sync; send ``late``.
    """

    early: tuple[Packet, ...]
    snapshot: SnapshotImage | None
    hard_state: HardState | None
    entries: tuple[Entry, ...]
    late: tuple[Packet, ...]
    last_index: int
    last_term: int

    @property
    def must_sync(self) -> bool:
        """Whether anything goes to the disk."""
        return bool(self.snapshot or self.hard_state or self.entries)


@dataclass(slots=True)
class Core:
    """One replica's consensus state; see ``make_core``.

    ``fresh_token`` names this start of the replica while it has heard no leader since;
    ``fresh_voters`` are the tokens of those that answered a pre-vote with theirs.
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
    fresh_token: int = 0
    fresh_until_seconds: float = float("-inf")
    votes: set[Member] = field(default_factory=set)
    fresh_voters: dict[Member, int] = field(default_factory=dict)
    progress: dict[Member, FollowerProgress] = field(default_factory=dict)
    announced: dict[str, tuple[Member, bool, float]] = field(default_factory=dict)
    incoming: IncomingSnapshot | None = None
    encoded_snapshot: tuple[int, bytes] = (0, b"")

    commit_index: int = 0
    synced_index: int = 0
    handed_index: int = 0
    hard_state_changed: bool = False
    new_snapshot: SnapshotImage | None = None
    early: list[Packet] = field(default_factory=list)
    late: list[Packet] = field(default_factory=list)

    @property
    def term(self) -> int:
        """The present term."""
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
        """Whether this identity stands in the newest configuration."""
        configuration = self.log.configuration
        if configuration is None:
            return False
        return self.me in configuration.voters + configuration.learners

    def is_quorum(self, members: set[Member]) -> bool:
        """Return whether these are a majority of the voters."""
        voters = self.voters
        return 2 * sum(member in members for member in voters) > len(voters)


def set_hard_state(core: Core, hard_state: HardState) -> None:
    """Change term or vote; it must be synced before anything late is sent."""
    if hard_state != core.hard_state:
        core.hard_state = hard_state
        core.hard_state_changed = True


def append_entry(core: Core, entry: Entry) -> None:
    """Append to the log in memory; the next effects carry it to the disk."""
    core.log.append(entry)


def cut_log(core: Core, index: int) -> None:
    """Drop the entries from an index on, which another leader has replaced."""
    core.log.cut_from(index)
    core.synced_index = min(core.synced_index, index - 1)
    core.handed_index = min(core.handed_index, index - 1)


def send(core: Core, receiver: Member, body: Body, early: bool = False) -> None:
    """Send to one incarnation of a replica.

    Args:
        core: The sender.
        receiver: Another replica.
        body: What to say.
        early: It says nothing about this replica's own disk, so it need not wait
            for the sync; it does wait where the term itself is not yet synced.
    """
    packet = Packet(
        sender=core.me,
        receiver_id=receiver.instance_id,
        receiver_incarnation=receiver.incarnation,
        cluster_id=core.cluster_id,
        term=core.term,
        body=body,
    )
    early = early and not core.hard_state_changed
    (core.early if early else core.late).append(packet)


def take_effects(core: Core) -> Effects | None:
    """Return what is to be done since the last call, or None."""
    first_index = max(core.handed_index, core.log.base_index) + 1
    entries = core.log.between(first_index, core.log.last_index)
    hard_state = core.hard_state if core.hard_state_changed else None
    if not (entries or hard_state or core.new_snapshot or core.early or core.late):
        return None
    effects = Effects(
        early=tuple(core.early),
        snapshot=core.new_snapshot,
        hard_state=hard_state,
        entries=entries,
        late=tuple(core.late),
        last_index=core.log.last_index,
        last_term=core.log.last_term,
    )
    core.early, core.late = [], []
    core.new_snapshot = None
    core.hard_state_changed = False
    core.handed_index = core.log.last_index
    return effects


def members_by_id(configuration: Configuration | None) -> Mapping[str, Member]:
    """Return the newest identity of each instance, a voter before a learner."""
    if configuration is None:
        return {}
    members = configuration.learners + configuration.voters
    return {member.instance_id: member for member in members}
