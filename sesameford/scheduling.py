"""The interface of the schedulers, which decide where and when requests run.

A scheduler does no I/O: it holds tables and decides, and its callers do the I/O.
Every call takes the present time. ``independent`` and ``leased`` implement the
interface; ``fleet.scheduler`` of the tree says which one is in force.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from sesameford.effective import EffectiveTree
from sesameford.messages import Message, Outgoing
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage


class Scheduler(Protocol):
    """Queues requests and decides when and on which target each runs."""

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Apply a newer tree."""

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """Replace the table of targets that may get new work."""

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """Replace the table of other instances."""

    def submit(self, request: Request, now_seconds: float) -> None:
        """Queue a request.

        Raises:
            NotRunError: A limit of its customer or of the router is reached.
        """

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """Remove a waiting request; False if it no longer waits here."""

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """Return the attempts to start now; each counts as in flight at once."""

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """Remove and return the waiting requests whose deadline has passed."""

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """Charge the usage so far of a running attempt; optional for the caller."""

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """End an attempt and charge its usage."""

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """End an attempt that did not run and requeue its request at the front."""

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Apply a scheduling message from another instance."""

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return the messages that are due, and clear them."""

    def waiting_requests(self) -> int:
        """Return the number of requests that wait here."""

    def running_attempts(self) -> int:
        """Return the number of running attempts of this router."""
