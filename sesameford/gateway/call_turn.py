"""The next send attempt of a call: whether it may be made, and at which target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sesameford.gateway.call_context import (
    RETRY_AFTER_SECONDS,
    CallContext,
    CutError,
    GatewayDeps,
    Refusal,
)
from sesameford.gateway.no_target import no_target_retry_seconds
from sesameford.gateway.send_failures import MIN_TIME_LEFT_SECONDS
from sesameford.gateway.suspect_calls import MAX_WAIT_SECONDS, SuspectRefusedError
from sesameford.gateway.target_record import Reservation


@asynccontextmanager
async def take_turn(deps: GatewayDeps, context: CallContext) -> AsyncIterator[None]:
    """Make one attempt in the context, alone of its kind if the call is a suspect.

    Raises:
        Refusal: The call may not be sent because targets crashed under equal calls.
        CutError: So it is, and the caller received a part of the answer.
    """
    wait_until_seconds = min(
        deps.loop_time() + MAX_WAIT_SECONDS,
        context.until_seconds - MIN_TIME_LEFT_SECONDS,
    )
    suspects = deps.suspect_calls.exchange.suspects
    context.pair_digests = suspects.pairs_of(context.part_digests)
    try:
        async with deps.suspect_calls.turn(
            context.digest, wait_until_seconds, context.shared_digests
        ) as trial_reason:
            # A second send after a broken connection is a trial even if the crash of
            # the first target is not proven yet.
            context.is_trial = bool(trial_reason) or context.has_lost_connection
            context.trial_digests = _trial_digests(deps, context)
            context.trial_reason = trial_reason or "after a broken connection"
            yield
    except SuspectRefusedError as error:
        raise _final_error(context, error) from error


def _trial_digests(deps: GatewayDeps, context: CallContext) -> frozenset[bytes]:
    """Return the suspects that a call has, all of its digests if one broke under it."""
    if context.has_lost_connection:
        return frozenset(context.digests)
    return deps.suspect_calls.exchange.suspects.suspected(context.digests)


def _final_error(context: CallContext, error: SuspectRefusedError) -> Exception:
    if context.response is not None:
        return CutError(context, error.reason)
    if context.may_have_run:
        return Refusal(502, error.reason)
    return Refusal(error.status, error.reason, error.retry_after_seconds)


def choose_target(deps: GatewayDeps, context: CallContext) -> Reservation:
    """Choose a target and reserve a slot there.

    Raises:
        Refusal: No target can take the call.
        CutError: None can, and the caller received a part of the answer.
    """
    reservation = None
    if context.is_trial:
        reservation = _choose(deps, context, _targets_to_avoid(deps, context))
    reservation = reservation or _choose(deps, context, frozenset())
    if reservation is not None:
        deps.suspect_calls.record_trial_target(context.trial_digests, reservation)
        return reservation
    if context.response is not None:
        raise CutError(context, "no target is left")
    if context.may_have_run:
        raise Refusal(502, "no-target-left")
    _check_version(deps, context)
    reason = deps.placement.candidates.no_target_reason(
        context.service, context.tried, deps.now(), context.homes
    )
    retry_seconds = no_target_retry_seconds(
        deps, reason, context.service, context.homes
    )
    raise Refusal(503, reason.value, retry_seconds)


def _check_version(deps: GatewayDeps, context: CallContext) -> None:
    """Refuse a call whose stream can't be resumed any more.

    Raises:
        Refusal: No target of the version that began it is left.
    """
    origin = context.origin
    if origin is None:
        return
    candidates = deps.placement.candidates
    if not candidates.may_have_version(
        context.service, origin.software_version, context.homes
    ):
        is_certain = deps.service_versions.is_table_current(deps.now())
        raise Refusal(
            503,
            "version-gone" if is_certain else "version-not-known",
            None if is_certain else RETRY_AFTER_SECONDS,
            detail=origin.software_version,
        )


def _choose(
    deps: GatewayDeps, context: CallContext, avoided: frozenset[str]
) -> Reservation | None:
    state = deps.state()
    engine = state.tree.services.get(context.service) if state is not None else None
    return deps.placement.choose(
        context.service,
        context.call.prompt,
        engine,
        context.left_objective_seconds,
        context.tried | avoided,
        deps.now(),
        context.homes,
        context.origin.software_version if context.origin is not None else None,
    )


def _targets_to_avoid(deps: GatewayDeps, context: CallContext) -> frozenset[str]:
    found = deps.placement.candidates.of_service(
        context.service, deps.now(), context.homes
    )
    untried = {entry.row.target_id for entry in found} - context.tried
    # Calls with one suspected part go to the same half of the targets.
    suspect = min(context.trial_digests, default=context.digest)
    return deps.suspect_calls.targets_to_avoid(suspect, untried)
