"""Types of the replicated log: members, entries, and messages between replicas.

Links lose, double and reorder, so each message can be taken twice or late: it
carries absolute positions, never differences.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import PeerError


class Member(Struct, frozen=True, array_like=True, order=True):
    """A replica's identity: its instance and the incarnation of its disk.

    A replica whose disk was emptied comes back with another incarnation. What
    it once voted or acknowledged is forgotten, so it must not count as before.
    """

    instance_id: str
    incarnation: int


class Configuration(Struct, frozen=True, tag=1, array_like=True):
    """Who votes and who only follows; in force as soon as it is in the log."""

    cluster_id: int
    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()


class Command(Struct, frozen=True, tag=2, array_like=True):
    """A proposal for one of the state machines; the id stays over resends."""

    proposal_id: str
    machine: str
    command: bytes


class TermStart(Struct, frozen=True, tag=3, array_like=True):
    """A new leader's first entry, which commits all that stands before it."""


Content = Configuration | Command | TermStart


class Entry(Struct, frozen=True, array_like=True):
    """One place in the log."""

    index: int
    term: int
    content: Content


class HardState(Struct, frozen=True, array_like=True):
    """What a replica must never forget: its term and its vote in it."""

    term: int = 0
    voted_for: Member | None = None


class Announce(Struct, frozen=True, tag=1, array_like=True):
    """I am a replica outside the configuration; take me in."""

    has_entries: bool


class VoteRequest(Struct, frozen=True, tag=2, array_like=True):
    """Vote for me; ``pre`` asks whether you would, and binds nobody.

    ``transfer`` says that the leader itself asked for this election. ``fresh_token``
    is the receiver's own of a ``VoteReply``, where all voters have sent one.
    """

    pre: bool
    last_index: int
    last_term: int
    transfer: bool = False
    fresh_token: int = 0


class VoteReply(Struct, frozen=True, tag=3, array_like=True):
    """The answer to a request for a vote in the packet's term.

    ``fresh_token`` is of a replica that leads nobody and has heard no leader since it
    started, but may have promised one its silence just before; 0 of any other.
    """

    pre: bool
    granted: bool
    fresh_token: int = 0


class AppendRequest(Struct, frozen=True, tag=4, array_like=True):
    """Entries after a position, or none as a heartbeat.

    ``sent_at_seconds`` is the leader's clock and comes back in the reply.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_seconds: float


class AppendReply(Struct, frozen=True, tag=5, array_like=True):
    """What the follower has on its disk, up to ``match_index``, as the leader has.

    If not ``matched``, the leader should go back to ``match_index``.
    """

    matched: bool
    match_index: int
    sent_at_seconds: float


class SnapshotChunk(Struct, frozen=True, tag=6, array_like=True):
    """A part of the encoded snapshot up to an index."""

    index: int
    index_term: int
    offset_bytes: int
    total_bytes: int
    data: bytes
    sent_at_seconds: float


class SnapshotReply(Struct, frozen=True, tag=7, array_like=True):
    """The next part of the snapshot that the follower wants."""

    index: int
    offset_bytes: int
    sent_at_seconds: float


class TimeoutNow(Struct, frozen=True, tag=8, array_like=True):
    """The leader stops as planned and asks the receiver to take over."""


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
    """One message from replica to replica.

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
    """Return the bytes of a packet."""
    return _encoder.encode(packet)


def decode_packet(encoded: bytes) -> Packet:
    """Return the packet in a peer's bytes.

    Args:
        encoded: Bytes from outside, not trusted.

    Returns:
        The packet.

    Raises:
        PeerError: The bytes are no packet.
    """
    try:
        return _packet_decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"a peer's bytes are no log packet: {error}") from error
