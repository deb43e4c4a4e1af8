"""The shell around an instance's tree: messages out, waits, slices of work."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from sesameford.effective import EffectiveTree
from sesameford.messages import Message, Outgoing
from sesameford.tables import InstanceRow
from sesameford.tree_changes import TreeMachine
from sesameford.tree_replication import TreeReplication
from sesameford.tree_store import TreeStore

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TreeHolderDeps:
    """What the tree needs of its instance.

    Args:
        send: Sends a message.
        in_force: Called with each effective tree that comes into force.
        live: Returns the other instances that were heard a short while ago.
        is_leader: Whether this instance leads the replicated log.
        now: The present time.
    """

    send: Callable[[Outgoing], None]
    in_force: Callable[[EffectiveTree], None]
    live: Callable[[], Mapping[str, InstanceRow]]
    is_leader: Callable[[], bool]
    now: Callable[[], float]


class TreeHolder:
    """Holds the tree of one instance and tells when a newer one is in force."""

    def __init__(self, spread: TreeReplication, deps: TreeHolderDeps) -> None:
        self._spread = spread
        self._deps = deps
        self._risen = asyncio.Event()
        self._work_is_due = False

    @property
    def store(self) -> TreeStore:
        """Return the declared tree at the highest revision seen."""
        return self._spread.store

    @property
    def revision(self) -> int:
        """Return the revision that is in force here."""
        return self._spread.in_force.tree.revision

    def handle_commit(self, machine: TreeMachine) -> None:
        """Take over what the replicated log has accepted here."""
        deps = self._deps
        self._send(
            self._spread.handle_commit(machine.store, deps.is_leader(), deps.live())
        )
        self._work_soon()

    def handle_message(self, sender_id: str, message: Message) -> None:
        """Take a message about the tree from another instance.

        Raises:
            PeerError: It is malformed; nothing of it was used.
        """
        deps = self._deps
        self._send(
            self._spread.handle_message(sender_id, message, deps.live(), deps.now())
        )
        self._work_soon()

    def tick(self) -> None:
        """Ask for what is missing here; call it some ten times a second."""
        self._send(self._spread.collect_requests(self._deps.live(), self._deps.now()))

    def is_ready(self) -> bool:
        """Return whether this instance may serve under the tree it has."""
        return self._spread.is_ready(self._deps.live(), self._deps.now())

    async def wait_for_revision(self, revision: int, limit_seconds: float) -> bool:
        """Wait until at least a revision is in force here."""
        try:
            async with asyncio.timeout(limit_seconds):
                while self.revision < revision:
                    await self._risen.wait()
        except TimeoutError:
            return False
        return True

    def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for one in outgoing:
            self._deps.send(one)

    def _work_soon(self) -> None:
        """Do a slice of work in the next turn of the loop.

        Not at once: a replica that starts applies thousands of changes in one turn,
        and putting each into force for itself would keep it from ever serving.
        """
        if not self._work_is_due and not self._spread.in_force.is_current:
            self._work_is_due = True
            asyncio.get_running_loop().call_soon(self._work)

    def _work(self) -> None:
        """Bring the effective tree up to date by a slice."""
        self._work_is_due = False
        in_force = self._spread.in_force
        if in_force.recompute_slice():
            self._deps.in_force(in_force.tree)
            logger.info(
                "tree in force",
                extra={
                    "revision": self.revision,
                    "routes": len(in_force.tree.routes),
                    "customers": len(in_force.tree.customers),
                    "tokens_per_second": in_force.tree.fleet.tokens_per_second,
                },
            )
            self._risen.set()
            self._risen = asyncio.Event()
        self._work_soon()


def make_tree_holder(
    instance_id: str, data_centre: str, expected_peers: int, deps: TreeHolderDeps
) -> TreeHolder:
    """Return the holder of an instance's tree.

    Args:
        instance_id: This instance.
        data_centre: Where it is.
        expected_peers: How many other instances its settings name.
        deps: What it needs of its instance.
    """
    spread = TreeReplication(instance_id, data_centre, expected_peers, deps.now())
    return TreeHolder(spread, deps)
