"""Detection of targets that fail a part of their requests, over all routers.

A target may fail half of its requests immediately while its heartbeats are normal. It
then looks idle, since failed requests are over, and gets more than other targets. One
router sends too few requests to one target to notice: it sees failures there seconds
apart. So routers report how their requests ended, and replicas sum that and send back
which targets fail. The sign of such a target are ``sending failed`` lines of many
instances.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameford.load_messages import FailingTarget, TargetOutcomes

# Outcomes lose two thirds of their weight in this time: long enough for some tens of
# requests at a target, but shorter than targets usually fail in part.
DECAY_SECONDS = 1.5
# Answered requests that are assumed in addition to the counted ones, since one failure
# alone shows little.
ASSUMED_ANSWERS = 3.0
# Healthy targets show smaller parts by chance.
MIN_FAILED_PART = 0.05
# Counts of a lower weight are deleted.
MIN_WEIGHT = 0.05
PART_DIGITS = 2


@dataclass(slots=True)
class _OutcomeCounts:
    """Request outcomes of one target; older ones have less weight."""

    answered: float = 0.0
    failed: float = 0.0


class TargetOutcomeTable:
    """The outcomes at all targets that were reported to one replica."""

    def __init__(self) -> None:
        self._counts: dict[int, _OutcomeCounts] = {}
        self._decayed_at_seconds = 0.0

    def record_outcomes(self, rows: Iterable[TargetOutcomes]) -> None:
        """Add reported outcomes."""
        for row in rows:
            counts = self._counts.setdefault(row.name, _OutcomeCounts())
            counts.answered += row.answered
            counts.failed += row.failed

    def failing_targets(self, now_seconds: float) -> tuple[FailingTarget, ...]:
        """Return the targets that fail a part of their requests."""
        self._decay(now_seconds)
        parts = {
            name: counts.failed / (counts.answered + counts.failed + ASSUMED_ANSWERS)
            for name, counts in self._counts.items()
            if counts.failed
        }
        return tuple(
            FailingTarget(name, round(part, PART_DIGITS))
            for name, part in parts.items()
            if part >= MIN_FAILED_PART
        )

    def _decay(self, now_seconds: float) -> None:
        """Reduce the weight of counts by the time since the last call."""
        since_seconds = now_seconds - self._decayed_at_seconds
        self._decayed_at_seconds = now_seconds
        remaining_part = max(1.0 - since_seconds / DECAY_SECONDS, 0.0)
        for name, counts in list(self._counts.items()):
            counts.answered *= remaining_part
            counts.failed *= remaining_part
            if counts.answered + counts.failed < MIN_WEIGHT:
                del self._counts[name]


def make_target_outcome_table() -> TargetOutcomeTable:
    """Return a table of no outcomes."""
    return TargetOutcomeTable()
