"""Tracks which bodies were in flight on a target when it crashed."""

from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.tables import Attempt

BROKEN_RETENTION_SECONDS = 60.0
CLEANUP_THRESHOLD_ATTEMPTS = 10_000


@dataclass(frozen=True, slots=True)
class _InFlightAttempt:
    attempt: Attempt
    body_digest: bytes
    broken_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crashed incarnation of a target, with this router's bodies in flight on it."""

    target_id: str
    incarnation: int
    body_digests: tuple[bytes, ...]


class InFlightAttempts:
    """This router's running attempts, and those whose connection recently broke.

    A broken connection alone proves no crash: the network may have cut it. The body
    becomes a suspect once the crash is proven, either because a fresh connection is
    refused or because a new incarnation announces itself.
    """

    def __init__(self) -> None:
        self._attempts: dict[str, _InFlightAttempt] = {}

    def record_start(self, attempt: Attempt, body_digest: bytes) -> None:
        """Add an attempt that is about to be sent."""
        self._attempts[attempt.attempt_id] = _InFlightAttempt(attempt, body_digest)

    def record_end(self, attempt_id: str) -> None:
        """Remove an attempt that was answered, or that the target did not start."""
        self._attempts.pop(attempt_id, None)

    def record_broken(self, attempt_id: str, now_seconds: float) -> None:
        """Mark an attempt whose connection broke."""
        row = self._attempts.pop(attempt_id, None)
        if row is None:
            return
        self._attempts[attempt_id] = _InFlightAttempt(
            row.attempt, row.body_digest, now_seconds
        )
        if len(self._attempts) > CLEANUP_THRESHOLD_ATTEMPTS:
            self.tick(now_seconds)

    def remove_crashed(self, target_id: str, incarnation: int) -> TargetCrash:
        """Return an observed crash, and remove the attempts on the target."""
        return self._remove_target(target_id, incarnation)

    def remove_replaced(
        self, target_id: str, new_incarnation: int
    ) -> Sequence[TargetCrash]:
        """Return the crashes that a new incarnation's announcement proves."""
        old_incarnations = {
            row.attempt.target_incarnation
            for row in self._attempts.values()
            if row.attempt.target_id == target_id
            and row.attempt.target_incarnation < new_incarnation
        }
        return [
            self._remove_target(target_id, incarnation)
            for incarnation in sorted(old_incarnations)
        ]

    def tick(self, now_seconds: float) -> None:
        """Remove the attempts whose connection broke before the retention time."""
        for attempt_id, row in list(self._attempts.items()):
            broken_at = row.broken_at_seconds
            if (
                broken_at is not None
                and now_seconds - broken_at > BROKEN_RETENTION_SECONDS
            ):
                del self._attempts[attempt_id]

    def _remove_target(self, target_id: str, incarnation: int) -> TargetCrash:
        removed = {
            attempt_id: row.body_digest
            for attempt_id, row in self._attempts.items()
            if row.attempt.target_id == target_id
            and row.attempt.target_incarnation == incarnation
        }
        for attempt_id in removed:
            del self._attempts[attempt_id]
        return TargetCrash(target_id, incarnation, tuple(sorted(set(removed.values()))))
