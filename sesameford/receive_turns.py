"""Bounds what a loop's turn spends on requests that take long to parse.

A body in chunks of one byte takes a hundred times as long to parse as one in large
chunks, and a head of many short fields as long as twenty usual ones. If a turn parsed
all that has arrived from a crowd of such clients, it would last for seconds, and other
callers would get no answer. So a turn parses a part, and the connections take turns.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Some milliseconds of parsing, where each chunk has one byte.
MAX_TURN_BYTES = 16_384


class ReceiveTurns:
    """Which connections go on parsing in the next turn of the loop."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._spent_bytes = 0
        self._is_scheduled = False

    def may_parse(self) -> bool:
        """Return whether this turn has time to parse more."""
        return self._spent_bytes < MAX_TURN_BYTES

    def record_parsed(self, parsed_bytes: int) -> None:
        """Record that bytes were parsed in this turn."""
        self._spent_bytes += parsed_bytes
        self._schedule()

    def wait(self, go_on: Callable[[], None]) -> None:
        """Call a function in a later turn, after all that wait already."""
        self._waiting.append(go_on)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._is_scheduled = False
        self._spent_bytes = 0
        try:
            # Those that wait again meanwhile get their next part in a later round.
            for _ in range(len(self._waiting)):
                if not self.may_parse():
                    break
                self._waiting.popleft()()
        finally:
            # An error at one connection would else hold up all the others for good.
            if self._waiting:
                self._schedule()


def make_receive_turns() -> ReceiveTurns:
    """Return the turns of a loop on which nobody waits."""
    return ReceiveTurns()
