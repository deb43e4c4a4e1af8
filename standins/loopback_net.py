"""Networks of the loopback device, each for one deployment at a time.

Tests, soaks and demos run beside each other, also in several processes. Two deployments
on the same addresses would mix: each would send its calls to the other's programs.
"""

import socket
from itertools import chain

FIRST_NET = 2
LAST_NET = 254
MARKER_HOST = 250
MARKER_PORT = 7_399


class LoopbackNet:
    """A network 127.N that nobody else has until it is given back."""

    def __init__(self, number: int, marker: socket.socket) -> None:
        self.number = number
        self._marker = marker

    def give_back(self) -> None:
        """Let others have the network."""
        self._marker.close()


def reserve_net(preferred: int) -> LoopbackNet:
    """Return a network that nobody else has, the preferred one if it is free.

    Args:
        preferred: Its number, 2 to 254.

    Raises:
        OSError: All are in use.
    """
    numbers = chain(range(preferred, LAST_NET + 1), range(FIRST_NET, preferred))
    for number in numbers:
        marker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            marker.bind((f"127.{number}.0.{MARKER_HOST}", MARKER_PORT))
        except OSError:
            # Another deployment has it.
            marker.close()
            continue
        return LoopbackNet(number, marker)
    raise OSError("all networks of the loopback device are in use")
