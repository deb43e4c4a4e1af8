"""Typed messages between instances.

Every link may lose, double and reorder, so a message carries totals and never
increments, and each envelope the sender's incarnation and a sequence number.
A subsystem's messages stand together under its heading here.
"""

from msgspec import Struct

from sesameford.tables import InstanceState, TargetKind

# --- membership ----------------------------------------------------------------


class Heartbeat(Struct, frozen=True, tag=True):
    """I live; this is my state and the tree revision I am under."""

    data_centre: str
    state: InstanceState
    revision: int


class TargetNews(Struct, frozen=True, tag=True):
    """A target's latest announcement, passed on.

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


# --- settings tree -------------------------------------------------------------


class TreeUpdate(Struct, frozen=True, tag=True):
    """The declared tree at a revision, whole."""

    revision: int
    declared: bytes


class TreeWanted(Struct, frozen=True, tag=True):
    """Send me the tree if yours is newer than this revision."""

    revision: int


# --- fair service --------------------------------------------------------------


class CustomerTotals(Struct, frozen=True, array_like=True):
    """One customer's totals at one router."""

    customer_id: str
    served_cost_units: float
    in_flight_cost_units: float
    waiting_requests: int
    waiting_cost_units: float


class RouterReport(Struct, frozen=True, tag=True):
    """A router's totals for those customers whose account changed.

    ``resource`` names the model or service that the work waits for.
    """

    resource: str
    totals: tuple[CustomerTotals, ...]


class SlotGrant(Struct, frozen=True, tag=True):
    """A router may run this many requests at once on a target until the expiry.

    ``epoch`` grows with each allocator of a data centre; grants of an older epoch
    are ignored. ``grant_sequence`` orders the grants of one epoch.
    """

    epoch: int
    grant_sequence: int
    target_id: str
    target_incarnation: int
    slots: int
    expires_in_seconds: float


class SlotReturn(Struct, frozen=True, tag=True):
    """A router uses only this many of its granted slots; take the rest back."""

    epoch: int
    grant_sequence: int
    target_id: str
    slots: int


class FairShareNews(Struct, frozen=True, tag=True):
    """The allocator's view: smallest backlogged virtual time and those near it."""

    epoch: int
    resource: str
    marginal_virtual_time: float
    virtual_times: tuple[tuple[str, float], ...]


# --- replicated log ------------------------------------------------------------


class LogPayload(Struct, frozen=True, tag=True):
    """A message of the replicated log; its own types stand in its module."""

    payload: bytes


class ProposalRequest(Struct, frozen=True, tag=True):
    """Please bring this command to agreement; the id stays over resends."""

    proposal_id: str
    machine: str
    command: bytes


class ProposalReply(Struct, frozen=True, tag=True):
    """What became of a proposal: ``status`` is accepted, refused or no-quorum."""

    proposal_id: str
    status: str
    result: bytes


# --- outcomes ------------------------------------------------------------------


class SuspectNews(Struct, frozen=True, tag=True):
    """How often a body's digest was in flight alone or together at a death.

    ``deaths`` is the set of target incarnations that died; sets merge by union.
    """

    body_digest: bytes
    deaths: tuple[str, ...]
    cleared: bool


class KeptAnswerWanted(Struct, frozen=True, tag=True):
    """Send me the kept answer to this keyed request."""

    query_id: str
    customer_id: str
    idempotency_key: str


class KeptAnswer(Struct, frozen=True, tag=True):
    """A kept answer, or ``status`` 0 where none is kept here."""

    query_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Message = (
    Heartbeat
    | TargetNews
    | TreeUpdate
    | TreeWanted
    | RouterReport
    | SlotGrant
    | SlotReturn
    | FairShareNews
    | LogPayload
    | ProposalRequest
    | ProposalReply
    | SuspectNews
    | KeptAnswerWanted
    | KeptAnswer
)


class Envelope(Struct, frozen=True):
    """What one instance sends another in one datagram of the link."""

    sender_id: str
    incarnation: int
    sequence: int
    messages: tuple[Message, ...]


class Outgoing(Struct, frozen=True):
    """A decision to send; ``receiver_id`` None means every known instance.

    An ``urgent`` message leaves at once, the others with the next batch.
    """

    receiver_id: str | None
    message: Message
    urgent: bool = False
