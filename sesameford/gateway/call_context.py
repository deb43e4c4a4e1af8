"""One call on its way through a router, and the parts of the router that it meets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from aiohttp import web

from sesameford.effective import EffectiveTree, HttpRouteSettings
from sesameford.errors import SesamefordError
from sesameford.event_stream import EventStream
from sesameford.gateway.calls import Call, WireAdapter
from sesameford.gateway.forward import Sender
from sesameford.gateway.gateway_metrics import GatewayMetrics
from sesameford.gateway.loop_lag import LoopLag
from sesameford.gateway.placement import Placement
from sesameford.gateway.queue_limit import QueueLimit
from sesameford.gateway.route_table import RouteTable, make_route_table
from sesameford.gateway.second_sends import SecondSends
from sesameford.gateway.share_gate import ShareGate
from sesameford.gateway.target_record import Reservation

# A caller is asked to come back after so long where nothing better is known: about
# the time in which a resting target is tried again.
RETRY_AFTER_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class GatewayState:
    """What is in force at one router."""

    tree: EffectiveTree
    routes: RouteTable
    engine_services: frozenset[str]
    shortest_objective_seconds: float


def make_gateway_state(tree: EffectiveTree) -> GatewayState:
    """Return what follows from a tree for a router."""
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
    """The parts of a router that a call meets."""

    wire_adapter: WireAdapter
    sender: Sender
    placement: Placement
    gate: ShareGate
    second_sends: SecondSends
    lag: LoopLag
    metrics: GatewayMetrics
    random: Random
    state: Callable[[], GatewayState | None]
    routers: Callable[[], int]
    is_leaving: Callable[[], bool]
    is_crowded: Callable[[], bool]
    accepts: Callable[[], bool]
    now: Callable[[], float]
    loop_time: Callable[[], float]
    queue_limits: dict[str, QueueLimit] = field(default_factory=dict)


class Refusal(SesamefordError):
    """A final answer of the system's own.

    Args:
        status: The HTTP status code; 429 and 503 say that the call has not run.
        reason: A short, stable word.
        retry_after_seconds: When a new try makes sense.
        route_id: The call's route, where it is known.
        customer: Whose call it is, where it is known.
        detail: What decided, for the log.
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
    """One call on its way; ``until_seconds`` is on the loop's clock.

    Its targets are in the regions ``homes``, where it has any.
    """

    call: Call
    body: bytes
    route: HttpRouteSettings
    customer: str | None
    service: str
    homes: frozenset[str] | None
    arrived_at_seconds: float
    until_seconds: float
    tried: frozenset[str] = frozenset()
    send_attempts: int = 0
    never_sent: int = 0
    may_have_run: bool = False
    response: web.StreamResponse | None = None
    passed: EventStream | None = None
    status: int = 0
    first_event_seconds: float | None = None
    last_event_at_seconds: float = 0.0
    longest_pause_seconds: float = 0.0
    reservation: Reservation | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a call that may have run can be sent again."""
        return self.route.repeatable or self.route.resumable

    def event_came(self, now_seconds: float) -> bool:
        """Note an event of the answer; return whether it is the first."""
        is_first = self.first_event_seconds is None
        if is_first:
            self.first_event_seconds = now_seconds - self.arrived_at_seconds
        else:
            pause_seconds = now_seconds - self.last_event_at_seconds
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause_seconds)
        self.last_event_at_seconds = now_seconds
        return is_first


class CutError(SesamefordError):
    """A stream broke off that its caller has a part of."""

    def __init__(self, run: CallContext, detail: str) -> None:
        super().__init__(detail)
        self.run = run
        self.detail = detail
