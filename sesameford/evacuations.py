"""Orders to evacuate a data centre, brought to agreement.

The targets of an evacuated data centre get no new work, on any instance, until an
operator restores it. The order is a change of the settings tree that needs no
file: it is agreed on, spread and kept as all changes are.
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

# A replica may not have applied yet what its operator saw accepted elsewhere a moment
# ago, so an order that looks overtaken is tried again. Not for longer: its operator
# turns to another replica after a second, and may have sent the opposite since.
OVERTAKEN_AGAIN_SECONDS = 0.5


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
    """What an order needs of the instance that takes it.

    Args:
        data_centres: Returns the data centres that are known here.
        propose: Brings a command to agreement.
        revision: Returns the newest revision of the tree known here.
        now: The present time.
        wall_seconds: The time of day, for the history.
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
    """Bring an order to agreement.

    Args:
        deps: What it needs of this instance.
        data_centre: Which one is evacuated, or restored.
        evacuated: Which of the two.
        operator: Who wants it.
        order_id: The same over resends, empty where the operator gives none.

    Returns:
        The answer; the order, or the same one before it, is in force.

    Raises:
        UnknownDataCentreError: There is none of this name.
        NoQuorumError: It may be accepted later, or its opposite was accepted while it
            waited here.
    """
    known = deps.data_centres()
    if data_centre not in known:
        raise UnknownDataCentreError(data_centre, known)
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
        name = f"evacuation/{token_hex(8)}"
        encoded = await deps.propose(name, MACHINE_NAME, encode_command(order))
        answer = decode_answer(encoded)
        if answer.status != CONFLICT:
            break
        if deps.now() - arrived_at_seconds > OVERTAKEN_AGAIN_SECONDS:
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
