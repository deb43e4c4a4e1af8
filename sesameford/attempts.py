"""A router's running attempts: what was charged, and how fast they start."""

from dataclasses import dataclass

from sesameford.accounts import Account
from sesameford.limits import STEADY_COUNT_HALF_LIVES
from sesameford.tables import Attempt, Request

_START_COUNT_HALF_LIFE_SECONDS = 10.0
_MAX_RETRY_AFTER_SECONDS = 60.0
_MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(slots=True)
class RunningAttempt:
    """A running attempt and what was charged for it so far."""

    attempt: Attempt
    request: Request
    account: Account
    charged_cost_units: float


@dataclass(slots=True)
class _StartCount:
    """An exponentially decaying count of a customer's started attempts."""

    count: float = 0.0
    at_seconds: float = 0.0

    def decayed(self, now_seconds: float) -> float:
        """Return the count decayed to the given time."""
        return self.count * 0.5 ** (
            (now_seconds - self.at_seconds) / _START_COUNT_HALF_LIFE_SECONDS
        )


class Attempts:
    """The running attempts; ``by_target`` counts them by target id."""

    def __init__(self) -> None:
        self.by_target: dict[str, int] = {}
        self._rows: dict[str, RunningAttempt] = {}
        self._starts: dict[str, _StartCount] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, attempt_id: str) -> RunningAttempt | None:
        """Return a running attempt, or None."""
        return self._rows.get(attempt_id)

    def start(self, row: RunningAttempt, now_seconds: float) -> None:
        """Add an attempt that starts, and count the start for its customer."""
        target_id = row.attempt.target_id
        self._rows[row.attempt.attempt_id] = row
        self.by_target[target_id] = self.by_target.get(target_id, 0) + 1
        starts = self._starts.setdefault(row.account[1], _StartCount())
        starts.count = starts.decayed(now_seconds) + 1.0
        starts.at_seconds = now_seconds

    def end(self, attempt_id: str) -> RunningAttempt | None:
        """Remove and return a running attempt, or None if it has ended already."""
        row = self._rows.pop(attempt_id, None)
        if row is None:
            return None
        target_id = row.attempt.target_id
        remaining = self.by_target[target_id] - 1
        if remaining:
            self.by_target[target_id] = remaining
        else:
            del self.by_target[target_id]
        return row

    def retry_after_seconds(self, customer_id: str, now_seconds: float) -> float:
        """Return in how many seconds a customer's full queue likely has capacity.

        Each start frees one entry of the queue, so this is the mean time between
        two starts.
        """
        starts = self._starts.get(customer_id)
        count = starts.decayed(now_seconds) if starts else 0.0
        seconds = (
            STEADY_COUNT_HALF_LIVES * _START_COUNT_HALF_LIFE_SECONDS / count
            if count > 0.0
            else _START_COUNT_HALF_LIFE_SECONDS
        )
        return min(max(seconds, _MIN_RETRY_AFTER_SECONDS), _MAX_RETRY_AFTER_SECONDS)
