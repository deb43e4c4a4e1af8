"""What arrives on a connection of a peer: a greeting, then messages with their lengths.

This is the receiver's side of the messaging library's protocol for TCP. The library
itself reads a whole message before anybody can check who sent it, and its bound on
messages is the same with and without the deployment's key.
"""

from collections.abc import Iterator
from struct import Struct

from sesameford.errors import PeerError

SENDER_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
RECEIVER_GREETING = b"\x00SP\x00\x00\x51\x00\x00"
_LENGTH = Struct(">Q")


class LinkFraming:
    """The bytes of one connection that are no whole message yet.

    Args:
        max_message_bytes: The most that a message may have; it may be raised.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.has_greeted = False
        self._buffer = bytearray()

    def receive(self, received: bytes) -> Iterator[bytes]:
        """Add what has arrived, and return the messages that are whole now.

        Args:
            received: The next bytes of the connection.

        Raises:
            PeerError: They are no greeting, or of a message that is too long.
        """
        self._buffer += received
        if not self.has_greeted:
            self._read_greeting()
        while self.has_greeted and (message := self._next_message()) is not None:
            yield message

    def _read_greeting(self) -> None:
        greeting = bytes(self._buffer[: len(SENDER_GREETING)])
        if not SENDER_GREETING.startswith(greeting):
            raise PeerError("refused a connection that does not greet as a sender")
        if greeting == SENDER_GREETING:
            self.has_greeted = True
            del self._buffer[: len(SENDER_GREETING)]

    def _next_message(self) -> bytes | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        (length_bytes,) = _LENGTH.unpack_from(self._buffer)
        if length_bytes > self.max_message_bytes:
            raise PeerError(f"refused a message of {length_bytes} bytes")
        end = _LENGTH.size + length_bytes
        if len(self._buffer) < end:
            return None
        message = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return message


def make_link_framing(max_message_bytes: int) -> LinkFraming:
    """Return the framing of a new connection.

    Args:
        max_message_bytes: The most that a message may have.
    """
    return LinkFraming(max_message_bytes)
