"""Replication of accepted tree changes to all instances, without input or output.

The leader of the log pushes each change, as a difference, as soon as it commits.
Instances that miss a push pull instead: heartbeats carry each instance's revision,
and an instance that learns of a higher one requests the steps that it lacks. A lost
push therefore delays a change by one heartbeat, and no receiver's progress is tracked.
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

# Up to this many instances, the leader pushes to each of them. Beyond, it pushes to
# its own data centre and to one instance of each other one, which forwards the change
# within its data centre.
DIRECT_FANOUT = 16
REQUEST_INTERVAL_SECONDS = 0.3
SNAPSHOT_INTERVAL_SECONDS = 1.0
STARTUP_LISTEN_SECONDS = 2.0
DIGEST_BYTES = 16


class TreeReplication:
    """The tree of one instance and its part in the replication of changes.

    Args:
        instance_id: This instance.
        data_centre: This instance's data centre.
        expected_peers: The number of other instances in the settings.
        now_seconds: The present time.
        direct_fanout: The number of instances up to which the leader pushes to each.
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
        self._listening_until_seconds = now_seconds + STARTUP_LISTEN_SECONDS
        self._is_ready = False
        self._requested_at_seconds = -REQUEST_INTERVAL_SECONDS
        self._request_count = 0
        self._needs_snapshot = False
        self._snapshot_sent_at_seconds: dict[str, float] = {}

    def handle_commit(
        self, source: TreeStore, is_leader: bool, peers: Mapping[str, InstanceRow]
    ) -> Sequence[Outgoing]:
        """Apply the changes that the replicated log has committed here.

        Args:
            source: The tree of the log's state machine.
            is_leader: Whether this instance leads the log and pushes changes.
            peers: The live other instances.

        Returns:
            Messages to send.
        """
        steps = source.steps_after(self.store.revision)
        if steps is None or not self._apply_steps(steps):
            self._apply_snapshot(source.revision, source.copy().nodes, source.digest)
            return ()
        if not steps or not is_leader:
            return ()
        return self._make_steps_messages(steps, self._push_receivers(peers))

    def handle_message(
        self,
        sender_id: str,
        message: Message,
        peers: Mapping[str, InstanceRow],
        now_seconds: float,
    ) -> Sequence[Outgoing]:
        """Handle a message about the tree.

        Args:
            sender_id: The instance that sent it.
            message: The message; other kinds are ignored.
            peers: The live other instances.
            now_seconds: The present time.

        Returns:
            Messages to send.

        Raises:
            PeerError: The message is malformed; none of it was applied.
        """
        match message:
            case TreeSteps():
                return self._handle_steps(sender_id, message, peers)
            case TreeSnapshot():
                self._handle_snapshot(message)
            case TreeRequest():
                return self._answer_request(sender_id, message, now_seconds)
        return ()

    def collect_requests(
        self, peers: Mapping[str, InstanceRow], now_seconds: float
    ) -> Sequence[Outgoing]:
        """Return the due request for a newer tree, if a peer has one.

        Args:
            peers: The live other instances.
            now_seconds: The present time.
        """
        if now_seconds - self._requested_at_seconds < REQUEST_INTERVAL_SECONDS:
            return ()
        newer = [peer for peer in peers.values() if peer.revision > self.store.revision]
        if not newer:
            self._request_count = 0
            return ()
        # Peers of the same data centre come first. Each request goes to the next peer,
        # because the previous one may be unable to answer, or its answers may be lost
        # on a broken link.
        newer.sort(key=lambda peer: (self._is_remote(peer), peer.instance_id))
        receiver = newer[self._request_count % len(newer)]
        self._request_count += 1
        self._requested_at_seconds = now_seconds
        request = TreeRequest(self.store.revision, self._needs_snapshot)
        return [Outgoing(receiver.instance_id, request, urgent=True)]

    def is_ready(self, peers: Mapping[str, InstanceRow], now_seconds: float) -> bool:
        """Return whether this instance may serve under its present tree.

        An instance that starts empty must not admit callers under an old tree or
        none: a customer whose key was withdrawn would be served again. So it first
        listens for a while, or until all expected peers are live, and then needs a
        tree as new as the newest revision that any live peer reports. Once ready it
        stays ready, because later changes reach it like any other instance.

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
        highest = max((peer.revision for peer in peers.values()), default=0)
        revision = self.in_force.tree.revision
        self._is_ready = not is_listening and 0 < revision >= highest
        return self._is_ready

    # --- applying -------------------------------------------------------------

    def _apply_steps(self, steps: Sequence[TreeStep]) -> bool:
        """Apply steps in order; return False if one doesn't fit the tree here."""
        for step in steps:
            if step.revision <= self.store.revision:
                continue
            if not self.store.apply_step(step):
                return False
            self.in_force.record_step(step.difference)
        return True

    def _apply_snapshot(
        self, revision: int, nodes: Mapping[str, bytes], digest: int
    ) -> None:
        """Replace the tree; the caller has checked that the new one is newer."""
        self.store.replace(revision, nodes, digest)
        self.in_force.record_replacement()
        self._needs_snapshot = False

    def _handle_steps(
        self, sender_id: str, message: TreeSteps, peers: Mapping[str, InstanceRow]
    ) -> Sequence[Outgoing]:
        """Apply steps from another instance and forward them if this one has to."""
        steps = [_decode_step(row) for row in message.steps]
        before = self.store.revision
        follows_on = bool(steps) and steps[0].revision <= before + 1
        if follows_on and not self._apply_steps(steps):
            # The tree here differs from the sender's at the same revision, by a fault
            # on either side. Steps can't repair this; the whole tree can.
            self._needs_snapshot = True
        sender = peers.get(sender_id)
        if (
            sender is None
            or not self._is_remote(sender)
            or len(peers) < self._direct_fanout
        ):
            return ()
        local_ids = [
            peer.instance_id for peer in peers.values() if not self._is_remote(peer)
        ]
        return self._make_steps_messages(
            self.store.steps_after(before) or (), local_ids
        )

    def _handle_snapshot(self, message: TreeSnapshot) -> None:
        """Validate a snapshot and apply it if it is newer than the tree here."""
        if message.revision <= self.store.revision:
            return
        _check_nodes(message.nodes)
        digest = int.from_bytes(message.digest, "big")
        if tree_digest(message.nodes) != digest:
            raise PeerError("a tree snapshot doesn't match its digest")
        self._apply_snapshot(message.revision, message.nodes, digest)

    # --- sending --------------------------------------------------------------

    def _is_remote(self, instance: InstanceRow) -> bool:
        return instance.data_centre != self._data_centre

    def _push_receivers(self, peers: Mapping[str, InstanceRow]) -> list[str]:
        """Return the ids of the instances that the leader pushes to."""
        if len(peers) < self._direct_fanout:
            return sorted(peers)
        forwarders: dict[str, str] = {}
        local_ids = []
        for peer in sorted(peers.values(), key=lambda peer: peer.instance_id):
            if self._is_remote(peer):
                forwarders.setdefault(peer.data_centre, peer.instance_id)
            else:
                local_ids.append(peer.instance_id)
        return [*local_ids, *forwarders.values()]

    def _make_steps_messages(
        self, steps: Sequence[TreeStep], receivers: Sequence[str]
    ) -> Sequence[Outgoing]:
        """Return messages that send steps to receivers."""
        if not steps:
            return ()
        message = TreeSteps(tuple(_step_row(step) for step in steps))
        return [
            Outgoing(receiver_id, message, urgent=True) for receiver_id in receivers
        ]

    def _answer_request(
        self, sender_id: str, request: TreeRequest, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Answer an instance that is behind: with steps if stored, else a snapshot."""
        if request.revision >= self.store.revision:
            return ()
        steps = None if request.whole else self.store.steps_after(request.revision)
        if steps is not None:
            return self._make_steps_messages(steps, [sender_id])
        # A snapshot is megabytes at the target size. An instance that repeats its
        # request before the first answer can have arrived, or whose request arrived
        # twice, would otherwise get several.
        sent_at_seconds = self._snapshot_sent_at_seconds.get(sender_id)
        if (
            sent_at_seconds is not None
            and now_seconds - sent_at_seconds < SNAPSHOT_INTERVAL_SECONDS
        ):
            return ()
        self._snapshot_sent_at_seconds[sender_id] = now_seconds
        store = self.store
        digest = store.digest.to_bytes(DIGEST_BYTES, "big")
        snapshot = TreeSnapshot(store.revision, dict(store.declared.nodes), digest)
        return [Outgoing(sender_id, snapshot, urgent=True)]


def _step_row(step: TreeStep) -> TreeStepRow:
    """Return a step as a row of a message."""
    return TreeStepRow(
        step.revision,
        dict(step.difference.put),
        step.difference.removed,
        step.digest.to_bytes(DIGEST_BYTES, "big"),
    )


def _decode_step(row: TreeStepRow) -> TreeStep:
    """Return the step of a row from a message.

    Raises:
        PeerError: A node can't be decoded.
    """
    _check_nodes(row.put)
    difference = TreeDifference(row.put, row.removed)
    return TreeStep(row.revision, difference, int.from_bytes(row.digest, "big"))


def _check_nodes(nodes: Mapping[str, bytes]) -> None:
    """Reject nodes that can't be decoded, before any is applied."""
    try:
        for encoded in nodes.values():
            read_node(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"a node of the tree can't be read: {error}") from error
