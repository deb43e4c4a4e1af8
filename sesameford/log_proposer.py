"""An instance's own proposals that have no answer yet, and where to send them."""

import logging
from asyncio import Future
from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.errors import NoQuorumError
from sesameford.log_messages import Command

logger = logging.getLogger(__name__)

RESEND_SECONDS = 0.5
# An election and a resend fit in; a caller should not wait longer for a refusal.
ANSWER_SECONDS = 5.0
MOST_WAITING = 20_000


@dataclass(slots=True)
class PendingProposal:
    """A proposal, sent again until its answer comes or its time is over."""

    command: Command
    future: Future[bytes]
    give_up_at_seconds: float
    send_at_seconds: float


class Proposer:
    """The proposals of one instance.

    Args:
        replica_ids: The other instances with disks, any of which knows the leader.
    """

    def __init__(self, replica_ids: tuple[str, ...]) -> None:
        self._replica_ids = replica_ids
        self._turn = 0
        self._pending: dict[str, PendingProposal] = {}
        self.leader_hint: str | None = None

    def set_replicas(self, replica_ids: tuple[str, ...]) -> None:
        """Take other instances to ask, where they are found as they come."""
        self._replica_ids = replica_ids

    def __len__(self) -> int:
        return len(self._pending)

    def find(self, proposal_id: str) -> PendingProposal | None:
        """Return a proposal that has no answer yet, or None."""
        return self._pending.get(proposal_id)

    def add(
        self, command: Command, future: Future[bytes], now_seconds: float
    ) -> PendingProposal:
        """Remember a proposal.

        Raises:
            NoQuorumError: Too many wait already; this one was sent nowhere.
        """
        if len(self._pending) >= MOST_WAITING:
            raise NoQuorumError(f"{MOST_WAITING} proposals wait for a majority")
        pending = PendingProposal(
            command,
            future,
            give_up_at_seconds=now_seconds + ANSWER_SECONDS,
            send_at_seconds=now_seconds + RESEND_SECONDS,
        )
        self._pending[command.proposal_id] = pending
        return pending

    def answered(self, proposal_id: str, answer: bytes) -> None:
        """End a proposal with its answer."""
        pending = self._pending.pop(proposal_id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(answer)

    def failed(self, proposal_id: str, error: Exception) -> None:
        """End a proposal with an error."""
        pending = self._pending.pop(proposal_id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_exception(error)
            # Whoever proposed it may have left, and the loop would complain then. Those
            # that still wait get the error all the same.
            pending.future.exception()
            logger.info(
                "a proposal has failed",
                extra={"proposal": proposal_id, "reason": str(error)},
            )

    def fail_all(self, error: Exception) -> None:
        """End all proposals with an error."""
        for proposal_id in list(self._pending):
            self.failed(proposal_id, error)

    def due(self, now_seconds: float) -> Sequence[PendingProposal]:
        """Return the proposals to send now; give up those whose time is over."""
        due = []
        for proposal_id, pending in list(self._pending.items()):
            if now_seconds >= pending.give_up_at_seconds:
                self.failed(
                    proposal_id, NoQuorumError("no majority of replicas answers")
                )
            elif now_seconds >= pending.send_at_seconds:
                pending.send_at_seconds = now_seconds + RESEND_SECONDS
                due.append(pending)
        if due:
            # Whoever was asked did not answer; the leader may be another by now.
            self._turn += 1
            self.leader_hint = None
        return due

    def receiver(self, leader_id: str | None) -> str | None:
        """Return whom to send a proposal to: the leader, or each replica in turn."""
        if leader_id is not None:
            return leader_id
        if not self._replica_ids:
            return None
        return self._replica_ids[self._turn % len(self._replica_ids)]
