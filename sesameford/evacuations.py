"""Orders to evacuate or restore a data centre, proposed to the replicated log.

The targets of an evacuated data centre get no new work from any instance until an
operator restores it. The order is a change of the settings tree that needs no file:
it is committed, replicated and stored like every other change.
"""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass
from secrets import token_hex

from sesameford.errors import NoQuorumError, SesamefordError
from sesameford.state_machine import Propose
from sesameford.tree_changes import (
    CONFLICT,
    MACHINE_NAME,
    ChangeAnswer,
    EvacuationOrder,
    decode_answer,
    encode_command,
)

logger = logging.getLogger(__name__)

# This replica may not have applied yet an order that its operator saw accepted
# elsewhere, so a conflict is retried. Not for longer: the operator turns to another
# replica after a second, and may have sent the opposite order since. A conflict that
# was answered before that was with an earlier order.
CONFLICT_RETRY_SECONDS = 0.9


class UnknownDataCentreError(SesamefordError):
    """An order names a data centre that the deployment doesn't have.

    Args:
        data_centre: The name in the order.
        data_centres: The data centres of the deployment.
    """

    def __init__(self, data_centre: str, data_centres: Collection[str]) -> None:
        super().__init__(f"no data centre is named {data_centre!r}")
        self.data_centres = data_centres


@dataclass(frozen=True, slots=True)
class EvacuationDeps:
    """What an order needs of the instance that receives it.

    Args:
        data_centres: Returns the data centres that this instance sees.
        propose: Proposes a command to the log and returns its answer.
        revision: Returns the newest revision of the tree on this instance.
        now: Returns the current time in seconds.
        wall_seconds: Returns the Unix time in seconds, for the history.
    """

    data_centres: Callable[[], Collection[str]]
    propose: Propose
    revision: Callable[[], int]
    now: Callable[[], float]
    wall_seconds: Callable[[], float]


async def order_evacuation(
    deps: EvacuationDeps,
    data_centre: str,
    evacuated: bool,
    operator: str,
    order_id: str = "",
) -> ChangeAnswer:
    """Propose an order and return its answer once it is committed.

    Args:
        deps: The dependencies on this instance.
        data_centre: The data centre.
        evacuated: True to evacuate it, False to restore it.
        operator: The operator who gives the order.
        order_id: The same for all resends; empty if the operator gives none.

    Returns:
        The answer. The order, or an equal one before it, is in force unless the
        answer's status refuses it.

    Raises:
        UnknownDataCentreError: No data centre has this name.
        NoQuorumError: The order may be accepted later, or its opposite was accepted
            while this one was pending.
    """
    data_centres = deps.data_centres()
    if data_centre not in data_centres:
        raise UnknownDataCentreError(data_centre, data_centres)
    arrived_at_seconds = deps.now()
    base_revision = deps.revision()
    while True:
        order = EvacuationOrder(
            order_id,
            data_centre,
            evacuated,
            base_revision,
            operator,
            deps.wall_seconds(),
        )
        proposal_id = f"evacuation/{token_hex(8)}"
        encoded = await deps.propose(proposal_id, MACHINE_NAME, encode_command(order))
        answer = decode_answer(encoded)
        if answer.status != CONFLICT:
            break
        if deps.now() - arrived_at_seconds > CONFLICT_RETRY_SECONDS:
            raise NoQuorumError("another order for this data centre came before it")
        base_revision = answer.revision
    logger.info(
        "evacuation accepted" if evacuated else "end of evacuation accepted",
        extra={
            "data_centre": data_centre,
            "status": answer.status,
            "revision": answer.revision,
            "took_seconds": round(deps.now() - arrived_at_seconds, 3),
        },
    )
    return answer
