"""Bytes of requests that were received and not parsed yet.

The HTTP library keeps a head that isn't ended as parsed fields, which take a hundred
times their bytes, and what follows a body as the next head. So it is given a head only
as a whole, and a body only to its end; what has come of the next one waits here.
"""

import re

_HEAD_END = re.compile(rb"\n\r?\n")
_EMPTY_LINES = b"\r\n"
# A chunked body ends with an empty line, be it that of the last chunk or of trailers.
_BODY_END = b"\r\n\r\n"
_MAX_END_BYTES = 3


class RequestBuffer:
    """What has come of requests: heads that aren't ended, and parts of bodies."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched_bytes = 0
        # The end of what was taken of a chunked body.
        self._taken_tail = b""

    def __len__(self) -> int:
        """Return how many bytes wait."""
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def strip_empty_lines(self) -> int:
        """Remove the empty lines before a head; return how many bytes they had."""
        if self._data[:1] not in (b"\r", b"\n"):
            return 0
        stripped_bytes = len(self._data) - len(self._data.lstrip(_EMPTY_LINES))
        del self._data[:stripped_bytes]
        return stripped_bytes

    def find_head_end(self) -> int:
        """Return the length of the head with which the buffer begins, or 0."""
        match = _HEAD_END.search(self._data, self._searched_bytes)
        if match is not None:
            return match.end()
        self._searched_bytes = max(len(self._data) - _MAX_END_BYTES, 0)
        return 0

    def peek(self, max_bytes: int) -> bytes:
        """Return the first bytes, which stay."""
        return bytes(self._data[:max_bytes])

    def take(self, max_bytes: int) -> bytes:
        """Remove and return the first bytes."""
        taken = bytes(self._data[:max_bytes])
        del self._data[:max_bytes]
        self._searched_bytes = 0
        self._taken_tail = b""
        return taken

    def take_chunked(self, max_bytes: int) -> bytes:
        """Remove and return a part of a chunked body, nothing beyond its end."""
        window = self._taken_tail + self._data[: max_bytes + _MAX_END_BYTES]
        end = window.find(_BODY_END)
        if end >= 0:
            max_bytes = min(max_bytes, end + len(_BODY_END) - len(self._taken_tail))
        tail = self._taken_tail
        taken = self.take(max_bytes)
        self._taken_tail = (tail + taken)[-_MAX_END_BYTES:]
        return taken

    def clear(self) -> None:
        """Remove everything."""
        self._data.clear()
        self._searched_bytes = 0
        self._taken_tail = b""


def make_request_buffer() -> RequestBuffer:
    """Return an empty buffer."""
    return RequestBuffer()
