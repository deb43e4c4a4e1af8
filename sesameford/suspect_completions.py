"""Counts what completes at one router, to tell which crashes that clears."""

from collections import Counter
from collections.abc import Collection

from sesameford.request_digest import is_part_digest

# A router that saw a part crash targets clears it after as many completions, but after
# no more than these: one that crashes some targets alone completes on the others. Other
# routers clear it at once, so that popular parts are clear soon.
MAX_COMPLETIONS_TO_CLEAR = 3
# What completes at a router so often, and so many times as often as targets crash, has
# not crashed them just after its answers: a popular part completes all the time, and
# where all targets end one after the other, none survives it for long.
MIN_COMPLETIONS_FOR_ANSWERED = 4
COMPLETIONS_PER_ANSWERED_CRASH = 2


class SuspectCompletions:
    """The completions and crashes of suspects that one router observed itself.

    Answers whose targets may yet crash and those that targets have survived are counted
    apart, as only the latter show that nothing crashed just after them.
    """

    def __init__(self) -> None:
        self._crashes: Counter[bytes] = Counter()
        self._answers: Counter[bytes] = Counter()
        self._answers_since_crash: Counter[bytes] = Counter()
        self._survivals_since_crash: Counter[bytes] = Counter()

    def record_crash(self, digests: Collection[bytes]) -> None:
        """Record a crash of a target at which some suspects were in flight."""
        self.restart(digests)
        self._crashes.update(digests)

    def record_answer(self, digest: bytes) -> bool:
        """Record an answer; return whether answers by far outnumber crashes."""
        self._answers[digest] += 1
        needed = COMPLETIONS_PER_ANSWERED_CRASH * self._crashes[digest]
        return self._answers[digest] >= max(needed, MIN_COMPLETIONS_FOR_ANSWERED)

    def is_enough(self, digest: bytes, has_survived: bool) -> bool:
        """Count a completion towards clearing; return whether it clears the suspect.

        Args:
            digest: The suspect's digest.
            has_survived: Whether the target has lived on for a time.
        """
        if not is_part_digest(digest):
            return True
        counts = (
            self._survivals_since_crash if has_survived else self._answers_since_crash
        )
        counts[digest] += 1
        if counts[digest] < min(self._crashes[digest], MAX_COMPLETIONS_TO_CLEAR):
            return False
        del counts[digest]
        return True

    def restart(self, digests: Collection[bytes]) -> None:
        """Count anew towards clearing some suspects."""
        for digest in digests:
            self._answers_since_crash.pop(digest, None)
            self._survivals_since_crash.pop(digest, None)

    def forget(self, digest: bytes) -> None:
        """Forget a suspect whose row was dropped."""
        self.restart((digest,))
        self._answers.pop(digest, None)
        self._crashes.pop(digest, None)


def make_suspect_completions() -> SuspectCompletions:
    """Return the counts of a router that has observed nothing."""
    return SuspectCompletions()
