"""A planned stop of one instance, requested by a signal or by the tree."""

import asyncio
import logging
from dataclasses import asdict

from sesameford.stops import (
    StopLoad,
    StopState,
    StopStep,
    accepts_requests,
    advance_stop,
    cancel_stop,
    is_ready,
    request_stop,
)

logger = logging.getLogger(__name__)


class PlannedStop:
    """Holds the state of a stop, see ``stops``; ``stopped`` is set at its end."""

    def __init__(self) -> None:
        self._state = StopState()
        self._is_drained = False
        self.stopped = asyncio.Event()

    @property
    def step(self) -> StopStep:
        """Return the current step of the stop."""
        return self._state.step

    @property
    def request_count(self) -> int:
        """Return how often the stop was requested."""
        return self._state.request_count

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers."""
        return is_ready(self._state)

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests are still served."""
        return accepts_requests(self._state)

    def request(self, now_seconds: float) -> None:
        """Start a planned stop; a repeated request aborts no running work."""
        self._state = request_stop(self._state, now_seconds)
        logger.info("a stop was asked for", extra={"asked": self._state.request_count})

    def apply_drain_setting(self, is_drained: bool, now_seconds: float) -> bool:
        """Apply the drain setting of the tree; return whether it starts a drain now."""
        starts_drain = is_drained and not self._is_drained
        if starts_drain:
            self.request(now_seconds)
        elif self._is_drained and not is_drained:
            self._state = cancel_stop(self._state)
        self._is_drained = is_drained
        return starts_drain

    def advance(
        self, load: StopLoad, balancer_delay_seconds: float, now_seconds: float
    ) -> None:
        """Go to the next step once its condition holds."""
        before = self._state
        self._state = advance_stop(before, load, balancer_delay_seconds, now_seconds)
        if self._state.step is not before.step:
            logger.info("stop: %s", self._state.step.value, extra=asdict(load))
        if self._state.step is StopStep.STOPPED:
            self.stopped.set()
