"""The pending proposals of one instance: resends, timeouts and the receiver to use."""

import logging
from asyncio import Future
from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.errors import NoQuorumError
from sesameford.log_messages import Command

logger = logging.getLogger(__name__)

RESEND_INTERVAL_SECONDS = 0.5
# Covers an election and a resend; a caller should not wait longer for a refusal.
ANSWER_TIMEOUT_SECONDS = 5.0
MAX_PENDING_PROPOSALS = 20_000


@dataclass(slots=True)
class PendingProposal:
    """A proposal that is resent until it is answered or times out."""

    command: Command
    future: Future[bytes]
    give_up_at_seconds: float
    send_at_seconds: float


class Proposer:
    """The pending proposals of one instance.

    Args:
        replica_ids: The other instances with disks; any of them can name the leader.
    """

    def __init__(self, replica_ids: tuple[str, ...]) -> None:
        self._replica_ids = replica_ids
        self._turn = 0
        self._pending: dict[str, PendingProposal] = {}
        self.leader_hint: str | None = None

    def set_replicas(self, replica_ids: tuple[str, ...]) -> None:
        """Replace the instances to send to, for those discovered at run time."""
        self._replica_ids = replica_ids

    def __len__(self) -> int:
        return len(self._pending)

    def find(self, proposal_id: str) -> PendingProposal | None:
        """Return a pending proposal, or None."""
        return self._pending.get(proposal_id)

    def add(
        self, command: Command, future: Future[bytes], now_seconds: float
    ) -> PendingProposal:
        """Add a pending proposal.

        Raises:
            NoQuorumError: Too many proposals are pending; this one was not sent.
        """
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            raise NoQuorumError(
                f"{MAX_PENDING_PROPOSALS} proposals wait for a majority"
            )
        pending = PendingProposal(
            command,
            future,
            give_up_at_seconds=now_seconds + ANSWER_TIMEOUT_SECONDS,
            send_at_seconds=now_seconds + RESEND_INTERVAL_SECONDS,
        )
        self._pending[command.proposal_id] = pending
        return pending

    def complete(self, proposal_id: str, answer: bytes) -> None:
        """Complete a proposal with its answer."""
        pending = self._pending.pop(proposal_id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(answer)

    def fail(self, proposal_id: str, error: Exception) -> None:
        """Fail a proposal with an error."""
        pending = self._pending.pop(proposal_id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_exception(error)
            # Marks the exception as retrieved: if the caller has left, the event loop
            # would log it. A caller that still waits gets the error all the same.
            pending.future.exception()
            logger.info(
                "proposal failed",
                extra={"proposal": proposal_id, "reason": str(error)},
            )

    def fail_all(self, error: Exception) -> None:
        """Fail all proposals with an error."""
        for proposal_id in list(self._pending):
            self.fail(proposal_id, error)

    def collect_due(self, now_seconds: float) -> Sequence[PendingProposal]:
        """Return the proposals to resend now, and fail those that timed out."""
        due = []
        for proposal_id, pending in list(self._pending.items()):
            if now_seconds >= pending.give_up_at_seconds:
                self.fail(proposal_id, NoQuorumError("no majority of replicas answers"))
            elif now_seconds >= pending.send_at_seconds:
                pending.send_at_seconds = now_seconds + RESEND_INTERVAL_SECONDS
                due.append(pending)
        if due:
            # The last receiver did not answer; the leader may have changed.
            self._turn += 1
            self.leader_hint = None
        return due

    def choose_receiver(self, leader_id: str | None) -> str | None:
        """Return the receiver of a proposal: the leader, or each replica in turn."""
        if leader_id is not None:
            return leader_id
        if not self._replica_ids:
            return None
        return self._replica_ids[self._turn % len(self._replica_ids)]
