"""Answers that targets gave just before they may have crashed.

A target may send a complete answer and crash before it has done with the call. Nothing
is in flight then. So an answer counts as proof that its call crashes no targets only
once the target has lived on for a time; until then the call may be the reason.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# A target that answers a call written so long after an answer has survived that one.
SURVIVAL_SECONDS = 1.0
# A crash is proven within this time, or not at all.
RETENTION_SECONDS = 10.0
# What a target has survived so recently is not the reason that another one crashed just
# after an answer: all targets give such answers all the time.
SURVIVED_RETENTION_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class RecentAnswer:
    """A complete answer.

    ``number`` is that of the call's slot, None once no trial can need it. ``trials``
    are the digests that were suspects when it was sent. An answer that ``is_failure``
    clears nothing: a target may fail a call before it reads the prompt.
    """

    number: int | None
    digests: tuple[bytes, ...]
    trials: frozenset[bytes]
    ended_at_seconds: float
    is_failure: bool = False


class RecentAnswers:
    """The answers of one router's targets that these have not yet survived."""

    def __init__(self) -> None:
        self._by_target: dict[tuple[str, int], deque[RecentAnswer]] = {}
        # In the order of the times.
        self._survived_at_seconds: dict[bytes, float] = {}

    @property
    def targets(self) -> Sequence[tuple[str, int]]:
        """The ids and incarnations of targets with such answers."""
        return list(self._by_target)

    def has(self, target: tuple[str, int], number: int) -> bool:
        """Return whether an answer is among them, by the number of its call's slot."""
        return any(one.number == number for one in self._by_target.get(target, ()))

    def record(self, target: tuple[str, int], answer: RecentAnswer) -> None:
        """Add an answer that has just ended."""
        self._by_target.setdefault(target, deque()).append(answer)

    def record_alive(
        self, target: tuple[str, int], alive_at_seconds: float, now_seconds: float
    ) -> Sequence[bytes]:
        """Remove the answers that a target has survived.

        Args:
            target: The id and incarnation of the target.
            alive_at_seconds: When it was alive, such as when a call that it answers was
                written.
            now_seconds: The present time.

        Returns:
            The digests that have thereby been shown to crash no target.
        """
        survived = self._pop_before(target, alive_at_seconds - SURVIVAL_SECONDS)
        if not survived:
            return []
        answered = [one for one in survived if not one.is_failure]
        digests = list(dict.fromkeys(d for one in answered for d in one.digests))
        for digest in digests:
            self._survived_at_seconds.pop(digest, None)
            self._survived_at_seconds[digest] = now_seconds
        return digests

    def remove_crashed(self, target: tuple[str, int]) -> Sequence[RecentAnswer]:
        """Remove and return the answers that a target gave just before its crash."""
        return list(self._by_target.pop(target, ()))

    def not_survived(
        self, digests: Iterable[bytes], now_seconds: float
    ) -> frozenset[bytes]:
        """Return those of some digests that no target has survived recently."""
        since_seconds = now_seconds - SURVIVED_RETENTION_SECONDS
        return frozenset(
            digest
            for digest in digests
            if self._survived_at_seconds.get(digest, float("-inf")) < since_seconds
        )

    def elsewhere(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Return those of some digests of which other targets gave answers too."""
        pending = {
            digest
            for answers in self._by_target.values()
            for one in answers
            for digest in one.digests
        }
        return frozenset(pending.intersection(digests))

    def tick(self, now_seconds: float) -> None:
        """Drop what is too old to be of use."""
        for target in list(self._by_target):
            self._pop_before(target, now_seconds - RETENTION_SECONDS)
        since_seconds = now_seconds - SURVIVED_RETENTION_SECONDS
        survived = self._survived_at_seconds
        while survived and survived[first := next(iter(survived))] < since_seconds:
            del survived[first]

    def _pop_before(
        self, target: tuple[str, int], before_seconds: float
    ) -> list[RecentAnswer]:
        answers = self._by_target.get(target)
        if answers is None:
            return []
        popped = []
        while answers and answers[0].ended_at_seconds < before_seconds:
            popped.append(answers.popleft())
        if not answers:
            del self._by_target[target]
        return popped


def make_recent_answers() -> RecentAnswers:
    """Return the state of a router without answers."""
    return RecentAnswers()
