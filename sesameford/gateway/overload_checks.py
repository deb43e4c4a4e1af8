"""Refusals of calls that this router can't handle soon enough and another one can."""

from random import Random

from sesameford.effective import HttpRouteSettings
from sesameford.gateway.call_context import GatewayDeps, Refusal
from sesameford.gateway.calls import Call, Prompt
from sesameford.gateway.retry_times import spread_retry_seconds

OVERLOADED = "overloaded"
# A caller refused because this instance is overloaded is served by the instance that
# its retry reaches. The retries of a flood are spread over this part of the objective,
# so that the others learn of the flood before most of them arrive.
OTHER_INSTANCE_RETRY_SECONDS = 0.02
OTHER_INSTANCE_RETRY_PART = 0.25
# A caller is assumed to have left if its call lay unread for this time, or for this
# part of its timeout.
MAX_UNREAD_SECONDS = 1.0
MAX_UNREAD_PART = 1 / 3


def check_caller_waits(
    deps: GatewayDeps,
    call: Call,
    route: HttpRouteSettings,
    customer: str,
    backlog_seconds: float,
    now_seconds: float,
) -> None:
    """Refuse a call that lay unread for so long that its caller has left.

    Raises:
        Refusal: The call is not admitted.
    """
    unread_seconds = backlog_seconds + deps.lag.lateness_seconds(now_seconds)
    caller_timeout_seconds = call.caller_timeout_seconds or route.timeout_seconds
    limit_seconds = min(MAX_UNREAD_SECONDS, MAX_UNREAD_PART * caller_timeout_seconds)
    if unread_seconds <= limit_seconds:
        return
    if call.prompt is not None:
        deps.gate.record_refused_demand(customer, call.prompt.cost_tokens)
    detail = f"unread for up to {unread_seconds:.3f} s"
    raise _overloaded(deps, route, customer, detail)


def check_table(
    deps: GatewayDeps, route: HttpRouteSettings, customer: str, now_seconds: float
) -> None:
    """Refuse a call while targets may have left unnoticed, as nothing may be sent.

    Raises:
        Refusal: The call is not admitted.
    """
    if deps.table_proof.allows_sending(deps.lag, now_seconds):
        return
    raise _overloaded(deps, route, customer, "the table of targets may be outdated")


def check_dispatch(
    deps: GatewayDeps, route: HttpRouteSettings, customer: str, now_seconds: float
) -> None:
    """Refuse a call that this instance can't handle soon enough.

    It does not count as demand, since its retry does at the instance that it reaches.
    With each call counted twice, a customer whose callers use one instance would get
    half of its share.

    Raises:
        Refusal: The call is not admitted.
    """
    if deps.dispatch_limit.has_room(customer, now_seconds):
        return
    detail = f"{deps.dispatch_limit.waiting_calls} admitted calls wait"
    raise _overloaded(deps, route, customer, detail)


def check_room(deps: GatewayDeps, route: HttpRouteSettings, customer: str) -> None:
    """Refuse a call while those under way leave no memory for it.

    Raises:
        Refusal: The call is not admitted.
    """
    if not deps.has_room():
        raise _overloaded(deps, route, customer, "no memory for more calls at once")


def check_late(
    deps: GatewayDeps,
    route: HttpRouteSettings,
    customer: str,
    prompt: Prompt | None,
    now_seconds: float,
) -> None:
    """Refuse most calls while the event loop is late.

    Usually one customer whose callers all use this instance keeps it busy. The calls of
    other customers are then refused: each retry reaches another instance, and those
    have spare capacity. The customer itself, which is limited, is served its share here
    however late the loop is, as far as the dispatch limit allows: refusing the rest of
    its calls keeps the loop late, so it would get nothing while that lasts, and
    customers that use several instances would get their full shares. While nobody is
    limited, it is not known yet whose calls these are.

    Raises:
        Refusal: The call is not admitted.
    """
    gate = deps.gate
    if prompt is not None:
        is_flood_of_others = gate.fractions and customer not in gate.fractions
        if is_flood_of_others:
            gate.record_refused_demand(customer, prompt.cost_tokens)
        elif gate.admits(customer, route.route_id, prompt.cost_tokens):
            return
    lateness_seconds = deps.lag.lateness_seconds(now_seconds)
    raise _overloaded(deps, route, customer, f"loop late by {lateness_seconds:.3f} s")


def other_instance_retry_seconds(objective_seconds: float, random: Random) -> float:
    """Return the time to return of a call that another instance can serve at once."""
    latest_seconds = OTHER_INSTANCE_RETRY_PART * objective_seconds
    return spread_retry_seconds(
        OTHER_INSTANCE_RETRY_SECONDS,
        OTHER_INSTANCE_RETRY_SECONDS + latest_seconds,
        random,
    )


def _overloaded(
    deps: GatewayDeps, route: HttpRouteSettings, customer: str, detail: str
) -> Refusal:
    """Return the refusal of a call that another instance can serve."""
    deps.gate.account.record_late_refusal()
    retry_seconds = other_instance_retry_seconds(route.objective_seconds, deps.random)
    return Refusal(503, OVERLOADED, retry_seconds, route.route_id, customer, detail)
