"""Closes sockets whose dialers may be about to connect, without a crash.

nng aborts the process if a socket is closed while its dialer looks up the address, as
it does at each attempt to connect, for an IP address too. So a socket that is not
connected first stops its attempts, and is closed when the last one has begun. A process
that ends right away leaves it open.
"""

import asyncio
from collections import deque

from pynng import Push0

# The least interval that is longer than any process waits for its sockets.
NO_RECONNECT_MS = 3_600_000
# Longer than the greatest interval between two attempts of a link.
CLOSE_DELAY_SECONDS = 0.4

# Sockets that are left open; a reference less would close them.
left_open: list[Push0] = []


class RetiredSockets:
    """The sockets that make no further attempts to connect and are not closed yet."""

    def __init__(self) -> None:
        self._sockets: deque[tuple[float, Push0]] = deque()

    def __len__(self) -> int:
        return len(self._sockets)

    def add(self, socket: Push0, now_seconds: float) -> None:
        """Close a socket, at once if it is connected."""
        if socket.pipes:
            socket.close()
            return
        for dialer in socket.dialers:
            dialer.reconnect_time_min = NO_RECONNECT_MS
            dialer.reconnect_time_max = NO_RECONNECT_MS
        self._sockets.append((now_seconds + CLOSE_DELAY_SECONDS, socket))

    def close_due(self, now_seconds: float) -> None:
        """Close the sockets whose last attempt to connect has begun."""
        while self._sockets and now_seconds >= self._sockets[0][0]:
            self._sockets.popleft()[1].close()

    def leave_open(self) -> None:
        """Leave the sockets open until the process ends, without its finalizers."""
        left_open.extend(socket for _, socket in self._sockets)
        self._sockets.clear()

    async def close_all(self) -> None:
        """Wait until all sockets can be closed, and close them."""
        if self._sockets:
            await asyncio.sleep(CLOSE_DELAY_SECONDS)
        while self._sockets:
            self._sockets.popleft()[1].close()
