"""The shell of the replicated log in a daemon: messages, ticks, proposals."""

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
# A proposer resends more often than this, so nothing is lost by forgetting it.
WAITING_SECONDS = 10.0
# How long after a failure of the disk it is read anew: long enough not to be busy with
# a disk that stays full, short beside the seconds until the next loss may come.
REOPEN_SECONDS = 1.0

ACCEPTED = "accepted"
REFUSED = "refused"
NO_QUORUM = "no-quorum"
MOVED = "moved"


_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Waiting:
    """Who waits for a proposal that this leader appended in a term."""

    term: int
    since_seconds: float
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
        renew: Callable[[], Sequence[StateMachine]] | None = None,
    ) -> None:
        self._renew = renew
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
        self._waiting: dict[str, _Waiting] = {}
        self._wanted_voters: frozenset[str] | None = None
        self._known_leader: tuple[int, str | None] = (0, None)
        self._stopped = False

    def start(self) -> None:
        """Read the data folder, where there is one, and take part.

        Raises:
            StorageError: The folder is in use or can't be trusted.
        """
        if self._folder is None:
            return
        try:
            storage, stored = self._open(self._folder)
        except StorageError as error:
            if self._renew is None:
                raise
            self._fail(error)
            return
        self._begin(storage, stored)

    def _open(self, folder: Path) -> tuple[LogStorage, StoredState]:
        """Read the data folder."""
        return open_storage(
            folder, self._instance_id, lambda: randbits(INCARNATION_BITS) + 1
        )

    def _begin(self, storage: LogStorage, stored: StoredState) -> None:
        """Take part with what the disk holds."""
        self._replica = make_replica(
            stored,
            storage,
            self._peer_ids,
            self._machines,
            self._send_packet,
            self._applied,
            self._seed,
            self._now(),
        )
        self._replica.core.desired_voters = self._wanted_voters
        self._replica.core.may_found = self._may_found
        self._flusher = Flusher(
            self._replica, self._now, self._fail, self._sync_in_thread
        )

    async def stop(self) -> None:
        """Hand over the lead, finish the sync under way, let go of the folder."""
        self._stopped = True
        if self._reopening is not None:
            await wait([self._reopening])
        if self._replica is not None and self._flusher is not None:
            await self._flusher.stop()
            if self._failure is None and self._replica.transfer_leadership(self._now()):
                self._flusher.flush_here()
            self._replica.storage.close()
        self._proposer.fail_all(NoQuorumError("this instance stops"))

    def tick(self, now_seconds: float) -> None:
        """Do what is due by time; call it some ten times a second."""
        replica = self._living_replica()
        if replica is not None:
            replica.tick(now_seconds)
        self._reopen_if_due(now_seconds)
        self._forget_waiting(now_seconds)
        for pending in self._proposer.due(now_seconds):
            self._dispatch(pending)
        self._note_leader()
        self._flush_soon()

    def received(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Take a message of the log from another instance.

        Args:
            sender_id: Who sent it.
            incarnation: The sender's process; the log has its own, of the disk.
            message: Others than the log's are passed over.
            now_seconds: The present time.
        """
        match message:
            case LogPayload():
                self._take_payload(message.payload, now_seconds)
            case ProposalRequest():
                self._take_request(sender_id, message)
            case ProposalReply():
                self._take_reply(sender_id, message)

    async def propose(self, proposal_id: str, machine: str, command: bytes) -> bytes:
        """Bring a command to agreement and return its first answer.

        Args:
            proposal_id: The same over resends.
            machine: The name of the state machine.
            command: Bytes in its coding.

        Returns:
            What the machine answered when the command was applied first.

        Raises:
            NoQuorumError: The command may be accepted later; propose it again
                under the same id.
            ProposalRefusedError: The id was used for another command.
            LogError: The command is too large.
        """
        if self._stopped:
            raise NoQuorumError("this instance stops")
        if len(command) > COMMAND_LIMIT_BYTES:
            raise LogError(f"a command of {len(command)} bytes is too large")
        pending = self._proposer.find(proposal_id)
        if pending is None:
            wanted = Command(proposal_id, machine, command)
            future: Future[bytes] = get_running_loop().create_future()
            pending = self._proposer.add(wanted, future, self._now())
            self._dispatch(pending)
        elif pending.command != Command(proposal_id, machine, command):
            raise ProposalRefusedError("the id waits for another command")
        return await shield(pending.future)

    def set_wanted_voters(self, instance_ids: frozenset[str] | None) -> None:
        """Let voters follow the settings tree, one change at a time; None: all."""
        self._wanted_voters = instance_ids
        if self._replica is not None:
            self._replica.core.desired_voters = instance_ids

    def set_replicas(self, replica_ids: tuple[str, ...], may_found: bool) -> None:
        """Take who the instances with disks are, where they are found as they come.

        Args:
            replica_ids: All that are known, with or without this one.
            may_found: Whether they are all that found the log together.
        """
        self._peer_ids = tuple(sorted(set(replica_ids) - {self._instance_id}))
        self._proposer.set_replicas(self._peer_ids)
        self._may_found = may_found
        if self._replica is not None:
            self._replica.core.peer_ids = self._peer_ids
            self._replica.core.may_found = may_found

    def is_empty(self) -> bool:
        """Return whether this replica has no entry of any log yet."""
        replica = self._living_replica()
        return replica is not None and replica.core.log.last_index == 0

    def succession(self, now_seconds: float) -> frozenset[str] | None:
        """Return who is to vote by who answers, None where this is no leader."""
        replica = self._living_replica()
        if replica is None:
            return None
        return voters_by_health(replica.core, now_seconds)

    def leader_id(self) -> str | None:
        """Return the instance that leads, as far as this one knows."""
        replica = self._living_replica()
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
        """Return what this instance knows of the log."""
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

    def _note_leader(self) -> None:
        """Log a change of who leads, as far as this replica knows."""
        replica = self._living_replica()
        if replica is None:
            return
        known = (replica.core.term, self.leader_id())
        if known != self._known_leader:
            self._known_leader = known
            _log.info("leader changed", extra={"term": known[0], "leader": known[1]})

    def _living_replica(self) -> Replica | None:
        """Return the replica unless its disk or its log has failed."""
        return self._replica if self._failure is None else None

    def _send_packet(self, packet: Packet) -> None:
        """Send a packet to the instance that it names."""
        self._send(packet.receiver_id, LogPayload(encode_packet(packet)))

    def _take_payload(self, payload: bytes, now_seconds: float) -> None:
        """Give a packet to the replica."""
        replica = self._living_replica()
        if replica is None or self._flusher is None or self._stopped:
            return
        try:
            replica.receive(decode_packet(payload), now_seconds)
        except PeerError as error:
            _log.warning("log packet dropped: %s", error)
        except LogError as error:
            self._flusher.fail(error)
        self._note_leader()
        self._flush_soon()

    def _take_request(self, sender_id: str, message: ProposalRequest) -> None:
        """Append another instance's proposal, or say who leads."""
        command = Command(message.proposal_id, message.machine, message.command)
        if len(command.command) > COMMAND_LIMIT_BYTES:
            self._reply(sender_id, command, REFUSED, b"the command is too large")
        elif not self._append(command, sender_id):
            leader = self.leader_id()
            status = NO_QUORUM if leader is None else MOVED
            self._reply(sender_id, command, status, (leader or "").encode())

    def _take_reply(self, sender_id: str, message: ProposalReply) -> None:
        """Take the answer to a proposal of this instance."""
        match message.status:
            case "accepted":
                self._proposer.leader_hint = sender_id
                self._proposer.answered(message.proposal_id, message.result)
            case "refused":
                error = ProposalRefusedError(message.result.decode(errors="replace"))
                self._proposer.failed(message.proposal_id, error)
            case "moved":
                self._proposer.leader_hint = message.result.decode(errors="replace")
                self._send_again(message.proposal_id, sender_id)
            case _:
                self._proposer.leader_hint = None

    def _send_again(self, proposal_id: str, asked_id: str) -> None:
        """Send a proposal to the leader that a replica named."""
        pending = self._proposer.find(proposal_id)
        if pending is not None and self._proposer.leader_hint != asked_id:
            self._dispatch(pending)

    def _dispatch(self, pending: PendingProposal) -> None:
        """Append a proposal of this instance, or send it to where the leader is."""
        if self._append(pending.command, self._instance_id):
            return
        leader = self.leader_id()
        if leader == self._instance_id:
            return
        receiver = self._proposer.receiver(leader)
        if receiver is not None:
            command = pending.command
            request = ProposalRequest(
                command.proposal_id, command.machine, command.command
            )
            self._send(receiver, request)

    def _append(self, command: Command, origin: str) -> bool:
        """Append a proposal if this replica leads; answer at once if it is known."""
        replica = self._living_replica()
        if replica is None or self._stopped:
            return False
        known = replica.applier.find_applied(command)
        if known is not None:
            self._answer(origin, known)
            return True
        if replica.core.role is not Role.LEADER:
            return False
        waiting = self._waiting.get(command.proposal_id)
        if waiting is None or waiting.term != replica.core.term:
            replica.propose([command])
            origins = waiting.origins if waiting else set()
            waiting = _Waiting(replica.core.term, self._now(), origins)
            self._waiting[command.proposal_id] = waiting
            self._flush_soon()
        waiting.origins.add(origin)
        return True

    def _applied(self, applied: AppliedProposal) -> None:
        """Answer those who wait for a committed proposal."""
        command = applied.command
        waiting = self._waiting.pop(command.proposal_id, None)
        for origin in waiting.origins if waiting else ():
            self._answer(origin, applied)
        if self._proposer.find(command.proposal_id) is not None:
            self._answer(self._instance_id, applied)

    def _answer(self, origin: str, applied: AppliedProposal) -> None:
        """Tell one proposer what became of its proposal."""
        proposal_id = applied.command.proposal_id
        if origin != self._instance_id:
            status = REFUSED if applied.refused else ACCEPTED
            self._reply(origin, applied.command, status, applied.answer)
        elif applied.refused:
            error = ProposalRefusedError(applied.answer.decode(errors="replace"))
            self._proposer.failed(proposal_id, error)
        else:
            self._proposer.answered(proposal_id, applied.answer)

    def _reply(
        self, receiver_id: str, command: Command, status: str, result: bytes
    ) -> None:
        """Send an answer to a proposal."""
        self._send(receiver_id, ProposalReply(command.proposal_id, status, result))

    def _forget_waiting(self, now_seconds: float) -> None:
        """Forget proposers that would have asked again by now."""
        for proposal_id, waiting in list(self._waiting.items()):
            if now_seconds - waiting.since_seconds < WAITING_SECONDS:
                break
            del self._waiting[proposal_id]

    def _flush_soon(self) -> None:
        """Let what was decided be carried out."""
        if self._flusher is not None:
            self._flusher.flush_soon()

    def _fail(self, error: LogError) -> None:
        """Take no part any more: what this disk holds is not known.

        An acknowledgement after a failed sync counts for a majority that does
        not exist; an accepted change would be gone after the next crash. The
        instance goes on as one without a disk.
        """
        self._failure = error
        offset = error.offset_bytes if isinstance(error, StorageError) else None
        _log.critical("replica stopped: %s", error, extra={"offset_bytes": offset})
        self._waiting.clear()
        self._reopen_at_seconds = self._now() + REOPEN_SECONDS

    def _reopen_if_due(self, now_seconds: float) -> None:
        """Begin to read the disk anew some time after it failed."""
        if self._failure is None or self._renew is None or self._stopped:
            return
        if now_seconds < self._reopen_at_seconds:
            return
        if self._reopening is None or self._reopening.done():
            self._reopening = get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        """Take part again from what is really on the disk.

        A disk that was full or refused a write for seconds would else cost its vote
        until the process ends, and the next loss would stop all changes. Reading it
        anew writes the newest segment to another file, as after a restart, so that
        nothing rests on what the failed sync left in memory.
        """
        assert self._folder is not None
        assert self._renew is not None
        try:
            if self._flusher is not None:
                await self._flusher.stop()
            if self._replica is not None:
                self._replica.storage.close()
            storage, stored = await to_thread(self._open, self._folder)
        except StorageError as error:
            _log.warning("the disk still fails: %s", error)
            self._reopen_at_seconds = self._now() + REOPEN_SECONDS
            return
        if self._stopped:
            storage.close()
            return
        self._machines = self._renew()
        self._begin(storage, stored)
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
    renew: Callable[[], Sequence[StateMachine]] | None = None,
) -> LogService:
    """Return the replicated log of an instance; ``start`` begins it.

    Args:
        instance_id: This instance.
        peers_with_disk: The instances with disks; with or without this one.
        data_folder: Where this replica's files live; None without a disk.
        machines: The state machines, in their first state.
        send: Takes a message for an instance; it may lose, double and reorder.
        now: The present time in seconds on a clock that never goes back.
        seed: For the spread of election times; another one for each instance.
        sync_in_thread: Whether a thread does the syncs; False for a disk that is
            faster than the change of threads.
        renew: Returns state machines in their first state, for a disk that is read
            anew after it has failed; without it one failure ends the replica.
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
        renew,
    )
