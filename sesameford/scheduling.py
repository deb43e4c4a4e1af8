"""The seam between callers' requests and the decision where and when they run.

A scheduler is pure: it holds tables and decides, and the shells around it do the
I/O. Every call takes the present time. ``independent`` and ``leased`` implement
it; the tree's ``fleet.scheduler`` says which is in force.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from sesameford.effective import EffectiveTree
from sesameford.messages import Message, Outgoing
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage


class Scheduler(Protocol):
    """Queues requests and decides which runs where."""

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Take a newer tree into force."""

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """Take the present table of targets that may get new work."""

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """Take the present table of other instances."""

    def submit(self, request: Request, now_seconds: float) -> None:
        """Queue a request.

        Raises:
            NotRunError: A limit of its customer or of the router is reached.
        """

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """Take a waiting request out; False if it does not wait here any more."""

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """Return the attempts to start now; each counts as in flight at once."""

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """Take out and return the waiting requests whose deadline has passed."""

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """Take the usage so far of a running attempt; may be skipped at will."""

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """End an attempt and charge what it used."""

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """End an attempt that did not run and queue its request again, in front."""

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Take a message of fair service from another instance."""

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return the messages that are due now."""

    def waiting_requests(self) -> int:
        """Return how many requests wait here."""

    def running_attempts(self) -> int:
        """Return how many attempts run from here."""
