"""Types of the replicated log: members, entries, and messages between replicas.

Links lose, duplicate and reorder messages. Each message may be handled twice or late,
so it carries absolute positions, never differences.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import PeerError


class Member(Struct, frozen=True, array_like=True, order=True):
    """A replica's identity: its instance and the incarnation of its disk.

    A replica whose disk was emptied returns with another incarnation. It has lost its
    earlier votes and acknowledgements, so it must not count as the same replica.
    """

    instance_id: str
    incarnation: int


class Configuration(Struct, frozen=True, tag=1, array_like=True):
    """The voters and learners; in force as soon as it is in the log."""

    cluster_id: int
    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()


class Command(Struct, frozen=True, tag=2, array_like=True):
    """A proposal for a state machine; resends keep the id.

    ``machine`` is the name of the state machine.
    """

    proposal_id: str
    machine: str
    command: bytes


class TermStart(Struct, frozen=True, tag=3, array_like=True):
    """A new leader's first entry, which commits all entries before it."""


Content = Configuration | Command | TermStart


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: int
    term: int
    content: Content


class HardState(Struct, frozen=True, array_like=True):
    """The state that must survive a restart: the term and the vote in it."""

    term: int = 0
    voted_for: Member | None = None


class Announce(Struct, frozen=True, tag=1, array_like=True):
    """Announces a replica outside the configuration, to be added as a learner."""

    has_entries: bool


class VoteRequest(Struct, frozen=True, tag=2, array_like=True):
    """Requests a vote, or with ``pre`` a pre-vote, which commits no voter to it.

    ``transfer`` marks an election that the leader itself requested. ``start_token``
    is the token from the receiver's ``VoteReply`` to the pre-vote, or 0.
    """

    pre: bool
    last_index: int
    last_term: int
    transfer: bool = False
    start_token: int = 0


class VoteReply(Struct, frozen=True, tag=3, array_like=True):
    """The reply to a vote request in the packet's term.

    ``start_token`` identifies the start of a replica that has not led or followed a
    leader since then, but whose earlier acknowledgement a leader's lease may still rely
    on. Other replies contain 0.
    """

    pre: bool
    granted: bool
    start_token: int = 0


class AppendRequest(Struct, frozen=True, tag=4, array_like=True):
    """Entries after a position; a heartbeat has none.

    ``sent_at_seconds`` is the time on the leader's clock, returned in the reply.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_seconds: float


class AppendReply(Struct, frozen=True, tag=5, array_like=True):
    """Reports that the follower's disk matches the leader's log up to ``match_index``.

    If not ``matched``, the leader has to go back to ``match_index``.
    """

    matched: bool
    match_index: int
    sent_at_seconds: float


class SnapshotChunk(Struct, frozen=True, tag=6, array_like=True):
    """A chunk of the encoded snapshot up to an index."""

    index: int
    index_term: int
    offset_bytes: int
    total_bytes: int
    data: bytes
    sent_at_seconds: float


class SnapshotReply(Struct, frozen=True, tag=7, array_like=True):
    """Requests the snapshot chunk at an offset."""

    index: int
    offset_bytes: int
    sent_at_seconds: float


class TimeoutNow(Struct, frozen=True, tag=8, array_like=True):
    """Transfers leadership: requests that the receiver start an election now."""


Body = (
    Announce
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)


class Packet(Struct, frozen=True, array_like=True):
    """A message between two replicas, with its addresses and the sender's term.

    ``receiver_incarnation`` 0 means any. ``cluster_id`` 0 means that the sender
    belongs to no cluster yet.
    """

    sender: Member
    receiver_id: str
    receiver_incarnation: int
    cluster_id: int
    term: int
    body: Body


_encoder = Encoder()
_packet_decoder = Decoder(Packet)


def encode_packet(packet: Packet) -> bytes:
    """Return the encoded packet."""
    return _encoder.encode(packet)


def decode_packet(encoded: bytes) -> Packet:
    """Decode a packet from a peer.

    Args:
        encoded: Untrusted bytes.

    Returns:
        The packet.

    Raises:
        PeerError: The bytes are not a packet.
    """
    try:
        return _packet_decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"a peer's bytes are no log packet: {error}") from error
