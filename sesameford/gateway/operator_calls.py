"""What the operator of a deployment that finds itself by seeds asks of an instance."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from time import time

from sesameford.errors import NoQuorumError, SesamefordError
from sesameford.evacuations import EvacuationDeps, order_evacuation
from sesameford.state_machine import Propose
from sesameford.tree_changes import (
    MACHINE_NAME,
    REFUSED,
    DeclaredVersionQuery,
    TreeDeclaration,
    TreeMachine,
    decode_answer,
    encode_command,
)

logger = logging.getLogger(__name__)

# How long a replica that heard of the newest version may need to have it itself.
CATCH_UP_SECONDS = 0.8
CATCH_UP_STEP_SECONDS = 0.01


class DeclarationRefusedError(SesamefordError):
    """A declaration can never be accepted."""


@dataclass(frozen=True, slots=True)
class OperatorCalls:
    """The operator's calls at one instance.

    Args:
        propose: Brings a command to agreement.
        machine: Returns the tree's state machine here.
        data_centres: Returns the data centres that are known here.
        now: The present time.
    """

    propose: Propose
    machine: Callable[[], TreeMachine]
    data_centres: Callable[[], frozenset[str]]
    now: Callable[[], float]

    async def declare(self, declaration: TreeDeclaration) -> int:
        """Bring a declaration to agreement.

        Args:
            declaration: What is declared.

        Returns:
            The newest accepted version, which may be a higher one.

        Raises:
            NoQuorumError: It may be accepted later.
            DeclarationRefusedError: It can't be accepted.
        """
        name = f"{declaration.declarer}/{declaration.version}/{token_hex(8)}"
        encoded = await self.propose(name, MACHINE_NAME, encode_command(declaration))
        answer = decode_answer(encoded)
        if answer.status == REFUSED:
            raise DeclarationRefusedError(answer.detail)
        logger.info(
            "declared",
            extra={
                "version": declaration.version,
                "newest": answer.version,
                "revision": answer.revision,
                "status": answer.status,
            },
        )
        return answer.version

    async def read_declared_text(self) -> bytes:
        """Return the newest accepted declaration's document.

        The version is agreed anew, since a replica that was cut off does not know
        that others have accepted a newer one.

        Raises:
            NoQuorumError: This instance can't be sure which one is the newest.
        """
        name = f"read/{token_hex(8)}"
        wanted = encode_command(DeclaredVersionQuery())
        answer = decode_answer(await self.propose(name, MACHINE_NAME, wanted))
        give_up_at_seconds = self.now() + CATCH_UP_SECONDS
        while self.machine().declared_version < answer.version:
            if self.now() > give_up_at_seconds:
                raise NoQuorumError("this replica has not caught up yet")
            await asyncio.sleep(CATCH_UP_STEP_SECONDS)
        if not self.machine().declared_version:
            raise NoQuorumError("nothing has been declared yet")
        return self.machine().declared_text

    async def evacuate(self, data_centre: str, evacuated: bool, operator: str) -> None:
        """Bring an order to agreement: evacuate a data centre, or restore it.

        Args:
            data_centre: Its name.
            evacuated: Whether its targets get no more new work.
            operator: Who orders it.

        Raises:
            UnknownDataCentreError: There is none of this name.
            NoQuorumError: It may be accepted later.
        """
        deps = EvacuationDeps(
            self.data_centres,
            self.propose,
            lambda: self.machine().store.revision,
            self.now,
            time,
        )
        await order_evacuation(deps, data_centre, evacuated, operator)


def make_operator_calls(
    propose: Propose,
    machine: Callable[[], TreeMachine],
    data_centres: Callable[[], frozenset[str]],
    now: Callable[[], float],
) -> OperatorCalls:
    """Return the operator's calls at one instance; see ``OperatorCalls``."""
    return OperatorCalls(propose, machine, data_centres, now)
