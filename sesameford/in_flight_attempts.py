"""Tracks which requests were in flight on a target when it crashed."""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, replace
from typing import Any

BROKEN_RETENTION_SECONDS = 60.0
CLEANUP_THRESHOLD_ATTEMPTS = 10_000


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request sent to one incarnation of a target.

    ``is_trial`` says that it was already a suspect when it was sent. ``part_digests``
    are those of its prompt's parts that others may share, ``trial_parts`` those of them
    that were suspects.
    ``broken_at_seconds`` is when its exchange ended without an answer, None before.
    ``is_unconfirmed`` says that it ended with an answer whose end a crash could mark
    too.
    """

    target_id: str
    incarnation: int
    request_digest: bytes
    is_trial: bool
    broken_at_seconds: float | None = None
    is_unconfirmed: bool = False
    part_digests: tuple[bytes, ...] = ()
    trial_parts: frozenset[bytes] = frozenset()

    @property
    def digests(self) -> tuple[bytes, ...]:
        """The digests of the request and of its prompt's parts."""
        return (self.request_digest, *self.part_digests)

    @property
    def trials(self) -> frozenset[bytes]:
        """The digests that were suspects when the request was sent."""
        if self.is_trial:
            return self.trial_parts | {self.request_digest}
        return self.trial_parts


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crashed incarnation of a target, and what was in flight on it.

    ``digests`` are those of this router's requests and of the parts of their prompts,
    ``trials`` those that were suspects when they were sent. ``answered`` are those that
    it had answered completely just before.
    """

    target_id: str
    incarnation: int
    digests: tuple[bytes, ...]
    trials: frozenset[bytes] = frozenset()
    answered: frozenset[bytes] = frozenset()


class InFlightAttempts:
    """This router's running attempts, and those whose exchange recently broke.

    A broken exchange alone proves no crash: the network may have cut it. The request
    becomes a suspect once the crash is proven, either because a fresh connection is
    refused or because a new incarnation announces itself.

    Args:
        broken_retention_seconds: How long broken attempts are kept.
    """

    def __init__(
        self, broken_retention_seconds: float = BROKEN_RETENTION_SECONDS
    ) -> None:
        self._broken_retention_seconds = broken_retention_seconds
        self._attempts: dict[Hashable, InFlightRequest] = {}
        self._by_target: dict[tuple[str, int], dict[Hashable, None]] = {}
        self._broken_at: dict[tuple[str, int], dict[Hashable, float]] = {}

    @property
    def targets(self) -> Sequence[tuple[str, int]]:
        """The ids and incarnations of targets with running or broken attempts."""
        return list(self._by_target)

    def record_start(self, attempt_id: Hashable, request: InFlightRequest) -> None:
        """Add an attempt that is about to be sent."""
        self._attempts[attempt_id] = request
        target = (request.target_id, request.incarnation)
        self._by_target.setdefault(target, {})[attempt_id] = None

    def record_end(self, attempt_id: Hashable) -> InFlightRequest | None:
        """Remove and return an attempt that was answered, or that did not start."""
        request = self._attempts.pop(attempt_id, None)
        if request is None:
            return None
        target = (request.target_id, request.incarnation)
        _remove_from(self._by_target, target, attempt_id)
        if request.broken_at_seconds is not None:
            _remove_from(self._broken_at, target, attempt_id)
        return request

    def is_unanswered(self, attempt_id: Hashable) -> bool:
        """Return whether an attempt runs, or broke and its target may have crashed."""
        request = self._attempts.get(attempt_id)
        return request is not None and not request.is_unconfirmed

    def record_broken(self, attempt_id: Hashable, now_seconds: float) -> None:
        """Mark an attempt whose exchange broke."""
        request = self._attempts.get(attempt_id)
        if request is None:
            return
        self._attempts[attempt_id] = replace(request, broken_at_seconds=now_seconds)
        target = (request.target_id, request.incarnation)
        self._broken_at.setdefault(target, {})[attempt_id] = now_seconds
        if len(self._attempts) > CLEANUP_THRESHOLD_ATTEMPTS:
            self.tick(now_seconds)

    def record_unconfirmed(self, attempt_id: Hashable, now_seconds: float) -> None:
        """Mark an attempt whose answer ended as it also would in a crash."""
        request = self._attempts.get(attempt_id)
        if request is not None:
            self._attempts[attempt_id] = replace(request, is_unconfirmed=True)
            self.record_broken(attempt_id, now_seconds)

    def list_broken(self, target_id: str, incarnation: int) -> Sequence[float]:
        """Return when the exchanges on a target broke."""
        return list(self._broken_at.get((target_id, incarnation), {}).values())

    def has_unanswered(self, target_id: str, incarnation: int) -> bool:
        """Return whether an exchange on a target broke without an answer."""
        broken = self._broken_at.get((target_id, incarnation), {})
        return any(not self._attempts[one].is_unconfirmed for one in broken)

    def remove_broken(
        self, target_id: str, incarnation: int, before_seconds: float
    ) -> Sequence[InFlightRequest]:
        """Remove and return the attempts that broke on a target before a time."""
        broken_at = self._broken_at.get((target_id, incarnation), {})
        attempt_ids = [
            attempt_id
            for attempt_id, at_seconds in broken_at.items()
            if at_seconds < before_seconds
        ]
        requests = [self._attempts[attempt_id] for attempt_id in attempt_ids]
        for attempt_id in attempt_ids:
            self.record_end(attempt_id)
        return requests

    def remove_crashed(self, target_id: str, incarnation: int) -> TargetCrash:
        """Return an observed crash, and remove the attempts on the target."""
        attempt_ids = list(self._by_target.get((target_id, incarnation), {}))
        requests = [self._attempts[attempt_id] for attempt_id in attempt_ids]
        for attempt_id in attempt_ids:
            self.record_end(attempt_id)
        return TargetCrash(
            target_id,
            incarnation,
            tuple(sorted({digest for one in requests for digest in one.digests})),
            frozenset(digest for one in requests for digest in one.trials),
        )

    def remove_replaced(
        self, target_id: str, new_incarnation: int
    ) -> Sequence[TargetCrash]:
        """Return the crashes that a new incarnation's announcement proves."""
        old_incarnations = sorted(
            incarnation
            for one, incarnation in self._by_target
            if one == target_id and incarnation < new_incarnation
        )
        return [
            self.remove_crashed(target_id, incarnation)
            for incarnation in old_incarnations
        ]

    def tick(self, now_seconds: float) -> None:
        """Remove the attempts whose exchange broke before the retention time."""
        for target_id, incarnation in list(self._broken_at):
            self.remove_broken(
                target_id, incarnation, now_seconds - self._broken_retention_seconds
            )


def _remove_from(
    index: dict[tuple[str, int], dict[Hashable, Any]],
    target: tuple[str, int],
    attempt_id: Hashable,
) -> None:
    """Remove an attempt from an index by target."""
    del index[target][attempt_id]
    if not index[target]:
        del index[target]
