"""Whose turn it is once there is room: connections that wait for others to be evicted.

If each of them looked for itself every few milliseconds, a crowd of some thousand would
take all of the loop's time, and nobody would get an answer.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Evicted ones free what they hold within a few turns of the loop.
RETRY_SECONDS = 0.01
# So many of those that wait may find no room before the others are asked later.
MAX_REFUSED_PER_RETRY = 8

# Goes on with a connection; returns whether there was room for that.
GoOn = Callable[[], bool]


class RoomQueue:
    """The connections that wait for room, in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: deque[GoOn] = deque()
        self._is_scheduled = False

    def wait(self, go_on: GoOn) -> None:
        """Call a function once there may be room, after all that wait already."""
        self._waiting.append(go_on)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._is_scheduled = False
        refused = 0
        try:
            for _ in range(len(self._waiting)):
                if refused == MAX_REFUSED_PER_RETRY:
                    break
                refused += not self._waiting.popleft()()
        finally:
            # An error at one connection would else hold up all the others for good.
            if self._waiting:
                self._schedule()


def make_room_queue() -> RoomQueue:
    """Return the queue of a process with room for all."""
    return RoomQueue()
