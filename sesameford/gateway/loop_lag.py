"""Lateness of the event loop, a measure of how long calls may have lain unread."""

from dataclasses import dataclass

# Accepting a new connection, opening it, reading the request and handling it each take
# another turn of the loop. A turn that is late by this delays a new caller by four
# times as much, which is more than half of the shortest usual objectives.
MAX_LAG_SECONDS = 0.05
# A request to a target is connected, written, its answer read and handled in a turn of
# the loop each.
EXCHANGE_TURNS = 4.0
# A loop that is late by this may leave messages of peers unread for half a second and
# more, as reading one takes some turns.
STALL_SECONDS = 0.15
# The part of a turn's lateness that remains at the next one: a loop that has caught up
# counts as punctual again after two or three turns.
REMAINING_LAG_PART = 0.5


@dataclass(slots=True)
class LoopLag:
    """How late a periodic task runs; ``due_at_seconds`` is its next time."""

    due_at_seconds: float = float("inf")
    late_seconds: float = 0.0
    _longest_seconds: float = 0.0
    _last_lagging_at_seconds: float = float("-inf")
    _last_stalled_at_seconds: float = float("-inf")

    def record_run(self, every_seconds: float, now_seconds: float) -> None:
        """Record that the task runs now.

        Args:
            every_seconds: The time until it is due again.
            now_seconds: The present time.
        """
        late_seconds = max(now_seconds - self.due_at_seconds, 0.0)
        self.late_seconds = max(late_seconds, REMAINING_LAG_PART * self.late_seconds)
        self._longest_seconds = max(late_seconds, self._longest_seconds)
        if late_seconds > MAX_LAG_SECONDS:
            self._last_lagging_at_seconds = now_seconds
        if late_seconds > STALL_SECONDS:
            self._last_stalled_at_seconds = now_seconds
        self.due_at_seconds = now_seconds + every_seconds

    def is_lagging(self, now_seconds: float) -> bool:
        """Return whether the loop is so late that other instances should serve calls.

        A burst of calls at one instance keeps its loop busy. Requests then lie unread
        until their callers give up. Forwarding such a request makes a target work
        for a caller that has left, while the loop falls behind further.
        """
        return self.lateness_seconds(now_seconds) > MAX_LAG_SECONDS

    def was_lagging_since(self, since_seconds: float, now_seconds: float) -> bool:
        """Return whether the loop was so late at any time from then to now.

        What a router measured in that time is its own lateness as well as that of
        targets.
        """
        return self._last_lagging_at_seconds >= since_seconds or self.is_lagging(
            now_seconds
        )

    def was_stalled_since(self, since_seconds: float, now_seconds: float) -> bool:
        """Return whether messages may have lain unread for long since a time."""
        return (
            self._last_stalled_at_seconds >= since_seconds
            or self.lateness_seconds(now_seconds) > STALL_SECONDS
        )

    def unseen_seconds(self, now_seconds: float) -> float:
        """Return by how much later than it should a target's answer may be seen."""
        return EXCHANGE_TURNS * self.lateness_seconds(now_seconds)

    def pop_longest_seconds(self) -> float:
        """Return the longest lateness of a turn since the last call of this method."""
        longest_seconds, self._longest_seconds = self._longest_seconds, 0.0
        return longest_seconds

    def lateness_seconds(self, now_seconds: float) -> float:
        """Return by how much the loop is late now or was in recent turns."""
        return max(now_seconds - self.due_at_seconds, self.late_seconds)


def make_loop_lag() -> LoopLag:
    """Return a measure that reports no lateness until the task has run once."""
    return LoopLag()
