"""Operator calls at one instance of a deployment that is discovered by seeds."""

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

# How long a replica may take to apply the newest agreed version.
CATCH_UP_SECONDS = 0.8
CATCH_UP_STEP_SECONDS = 0.01


class DeclarationRefusedError(SesamefordError):
    """A declaration can never be accepted."""


@dataclass(frozen=True, slots=True)
class OperatorCalls:
    """The operator's calls at one instance.

    Args:
        propose: Brings a command to agreement.
        machine: Returns this instance's state machine of the tree.
        data_centres: Returns the data centres that this instance knows.
        now: The present time.
    """

    propose: Propose
    machine: Callable[[], TreeMachine]
    data_centres: Callable[[], frozenset[str]]
    now: Callable[[], float]

    async def declare(self, declaration: TreeDeclaration) -> int:
        """Bring a declaration to agreement.

        Args:
            declaration: The declared part of the tree, with its declarer and version.

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

        The version is read by a new agreement, since a replica that was cut off does
        not know whether others have accepted a newer one.

        Raises:
            NoQuorumError: This instance can't determine the newest version.
        """
        name = f"read/{token_hex(8)}"
        query = encode_command(DeclaredVersionQuery())
        answer = decode_answer(await self.propose(name, MACHINE_NAME, query))
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
            operator: The operator who orders it.

        Raises:
            UnknownDataCentreError: No data centre has this name.
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
