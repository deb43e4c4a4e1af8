"""Records how send attempts end, for the detection of crashes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sesameford.framing import Framing
from sesameford.gateway.call_context import CallContext, GatewayDeps
from sesameford.gateway.forward import (
    NOT_RUN_OUTCOMES,
    SendAttemptError,
    SendOutcome,
)
from sesameford.gateway.target_record import Reservation

FIRST_FAILURE_STATUS = 500


@asynccontextmanager
async def watch_attempt(
    deps: GatewayDeps, context: CallContext, reservation: Reservation
) -> AsyncIterator[None]:
    """Record how the send attempt of the context ends.

    One that ends without an answer, also because its caller leaves, stays in flight as
    far as crashes are concerned: the target may still run it.
    """
    suspect_calls = deps.suspect_calls
    try:
        yield
    except SendAttemptError as error:
        _record_failure(deps, context, reservation, error)
        raise
    else:
        if context.status >= FIRST_FAILURE_STATUS:
            # A target may fail a call before it reads the prompt.
            if context.framing is not Framing.CONNECTION:
                suspect_calls.crashes.record_answer(
                    reservation, deps.now(), is_failure=True
                )
        elif context.framing is Framing.CONNECTION:
            suspect_calls.record_unconfirmed_completion(reservation)
        else:
            suspect_calls.record_completion(
                reservation, context.digests, context.status
            )
    finally:
        suspect_calls.crashes.record_unanswered(reservation, deps.now())


def _record_failure(
    deps: GatewayDeps,
    context: CallContext,
    reservation: Reservation,
    error: SendAttemptError,
) -> None:
    crashes = deps.suspect_calls.crashes
    target = (reservation.target_id, reservation.incarnation)
    if error.outcome in NOT_RUN_OUTCOMES:
        crashes.record_not_run(reservation)
    if error.outcome is SendOutcome.WRONG_TARGET:
        crashes.record_other_target(*target, deps.now())
    elif error.is_refused:
        crashes.record_refused(*target, deps.now())
    elif error.is_connection_lost:
        context.has_lost_connection = True
        deps.suspect_calls.probe(*target, reservation.address)
