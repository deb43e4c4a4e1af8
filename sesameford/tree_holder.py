"""The input and output of an instance's tree: messages, waits, scheduled slices."""

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
    """The callbacks by which the tree uses its instance.

    Args:
        send: Sends a message.
        on_tree_in_force: Called with each effective tree that comes into force.
        live_instances: Returns the other live instances by id.
        is_leader: Returns whether this instance leads the replicated log.
        now: Returns the present time in seconds.
    """

    send: Callable[[Outgoing], None]
    on_tree_in_force: Callable[[EffectiveTree], None]
    live_instances: Callable[[], Mapping[str, InstanceRow]]
    is_leader: Callable[[], bool]
    now: Callable[[], float]


class TreeHolder:
    """Holds the tree of one instance and reports each newer one in force."""

    def __init__(self, replication: TreeReplication, deps: TreeHolderDeps) -> None:
        self._replication = replication
        self._deps = deps
        self._revision_advanced = asyncio.Event()
        self._is_slice_scheduled = False

    @property
    def store(self) -> TreeStore:
        """Return the declared tree at the highest revision received."""
        return self._replication.store

    @property
    def revision(self) -> int:
        """Return the revision in force at this instance."""
        return self._replication.in_force.tree.revision

    def handle_commit(self, machine: TreeMachine) -> None:
        """Apply the changes that the replicated log has committed here."""
        deps = self._deps
        self._send(
            self._replication.handle_commit(
                machine.store, deps.is_leader(), deps.live_instances()
            )
        )
        self._schedule_slice()

    def handle_message(self, sender_id: str, message: Message) -> None:
        """Handle a message about the tree from another instance.

        Raises:
            PeerError: The message is malformed; none of it was applied.
        """
        deps = self._deps
        self._send(
            self._replication.handle_message(
                sender_id, message, deps.live_instances(), deps.now()
            )
        )
        self._schedule_slice()

    def tick(self) -> None:
        """Request a newer tree if one exists; called about ten times a second."""
        self._send(
            self._replication.collect_requests(
                self._deps.live_instances(), self._deps.now()
            )
        )

    def is_ready(self) -> bool:
        """Return whether this instance may serve under its present tree."""
        return self._replication.is_ready(self._deps.live_instances(), self._deps.now())

    async def wait_for_revision(self, revision: int, limit_seconds: float) -> bool:
        """Wait until a revision or a newer one is in force here.

        Args:
            revision: The lowest revision to wait for.
            limit_seconds: The longest time to wait.

        Returns:
            False if the time limit passed first.
        """
        try:
            async with asyncio.timeout(limit_seconds):
                while self.revision < revision:
                    await self._revision_advanced.wait()
        except TimeoutError:
            return False
        return True

    def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for message in outgoing:
            self._deps.send(message)

    def _schedule_slice(self) -> None:
        """Schedule a slice of work for the next iteration of the event loop.

        A slice doesn't run immediately because a starting replica applies thousands
        of changes in one iteration. Bringing each into force separately would keep it
        from ever serving.
        """
        if not self._is_slice_scheduled and not self._replication.in_force.is_current:
            self._is_slice_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_slice)

    def _run_slice(self) -> None:
        """Recompute one slice of the effective tree."""
        self._is_slice_scheduled = False
        in_force = self._replication.in_force
        if in_force.recompute_slice():
            self._deps.on_tree_in_force(in_force.tree)
            logger.info(
                "tree in force",
                extra={
                    "revision": self.revision,
                    "routes": len(in_force.tree.routes),
                    "customers": len(in_force.tree.customers),
                    "tokens_per_second": in_force.tree.fleet.tokens_per_second,
                },
            )
            self._revision_advanced.set()
            self._revision_advanced = asyncio.Event()
        self._schedule_slice()


def make_tree_holder(
    instance_id: str, data_centre: str, expected_peers: int, deps: TreeHolderDeps
) -> TreeHolder:
    """Return the holder of an instance's tree.

    Args:
        instance_id: This instance.
        data_centre: This instance's data centre.
        expected_peers: The number of other instances in its settings.
        deps: The callbacks of the instance.
    """
    replication = TreeReplication(instance_id, data_centre, expected_peers, deps.now())
    return TreeHolder(replication, deps)
