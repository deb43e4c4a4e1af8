"""State of one call in a router, and the router's parts that handle calls."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from aiohttp import web

from sesameford.effective import EffectiveTree, HttpRouteSettings
from sesameford.errors import SesamefordError
from sesameford.event_stream import EventStream
from sesameford.framing import Framing
from sesameford.gateway.calls import Call, WireAdapter
from sesameford.gateway.dispatch_limit import DispatchLimit, make_dispatch_limit
from sesameford.gateway.forward import Sender
from sesameford.gateway.gateway_metrics import GatewayMetrics
from sesameford.gateway.loop_lag import LoopLag
from sesameford.gateway.origin_exchange import OriginExchange
from sesameford.gateway.placement import Placement
from sesameford.gateway.queue_limit import QueueLimit
from sesameford.gateway.returning_calls import ReturningCalls, make_returning_calls
from sesameford.gateway.route_table import RouteTable, make_route_table
from sesameford.gateway.second_sends import SecondSends
from sesameford.gateway.service_versions import ServiceVersions
from sesameford.gateway.share_gate import ShareGate
from sesameford.gateway.stream_origins import StreamOrigin
from sesameford.gateway.suspect_calls import SuspectCalls
from sesameford.gateway.table_proof import TableProof, make_table_proof
from sesameford.gateway.target_record import Reservation
from sesameford.held_answers import HeldBytes, make_held_bytes
from sesameford.stop_bound import StopBound, make_stop_bound

# Default Retry-After: about the time after which a target in backoff is tried again.
RETRY_AFTER_SECONDS = 0.5
NO_ROOM_FOR_BODY = "no-room-for-body"
# A call whose caller has waited for most of the objective is placed as if this part of
# it were left: it will be late, but must not displace others.
MIN_LEFT_OBJECTIVE_PART = 0.25


@dataclass(frozen=True, slots=True)
class GatewayState:
    """The settings in force at one router, and what it derives from them.

    ``engine_services`` are the services of model engines;
    ``shortest_objective_seconds`` is the shortest objective of their routes.
    """

    tree: EffectiveTree
    routes: RouteTable
    engine_services: frozenset[str]
    shortest_objective_seconds: float


def make_gateway_state(tree: EffectiveTree) -> GatewayState:
    """Derive a router's state from a tree that comes into force."""
    engines = frozenset(
        service.service
        for service in tree.services.values()
        if service.batch_slots is not None
    )
    objectives = [
        route.objective_seconds
        for route in tree.routes.values()
        if any(one.service in engines for one in route.backends)
    ]
    return GatewayState(
        tree, make_route_table(tree), engines, min(objectives, default=1.0)
    )


@dataclass(frozen=True, slots=True)
class GatewayDeps:
    """The parts of a router that handle a call.

    ``now`` and ``loop_time`` are in seconds, of the router's clock and of the event
    loop's; ``spare_part`` returns the part of the spare retries that this router may
    use.
    """

    wire_adapter: WireAdapter
    sender: Sender
    placement: Placement
    gate: ShareGate
    second_sends: SecondSends
    lag: LoopLag
    metrics: GatewayMetrics
    random: Random
    state: Callable[[], GatewayState | None]
    spare_part: Callable[[], float]
    is_leaving: Callable[[], bool]
    is_crowded: Callable[[], bool]
    accepts: Callable[[], bool]
    now: Callable[[], float]
    loop_time: Callable[[], float]
    suspect_calls: SuspectCalls
    origin_exchange: OriginExchange
    service_versions: ServiceVersions
    has_room: Callable[[], bool] = lambda: True
    held_answers: HeldBytes = field(default_factory=make_held_bytes)
    queue_limits: dict[str, QueueLimit] = field(default_factory=dict)
    dispatch_limit: DispatchLimit = field(default_factory=make_dispatch_limit)
    returning_calls: ReturningCalls = field(default_factory=make_returning_calls)
    table_proof: TableProof = field(default_factory=make_table_proof)
    stop_bound: StopBound = field(default_factory=make_stop_bound)


class Refusal(SesamefordError):
    """A final answer that the router gives itself instead of a target.

    Args:
        status: The HTTP status code; 429 and 503 say that the call has not run.
        reason: A short, stable code.
        retry_after_seconds: The delay after which a retry makes sense.
        route_id: The call's route, if determined.
        customer: The call's customer, if determined.
        detail: The figures behind the decision, for the log.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
        route_id: str = "",
        customer: str = "",
        detail: str = "",
    ) -> None:
        super().__init__(reason)
        self.route_id = route_id
        self.customer = customer
        self.detail = detail
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


@dataclass(slots=True)
class CallContext:
    """The state of one call; ``until_seconds`` is its deadline on the loop's clock.

    ``homes`` are the regions in which it may run, None for all. ``waited_seconds`` is
    how long its caller waited before it sent the call. ``digest`` is equal for calls
    that a caller sends again, ``part_digests`` are those of its prompt's parts that
    others may share, and ``pair_digests`` of pairs of them. ``tried`` are the targets
    that it was sent to, ``send_attempts`` how often, without the ``failed_connects``.
    ``response`` is set once the caller has received a part of the answer, and
    ``events`` tracks the events of a stream. ``origin`` is where the stream began, in
    this answer or in an earlier one that the call resumes. ``written_at_seconds`` is
    when the last send attempt was written to its connection, None if it was not, and
    ``framing`` how its answer is framed, None if none came. ``is_trial`` says that the
    call was a suspect when it was sent, for ``trial_reason``, ``trial_digests`` are the
    suspects that it has, and ``has_lost_connection`` says that a connection to a target
    broke under it.
    """

    call: Call
    body: bytes
    route: HttpRouteSettings
    customer: str | None
    service: str
    homes: frozenset[str] | None
    arrived_at_seconds: float
    until_seconds: float
    waited_seconds: float = 0.0
    digest: bytes = b""
    part_digests: tuple[bytes, ...] = ()
    pair_digests: tuple[bytes, ...] = ()
    tried: frozenset[str] = frozenset()
    send_attempts: int = 0
    failed_connects: int = 0
    may_have_run: bool = False
    response: web.StreamResponse | None = None
    events: EventStream = field(default_factory=EventStream)
    status: int = 0
    first_event_seconds: float | None = None
    last_event_at_seconds: float = 0.0
    longest_pause_seconds: float = 0.0
    reservation: Reservation | None = None
    origin: StreamOrigin | None = None
    written_at_seconds: float | None = None
    framing: Framing | None = None
    is_trial: bool = False
    trial_reason: str = ""
    trial_digests: frozenset[bytes] = frozenset()
    has_lost_connection: bool = False

    @property
    def shared_digests(self) -> tuple[bytes, ...]:
        """The digests of what other calls may have in common with it."""
        return self.part_digests + self.pair_digests

    @property
    def digests(self) -> tuple[bytes, ...]:
        """The digests of the call and of what it may have in common with others."""
        return (self.digest, *self.shared_digests)

    @property
    def left_objective_seconds(self) -> float:
        """Return what its caller's wait has left of the objective, a part at least."""
        objective_seconds = self.route.objective_seconds
        least_seconds = MIN_LEFT_OBJECTIVE_PART * objective_seconds
        return max(objective_seconds - self.waited_seconds, least_seconds)

    @property
    def may_repeat(self) -> bool:
        """Whether a call that may have run may be sent again."""
        return self.route.repeatable or self.route.resumable

    def record_event(self, now_seconds: float) -> bool:
        """Record the time of an event of the answer; return whether it is the first."""
        is_first = self.first_event_seconds is None
        if is_first:
            self.first_event_seconds = now_seconds - self.arrived_at_seconds
        else:
            pause_seconds = now_seconds - self.last_event_at_seconds
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause_seconds)
        self.last_event_at_seconds = now_seconds
        return is_first


class CutError(SesamefordError):
    """A stream broke off after its caller received a part of it."""

    def __init__(self, context: CallContext, detail: str) -> None:
        super().__init__(detail)
        self.context = context
        self.detail = detail
