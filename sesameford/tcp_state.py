"""What the kernel reports about a TCP connection."""

import asyncio
import socket
from array import array
from fcntl import ioctl
from termios import TIOCOUTQ

# The states of a connection, in the first byte of the kernel's TCP_INFO.
TCP_ESTABLISHED = 1
TCP_CLOSE = 7


def read_state(transport: asyncio.BaseTransport) -> int:
    """Return the state of a transport's connection.

    Raises:
        OSError: The kernel doesn't report it.
    """
    connection = transport.get_extra_info("socket")
    return int(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])


def count_unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel holds that the peer's has not acknowledged.

    Raises:
        OSError: The kernel doesn't report it.
    """
    counted = array("i", [0])
    ioctl(transport.get_extra_info("socket").fileno(), TIOCOUTQ, counted)
    return counted[0]
