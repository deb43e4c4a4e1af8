"""Estimates what is lost of customers' admitted requests, and what it costs engines.

Shares are controlled where requests are admitted, and customers compare what engines
start for them. Whatever ends requests in between may strike customers unequally:
failing engines, callers that leave, deadlines, slow routers. These reasons are not
counted one by one. What was admitted, should have started by now and has not, is lost.

Engines may have worked on lost requests or not. While engines are busy and start less
than they have started before, they spend the difference on lost requests.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

# A customer of which less is started counts as if it were this part.
MIN_STARTED_PART = 0.1
# Expected waits are estimates, so that a smaller difference is not taken for a loss.
FULL_STARTED_PART = 0.92
# Engines that start less than they did may work on requests that are lost. What they
# did is remembered for so long.
PEAK_SECONDS = 20.0
# Engines are busy if prompts wait for this part of the time that they may wait.
BUSY_WAIT_PART = 0.5


@dataclass(frozen=True, slots=True)
class ServedRates:
    """What engines started of a customer's requests, and what was lost, a second.

    ``lost_tokens`` are negative while requests start sooner than expected.
    """

    started_tokens: float = 0.0
    lost_tokens: float = 0.0

    @property
    def started_part(self) -> float:
        """Return the part of the admitted tokens that engines started."""
        admitted_tokens = self.started_tokens + self.lost_tokens
        if admitted_tokens <= 0.0:
            return 1.0
        return min(max(self.started_tokens / admitted_tokens, MIN_STARTED_PART), 1.0)


@dataclass(frozen=True, slots=True)
class LostWork:
    """What is lost of limited customers' requests, and what engines spend on it.

    ``started_parts`` are the parts of their admitted tokens that engines start;
    ``worked_part`` is the part of the lost tokens that engines have worked on.
    """

    started_parts: Mapping[str, float] = field(default_factory=dict)
    worked_part: float = 1.0

    def started_part(self, customer: str) -> float:
        """Return the part of a customer's admitted tokens that engines start."""
        return min(self.started_parts.get(customer, 1.0) / FULL_STARTED_PART, 1.0)

    def work_part(self, customer: str) -> float:
        """Return the part of a customer's admitted tokens that engines work on."""
        started_part = self.started_parts.get(customer, 1.0)
        return started_part + self.worked_part * (1.0 - started_part)


@dataclass(slots=True)
class LostWorkEstimator:
    """What engines have started lately, and what they spend on lost requests."""

    worked_part: float = 1.0
    _peak_started_tokens: float = 0.0
    _updated_at_seconds: float | None = None

    def update(
        self,
        served: Mapping[str, ServedRates],
        handled_tokens: float,
        declared_tokens: float,
        busy_part: float,
        now_seconds: float,
    ) -> float:
        """Update the part of lost tokens that engines have worked on.

        Args:
            served: What is started and lost of each customer.
            handled_tokens: What engines started and failed a second.
            declared_tokens: What they produce a second as declared.
            busy_part: How far engines are busy, from 0 to 1.
            now_seconds: The present time.

        Returns:
            The tokens a second that engines worked on, failed ones included.
        """
        last_seconds, self._updated_at_seconds = self._updated_at_seconds, now_seconds
        since_seconds = 0.0 if last_seconds is None else now_seconds - last_seconds
        started_tokens = sum(one.started_tokens for one in served.values())
        lost_tokens = sum(max(one.lost_tokens, 0.0) for one in served.values())
        busy_tokens = started_tokens + self.worked_part * lost_tokens
        self._update_peak(started_tokens, busy_tokens, since_seconds)
        if lost_tokens > 0.0:
            peak_tokens = max(self._peak_started_tokens, declared_tokens)
            spent_tokens = max(peak_tokens - started_tokens, 0.0)
            self.worked_part = busy_part * min(spent_tokens / lost_tokens, 1.0)
        failed_tokens = max(handled_tokens - started_tokens, 0.0)
        return started_tokens + self.worked_part * failed_tokens

    def _update_peak(
        self, started_tokens: float, busy_tokens: float, since_seconds: float
    ) -> None:
        """Forget what engines started, but not while lost requests keep them busy."""
        remaining_part = max(1.0 - since_seconds / PEAK_SECONDS, 0.0)
        self._peak_started_tokens = max(
            remaining_part * self._peak_started_tokens,
            min(busy_tokens, self._peak_started_tokens),
            started_tokens,
        )

    def lost_work(
        self, served: Mapping[str, ServedRates], limited: Iterable[str]
    ) -> LostWork:
        """Return what is lost of the limited customers' requests.

        While hardly anything is started of the usual one, nothing can be compared.

        Args:
            served: What is started and lost of each customer.
            limited: The customers that don't get all that they request.
        """
        started_parts = {
            customer: served[customer].started_part
            for customer in limited
            if customer in served
        }
        if not started_parts or median(started_parts.values()) <= MIN_STARTED_PART:
            return LostWork()
        return LostWork(started_parts, self.worked_part)


def estimate_busy_part(wait_seconds: float, wait_setpoint_seconds: float) -> float:
    """Return how far engines are busy, from 0 to 1, by the average wait of prompts."""
    busy_wait_seconds = BUSY_WAIT_PART * wait_setpoint_seconds
    if busy_wait_seconds <= 0.0:
        return 1.0
    return min(wait_seconds / busy_wait_seconds, 1.0)


def make_lost_work_estimator() -> LostWorkEstimator:
    """Return an estimator that has seen no service yet."""
    return LostWorkEstimator()
