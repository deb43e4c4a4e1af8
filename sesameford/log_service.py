"""Runs the replicated log in a daemon: messages, timers, proposals, disk failures."""

import logging
from asyncio import Future, Task, get_running_loop, shield, to_thread, wait
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from secrets import randbits

from sesameford.errors import (
    LogError,
    NoQuorumError,
    PeerError,
    ProposalRefusedError,
    StorageError,
)
from sesameford.log_apply import AppliedProposal
from sesameford.log_flusher import Flusher
from sesameford.log_messages import Command, Packet, decode_packet, encode_packet
from sesameford.log_proposer import PendingProposal, Proposer
from sesameford.log_replica import Replica, make_replica
from sesameford.log_state import Role, StoredState
from sesameford.log_status import ReplicaLogStatus, replica_status
from sesameford.log_storage import LogStorage, open_storage
from sesameford.log_succession import voters_by_health
from sesameford.messages import LogPayload, Message, ProposalReply, ProposalRequest
from sesameford.state_machine import StateMachine

COMMAND_LIMIT_BYTES = 16_000_000
INCARNATION_BITS = 62
# Longer than the resend interval of proposers, so a dropped origin registers again.
ORIGINS_RETENTION_SECONDS = 10.0
# Long enough not to load a disk that stays full with retries, short compared with the
# time until another replica may be lost.
REOPEN_DELAY_SECONDS = 1.0

ACCEPTED = "accepted"
REFUSED = "refused"
NO_QUORUM = "no-quorum"
MOVED = "moved"


_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ProposalOrigins:
    """The instances that wait for a proposal that this leader appended in a term."""

    term: int
    appended_at_seconds: float
    origins: set[str] = field(default_factory=set)


class LogService:
    """The replicated log in one instance; made by ``make_log_service``."""

    def __init__(
        self,
        instance_id: str,
        peers_with_disk: tuple[str, ...],
        data_folder: Path | None,
        machines: Sequence[StateMachine],
        send: Callable[[str, Message], None],
        now: Callable[[], float],
        seed: int,
        sync_in_thread: bool,
        make_initial_machines: Callable[[], Sequence[StateMachine]] | None = None,
    ) -> None:
        self._make_initial_machines = make_initial_machines
        self._reopen_at_seconds = 0.0
        self._reopening: Task[None] | None = None
        self._may_found = True
        self._instance_id = instance_id
        self._peer_ids = tuple(sorted(set(peers_with_disk) - {instance_id}))
        self._folder = data_folder
        self._machines = machines
        self._send = send
        self._now = now
        self._seed = seed
        self._replica: Replica | None = None
        self._failure: LogError | None = None
        self._sync_in_thread = sync_in_thread
        self._flusher: Flusher | None = None
        self._proposer = Proposer(self._peer_ids)
        self._origins: dict[str, _ProposalOrigins] = {}
        self._desired_voters: frozenset[str] | None = None
        self._last_logged_leader: tuple[int, str | None] = (0, None)
        self._stopped = False

    def start(self) -> None:
        """Read the data folder, if there is one, and start the replica.

        Raises:
            StorageError: The folder is in use or its content is invalid.
        """
        if self._folder is None:
            return
        try:
            storage, stored = self._open_storage(self._folder)
        except StorageError as error:
            if self._make_initial_machines is None:
                raise
            self._fail(error)
            return
        self._start_replica(storage, stored)

    def _open_storage(self, folder: Path) -> tuple[LogStorage, StoredState]:
        """Open the data folder and read the stored state."""
        return open_storage(
            folder, self._instance_id, lambda: randbits(INCARNATION_BITS) + 1
        )

    def _start_replica(self, storage: LogStorage, stored: StoredState) -> None:
        """Start the replica from the stored state."""
        self._replica = make_replica(
            stored,
            storage,
            self._peer_ids,
            self._machines,
            self._send_packet,
            self._handle_applied,
            self._seed,
            self._now(),
        )
        self._replica.core.desired_voters = self._desired_voters
        self._replica.core.may_found = self._may_found
        self._flusher = Flusher(
            self._replica, self._now, self._fail, self._sync_in_thread
        )

    async def stop(self) -> None:
        """Finish the running sync, transfer the leadership and close the folder."""
        self._stopped = True
        if self._reopening is not None:
            await wait([self._reopening])
        if self._replica is not None and self._flusher is not None:
            await self._flusher.stop()
            if self._failure is None and self._replica.transfer_leadership(self._now()):
                self._flusher.flush_inline()
            self._replica.storage.close()
        self._proposer.fail_all(NoQuorumError("this instance stops"))

    def tick(self, now_seconds: float) -> None:
        """Run all timers; must be called about ten times a second."""
        replica = self._working_replica()
        if replica is not None:
            replica.tick(now_seconds)
        self._reopen_if_due(now_seconds)
        self._remove_expired_origins(now_seconds)
        for pending in self._proposer.collect_due(now_seconds):
            self._dispatch(pending)
        self._log_leader_change()
        self._schedule_flush()

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Handle a message of the log from another instance.

        Args:
            sender_id: The instance that sent it.
            incarnation: The sender's process. Unused: a log member is identified by
                the incarnation of its disk.
            message: The message; those that don't belong to the log are ignored.
            now_seconds: The current time.
        """
        match message:
            case LogPayload():
                self._handle_payload(message.payload, now_seconds)
            case ProposalRequest():
                self._handle_proposal_request(sender_id, message)
            case ProposalReply():
                self._handle_proposal_reply(sender_id, message)

    async def propose(self, proposal_id: str, machine: str, command: bytes) -> bytes:
        """Propose a command to the log and return the answer once it is committed.

        Args:
            proposal_id: The id of the proposal, the same for all its resends.
            machine: The name of the state machine.
            command: The command in the state machine's encoding.

        Returns:
            The state machine's answer when the command was first applied.

        Raises:
            NoQuorumError: The command may still be accepted later; a retry must use
                the same id.
            ProposalRefusedError: The id was used for another command.
            LogError: The command is too large.
        """
        if self._stopped:
            raise NoQuorumError("this instance stops")
        if len(command) > COMMAND_LIMIT_BYTES:
            raise LogError(f"a command of {len(command)} bytes is too large")
        pending = self._proposer.find(proposal_id)
        if pending is None:
            proposed = Command(proposal_id, machine, command)
            future: Future[bytes] = get_running_loop().create_future()
            pending = self._proposer.add(proposed, future, self._now())
            self._dispatch(pending)
        elif pending.command != Command(proposal_id, machine, command):
            raise ProposalRefusedError("the id waits for another command")
        return await shield(pending.future)

    def set_desired_voters(self, instance_ids: frozenset[str] | None) -> None:
        """Set the instances that should vote, None for all.

        The leader changes the configuration by one voter at a time.
        """
        self._desired_voters = instance_ids
        if self._replica is not None:
            self._replica.core.desired_voters = instance_ids

    def set_replicas(self, replica_ids: tuple[str, ...], may_found: bool) -> None:
        """Set the instances with disks, for deployments that discover them at run time.

        Args:
            replica_ids: All discovered instances, with or without this one.
            may_found: Whether these are all instances that found the log together.
        """
        self._peer_ids = tuple(sorted(set(replica_ids) - {self._instance_id}))
        self._proposer.set_replicas(self._peer_ids)
        self._may_found = may_found
        if self._replica is not None:
            self._replica.core.peer_ids = self._peer_ids
            self._replica.core.may_found = may_found

    def is_empty(self) -> bool:
        """Return whether this replica works and its log has no entry yet."""
        replica = self._working_replica()
        return replica is not None and replica.core.log.last_index == 0

    def choose_voters(self, now_seconds: float) -> frozenset[str] | None:
        """Return the voters by liveness, or None if nothing should change.

        Only a leader returns voters; see ``voters_by_health``.
        """
        replica = self._working_replica()
        if replica is None:
            return None
        return voters_by_health(replica.core, now_seconds)

    def leader_id(self) -> str | None:
        """Return the leader that this instance last learned of, or None."""
        replica = self._working_replica()
        if replica is None:
            return self._proposer.leader_hint
        leader = replica.core.leader
        return leader.instance_id if leader else None

    def role(self) -> str:
        """Return the role on the status page; see ``ReplicaLogStatus``."""
        if self._failure is not None:
            return "failed"
        return self._replica.role if self._replica else "none"

    def status(self) -> ReplicaLogStatus:
        """Return the state of the log as this instance sees it."""
        waiting = len(self._proposer)
        if self._replica is None:
            return ReplicaLogStatus("none", self.leader_id(), waiting_proposals=waiting)
        status = replica_status(self._replica, waiting, self._now())
        if self._failure is None:
            return status
        return replace(
            status,
            role="failed",
            leader_id=self.leader_id(),
            lease_remaining_seconds=0.0,
            failure=str(self._failure),
        )

    def _log_leader_change(self) -> None:
        """Log a change of the term or of the leader."""
        replica = self._working_replica()
        if replica is None:
            return
        current = (replica.core.term, self.leader_id())
        if current != self._last_logged_leader:
            self._last_logged_leader = current
            _log.info(
                "leader changed", extra={"term": current[0], "leader": current[1]}
            )

    def _working_replica(self) -> Replica | None:
        """Return the replica, or None without one or after a failure."""
        return self._replica if self._failure is None else None

    def _send_packet(self, packet: Packet) -> None:
        """Send a packet to its receiver."""
        self._send(packet.receiver_id, LogPayload(encode_packet(packet)))

    def _handle_payload(self, payload: bytes, now_seconds: float) -> None:
        """Decode a packet and pass it to the replica."""
        replica = self._working_replica()
        if replica is None or self._flusher is None or self._stopped:
            return
        try:
            replica.receive(decode_packet(payload), now_seconds)
        except PeerError as error:
            _log.warning("log packet dropped: %s", error)
        except LogError as error:
            self._flusher.fail(error)
        self._log_leader_change()
        self._schedule_flush()

    def _handle_proposal_request(
        self, sender_id: str, message: ProposalRequest
    ) -> None:
        """Append another instance's proposal, or reply with the leader's id."""
        command = Command(message.proposal_id, message.machine, message.command)
        if len(command.command) > COMMAND_LIMIT_BYTES:
            self._reply(sender_id, command, REFUSED, b"the command is too large")
        elif not self._append(command, sender_id):
            leader = self.leader_id()
            status = NO_QUORUM if leader is None else MOVED
            self._reply(sender_id, command, status, (leader or "").encode())

    def _handle_proposal_reply(self, sender_id: str, message: ProposalReply) -> None:
        """Handle the reply to a proposal of this instance."""
        match message.status:
            case "accepted":
                self._proposer.leader_hint = sender_id
                self._proposer.complete(message.proposal_id, message.result)
            case "refused":
                error = ProposalRefusedError(message.result.decode(errors="replace"))
                self._proposer.fail(message.proposal_id, error)
            case "moved":
                self._proposer.leader_hint = message.result.decode(errors="replace")
                self._resend(message.proposal_id, sender_id)
            case _:
                self._proposer.leader_hint = None

    def _resend(self, proposal_id: str, replying_id: str) -> None:
        """Resend a proposal to the leader that another replica named."""
        pending = self._proposer.find(proposal_id)
        if pending is not None and self._proposer.leader_hint != replying_id:
            self._dispatch(pending)

    def _dispatch(self, pending: PendingProposal) -> None:
        """Append a proposal of this instance, or send it to the leader."""
        if self._append(pending.command, self._instance_id):
            return
        leader = self.leader_id()
        if leader == self._instance_id:
            return
        receiver = self._proposer.choose_receiver(leader)
        if receiver is not None:
            command = pending.command
            request = ProposalRequest(
                command.proposal_id, command.machine, command.command
            )
            self._send(receiver, request)

    def _append(self, command: Command, origin: str) -> bool:
        """Append a proposal if this replica leads, and note where to send the answer.

        A proposal that was applied before is answered at once.

        Returns:
            Whether the proposal was appended or answered.
        """
        replica = self._working_replica()
        if replica is None or self._stopped:
            return False
        applied = replica.applier.find_applied(command)
        if applied is not None:
            self._answer(origin, applied)
            return True
        if replica.core.role is not Role.LEADER:
            return False
        entry = self._origins.get(command.proposal_id)
        if entry is None or entry.term != replica.core.term:
            replica.propose([command])
            origins = entry.origins if entry else set()
            entry = _ProposalOrigins(replica.core.term, self._now(), origins)
            self._origins[command.proposal_id] = entry
            self._schedule_flush()
        entry.origins.add(origin)
        return True

    def _handle_applied(self, applied: AppliedProposal) -> None:
        """Answer the instances that wait for a committed proposal."""
        command = applied.command
        entry = self._origins.pop(command.proposal_id, None)
        for origin in entry.origins if entry else ():
            self._answer(origin, applied)
        if self._proposer.find(command.proposal_id) is not None:
            self._answer(self._instance_id, applied)

    def _answer(self, origin: str, applied: AppliedProposal) -> None:
        """Send the outcome of a proposal to one instance that waits for it."""
        proposal_id = applied.command.proposal_id
        if origin != self._instance_id:
            status = REFUSED if applied.refused else ACCEPTED
            self._reply(origin, applied.command, status, applied.answer)
        elif applied.refused:
            error = ProposalRefusedError(applied.answer.decode(errors="replace"))
            self._proposer.fail(proposal_id, error)
        else:
            self._proposer.complete(proposal_id, applied.answer)

    def _reply(
        self, receiver_id: str, command: Command, status: str, result: bytes
    ) -> None:
        """Send the reply to a proposal."""
        self._send(receiver_id, ProposalReply(command.proposal_id, status, result))

    def _remove_expired_origins(self, now_seconds: float) -> None:
        """Remove origins older than the retention; a waiting proposer has resent."""
        for proposal_id, entry in list(self._origins.items()):
            if now_seconds - entry.appended_at_seconds < ORIGINS_RETENTION_SECONDS:
                break
            del self._origins[proposal_id]

    def _schedule_flush(self) -> None:
        """Schedule the writes and messages that the replica has decided on."""
        if self._flusher is not None:
            self._flusher.schedule_flush()

    def _fail(self, error: LogError) -> None:
        """Stop the replica after a failure: the content of its disk is unknown.

        An acknowledgement after a failed sync would count towards a majority that
        does not exist, and an accepted change would be lost in the next crash. The
        instance goes on without a replica and proposes through the others.
        """
        self._failure = error
        offset = error.offset_bytes if isinstance(error, StorageError) else None
        _log.critical("replica stopped: %s", error, extra={"offset_bytes": offset})
        self._origins.clear()
        self._reopen_at_seconds = self._now() + REOPEN_DELAY_SECONDS

    def _reopen_if_due(self, now_seconds: float) -> None:
        """Start to reopen the data folder once the delay after its failure is over."""
        if (
            self._failure is None
            or self._make_initial_machines is None
            or self._stopped
        ):
            return
        if now_seconds < self._reopen_at_seconds:
            return
        if self._reopening is None or self._reopening.done():
            self._reopening = get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        """Restart the replica from the content of the disk.

        Otherwise a disk that was full or refused a write for seconds would cost its
        vote until the process ends, and the next loss would stop all changes.
        Opening the folder again rewrites the newest segment to another file, as after
        a restart, so that no state depends on pages that the failed sync left in
        memory.
        """
        assert self._folder is not None
        assert self._make_initial_machines is not None
        try:
            if self._flusher is not None:
                await self._flusher.stop()
            if self._replica is not None:
                self._replica.storage.close()
            storage, stored = await to_thread(self._open_storage, self._folder)
        except StorageError as error:
            _log.warning("can't reopen the data folder: %s", error)
            self._reopen_at_seconds = self._now() + REOPEN_DELAY_SECONDS
            return
        if self._stopped:
            storage.close()
            return
        self._machines = self._make_initial_machines()
        self._start_replica(storage, stored)
        self._failure = None
        _log.warning("replica takes part again")


def make_log_service(
    instance_id: str,
    peers_with_disk: tuple[str, ...],
    data_folder: Path | None,
    machines: Sequence[StateMachine],
    send: Callable[[str, Message], None],
    now: Callable[[], float],
    seed: int,
    sync_in_thread: bool = True,
    make_initial_machines: Callable[[], Sequence[StateMachine]] | None = None,
) -> LogService:
    """Return the replicated log of an instance; ``start`` starts it.

    Args:
        instance_id: This instance.
        peers_with_disk: The instances with disks, with or without this one.
        data_folder: The folder of this replica's files; None without a disk.
        machines: The state machines, in their initial state.
        send: Sends a message to an instance; it may lose, duplicate and reorder.
        now: The current time in seconds on a monotonic clock.
        seed: Randomises the election timeouts; must differ between instances.
        sync_in_thread: Whether a thread does the syncs; False for a disk that is
            faster than a thread switch.
        make_initial_machines: Returns state machines in their initial state, for
            reopening the data folder after a failure. Without it one failure stops
            the replica for good.
    """
    return LogService(
        instance_id,
        peers_with_disk,
        data_folder,
        machines,
        send,
        now,
        seed,
        sync_in_thread,
        make_initial_machines,
    )
