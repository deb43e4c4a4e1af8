"""Attempts under way from a router: what was charged, and how fast they start."""

from dataclasses import dataclass

from sesameford.accounts import Account
from sesameford.tables import Attempt, Request

_RATE_SECONDS = 10.0
_LONGEST_RETRY_SECONDS = 60.0
_SHORTEST_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class RunningAttempt:
    """An attempt under way and what was charged for it so far."""

    attempt: Attempt
    request: Request
    account: Account
    charged_cost_units: float


@dataclass(slots=True)
class _Starts:
    """A decaying count of a customer's starts."""

    count: float = 0.0
    at_seconds: float = 0.0

    def decayed(self, now_seconds: float) -> float:
        """Return the count as it weighs now."""
        return self.count * 0.5 ** ((now_seconds - self.at_seconds) / _RATE_SECONDS)


class Attempts:
    """The running attempts; ``by_target`` counts them."""

    def __init__(self) -> None:
        self.by_target: dict[str, int] = {}
        self._rows: dict[str, RunningAttempt] = {}
        self._starts: dict[str, _Starts] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, attempt_id: str) -> RunningAttempt | None:
        """Return a running attempt, or None."""
        return self._rows.get(attempt_id)

    def start(self, row: RunningAttempt, now_seconds: float) -> None:
        """Count an attempt that starts."""
        target_id = row.attempt.target_id
        self._rows[row.attempt.attempt_id] = row
        self.by_target[target_id] = self.by_target.get(target_id, 0) + 1
        starts = self._starts.setdefault(row.account[1], _Starts())
        starts.count = starts.decayed(now_seconds) + 1.0
        starts.at_seconds = now_seconds

    def end(self, attempt_id: str) -> RunningAttempt | None:
        """Take a running attempt out; None if it is over already."""
        row = self._rows.pop(attempt_id, None)
        if row is None:
            return None
        target_id = row.attempt.target_id
        left = self.by_target[target_id] - 1
        if left:
            self.by_target[target_id] = left
        else:
            del self.by_target[target_id]
        return row

    def retry_after_seconds(self, customer_id: str, now_seconds: float) -> float:
        """Return when one more place in a customer's full queue is likely free.

        A place becomes free with each start, so it is the time between two.
        """
        starts = self._starts.get(customer_id)
        count = starts.decayed(now_seconds) if starts else 0.0
        # The weight of an endless steady rate is that rate times 1.44 half-lives.
        seconds = 1.44 * _RATE_SECONDS / count if count > 0.0 else _RATE_SECONDS
        return min(max(seconds, _SHORTEST_RETRY_SECONDS), _LONGEST_RETRY_SECONDS)
