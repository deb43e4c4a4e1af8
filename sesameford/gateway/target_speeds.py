"""The speed of each target beside others of its service, over all routers.

The load: the targets of one service differ in speed by a factor of two or more, and
nobody states it. One router sends to one of them every few seconds, so its own
observations are too few: it gives slow and fast targets the same work, and calls at the
slow ones come late while the fast ones idle. The sign are ``answered`` lines whose
first event is later than expected, always at the same targets.

So routers report how long their requests should have taken at a usual target and how
long they took, and replicas sum that and send back the quotient. A router divides it by
the median of the service. Only requests that found nothing ahead count, and those that
took long count little: they waited for requests of other routers, and a full target
must not look slow.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from sesameford.load_messages import TargetSpeed, TargetTimes

# Times lose two thirds of their weight in so many seconds: some tens of requests at a
# target. A target that recovers is noticed within two or three seconds, and spells of
# some hundred milliseconds average out.
DECAY_SECONDS = 3.0
# The weight of the usual speed, in seconds of work.
USUAL_SPEED_WEIGHT_SECONDS = 1.0
# Speeds that differ less from the usual one change no decision: targets that are alike
# differ so much by chance.
MIN_DIFFERENCE = 0.3
# Bounds of a speed, whatever routers report.
MIN_SPEED = 0.2
MAX_SPEED = 5.0
SPEED_DIGITS = 2
# Times of a lower sum are deleted.
MIN_WEIGHT_SECONDS = 1e-3
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class WorkTimes:
    """How long work at one target should have taken and took, in seconds."""

    expected_seconds: float = 0.0
    took_seconds: float = 0.0

    def add(self, expected_seconds: float, took_seconds: float) -> None:
        """Add the times of one request."""
        self.expected_seconds += expected_seconds
        self.took_seconds += took_seconds

    def flush(self, name: int) -> TargetTimes | None:
        """Return the sums for a report and reset them; None if there are none.

        Args:
            name: The short name of the target.
        """
        if not self.took_seconds:
            return None
        row = TargetTimes(
            name,
            round(self.expected_seconds * MILLISECONDS_PER_SECOND),
            round(self.took_seconds * MILLISECONDS_PER_SECOND),
        )
        self.expected_seconds = self.took_seconds = 0.0
        return row


class TargetSpeedTable:
    """The times of all targets that were reported to one replica."""

    def __init__(self) -> None:
        self._times: dict[int, WorkTimes] = {}
        self._decayed_at_seconds = 0.0

    def record_times(self, rows: Iterable[TargetTimes]) -> None:
        """Add reported times."""
        for row in rows:
            self._times.setdefault(row.name, WorkTimes()).add(
                max(row.expected_milliseconds, 0) / MILLISECONDS_PER_SECOND,
                max(row.took_milliseconds, 0) / MILLISECONDS_PER_SECOND,
            )

    def speeds(self, now_seconds: float) -> tuple[TargetSpeed, ...]:
        """Return the speed of each target as reported times show it."""
        self._decay(now_seconds)
        return tuple(
            TargetSpeed(name, round(_speed(times), SPEED_DIGITS))
            for name, times in self._times.items()
        )

    def _decay(self, now_seconds: float) -> None:
        """Reduce the weight of times by the time since the last call."""
        since_seconds = max(now_seconds - self._decayed_at_seconds, 0.0)
        self._decayed_at_seconds = now_seconds
        remaining_part = max(1.0 - since_seconds / DECAY_SECONDS, 0.0)
        for name, times in list(self._times.items()):
            times.expected_seconds *= remaining_part
            times.took_seconds *= remaining_part
            if times.expected_seconds + times.took_seconds < MIN_WEIGHT_SECONDS:
                del self._times[name]


def _speed(times: WorkTimes) -> float:
    expected_seconds = times.expected_seconds + USUAL_SPEED_WEIGHT_SECONDS
    took_seconds = times.took_seconds + USUAL_SPEED_WEIGHT_SECONDS
    return min(max(expected_seconds / took_seconds, MIN_SPEED), MAX_SPEED)


def relative_speeds(speeds: Mapping[str, float]) -> dict[str, float]:
    """Return the speeds of the targets of one service beside their median.

    Args:
        speeds: The reported speed by target.

    Returns:
        The targets whose speed differs from the usual one.
    """
    if not speeds:
        return {}
    usual_speed = median(speeds.values())
    relative = {target: speed / usual_speed for target, speed in speeds.items()}
    return {
        target: min(max(speed, MIN_SPEED), MAX_SPEED)
        for target, speed in relative.items()
        if abs(speed - 1.0) >= MIN_DIFFERENCE
    }


def make_target_speed_table() -> TargetSpeedTable:
    """Return a table of no times."""
    return TargetSpeedTable()
