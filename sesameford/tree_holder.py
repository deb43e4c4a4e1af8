"""The tree in force at one instance, and its way to the other instances."""

import asyncio
import logging
from collections.abc import Callable

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, encode

from sesameford.effective import EffectiveTree
from sesameford.errors import PeerError
from sesameford.messages import Outgoing, TreeUpdate
from sesameford.tree import effective_tree
from sesameford.tree_changes import TreeMachine
from sesameford.tree_store import TreeStore

logger = logging.getLogger(__name__)

_nodes_decoder = Decoder(dict[str, bytes])


class TreeHolder:
    """Holds the highest revision seen and tells when it rises."""

    def __init__(
        self,
        send: Callable[[Outgoing], None],
        in_force: Callable[[EffectiveTree], None],
    ) -> None:
        self.store = TreeStore()
        self._send = send
        self._in_force = in_force
        self._risen = asyncio.Event()

    def committed(self, machine: TreeMachine) -> None:
        """Take over what the replicated log has accepted here."""
        if machine.store.revision > self.store.revision:
            store = machine.store
            self._take(store.revision, dict(store.declared.nodes))
            self._send(Outgoing(None, self._update(), urgent=True))

    def heard_revision(self, sender_id: str, revision: int) -> None:
        """Bring an instance up to date that tells of an older revision."""
        if revision < self.store.revision:
            self._send(Outgoing(sender_id, self._update()))

    def received(self, update: TreeUpdate) -> None:
        """Take a tree from another instance; never one that is older.

        Raises:
            PeerError: It can't be read.
        """
        if update.revision <= self.store.revision:
            return
        try:
            nodes = _nodes_decoder.decode(update.declared)
        except (DecodeError, ValidationError) as error:
            raise PeerError(f"a tree can't be read: {error}") from error
        self._take(update.revision, nodes)

    async def caught_up(self, revision: int, limit_seconds: float) -> bool:
        """Wait until the tree here has at least a revision."""
        try:
            async with asyncio.timeout(limit_seconds):
                while self.store.revision < revision:
                    await self._risen.wait()
        except TimeoutError:
            return False
        return True

    def _take(self, revision: int, nodes: dict[str, bytes]) -> None:
        self.store.replace(revision, nodes)
        self._in_force(effective_tree(self.store.declared, revision))
        logger.info("tree in force", extra={"revision": revision})
        self._risen.set()
        self._risen = asyncio.Event()

    def _update(self) -> TreeUpdate:
        return TreeUpdate(self.store.revision, encode(dict(self.store.declared.nodes)))
