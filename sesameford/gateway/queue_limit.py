"""The part of a plain service's requests that is refused to keep its queues short.

A proportional-integral controller sets the part: it rises while answers take longer
than they should and while their delay grows. It finds the excess at any load, where a
part computed from the delay alone swings between none and all, since routers learn of
each other's load late.
"""

from dataclasses import dataclass

# The period of updates, about that of the routers' load reports.
UPDATE_SECONDS = 0.05
# The delay that the controller aims at, as a part of the objective, but at least so
# many times the work of an answer: an idle service refuses nothing, however long its
# work takes.
DELAY_PART = 0.6
MIN_DELAY_WORKS = 1.5
# By how much the part rises in one update for each objective of excess delay, and for
# each objective by which the delay grew since the update before.
INTEGRAL_GAIN = 0.15
PROPORTIONAL_GAIN = 0.3
# The factor of the part in each update while nothing waits.
IDLE_DECAY_FACTOR = 0.9
# Some requests must be admitted to notice that the queue has gone.
MAX_REFUSED_PART = 0.98


@dataclass(slots=True)
class QueueLimit:
    """The refused part of one service's requests at one router."""

    refused_part: float = 0.0
    _previous_objectives: float = 0.0
    _next_update_seconds: float = 0.0

    def update(
        self,
        takes_seconds: float,
        work_seconds: float,
        objective_seconds: float,
        now_seconds: float,
    ) -> float:
        """Update the refused part if that is due, and return it.

        Args:
            takes_seconds: How long an answer takes at present.
            work_seconds: How long it takes without queueing.
            objective_seconds: How long it may take.
            now_seconds: The present time.
        """
        if now_seconds < self._next_update_seconds:
            return self.refused_part
        self._next_update_seconds = now_seconds + UPDATE_SECONDS
        objectives = takes_seconds / objective_seconds
        setpoint = max(DELAY_PART, MIN_DELAY_WORKS * work_seconds / objective_seconds)
        change = INTEGRAL_GAIN * (objectives - setpoint)
        change += PROPORTIONAL_GAIN * (objectives - self._previous_objectives)
        self._previous_objectives = objectives
        if takes_seconds <= work_seconds:
            self.refused_part *= IDLE_DECAY_FACTOR
        else:
            part = self.refused_part + change
            self.refused_part = min(max(part, 0.0), MAX_REFUSED_PART)
        return self.refused_part


def make_queue_limit() -> QueueLimit:
    """Return the limit of a service without a queue."""
    return QueueLimit()
