"""How late the loop is, as a measure of how long a caller may have waited unread."""

from dataclasses import dataclass

# A new caller is accepted, its connection opened, its request read and handled, each in
# another turn of the loop; so a turn that is late by this makes it wait four times as
# long, which is more than half of the shortest usual objectives.
MOST_LAG_SECONDS = 0.05
# What is left of a turn's lateness at the next one: a loop that was late and has caught
# up is trusted again after two or three turns.
KEPT_PART = 0.5


@dataclass(slots=True)
class LoopLag:
    """How late a system that runs regularly was, and when it should run next."""

    due_at_seconds: float = float("inf")
    late_seconds: float = 0.0
    _longest_seconds: float = 0.0

    def ran(self, every_seconds: float, now_seconds: float) -> None:
        """Note that the system runs now, and again after so long."""
        late_seconds = max(now_seconds - self.due_at_seconds, 0.0)
        self.late_seconds = max(late_seconds, KEPT_PART * self.late_seconds)
        self._longest_seconds = max(late_seconds, self._longest_seconds)
        self.due_at_seconds = now_seconds + every_seconds

    def is_too_late(self, now_seconds: float) -> bool:
        """Return whether new calls are better served by other instances.

        A flood at one instance keeps its loop busy. Requests then lie unread until
        their callers give up, and a request that is passed on afterwards makes a
        target work for nobody, while the loop falls behind further.
        """
        return self.lateness_seconds(now_seconds) > MOST_LAG_SECONDS

    def take_longest_seconds(self) -> float:
        """Return the longest lateness of a turn since this was asked last."""
        longest_seconds, self._longest_seconds = self._longest_seconds, 0.0
        return longest_seconds

    def lateness_seconds(self, now_seconds: float) -> float:
        """Return by how much the loop is late, or was of late."""
        return max(now_seconds - self.due_at_seconds, self.late_seconds)


def make_loop_lag() -> LoopLag:
    """Return a measure that says nothing until the system has run once."""
    return LoopLag()
