"""Which bodies were on a target when it died."""

from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.tables import Attempt

BROKEN_KEPT_SECONDS = 60.0
MAX_BROKEN = 10_000


@dataclass(frozen=True, slots=True)
class _OnTarget:
    attempt: Attempt
    body_digest: bytes
    broke_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Death:
    """An incarnation of a target that died, with what it then had from here."""

    target_id: str
    incarnation: int
    body_digests: tuple[bytes, ...]


class OnTargets:
    """The attempts that run from here, and those whose exchange broke lately.

    A broken exchange alone says nothing: the network may have cut it. Its body is a
    suspect once the target is known to have died, because a fresh connection is
    refused or because a new incarnation announces itself.
    """

    def __init__(self) -> None:
        self._attempts: dict[str, _OnTarget] = {}

    def started(self, attempt: Attempt, body_digest: bytes) -> None:
        """Note that an attempt is being sent."""
        self._attempts[attempt.attempt_id] = _OnTarget(attempt, body_digest)

    def ended(self, attempt_id: str) -> None:
        """Forget an attempt that got its answer, or that the target did not start."""
        self._attempts.pop(attempt_id, None)

    def broke(self, attempt_id: str, now_seconds: float) -> None:
        """Note that an attempt's exchange broke."""
        row = self._attempts.pop(attempt_id, None)
        if row is None:
            return
        self._attempts[attempt_id] = _OnTarget(
            row.attempt, row.body_digest, now_seconds
        )
        if len(self._attempts) > MAX_BROKEN:
            self.tick(now_seconds)

    def died(self, target_id: str, incarnation: int) -> Death:
        """Return a death that was seen, and forget what was on the target."""
        return self._take(target_id, incarnation)

    def replaced(self, target_id: str, new_incarnation: int) -> Sequence[Death]:
        """Return the deaths that a new incarnation's announcement proves."""
        old = {
            row.attempt.target_incarnation
            for row in self._attempts.values()
            if row.attempt.target_id == target_id
            and row.attempt.target_incarnation < new_incarnation
        }
        return [self._take(target_id, incarnation) for incarnation in sorted(old)]

    def tick(self, now_seconds: float) -> None:
        """Forget what broke long ago."""
        for attempt_id, row in list(self._attempts.items()):
            broke = row.broke_at_seconds
            if broke is not None and now_seconds - broke > BROKEN_KEPT_SECONDS:
                del self._attempts[attempt_id]

    def _take(self, target_id: str, incarnation: int) -> Death:
        gone = {
            attempt_id: row.body_digest
            for attempt_id, row in self._attempts.items()
            if row.attempt.target_id == target_id
            and row.attempt.target_incarnation == incarnation
        }
        for attempt_id in gone:
            del self._attempts[attempt_id]
        return Death(target_id, incarnation, tuple(sorted(set(gone.values()))))
