"""Typed messages between instances.

Every link may lose, duplicate and reorder messages. So a message carries totals and
never increments, and each envelope carries the sender's incarnation and a sequence
number. The messages of a subsystem are grouped under its heading.
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
    """The address for links to an instance with a disk."""

    instance_id: str
    data_centre: str
    address: str


class Hello(Struct, frozen=True, array_like=True, tag="Greeting"):
    """Introduces the sender: its address for links, and the replicas it knows.

    ``founds`` is set when the deployment starts for the first time. ``replicas`` are
    instances with disks. ``reads_origins`` says that the sender reads messages about
    origins of streams; a peer that doesn't would drop all that is sent beside them.
    """

    address: str
    data_centre: str
    has_disk: bool
    founds: bool
    replicas: tuple[ReplicaRow, ...]
    reads_origins: bool = False


class StaleIncarnation(Struct, frozen=True, array_like=True, tag="IncarnationBehind"):
    """Reports that an earlier process of the receiver had a higher incarnation.

    The receiver must continue above ``highest_incarnation``.
    """

    highest_incarnation: int


# --- targets by their heartbeats -----------------------------------------------


class HeartbeatRow(Struct, frozen=True, array_like=True):
    """The latest state that a target reported of itself.

    ``sequence`` grows with a target's heartbeats; ``state`` is ready, draining or gone,
    and gone is final. A restarted target has a new id, or its old id and a higher
    ``incarnation``, which resets sequence and state. The target stays cold for
    ``cold_milliseconds`` from the heartbeat that reported it. ``software_version`` is
    that of its program, empty if it is unknown.
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
    software_version: str = ""


class HeartbeatRows(Struct, frozen=True, array_like=True, tag="BeatRows"):
    """Rows of targets that are new or have changed, or all rows on request.

    A replica acknowledges a message with a ``token`` by sending the token back. With
    ``is_whole`` the message holds all rows of the sender, which knows all targets of
    the last ``known_milliseconds``. That is negative until it can have heard of all
    that serve. For so long as ``silent_milliseconds`` say the targets of the rows have
    sent no heartbeat; they are empty in messages of an earlier release.
    """

    rows: tuple[HeartbeatRow, ...]
    token: int = 0
    is_whole: bool = False
    known_milliseconds: int = 0
    silent_milliseconds: tuple[int, ...] = ()


class HeartbeatRowsAck(Struct, frozen=True, array_like=True, tag="BeatRowsTaken"):
    """Acknowledges the rows that were sent with a token."""

    token: int


class RecentHeartbeats(Struct, frozen=True, array_like=True, tag="BeatsHeard"):
    """Short names of the targets with recent heartbeats, and digests of all rows.

    ``versions_digest`` covers their software versions, and is 0 if the sender is of an
    earlier release, which doesn't know them. ``known_milliseconds`` is as in
    ``HeartbeatRows``.
    """

    names: tuple[int, ...]
    digest: int
    versions_digest: int = 0
    known_milliseconds: int = 0


class HeartbeatRowsRequest(Struct, frozen=True, array_like=True, tag="BeatRowsWanted"):
    """Requests all rows, because the digests of the two instances differ."""


# --- origins of streams --------------------------------------------------------


class StreamOriginRow(Struct, frozen=True, array_like=True):
    """The service and the software version that began a stream.

    The row is of use for ``keep_milliseconds`` from when it was sent.
    """

    key: bytes
    service: str
    software_version: str
    keep_milliseconds: int


class StreamOriginRows(Struct, frozen=True, array_like=True, tag=True):
    """Origins of streams that a replica keeps for other routers."""

    rows: tuple[StreamOriginRow, ...]


class StreamOriginQuery(Struct, frozen=True, array_like=True, tag=True):
    """Asks a replica for the origin of a stream; ``number`` names the reply.

    Without a key it asks only what targets the replica knows.
    """

    number: int
    key: bytes


class StreamOriginReply(Struct, frozen=True, array_like=True, tag=True):
    """A replica's reply to a query; ``row`` is None if it knows no such stream.

    ``table_digest`` and ``versions_digest`` are those of its table of targets.
    """

    number: int
    row: StreamOriginRow | None
    table_digest: int = 0
    versions_digest: int = 0


# --- membership ----------------------------------------------------------------


class Heartbeat(Struct, frozen=True, array_like=True, tag=True):
    """Reports that the sender is alive, its state and the tree revision it applies.

    ``change_number`` grows whenever another field changes. A hub adds the digest of
    its table of members, and the data centres it receives heartbeats from.
    """

    data_centre: str
    state: InstanceState
    revision: int
    change_number: int = 0
    is_hub: bool = False
    members_digest: int = 0
    reachable: tuple[str, ...] = ()


class MemberRow(Struct, frozen=True, array_like=True):
    """The state of an instance, as hubs propagate it.

    ``silence_count`` counts how often the hubs of its data centre have lost it since
    its last change. The triple of incarnation and the two counts only grows.
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
    """Rows that changed, or the whole table on request."""

    rows: tuple[MemberRow, ...]
    is_whole: bool = False


class MembersRequest(Struct, frozen=True, array_like=True, tag="MembersWanted"):
    """Requests the whole table, because the digests have differed for a while."""


class RelayedMessage(Struct, frozen=True, array_like=True, tag="Routed"):
    """A message that hubs relay to an instance to which the sender has no link."""

    origin_id: str
    origin_incarnation: int
    receiver_id: str
    hops_left: int
    payload: bytes


class BroadcastMessage(Struct, frozen=True, array_like=True, tag="Flooded"):
    """A message that hubs relay to all instances."""

    origin_id: str
    origin_incarnation: int
    payload: bytes


class TargetAnnouncement(Struct, frozen=True, array_like=True, tag="TargetNews"):
    """What a target announced; also forwards an announcement to its lease holder.

    ``announcement_sequence`` grows with every announcement of an incarnation, so
    that an outdated one is recognised. ``lease_remaining_seconds`` counts from when
    the message was sent.
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
    """Forwards an unchanged announcement of a target to its lease holder alone."""

    target_id: str
    incarnation: int
    announcement_sequence: int
    lease_remaining_seconds: float


class TargetRow(Struct, frozen=True, array_like=True, tag=True):
    """Reports that a target is new, has changed or is gone.

    The lease holder is the instance that holds the target's lease and attests it.
    ``version`` grows with every change, across all lease holders and their restarts.
    ``is_lapsed`` says that the lease has expired; a further announcement renews it.
    """

    lease_holder_id: str
    version: int
    announcement: TargetAnnouncement
    is_lapsed: bool = False


class TargetRows(Struct, frozen=True, array_like=True, tag=True):
    """All targets of a lease holder; the receiver drops others that it has of it."""

    lease_holder_id: str
    rows: tuple[TargetRow, ...]


class LeaseAttestation(Struct, frozen=True, array_like=True):
    """A lease holder's attestation that all its targets have live leases.

    ``digest`` covers the targets; a receiver whose digest differs requests the rows.
    ``age_milliseconds`` is the time since the lease holder made the attestation; an
    integer takes a third of the bytes of a float, in the most frequent message at rest.
    """

    lease_holder_id: str
    digest: int
    age_milliseconds: int


class LeaseAttestations(Struct, frozen=True, array_like=True, tag="TargetsVouched"):
    """Attestations of several lease holders, forwarded together."""

    attestations: tuple[LeaseAttestation, ...]


class TargetRowsRequest(Struct, frozen=True, array_like=True, tag="TargetsWanted"):
    """Requests the rows of all targets of a lease holder."""

    lease_holder_id: str


# --- settings tree -------------------------------------------------------------


class TreeStepRow(Struct, frozen=True, array_like=True):
    """The change from the previous revision to ``revision``.

    ``put`` holds nodes in their canonical coding by path; ``digest`` is that of
    the whole tree after the change.
    """

    revision: int
    put: dict[str, bytes]
    removed: tuple[str, ...]
    digest: bytes


class TreeSteps(Struct, frozen=True, array_like=True, tag=True):
    """Consecutive changes without a gap."""

    steps: tuple[TreeStepRow, ...]


class TreeSnapshot(Struct, frozen=True, array_like=True, tag="TreeWhole"):
    """The whole tree at a revision, for an instance too far behind for steps."""

    revision: int
    nodes: dict[str, bytes]
    digest: bytes


class TreeRequest(Struct, frozen=True, array_like=True, tag="TreeWanted"):
    """Requests the changes after a revision; ``whole`` requests a snapshot instead."""

    revision: int
    whole: bool = False


# --- replicated log ------------------------------------------------------------


class LogPayload(Struct, frozen=True, array_like=True, tag=True):
    """A message of the replicated log; the log's module defines the types within."""

    payload: bytes


class ProposalRequest(Struct, frozen=True, array_like=True, tag=True):
    """Proposes a command to the replicated log; resends carry the same id."""

    proposal_id: str
    machine: str
    command: bytes


class ProposalReply(Struct, frozen=True, array_like=True, tag=True):
    """The result of a proposal: ``status`` is accepted, refused or no-quorum."""

    proposal_id: str
    status: str
    result: bytes


# --- outcomes ------------------------------------------------------------------


class SuspectUpdate(Struct, frozen=True, array_like=True, tag="SuspectNews"):
    """The deaths of targets during which a request was in flight.

    A request counts whether it was in flight alone or with others. ``deaths`` is the
    set of target incarnations that died; sets merge by union. At ``trial_deaths`` it
    was already a suspect when it was sent, None for all deaths. With a ``trial_router``
    the message is that router's request to try it, or from a replica the grant, until
    the same with ``is_trial_over``.
    ``others`` are rows that changed with this one, such as all of one crash: what a
    part of them shows may be wrong. ``is_table`` says that these are all rows of the
    sender; the message has no digest if it has no row. ``wants_table`` asks for all
    rows of the receiver. Before ``answered_deaths`` the target had answered it.
    """

    request_digest: bytes
    deaths: tuple[str, ...]
    cleared: bool
    trial_deaths: tuple[str, ...] | None = None
    trial_router: str = ""
    others: tuple["SuspectUpdate", ...] = ()
    is_table: bool = False
    wants_table: bool = False
    is_trial_over: bool = False
    answered_deaths: tuple[str, ...] = ()


class StoredAnswerQuery(Struct, frozen=True, array_like=True, tag="KeptAnswerWanted"):
    """Asks the owner of a claim for the state of the run under it.

    ``incarnation`` and ``request_id`` are the owner's, as recorded in the log.
    """

    query_id: str
    claim_index: int
    incarnation: int
    request_id: str


class StoredAnswer(Struct, frozen=True, array_like=True, tag="KeptAnswer"):
    """The owner's reply about a run; ``status`` is 0 where it stores no answer."""

    query_id: str
    run_state: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# --- orders to engines ---------------------------------------------------------


class ModelUseQuery(Struct, frozen=True, array_like=True, tag="ModelUseWanted"):
    """Asks how many requests for a model the receiver still runs on a target."""

    target_id: str
    model: str
    revision: int


class ModelUse(Struct, frozen=True, array_like=True, tag=True):
    """The number of running requests, at the requested revision or a later one."""

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
    | StreamOriginRows
    | StreamOriginQuery
    | StreamOriginReply
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
    """The messages that one instance sends another in one datagram of the link.

    ``acknowledged`` is the incarnation and sequence of the newest envelope that the
    sender has received from the receiver. So either side detects that its own
    envelopes no longer arrive although it still receives those of the other.
    """

    sender_id: str
    incarnation: int
    sequence: int
    acknowledged: tuple[int, int]
    messages: tuple[Message, ...]


class Outgoing(Struct, frozen=True):
    """A message to send; ``receiver_id`` None means every known instance.

    An ``urgent`` message is sent at once, the others with the next batch.
    """

    receiver_id: str | None
    message: Message
    urgent: bool = False
