"""Whether a call is to run: its route, its customer's key and share, its body."""

from dataclasses import dataclass

from aiohttp import web

from sesameford.effective import EffectiveTree, HttpRouteSettings
from sesameford.gateway.call_context import (
    RETRY_AFTER_SECONDS,
    CallContext,
    GatewayDeps,
    GatewayState,
    Refusal,
)
from sesameford.gateway.calls import Call, Prompt
from sesameford.gateway.queue_limit import make_queue_limit
from sesameford.gateway.route_table import choose_service
from sesameford.operators_http import digest_of_key

# A customer over its share is asked to come back while its objective can still be met.
SHARE_RETRY_PART = 0.25
# An engine that would begin to read within this part of the shortest objective has
# room: whoever asks is served there, as the rest of the objective is left to others.
# More than that would make those late who ask for little.
ROOM_PART = 0.04
# Nor is there room while prompts wait longer than this part of it on average over all
# engines. One engine without work says little: routers see it late, and what is read
# there sends other prompts to engines that have work.
ROOM_WAIT_PART = 0.05
# An instance that is late stays so for as long as its callers flood it; those who come
# back sooner cost it the time in which it could serve others.
OVERLOADED_RETRY_SECONDS = 1.0
# A caller who was turned away for another customer's flood is served by the instance to
# which its next try goes; the pause only keeps tries apart.
ELSEWHERE_RETRY_SECONDS = 0.02
# A caller gives up a call that nobody has read for so long, or for this part of the
# time that it has.
UNREAD_SECONDS = 1.0
UNREAD_PART = 1 / 3
# A caller of an instance that stops is served by another one at once.
STOPPING_RETRY_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Admitted:
    """Where a call goes that is to run, and by what state that was decided."""

    state: GatewayState
    route: HttpRouteSettings
    customer: str | None
    service: str
    homes: frozenset[str] | None = None


def decide(deps: GatewayDeps, call: Call, arrived_at_seconds: float) -> Admitted:
    """Find a call's route and customer, and decide whether it is to run.

    Raises:
        Refusal: It is not.
    """
    state = deps.state()
    if state is None:
        raise Refusal(503, "no-configuration", RETRY_AFTER_SECONDS)
    if not deps.accepts():
        raise Refusal(503, "stopping", STOPPING_RETRY_SECONDS)
    route = state.routes.find(call.host, call.path)
    if route is None:
        raise Refusal(404, "no-route")
    customer = _customer_of(state.tree, route, call)
    homes = _homes(state.tree, route, customer)
    service = choose_service(route, deps.random.random())
    prompt = call.prompt if service in state.engine_services else None
    if deps.lag.is_too_late(arrived_at_seconds):
        _check_late(deps, call, route, customer or "", prompt, arrived_at_seconds)
    elif prompt is not None:
        _check_share(deps, state, route, customer or "", prompt, service, homes)
    elif service not in state.engine_services:
        _check_queue(deps, route, customer or "", service)
    return Admitted(state, route, customer, service, homes)


async def begin(
    deps: GatewayDeps,
    http: web.BaseRequest,
    call: Call,
    admitted: Admitted,
    arrived_at_seconds: float,
) -> CallContext:
    """Read the body of a call that is to run.

    Raises:
        Refusal: It is too large.
    """
    body = await _body(http, admitted.state.tree.fleet.body_limit_bytes)
    route = admitted.route
    patience_seconds = route.timeout_seconds
    if call.patience_seconds is not None:
        patience_seconds = min(patience_seconds, call.patience_seconds)
    spent_seconds = deps.now() - arrived_at_seconds
    return CallContext(
        call,
        body,
        route,
        admitted.customer,
        admitted.service,
        admitted.homes,
        arrived_at_seconds,
        deps.loop_time() + patience_seconds - spent_seconds,
    )


def _check_late(
    deps: GatewayDeps,
    call: Call,
    route: HttpRouteSettings,
    customer: str,
    prompt: Prompt | None,
    now_seconds: float,
) -> None:
    """Reject most calls while the loop is late, after what they have waited unread.

    Mostly one customer whose callers all come to this instance keeps it busy. Then the
    others are asked back at once: each try goes to another instance, and those have
    room. The customer itself, which is limited, is served its share here however late
    the loop is: refusing the rest of its flood is what keeps it late, so it would get
    nothing for as long as that lasts, and rivals that come by several instances all of
    theirs. It is turned away too after a stop of the loop in which its callers have
    given up.

    Raises:
        Refusal: It is not to run.
    """
    lateness_seconds = deps.lag.lateness_seconds(now_seconds)
    patience_seconds = call.patience_seconds or route.timeout_seconds
    has_left = lateness_seconds > min(UNREAD_SECONDS, UNREAD_PART * patience_seconds)
    is_limited = customer in deps.gate.fractions
    if prompt is not None and (has_left or not is_limited):
        deps.gate.record_rejection(customer, prompt.cost_tokens)
    elif prompt is not None:
        has_earned = deps.gate.admits(customer, route.route_id, prompt.cost_tokens)
        if has_earned:
            return
    deps.gate.account.record_late_refusal()
    is_flood_of_others = deps.gate.fractions and not is_limited
    raise Refusal(
        503,
        "overloaded",
        ELSEWHERE_RETRY_SECONDS if is_flood_of_others else OVERLOADED_RETRY_SECONDS,
        route.route_id,
        customer,
        f"loop late by {lateness_seconds:.3f} s",
    )


def _check_share(
    deps: GatewayDeps,
    state: GatewayState,
    route: HttpRouteSettings,
    customer: str,
    prompt: Prompt,
    service: str,
    homes: frozenset[str] | None,
) -> None:
    """Reject a request beyond its customer's share.

    Raises:
        Refusal: Others would wait for it.
    """

    def has_room() -> bool:
        return deps.placement.has_spare_capacity(
            service,
            prompt,
            state.tree.services[service],
            route.objective_seconds,
            ROOM_PART * state.shortest_objective_seconds,
            ROOM_WAIT_PART * state.shortest_objective_seconds,
            deps.now(),
            homes,
        )

    if deps.gate.admits(customer, route.route_id, prompt.cost_tokens, has_room):
        return
    raise Refusal(
        429,
        "over-share",
        SHARE_RETRY_PART * route.objective_seconds,
        route.route_id,
        customer,
        f"fraction {deps.gate.fractions.get(customer, 1.0):.3f}",
    )


def _check_queue(
    deps: GatewayDeps, route: HttpRouteSettings, customer: str, service: str
) -> None:
    """Reject a part by lot while the queues of a plain service are long.

    Were all let in, a service that is asked for more than it can do would answer
    everybody late from when its queues are full.

    Raises:
        Refusal: The answer would come late, or make others come late.
    """
    queue = deps.placement.plain_queue(service, deps.now())
    takes_seconds = queue.takes_seconds
    limit = deps.queue_limits.setdefault(service, make_queue_limit())
    rejected_part = limit.update(
        takes_seconds, queue.work_seconds, route.objective_seconds, deps.now()
    )
    if deps.random.random() < rejected_part:
        raise Refusal(
            503,
            "queue-full",
            takes_seconds,
            route.route_id,
            customer,
            f"takes {takes_seconds:.3f} s, rejected part {rejected_part:.2f}",
        )


def _customer_of(
    tree: EffectiveTree, route: HttpRouteSettings, call: Call
) -> str | None:
    """Return the customer whose key a call has."""
    if call.key is not None:
        customer = tree.customer_ids_by_digest.get(digest_of_key(call.key))
        if customer is not None:
            return customer
    if route.public or not tree.customers:
        return None
    raise Refusal(401, "unknown-key", route_id=route.route_id)


def _homes(
    tree: EffectiveTree, route: HttpRouteSettings, customer: str | None
) -> frozenset[str] | None:
    """Return the regions in which a call may run, None for all.

    Raises:
        Refusal: Its route and its customer have none in common.
    """
    homes = [frozenset(route.home_regions)] if route.home_regions else []
    settings = tree.customers.get(customer) if customer is not None else None
    if settings is not None and settings.home_regions:
        homes.append(frozenset(settings.home_regions))
    if not homes:
        return None
    common = frozenset.intersection(*homes)
    if not common:
        raise Refusal(
            403, "no-common-home", route_id=route.route_id, customer=customer or ""
        )
    return common


async def _body(http: web.BaseRequest, limit_bytes: int) -> bytes:
    if not http.body_exists:
        return b""
    body = bytearray()
    async for chunk in http.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise Refusal(413, "body-too-large")
    return bytes(body)
