"""Decides which messages bring accepted changes to every instance.

The leader of the log pushes each change, as a difference, as soon as it commits.
Everything else is repaired by pulling: heartbeats tell every instance's revision,
and one that hears of a higher one asks for what it lacks. So a lost push costs one
heartbeat, and nothing has to be remembered about any receiver.
"""

from collections.abc import Mapping, Sequence

from msgspec import DecodeError, ValidationError

from sesameford.errors import PeerError
from sesameford.messages import (
    Message,
    Outgoing,
    TreeRequest,
    TreeSnapshot,
    TreeStepRow,
    TreeSteps,
)
from sesameford.tables import InstanceRow
from sesameford.tree import TreeDifference, read_node, tree_digest
from sesameford.tree_in_force import TreeInForce
from sesameford.tree_store import TreeStep, TreeStore

# Up to so many instances the leader pushes to each of them; beyond, to its own
# data centre and to one instance of each other one, which passes it on to its own.
DIRECT_FANOUT = 16
ASK_AGAIN_SECONDS = 0.3
WHOLE_AGAIN_SECONDS = 1.0
LISTEN_SECONDS = 2.0
DIGEST_BYTES = 16


class TreeReplication:
    """The tree of one instance and its part in the spreading of changes.

    Args:
        instance_id: This instance.
        data_centre: Where it is.
        expected_peers: How many other instances there are by the settings.
        now_seconds: The present time.
        direct_fanout: Up to so many instances each is pushed to directly.
    """

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        expected_peers: int,
        now_seconds: float,
        direct_fanout: int = DIRECT_FANOUT,
    ) -> None:
        self.store = TreeStore()
        self.in_force = TreeInForce(self.store)
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._expected_peers = expected_peers
        self._direct_fanout = direct_fanout
        self._listening_until_seconds = now_seconds + LISTEN_SECONDS
        self._is_ready = False
        self._asked_at_seconds = -ASK_AGAIN_SECONDS
        self._asked_count = 0
        self._needs_whole = False
        self._whole_sent_at_seconds: dict[str, float] = {}

    def handle_commit(
        self, source: TreeStore, is_leader: bool, peers: Mapping[str, InstanceRow]
    ) -> Sequence[Outgoing]:
        """Take over what the replicated log has accepted here.

        Args:
            source: The log's own tree.
            is_leader: Whether this instance leads the log and has to push.
            peers: The live other instances.

        Returns:
            Messages to send.
        """
        steps = source.steps_after(self.store.revision)
        if steps is None or not self._take_steps(steps):
            self._take_whole(source.revision, source.copy().nodes, source.digest)
            return ()
        if not steps or not is_leader:
            return ()
        return self._push(steps, self._receivers(peers))

    def handle_message(
        self,
        sender_id: str,
        message: Message,
        peers: Mapping[str, InstanceRow],
        now_seconds: float,
    ) -> Sequence[Outgoing]:
        """Take a message about the tree.

        Args:
            sender_id: Who sent it.
            message: What it is; other kinds are passed over.
            peers: The live other instances.
            now_seconds: The present time.

        Returns:
            Messages to send.

        Raises:
            PeerError: It is malformed; nothing of it was used.
        """
        match message:
            case TreeSteps():
                return self._received_steps(sender_id, message, peers)
            case TreeSnapshot():
                self._received_whole(message)
            case TreeRequest():
                return self._answer(sender_id, message, now_seconds)
        return ()

    def collect_requests(
        self, peers: Mapping[str, InstanceRow], now_seconds: float
    ) -> Sequence[Outgoing]:
        """Return the question that is due where others have a newer tree.

        Args:
            peers: The live other instances.
            now_seconds: The present time.
        """
        if now_seconds - self._asked_at_seconds < ASK_AGAIN_SECONDS:
            return ()
        newer = [one for one in peers.values() if one.revision > self.store.revision]
        if not newer:
            self._asked_count = 0
            return ()
        # A near one first; another one each time, because the one asked may be
        # unable to answer, or its answers be lost on a broken link.
        newer.sort(key=lambda one: (self._is_far(one), one.instance_id))
        asked = newer[self._asked_count % len(newer)]
        self._asked_count += 1
        self._asked_at_seconds = now_seconds
        wanted = TreeRequest(self.store.revision, self._needs_whole)
        return [Outgoing(asked.instance_id, wanted, urgent=True)]

    def is_ready(self, peers: Mapping[str, InstanceRow], now_seconds: float) -> bool:
        """Return whether this instance may serve under the tree it has.

        One that starts empty must not let callers in under an old tree, or under
        none: a customer whose key was withdrawn would be served again. So it first
        listens for a while, or until it has heard everybody, and then needs a tree
        as new as the newest it has heard of. Once ready it stays so: a later change
        arrives here like anywhere else.

        Args:
            peers: The live other instances.
            now_seconds: The present time.
        """
        if self._is_ready:
            return True
        is_listening = (
            now_seconds < self._listening_until_seconds
            and len(peers) < self._expected_peers
        )
        highest = max((one.revision for one in peers.values()), default=0)
        revision = self.in_force.tree.revision
        self._is_ready = not is_listening and 0 < revision >= highest
        return self._is_ready

    # --- taking ---------------------------------------------------------------

    def _take_steps(self, steps: Sequence[TreeStep]) -> bool:
        """Go on by steps; False where one does not fit the tree here."""
        for step in steps:
            if step.revision <= self.store.revision:
                continue
            if not self.store.step(step):
                return False
            self.in_force.record_step(step.difference)
        return True

    def _take_whole(
        self, revision: int, nodes: Mapping[str, bytes], digest: int
    ) -> None:
        """Take a whole tree; the caller has seen that it is newer."""
        self.store.replace(revision, nodes, digest)
        self.in_force.record_replacement()
        self._needs_whole = False

    def _received_steps(
        self, sender_id: str, message: TreeSteps, peers: Mapping[str, InstanceRow]
    ) -> Sequence[Outgoing]:
        """Take steps from another instance and pass them on where that is ours."""
        steps = [_read_step(row) for row in message.steps]
        before = self.store.revision
        follows_on = bool(steps) and steps[0].revision <= before + 1
        if follows_on and not self._take_steps(steps):
            # The tree here is not what the sender had at this revision: a fault on
            # one of the two sides. No step can mend that, the whole tree does.
            self._needs_whole = True
        sender = peers.get(sender_id)
        if (
            sender is None
            or not self._is_far(sender)
            or len(peers) < self._direct_fanout
        ):
            return ()
        near = [one.instance_id for one in peers.values() if not self._is_far(one)]
        return self._push(self.store.steps_after(before) or (), near)

    def _received_whole(self, message: TreeSnapshot) -> None:
        """Check a whole tree and take it, unless it is from the past."""
        if message.revision <= self.store.revision:
            return
        _check_nodes(message.nodes)
        digest = int.from_bytes(message.digest, "big")
        if tree_digest(message.nodes) != digest:
            raise PeerError("a whole tree does not fit its digest")
        self._take_whole(message.revision, message.nodes, digest)

    # --- sending --------------------------------------------------------------

    def _is_far(self, instance: InstanceRow) -> bool:
        return instance.data_centre != self._data_centre

    def _receivers(self, peers: Mapping[str, InstanceRow]) -> list[str]:
        """Return whom the leader pushes to."""
        if len(peers) < self._direct_fanout:
            return sorted(peers)
        chosen: dict[str, str] = {}
        near = []
        for one in sorted(peers.values(), key=lambda one: one.instance_id):
            if self._is_far(one):
                chosen.setdefault(one.data_centre, one.instance_id)
            else:
                near.append(one.instance_id)
        return [*near, *chosen.values()]

    def _push(
        self, steps: Sequence[TreeStep], receivers: Sequence[str]
    ) -> Sequence[Outgoing]:
        """Return messages that bring steps to receivers."""
        if not steps:
            return ()
        message = TreeSteps(tuple(_step_row(step) for step in steps))
        return [Outgoing(one, message, urgent=True) for one in receivers]

    def _answer(
        self, sender_id: str, wanted: TreeRequest, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Answer one who is behind, by steps if they are kept."""
        if wanted.revision >= self.store.revision:
            return ()
        steps = None if wanted.whole else self.store.steps_after(wanted.revision)
        if steps is not None:
            return self._push(steps, [sender_id])
        # A whole tree is megabytes at the target size. One who asks again before
        # the first answer can have arrived, or whose question came twice, would
        # otherwise get it several times over.
        sent_at_seconds = self._whole_sent_at_seconds.get(sender_id)
        if (
            sent_at_seconds is not None
            and now_seconds - sent_at_seconds < WHOLE_AGAIN_SECONDS
        ):
            return ()
        self._whole_sent_at_seconds[sender_id] = now_seconds
        store = self.store
        digest = store.digest.to_bytes(DIGEST_BYTES, "big")
        whole = TreeSnapshot(store.revision, dict(store.declared.nodes), digest)
        return [Outgoing(sender_id, whole, urgent=True)]


def _step_row(step: TreeStep) -> TreeStepRow:
    """Return a step as messages carry it."""
    return TreeStepRow(
        step.revision,
        dict(step.difference.put),
        step.difference.removed,
        step.digest.to_bytes(DIGEST_BYTES, "big"),
    )


def _read_step(row: TreeStepRow) -> TreeStep:
    """Return a step from a message.

    Raises:
        PeerError: One of its nodes is none.
    """
    _check_nodes(row.put)
    difference = TreeDifference(row.put, row.removed)
    return TreeStep(row.revision, difference, int.from_bytes(row.digest, "big"))


def _check_nodes(nodes: Mapping[str, bytes]) -> None:
    """Refuse nodes that can't be read, before any is used."""
    try:
        for encoded in nodes.values():
            read_node(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"a node of the tree can't be read: {error}") from error
