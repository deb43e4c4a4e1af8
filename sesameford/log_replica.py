"""A replica: the consensus core with its storage and state machines, without a loop.

The order of its steps is essential for safety: a message that states something about
this replica's disk is sent only after the sync.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sesameford.log_apply import AppliedProposal, Applier
from sesameford.log_core import (
    TRAILING_ENTRIES,
    collect_effects,
    committed_entries,
    compact,
    make_core,
    propose,
    receive,
    record_persisted,
    tick,
    transfer_leadership,
)
from sesameford.log_messages import Command, Packet
from sesameford.log_state import Core, Effects, Role, SnapshotImage, StoredState
from sesameford.log_storage import Batch, LogStorage
from sesameford.state_machine import StateMachine

SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class FlushJob:
    """The writes of one flush: new effects, and a snapshot of this replica's own."""

    effects: Effects | None
    image: SnapshotImage | None

    @property
    def needs_disk(self) -> bool:
        """Whether there is anything to write to the disk."""
        return self.image is not None or bool(self.effects and self.effects.must_sync)


class Replica:
    """One instance's replica of the log; made by ``make_replica``.

    Args:
        core: The consensus state.
        storage: The storage on its disk.
        applier: Applies committed entries to the state machines.
        send: Sends a packet to another replica, without guarantee of delivery.
        on_applied: Called with each committed proposal.
        snapshot_entries: Number of applied entries after which a snapshot is due.
        trailing_entries: Number of these that stay in memory for lagging followers.
    """

    def __init__(
        self,
        core: Core,
        storage: LogStorage,
        applier: Applier,
        send: Callable[[Packet], None],
        on_applied: Callable[[AppliedProposal], None],
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        trailing_entries: int = TRAILING_ENTRIES,
    ) -> None:
        self.core = core
        self.storage = storage
        self.applier = applier
        self._send = send
        self._on_applied = on_applied
        self._snapshot_entries = snapshot_entries
        self._trailing_entries = trailing_entries
        self._bytes_since_snapshot = 0

    def receive(self, packet: Packet, now_seconds: float) -> None:
        """Handle a packet; ``begin_flush`` carries out the effects."""
        receive(self.core, packet, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Run the timers; ``begin_flush`` carries out the effects."""
        tick(self.core, now_seconds)

    def propose(self, commands: Sequence[Command]) -> bool:
        """Append commands and return True if this replica is the leader."""
        return propose(self.core, tuple(commands))

    def transfer_leadership(self, now_seconds: float) -> bool:
        """Start a leadership transfer to the best follower if this replica leads."""
        return transfer_leadership(self.core, now_seconds)

    def begin_flush(self, now_seconds: float) -> FlushJob | None:
        """Send the packets that need no sync, and return the writes that are due.

        Args:
            now_seconds: The current time.

        Returns:
            A job for ``persist`` and then ``finish_flush``; None if nothing is due.
            The next flush starts only after this job is finished.
        """
        due = collect_effects(self.core, now_seconds)
        image = self._make_due_image()
        if due is None and image is None:
            # An acknowledgement may have committed entries with nothing to write or
            # send. Applied only after the next heartbeat, their answers would be late.
            self._apply()
            return None
        for packet in due.packets_before_sync if due else ():
            self._send(packet)
        return FlushJob(due, image)

    def persist(self, job: FlushJob) -> None:
        """Write and sync; uses only the storage, so it may run in a thread.

        Raises:
            StorageError: Nothing of the job may be acknowledged, now or later.
        """
        due = job.effects
        if due is not None and due.must_sync:
            self.storage.write(Batch(due.hard_state, due.entries, due.snapshot))
            self.storage.sync()
        if job.image is not None:
            self.storage.save_snapshot(job.image)

    def finish_flush(self, job: FlushJob, now_seconds: float) -> None:
        """Send the packets that waited for the sync, and apply committed entries.

        Args:
            job: The job of ``begin_flush``, after ``persist``.
            now_seconds: The current time.
        """
        if job.image is not None:
            compact(self.core, job.image, self._trailing_entries)
        done = job.effects
        if done is None:
            return
        record_persisted(self.core, done, now_seconds)
        if done.snapshot is not None:
            self.applier.restore(done.snapshot.index, done.snapshot.data)
        for packet in done.packets_after_sync:
            self._send(packet)
        self._apply()

    def flush(self, now_seconds: float) -> bool:
        """Carry out all effects that are due, syncing in the caller's thread.

        Returns:
            Whether there was anything to do.
        """
        job = self.begin_flush(now_seconds)
        if job is None:
            return False
        self.persist(job)
        self.finish_flush(job, now_seconds)
        return True

    def _make_due_image(self) -> SnapshotImage | None:
        """Return a snapshot of the applied state if one is due."""
        index = self.applier.applied_index
        last = self.core.snapshot
        behind = index - (last.index if last else 0)
        many = behind >= self._snapshot_entries
        if not many and self._bytes_since_snapshot < SNAPSHOT_BYTES:
            return None
        configuration = self.core.log.configuration_at(index)
        index_term = self.core.log.term_at(index)
        if configuration is None or index_term is None:
            # A leader's newer snapshot is still being written to the disk.
            return None
        self._bytes_since_snapshot = 0
        return SnapshotImage(index, index_term, configuration, self.applier.snapshot())

    def _apply(self) -> None:
        """Apply the entries that are committed and synced here."""
        for entry in committed_entries(self.core, self.applier.applied_index):
            applied = self.applier.apply(entry)
            if applied is not None:
                self._bytes_since_snapshot += len(applied.command.command)
                self._on_applied(applied)

    @property
    def role(self) -> Role:
        """The current role; a replica without a vote is a learner."""
        if self.core.role is not Role.LEADER and self.core.me not in self.core.voters:
            return Role.LEARNER
        return self.core.role


def make_replica(
    stored: StoredState,
    storage: LogStorage,
    peer_ids: tuple[str, ...],
    machines: Sequence[StateMachine],
    send: Callable[[Packet], None],
    on_applied: Callable[[AppliedProposal], None],
    seed: int,
    now_seconds: float,
    snapshot_entries: int = SNAPSHOT_ENTRIES,
    trailing_entries: int = TRAILING_ENTRIES,
) -> Replica:
    """Return a replica that starts from its stored state.

    Args:
        stored: The state read from the storage.
        storage: The storage on its disk.
        peer_ids: The other instances with disks.
        machines: The state machines, in their initial state.
        send: Sends a packet to another replica, without guarantee of delivery.
        on_applied: Called with each committed proposal.
        seed: Seed of the random election timeouts.
        now_seconds: The current time.
        snapshot_entries: Number of applied entries after which a snapshot is due.
        trailing_entries: Number of these that stay in memory for lagging followers.
    """
    core = make_core(stored, peer_ids, seed, now_seconds)
    applier = Applier(machines)
    if stored.snapshot is not None:
        applier.restore(stored.snapshot.index, stored.snapshot.data)
    return Replica(
        core, storage, applier, send, on_applied, snapshot_entries, trailing_entries
    )
