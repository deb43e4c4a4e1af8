"""Typed messages between instances.

Every link may lose, double and reorder, so a message carries totals and never
increments, and each envelope the sender's incarnation and a sequence number.
A subsystem's messages stand together under its heading here.
"""

from msgspec import Struct

from sesameford.load_messages import (
    FleetLoad,
    PartialLoad,
    RouterLoad,
    RouterLoadHandover,
)
from sesameford.slot_messages import ShareReport, SlotGrants
from sesameford.tables import InstanceState, TargetKind, TargetState

# --- discovery -----------------------------------------------------------------


class ReplicaRow(Struct, frozen=True, array_like=True):
    """Where an instance with a disk is reached by links."""

    instance_id: str
    data_centre: str
    address: str


class Hello(Struct, frozen=True, array_like=True, tag="Greeting"):
    """Who I am, where links reach me, and the instances with disks that I know.

    ``founds`` says that this deployment starts for the first time.
    """

    address: str
    data_centre: str
    has_disk: bool
    founds: bool
    replicas: tuple[ReplicaRow, ...]


class StaleIncarnation(Struct, frozen=True, array_like=True, tag="IncarnationBehind"):
    """An earlier process of yours had a higher number; count from above it."""

    highest_incarnation: int


# --- targets by their heartbeats -----------------------------------------------


class HeartbeatRow(Struct, frozen=True, array_like=True):
    """What a target last said of itself.

    ``sequence`` grows with a target's heartbeats; ``state`` is ready, draining or gone,
    and gone is for good. A target that starts again has a new id, or the one it had and
    a higher ``incarnation``, with which all of this begins anew. It stays cold for
    ``cold_milliseconds`` from when it said so.
    """

    target_id: str
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    cold_milliseconds: int = 0
    incarnation: int = 0


class HeartbeatRows(Struct, frozen=True, array_like=True, tag="BeatRows"):
    """Targets that are new or have changed, or all of them where asked.

    A replica answers one with a ``token`` by it.
    """

    rows: tuple[HeartbeatRow, ...]
    token: int = 0


class HeartbeatRowsAck(Struct, frozen=True, array_like=True, tag="BeatRowsTaken"):
    """I have the rows that came with this token."""

    token: int


class RecentHeartbeats(Struct, frozen=True, array_like=True, tag="BeatsHeard"):
    """Short names of the targets that beat here of late, and a digest of all rows."""

    names: tuple[int, ...]
    digest: int


class HeartbeatRowsRequest(Struct, frozen=True, array_like=True, tag="BeatRowsWanted"):
    """Your digest differs from mine; send me all rows."""


# --- membership ----------------------------------------------------------------


class Heartbeat(Struct, frozen=True, array_like=True, tag=True):
    """I live; this is my state and the tree revision I am under.

    ``change_number`` grows whenever something else here changes. A hub adds the
    digest of its table of members, and the data centres that it hears.
    """

    data_centre: str
    state: InstanceState
    revision: int
    change_number: int = 0
    is_hub: bool = False
    members_digest: int = 0
    reachable: tuple[str, ...] = ()


class MemberRow(Struct, frozen=True, array_like=True):
    """What is known of an instance, told on by the hubs.

    ``silence_count`` counts how often the hubs of its data centre have lost it since
    its last change; the triple of incarnation and the two counts only grows.
    """

    instance_id: str
    incarnation: int
    change_number: int
    silence_count: int
    is_silent: bool
    data_centre: str
    state: InstanceState
    revision: int
    is_hub: bool


class MembersUpdate(Struct, frozen=True, array_like=True, tag="MembersNews"):
    """Rows that changed, or the whole table where it was asked for."""

    rows: tuple[MemberRow, ...]
    is_whole: bool = False


class MembersRequest(Struct, frozen=True, array_like=True, tag="MembersWanted"):
    """My table differs from yours for a while now; send me all of it."""


class RelayedMessage(Struct, frozen=True, array_like=True, tag="Routed"):
    """A message to an instance that the sender has no link to, by way of hubs."""

    origin_id: str
    origin_incarnation: int
    receiver_id: str
    hops_left: int
    payload: bytes


class BroadcastMessage(Struct, frozen=True, array_like=True, tag="Flooded"):
    """A message to all instances, by way of hubs."""

    origin_id: str
    origin_incarnation: int
    payload: bytes


class TargetAnnouncement(Struct, frozen=True, array_like=True, tag="TargetNews"):
    """What a target announced; also how an announcement reaches its keeper.

    ``announcement_sequence`` grows with every announcement of an incarnation, so
    that news from the past is recognised. ``lease_remaining_seconds`` counts from
    when the message was sent.
    """

    target_id: str
    incarnation: int
    announcement_sequence: int
    kind: TargetKind
    serves: tuple[str, ...]
    url: str
    data_centre: str
    capacity_slots: int
    lease_remaining_seconds: float
    checks_fencing: bool = False
    leaving: bool = False


class TargetRenewal(Struct, frozen=True, array_like=True, tag="TargetRenewed"):
    """A target has announced the same again; for its keeper alone."""

    target_id: str
    incarnation: int
    announcement_sequence: int
    lease_remaining_seconds: float


class TargetRow(Struct, frozen=True, array_like=True, tag=True):
    """A target has changed: it is new, another, or gone.

    The keeper is the instance that holds the target's lease and vouches for it.
    ``version`` grows with every change, over all keepers and their restarts.
    ``is_lapsed`` says that the lease has run out, which another announcement mends.
    """

    lease_holder_id: str
    version: int
    announcement: TargetAnnouncement
    is_lapsed: bool = False


class TargetRows(Struct, frozen=True, array_like=True, tag=True):
    """All targets of a keeper; others that the receiver has of it are dropped."""

    lease_holder_id: str
    rows: tuple[TargetRow, ...]


class LeaseAttestation(Struct, frozen=True, array_like=True):
    """A keeper's word that all targets it keeps have live leases.

    ``digest`` is over the targets; where the receiver's differs it asks for them.
    ``age_milliseconds`` is how long ago the keeper gave its word; a whole number
    takes a third of the bytes of a float, in the most frequent message at rest.
    """

    lease_holder_id: str
    digest: int
    age_milliseconds: int


class LeaseAttestations(Struct, frozen=True, array_like=True, tag="TargetsVouched"):
    """Words of keepers, passed on together."""

    attestations: tuple[LeaseAttestation, ...]


class TargetRowsRequest(Struct, frozen=True, array_like=True, tag="TargetsWanted"):
    """Send me the rows of all targets of a keeper."""

    lease_holder_id: str


# --- settings tree -------------------------------------------------------------


class TreeStepRow(Struct, frozen=True, array_like=True):
    """The change that made ``revision`` out of the one before it.

    ``put`` holds nodes in their canonical coding by path; ``digest`` is that of
    the whole tree after the change.
    """

    revision: int
    put: dict[str, bytes]
    removed: tuple[str, ...]
    digest: bytes


class TreeSteps(Struct, frozen=True, array_like=True, tag=True):
    """Changes that follow one another without a gap."""

    steps: tuple[TreeStepRow, ...]


class TreeSnapshot(Struct, frozen=True, array_like=True, tag="TreeWhole"):
    """The whole tree at a revision, for one who is too far behind for steps."""

    revision: int
    nodes: dict[str, bytes]
    digest: bytes


class TreeRequest(Struct, frozen=True, array_like=True, tag="TreeWanted"):
    """Send me what came after this revision; ``whole`` wants no steps."""

    revision: int
    whole: bool = False


# --- replicated log ------------------------------------------------------------


class LogPayload(Struct, frozen=True, array_like=True, tag=True):
    """A message of the replicated log; its own types stand in its module."""

    payload: bytes


class ProposalRequest(Struct, frozen=True, array_like=True, tag=True):
    """Please bring this command to agreement; the id stays over resends."""

    proposal_id: str
    machine: str
    command: bytes


class ProposalReply(Struct, frozen=True, array_like=True, tag=True):
    """What became of a proposal: ``status`` is accepted, refused or no-quorum."""

    proposal_id: str
    status: str
    result: bytes


# --- outcomes ------------------------------------------------------------------


class SuspectUpdate(Struct, frozen=True, array_like=True, tag="SuspectNews"):
    """How often a body's digest was in flight alone or together at a death.

    ``deaths`` is the set of target incarnations that died; sets merge by union.
    """

    body_digest: bytes
    deaths: tuple[str, ...]
    cleared: bool


class StoredAnswerQuery(Struct, frozen=True, array_like=True, tag="KeptAnswerWanted"):
    """What became of the run under this claim of yours?

    ``incarnation`` and ``request_id`` are the owner's, as the log has them.
    """

    query_id: str
    claim_index: int
    incarnation: int
    request_id: str


class StoredAnswer(Struct, frozen=True, array_like=True, tag="KeptAnswer"):
    """The owner's word on a run; ``status`` 0 where no answer is kept here."""

    query_id: str
    run_state: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# --- orders to engines ---------------------------------------------------------


class ModelUseQuery(Struct, frozen=True, array_like=True, tag="ModelUseWanted"):
    """How many requests of a model still run from you on a target?"""

    target_id: str
    model: str
    revision: int


class ModelUse(Struct, frozen=True, array_like=True, tag=True):
    """The answer, at a revision that is no older than the one that was asked for."""

    target_id: str
    model: str
    revision: int
    running: int


Message = (
    Heartbeat
    | Hello
    | StaleIncarnation
    | HeartbeatRows
    | HeartbeatRowsAck
    | RecentHeartbeats
    | HeartbeatRowsRequest
    | RouterLoad
    | FleetLoad
    | RouterLoadHandover
    | PartialLoad
    | MembersUpdate
    | MembersRequest
    | RelayedMessage
    | BroadcastMessage
    | TargetAnnouncement
    | TargetRenewal
    | TargetRow
    | TargetRows
    | LeaseAttestations
    | TargetRowsRequest
    | TreeSteps
    | TreeSnapshot
    | TreeRequest
    | ShareReport
    | SlotGrants
    | LogPayload
    | ProposalRequest
    | ProposalReply
    | SuspectUpdate
    | StoredAnswerQuery
    | StoredAnswer
    | ModelUseQuery
    | ModelUse
)


class Envelope(Struct, frozen=True, array_like=True):
    """What one instance sends another in one datagram of the link.

    ``acknowledged`` is the incarnation and sequence of the newest envelope that the
    sender has from the receiver, so that either side notices when what it sends no
    longer arrives although it still hears the other.
    """

    sender_id: str
    incarnation: int
    sequence: int
    acknowledged: tuple[int, int]
    messages: tuple[Message, ...]


class Outgoing(Struct, frozen=True):
    """A decision to send; ``receiver_id`` None means every known instance.

    An ``urgent`` message leaves at once, the others with the next batch.
    """

    receiver_id: str | None
    message: Message
    urgent: bool = False
