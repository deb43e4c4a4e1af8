"""Which targets fail part of what they are sent, as all routers together see it.

A target may fail half of its requests at once while its heartbeats are sound. It then
looks idle, since what failed is over, and gets more than the others. Each router sees
too few requests at each target to notice: a target's failures come seconds apart there.
So routers report how their requests ended, replicas add that up, and send back which
targets fail. One notices such a target in lines ``sending failed`` of many instances.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameford.load_messages import FailingTarget, TargetOutcomes

# Outcomes lose two thirds of their weight in this time: long enough for some tens of
# requests at a target, and short beside the seconds for which targets fail in part.
REMEMBERED_SECONDS = 1.5
# As if so many requests had been answered well beside those that were seen. One failure
# alone says little.
ASSUMED_ANSWERS = 3.0
# Less than this part is within what sound targets show by chance.
LEAST_FAILED_PART = 0.05
# What weighs less is forgotten.
LEAST_WEIGHT = 0.05
PART_DIGITS = 2


@dataclass(slots=True)
class _Seen:
    """Requests of one target, older ones counted for less."""

    answered: float = 0.0
    failed: float = 0.0


class TargetOutcomeTable:
    """The outcomes at all targets that are known at one replica."""

    def __init__(self) -> None:
        self._seen: dict[int, _Seen] = {}
        self._settled_at_seconds = 0.0

    def add(self, rows: Iterable[TargetOutcomes]) -> None:
        """Count what was reported."""
        for row in rows:
            seen = self._seen.setdefault(row.name, _Seen())
            seen.answered += row.answered
            seen.failed += row.failed

    def failing(self, now_seconds: float) -> tuple[FailingTarget, ...]:
        """Return the targets that fail part of what they are sent."""
        self._settle(now_seconds)
        parts = {
            name: seen.failed / (seen.answered + seen.failed + ASSUMED_ANSWERS)
            for name, seen in self._seen.items()
            if seen.failed
        }
        return tuple(
            FailingTarget(name, round(part, PART_DIGITS))
            for name, part in parts.items()
            if part >= LEAST_FAILED_PART
        )

    def _settle(self, now_seconds: float) -> None:
        """Let what was counted weigh less."""
        since_seconds = now_seconds - self._settled_at_seconds
        self._settled_at_seconds = now_seconds
        kept_part = max(1.0 - since_seconds / REMEMBERED_SECONDS, 0.0)
        for name, seen in list(self._seen.items()):
            seen.answered *= kept_part
            seen.failed *= kept_part
            if seen.answered + seen.failed < LEAST_WEIGHT:
                del self._seen[name]


def make_target_outcome_table() -> TargetOutcomeTable:
    """Return a table of no outcomes."""
    return TargetOutcomeTable()
