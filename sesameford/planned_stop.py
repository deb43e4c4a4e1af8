"""A planned stop at one instance: asked for by signals or the tree, taken in steps."""

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
    """The steps of a stop as ``stops`` decides them; ``stopped`` is set at the end."""

    def __init__(self) -> None:
        self._state = StopState()
        self._is_drained = False
        self.stopped = asyncio.Event()

    @property
    def step(self) -> StopStep:
        """Return where the stop stands."""
        return self._state.step

    @property
    def request_count(self) -> int:
        """Return how often the stop was asked for."""
        return self._state.request_count

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send new callers."""
        return is_ready(self._state)

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests are still served."""
        return accepts_requests(self._state)

    def request(self, now_seconds: float) -> None:
        """Begin a planned stop; asked again it cuts nothing."""
        self._state = request_stop(self._state, now_seconds)
        logger.info("a stop was asked for", extra={"asked": self._state.request_count})

    def apply_drain_setting(self, is_drained: bool, now_seconds: float) -> bool:
        """Follow the tree; return whether it has just asked for a stop."""
        is_asked = is_drained and not self._is_drained
        if is_asked:
            self.request(now_seconds)
        elif self._is_drained and not is_drained:
            self._state = cancel_stop(self._state)
        self._is_drained = is_drained
        return is_asked

    def advance(
        self, load: StopLoad, balancer_delay_seconds: float, now_seconds: float
    ) -> None:
        """Take the next step where its time has come."""
        before = self._state
        self._state = advance_stop(before, load, balancer_delay_seconds, now_seconds)
        if self._state.step is not before.step:
            logger.info("stop: %s", self._state.step.value, extra=asdict(load))
        if self._state.step is StopStep.STOPPED:
            self.stopped.set()
