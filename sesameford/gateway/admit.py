"""Admission of calls: route, customer, share and queue, and reading of bodies."""

from dataclasses import dataclass

from aiohttp import web

from sesameford.connection_memory import NoRoomError
from sesameford.effective import EffectiveTree, HttpRouteSettings
from sesameford.gateway.call_context import (
    NO_ROOM_FOR_BODY,
    RETRY_AFTER_SECONDS,
    CallContext,
    GatewayDeps,
    GatewayState,
    Refusal,
)
from sesameford.gateway.calls import Call, Prompt
from sesameford.gateway.no_target import no_target_retry_seconds
from sesameford.gateway.overload_checks import (
    check_caller_waits,
    check_dispatch,
    check_late,
    check_room,
    check_table,
)
from sesameford.gateway.queue_limit import make_queue_limit
from sesameford.gateway.retry_times import spread_retry_seconds
from sesameford.gateway.route_table import choose_service
from sesameford.operators_http import digest_of_key
from sesameford.request_body import (
    BodyTooLargeError,
    BodyTooSlowError,
    read_whole_body,
)
from sesameford.request_digest import digest_part, digest_request
from sesameford.suspect_log import format_digests

# The earliest and the latest Retry-After of a request over its customer's share, as
# parts of the route's objective: the retry can still meet the objective.
MIN_OVER_SHARE_RETRY_PART = 0.15
MAX_OVER_SHARE_RETRY_PART = 0.35
# The latest Retry-After of a request that finds the queues of its service full, as a
# multiple of the time that an answer takes there.
MAX_QUEUE_RETRY_FACTOR = 1.5
# An engine that would start to read within this part of the shortest objective has
# spare capacity: any customer is served there, as most of the objective remains for the
# requests that follow. A larger part would delay customers that request little.
SPARE_CAPACITY_START_PART = 0.04
# There is no spare capacity either while the average wait of prompts over all engines
# exceeds this part of the shortest objective. One idle engine shows little: routers
# learn of it late, and a prompt read there displaces others to busy engines.
SPARE_CAPACITY_WAIT_PART = 0.05
# A call at a late loop has lain unread for about so many late turns: one to read it and
# one to handle it, more on a new connection.
UNREAD_TURNS = 2.0
BODY_TOO_LARGE = "body-too-large"
# Another instance can serve the callers of a stopping one immediately.
STOPPING_RETRY_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """The route, service and regions of an admitted call, and the state that it used.

    ``homes`` are the regions in which it may run, None for all. ``unread_seconds`` is
    how long it lay unread before, and ``waited_seconds`` how long its caller waited
    before it sent the call, both estimates. ``dispatch_number`` is its number in the
    dispatch limit until its handler begins.
    """

    state: GatewayState
    route: HttpRouteSettings
    customer: str | None
    service: str
    homes: frozenset[str] | None = None
    unread_seconds: float = 0.0
    dispatch_number: int = 0
    waited_seconds: float = 0.0


def admit_call(
    deps: GatewayDeps,
    call: Call,
    arrived_at_seconds: float,
    backlog_seconds: float = 0.0,
) -> AdmittedCall:
    """Find a call's route and customer, and decide whether to admit it.

    Args:
        deps: The router's parts.
        call: The call without its body.
        arrived_at_seconds: When its head arrived, by the router's clock.
        backlog_seconds: How long it may have waited for its connection to be accepted.

    Raises:
        Refusal: The call is not admitted.
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
    longest_seconds = _longest_seconds(route, call)
    if not deps.stop_bound.may_take(
        route.route_id, longest_seconds, deps.loop_time(), route.is_stream
    ):
        raise Refusal(
            503, "stopping", STOPPING_RETRY_SECONDS, route.route_id, customer or ""
        )
    _check_quarantine(deps, route, customer, call.prompt)
    homes = _home_regions_of(state.tree, route, customer)
    service = choose_service(route, deps.random.random())
    prompt = call.prompt if service in state.engine_services else None
    _check_targets(deps, route, customer or "", prompt, service, homes)
    unread_seconds = backlog_seconds
    is_lagging = deps.lag.is_lagging(arrived_at_seconds)
    if is_lagging:
        unread_seconds += UNREAD_TURNS * deps.lag.lateness_seconds(arrived_at_seconds)
    waited_seconds = 0.0
    if state.tree.fleet.count_waits:
        waited_seconds = deps.returning_calls.waited_seconds(
            route.route_id, call.caller_timeout_seconds, arrived_at_seconds
        )
    check_caller_waits(
        deps, call, route, customer or "", backlog_seconds, arrived_at_seconds
    )
    check_table(deps, route, customer or "", arrived_at_seconds)
    check_room(deps, route, customer or "")
    if state.tree.fleet.dispatch_limit:
        check_dispatch(deps, route, customer or "", arrived_at_seconds)
    if is_lagging:
        check_late(deps, route, customer or "", prompt, arrived_at_seconds)
    elif prompt is not None:
        _check_share(deps, state, route, customer or "", prompt, service, homes)
    elif service not in state.engine_services:
        _check_queue(deps, route, customer or "", service)
    number = deps.dispatch_limit.add(customer or "", arrived_at_seconds)
    return AdmittedCall(
        state,
        route,
        customer,
        service,
        homes,
        unread_seconds,
        number,
        waited_seconds,
    )


async def make_call_context(
    deps: GatewayDeps,
    http: web.BaseRequest,
    call: Call,
    admitted: AdmittedCall,
    arrived_at_seconds: float,
) -> CallContext:
    """Read the body of an admitted call and return the call's context.

    Args:
        deps: The router's parts.
        http: The HTTP request.
        call: The call without its body.
        admitted: What was found out about it.
        arrived_at_seconds: When its head arrived, by the router's clock.

    Raises:
        Refusal: The body is too large or too slow, or others leave no room for it.
    """
    route = admitted.route
    body = await _read_body(
        http,
        admitted.state.tree.fleet.body_limit_bytes,
        _longest_seconds(route, call) - admitted.unread_seconds,
    )
    # A caller waits from when it sent the call, not from when it was read. Without this
    # a late router sends calls on after their callers have left.
    spent_seconds = admitted.unread_seconds + deps.now() - arrived_at_seconds
    return CallContext(
        call,
        body,
        route,
        admitted.customer,
        admitted.service,
        admitted.homes,
        arrived_at_seconds,
        deps.loop_time() + _longest_seconds(route, call) - spent_seconds,
        admitted.waited_seconds,
        digest_request(admitted.customer, call.method, call.host, call.target, body),
        digest_parts(admitted.customer, call.prompt),
    )


def _longest_seconds(route: HttpRouteSettings, call: Call) -> float:
    """Return how long a call's route and its caller allow it to last."""
    if call.caller_timeout_seconds is None:
        return route.timeout_seconds
    return min(route.timeout_seconds, call.caller_timeout_seconds)


def digest_parts(customer: str | None, prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return the digests of the parts of a prompt that other prompts may share."""
    if prompt is None:
        return ()
    return tuple(digest_part(customer, part.part_id) for part in prompt.shared_parts)


def _check_quarantine(
    deps: GatewayDeps,
    route: HttpRouteSettings,
    customer: str | None,
    prompt: Prompt | None,
) -> None:
    """Refuse a call with parts that crash targets, before its body is read.

    It is no demand: it could not be served however much its customer's share is.

    Raises:
        Refusal: A part of its prompt is quarantined.
    """
    suspects = deps.suspect_calls.exchange.suspects
    if prompt is None or not suspects.has_rows:
        return
    parts = digest_parts(customer, prompt)
    parts += suspects.pairs_of(parts)
    left_seconds = suspects.refusal_seconds(b"", deps.now(), parts)
    if left_seconds > 0.0:
        raise Refusal(
            429,
            "quarantined",
            left_seconds,
            route.route_id,
            customer or "",
            f"parts {format_digests(suspects.suspected(parts))}",
        )


def _check_targets(
    deps: GatewayDeps,
    route: HttpRouteSettings,
    customer: str,
    prompt: Prompt | None,
    service: str,
    homes: frozenset[str] | None,
) -> None:
    """Refuse a call that all targets of its service would reject.

    Raises:
        Refusal: All of them are in backoff or drain.
    """
    reason = deps.placement.candidates.notice_reason(service, deps.now(), homes)
    if reason is None:
        return
    if prompt is not None:
        deps.gate.record_refused_demand(
            customer, prompt.cost_tokens, is_made_up_for=False
        )
    retry_seconds = no_target_retry_seconds(deps, reason, service, homes)
    raise Refusal(503, reason.value, retry_seconds, route.route_id, customer)


def _check_share(
    deps: GatewayDeps,
    state: GatewayState,
    route: HttpRouteSettings,
    customer: str,
    prompt: Prompt,
    service: str,
    homes: frozenset[str] | None,
) -> None:
    """Refuse a request that exceeds its customer's share.

    Raises:
        Refusal: The share is used up and engines have no spare capacity.
    """

    def has_spare_capacity() -> bool:
        return deps.placement.has_spare_capacity(
            service,
            prompt,
            state.tree.services[service],
            route.objective_seconds,
            SPARE_CAPACITY_START_PART * state.shortest_objective_seconds,
            SPARE_CAPACITY_WAIT_PART * state.shortest_objective_seconds,
            deps.now(),
            homes,
        )

    if deps.gate.admits(
        customer, route.route_id, prompt.cost_tokens, has_spare_capacity
    ):
        return
    raise Refusal(
        429,
        "over-share",
        spread_retry_seconds(
            MIN_OVER_SHARE_RETRY_PART * route.objective_seconds,
            MAX_OVER_SHARE_RETRY_PART * route.objective_seconds,
            deps.random,
        ),
        route.route_id,
        customer,
        f"fraction {deps.gate.fractions.get(customer, 1.0):.3f}",
    )


def _check_queue(
    deps: GatewayDeps, route: HttpRouteSettings, customer: str, service: str
) -> None:
    """Refuse a random part of calls while the queues of a plain service are long.

    If an overloaded service got all calls, each answer would be late once its queues
    are full.

    Raises:
        Refusal: The call is in the refused part.
    """
    queue = deps.placement.plain_queue(service, deps.now())
    takes_seconds = queue.takes_seconds
    limit = deps.queue_limits.setdefault(service, make_queue_limit())
    refused_part = limit.update(
        takes_seconds, queue.work_seconds, route.objective_seconds, deps.now()
    )
    if deps.random.random() < refused_part:
        raise Refusal(
            503,
            "queue-full",
            spread_retry_seconds(
                takes_seconds, MAX_QUEUE_RETRY_FACTOR * takes_seconds, deps.random
            ),
            route.route_id,
            customer,
            f"takes {takes_seconds:.3f} s, rejected part {refused_part:.2f}",
        )


def _customer_of(
    tree: EffectiveTree, route: HttpRouteSettings, call: Call
) -> str | None:
    """Return the customer whose key a call has, None for a public route.

    Raises:
        Refusal: The route needs a key, and the call has none that is known.
    """
    if call.key is not None:
        customer = tree.customer_ids_by_digest.get(digest_of_key(call.key))
        if customer is not None:
            return customer
    if route.public or not tree.customers:
        return None
    raise Refusal(401, "unknown-key", route_id=route.route_id)


def _home_regions_of(
    tree: EffectiveTree, route: HttpRouteSettings, customer: str | None
) -> frozenset[str] | None:
    """Return the regions in which a call may run, None for all.

    Raises:
        Refusal: The route and the customer have no region in common.
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


async def _read_body(
    http: web.BaseRequest, limit_bytes: int, timeout_seconds: float
) -> bytes:
    """Return the whole body of a call.

    Raises:
        Refusal: It is too large or too slow, or others leave no room for it.
    """
    if not http.body_exists:
        return b""
    if (http.content_length or 0) > limit_bytes:
        raise Refusal(413, BODY_TOO_LARGE)
    try:
        return await read_whole_body(http.content, limit_bytes, timeout_seconds)
    except BodyTooLargeError as error:
        raise Refusal(413, BODY_TOO_LARGE) from error
    except NoRoomError as error:
        raise Refusal(503, NO_ROOM_FOR_BODY, RETRY_AFTER_SECONDS) from error
    except BodyTooSlowError as error:
        # Its caller waits no longer, and it has not run.
        raise Refusal(408, "slow-body") from error
