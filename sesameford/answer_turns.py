"""Bounds what a loop's turn receives of large answers before anybody takes any of it.

A loop that is late finds parts of many answers at once. Each connection passes all that
has arrived of its own, and no reader runs before the last one has done so: together
they may hold more than the process has memory for.
"""

import asyncio
from typing import Protocol

# Four full reads: answers pass at a gigabyte a second if a turn takes a millisecond.
MAX_TURN_BYTES = 1_000_000
# Events of streams are shorter; a thousand of them are less than a turn may receive.
SMALL_READ_BYTES = 1_000


class PausableConnection(Protocol):
    """A connection whose reading can be paused apart from its own flow control."""

    def pause_for_turn(self) -> bool:
        """Read nothing more, and return whether it would have read."""

    def resume_for_turn(self) -> None:
        """Read on, unless there is another reason not to."""


class AnswerTurns:
    """Which connections read in a turn of the loop, and which in a later one."""

    def __init__(self) -> None:
        # In the order in which they were opened.
        self._open: dict[PausableConnection, None] = {}
        # Those that have read a large part in this turn.
        self._served: set[PausableConnection] = set()
        self._received_bytes = 0
        self._is_scheduled = False
        # Those that read in the next turn, and those that read once all others have.
        self._paused: list[PausableConnection] = []
        self._resting: list[PausableConnection] = []

    def add(self, connection: PausableConnection) -> None:
        """Bound an open connection with the others."""
        self._open[connection] = None

    def discard(self, connection: PausableConnection) -> None:
        """Forget a connection that has closed."""
        self._open.pop(connection, None)

    def record_received(
        self, connection: PausableConnection, received_bytes: int
    ) -> None:
        """Record that a connection has received bytes; others may be paused."""
        if received_bytes < SMALL_READ_BYTES:
            return
        was_full = self._is_full
        self._received_bytes += received_bytes
        self._served.add(connection)
        self._schedule()
        if self._is_full and not was_full:
            self._pause_all()

    @property
    def _is_full(self) -> bool:
        """Whether this turn receives nothing more."""
        return self._received_bytes >= MAX_TURN_BYTES

    def _pause_all(self) -> None:
        """Pause all connections; those that were served wait for all others."""
        for connection in self._open:
            if connection.pause_for_turn():
                is_served = connection in self._served
                (self._resting if is_served else self._paused).append(connection)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            # It runs before more is received, as do the readers that have been woken.
            asyncio.get_running_loop().call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._is_scheduled = False
        resumed, self._paused = self._paused, []
        if not self._is_full:
            # All others have read what there was.
            resumed, self._resting = resumed + self._resting, []
        self._received_bytes = 0
        self._served.clear()
        for connection in resumed:
            connection.resume_for_turn()
        if self._resting:
            self._schedule()


def make_answer_turns() -> AnswerTurns:
    """Return the turns of connections of which none is open."""
    return AnswerTurns()
