"""Which part of a plain service's requests is rejected so that its queues stay short.

The rejected part follows the delay as proportional integral controllers of queues do:
it rises while answers take longer than they should and while they take longer and
longer. It finds the part that is too much, whatever the load, where a part that depends
on the delay alone swings between none and all at routers that hear of each other late.
"""

from dataclasses import dataclass

# The part is worked out once in so long, about as often as routers hear of each other.
UPDATE_SECONDS = 0.05
# What an answer should take at most on average, as a part of its objective, but not
# less than so many times its work: a service that is idle rejects nobody, however long
# its work takes.
DELAY_PART = 0.6
LEAST_WORKS = 1.5
# How much the part rises in one update for each objective that answers take too long,
# and for each objective that they take longer than at the update before.
INTEGRAL_GAIN = 0.15
PROPORTIONAL_GAIN = 0.3
# What is left of the part in one update while nothing waits.
IDLE_KEPT_PART = 0.9
# Some must be let in for anybody to see that the queue has gone.
MOST_PART = 0.98


@dataclass(slots=True)
class QueueLimit:
    """The rejected part of one service's requests at one router."""

    rejected_part: float = 0.0
    _before_objectives: float = 0.0
    _next_seconds: float = 0.0

    def update(
        self,
        takes_seconds: float,
        work_seconds: float,
        objective_seconds: float,
        now_seconds: float,
    ) -> float:
        """Bring the rejected part up to date where that is due, and return it.

        Args:
            takes_seconds: How long an answer takes at present.
            work_seconds: How long it takes where nothing waits for its turn.
            objective_seconds: How long it may take.
            now_seconds: The present time.
        """
        if now_seconds < self._next_seconds:
            return self.rejected_part
        self._next_seconds = now_seconds + UPDATE_SECONDS
        objectives = takes_seconds / objective_seconds
        wanted = max(DELAY_PART, LEAST_WORKS * work_seconds / objective_seconds)
        change = INTEGRAL_GAIN * (objectives - wanted)
        change += PROPORTIONAL_GAIN * (objectives - self._before_objectives)
        self._before_objectives = objectives
        if takes_seconds <= work_seconds:
            self.rejected_part *= IDLE_KEPT_PART
        else:
            part = self.rejected_part + change
            self.rejected_part = min(max(part, 0.0), MOST_PART)
        return self.rejected_part


def make_queue_limit() -> QueueLimit:
    """Return the limit of a service at which nothing waits yet."""
    return QueueLimit()
