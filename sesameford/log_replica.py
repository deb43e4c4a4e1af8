"""A replica: consensus, storage and state machines together, without a loop.

The order in which it works is what keeps promises true: whatever a message says
of this replica's disk leaves only after the sync.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sesameford.log_apply import AppliedProposal, Applier
from sesameford.log_core import (
    TRAILING_ENTRIES,
    committed,
    compact,
    effects,
    make_core,
    persisted,
    propose,
    receive,
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
    """What goes to the disk in one go: new effects, and a snapshot of our own."""

    effects: Effects | None
    image: SnapshotImage | None

    @property
    def needs_disk(self) -> bool:
        """Whether there is anything to write."""
        return self.image is not None or bool(self.effects and self.effects.must_sync)


class Replica:
    """One instance's copy of the log; made by ``make_replica``.

    Args:
        core: Its consensus state.
        storage: Its disk.
        applier: Its state machines.
        send: Takes a packet for another replica; may lose it.
        applied: Called with each committed proposal.
        snapshot_entries: How many applied entries make a snapshot due.
        trailing_entries: How many of them stay in memory for followers that lag.
    """

    def __init__(
        self,
        core: Core,
        storage: LogStorage,
        applier: Applier,
        send: Callable[[Packet], None],
        applied: Callable[[AppliedProposal], None],
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        trailing_entries: int = TRAILING_ENTRIES,
    ) -> None:
        self.core = core
        self.storage = storage
        self.applier = applier
        self._send = send
        self._applied = applied
        self._snapshot_entries = snapshot_entries
        self._trailing_entries = trailing_entries
        self._bytes_since_snapshot = 0

    def receive(self, packet: Packet, now_seconds: float) -> None:
        """Take a packet; ``begin_flush`` carries out what follows from it."""
        receive(self.core, packet, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Do what is due by time; ``begin_flush`` carries it out."""
        tick(self.core, now_seconds)

    def propose(self, commands: Sequence[Command]) -> bool:
        """Append commands, if this replica leads."""
        return propose(self.core, tuple(commands))

    def transfer_leadership(self, now_seconds: float) -> bool:
        """Ask the best follower to lead, if this replica leads."""
        return transfer_leadership(self.core, now_seconds)

    def begin_flush(self, now_seconds: float) -> FlushJob | None:
        """Send what need not wait, and return what the disk must take.

        Args:
            now_seconds: The present time.

        Returns:
            A job for ``persist`` and then ``finish_flush``; None where nothing is
            due. The next job begins only after this one is finished.
        """
        due = effects(self.core, now_seconds)
        image = self._due_image()
        if due is None and image is None:
            # An acknowledgement may have committed entries with nothing to write or
            # send. Left for the next heartbeat, each answer would be late by it.
            self._apply()
            return None
        for packet in due.early if due else ():
            self._send(packet)
        return FlushJob(due, image)

    def persist(self, job: FlushJob) -> None:
        """Write and sync; touches the storage alone, so a thread may do it.

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
        """Send what waited for the sync, and apply what is committed.

        Args:
            job: What ``begin_flush`` returned, persisted by now.
            now_seconds: The present time.
        """
        if job.image is not None:
            compact(self.core, job.image, self._trailing_entries)
        done = job.effects
        if done is None:
            return
        persisted(self.core, done, now_seconds)
        if done.snapshot is not None:
            self.applier.restore(done.snapshot.index, done.snapshot.data)
        for packet in done.late:
            self._send(packet)
        self._apply()

    def flush(self, now_seconds: float) -> bool:
        """Carry out all that is due, with the sync on the caller's thread.

        Returns:
            Whether there was anything to do.
        """
        job = self.begin_flush(now_seconds)
        if job is None:
            return False
        self.persist(job)
        self.finish_flush(job, now_seconds)
        return True

    def _due_image(self) -> SnapshotImage | None:
        """Return a snapshot of what is applied, if one is due."""
        index = self.applier.applied_index
        last = self.core.snapshot
        behind = index - (last.index if last else 0)
        many = behind >= self._snapshot_entries
        if not many and self._bytes_since_snapshot < SNAPSHOT_BYTES:
            return None
        configuration = self.core.log.configuration_at(index)
        index_term = self.core.log.term_at(index)
        if configuration is None or index_term is None:
            # A leader's newer snapshot is on its way to the disk.
            return None
        self._bytes_since_snapshot = 0
        return SnapshotImage(index, index_term, configuration, self.applier.snapshot())

    def _apply(self) -> None:
        """Apply what is committed and synced here."""
        for entry in committed(self.core, self.applier.applied_index):
            applied = self.applier.apply(entry)
            if applied is not None:
                self._bytes_since_snapshot += len(applied.command.command)
                self._applied(applied)

    @property
    def role(self) -> Role:
        """The present role; a replica without a vote is a learner."""
        if self.core.role is not Role.LEADER and self.core.me not in self.core.voters:
            return Role.LEARNER
        return self.core.role


def make_replica(
    stored: StoredState,
    storage: LogStorage,
    peer_ids: tuple[str, ...],
    machines: Sequence[StateMachine],
    send: Callable[[Packet], None],
    applied: Callable[[AppliedProposal], None],
    seed: int,
    now_seconds: float,
    snapshot_entries: int = SNAPSHOT_ENTRIES,
    trailing_entries: int = TRAILING_ENTRIES,
) -> Replica:
    """Return a replica that starts from what its disk holds.

    Args:
        stored: What was read from the storage.
        storage: Its disk.
        peer_ids: The other instances with disks.
        machines: The state machines, in their first state.
        send: Takes a packet for another replica; may lose it.
        applied: Called with each committed proposal.
        seed: For the spread of election times.
        now_seconds: The present time.
        snapshot_entries: How many applied entries make a snapshot due.
        trailing_entries: How many of them stay in memory for followers that lag.
    """
    core = make_core(stored, peer_ids, seed, now_seconds)
    applier = Applier(machines)
    if stored.snapshot is not None:
        applier.restore(stored.snapshot.index, stored.snapshot.data)
    return Replica(
        core, storage, applier, send, applied, snapshot_entries, trailing_entries
    )
