"""What the HTTP library's reader of a body holds: pieces of data, and trailers.

The library has no public way to join or drop them, or to count trailers.
"""

from collections import deque
from itertools import islice

from aiohttp.streams import StreamReader

# The line of a chunk that has begun, of the last chunk, and the last line of a body.
FRAMING_LINES = 3
# The library keeps trailers until the next request.
BYTES_PER_TRAILER = 400


def join_pieces(body: StreamReader) -> None:
    """Join what a body's reader holds, which it keeps as an object for each chunk."""
    pieces = body._buffer
    if len(pieces) > 1 and not body._buffer_offset:
        joined = b"".join(pieces)
        pieces.clear()
        pieces.append(joined)
    splits = body._http_chunk_splits
    if splits is not None and len(splits) > 1:
        # Only the last one is needed, to tell an empty chunk from others.
        body._http_chunk_splits = deque([splits[-1]])


def drop_pieces(body: StreamReader) -> None:
    """Drop what a refused body's reader holds.

    A byte stays: a reader that was woken for data in this turn would find none, and
    wait for more without a look at the error.
    """
    body._buffer.clear()
    body._buffer.append(b"?")
    body._buffer_offset = 0
    body._size = 1


class FramingLines:
    """Counts the lines of a chunked body that are neither data nor a chunk's own.

    Those are trailers, each of which the library keeps as objects.
    """

    def __init__(self) -> None:
        self.trailers = 0
        self._pieces = 0
        self._chunks = 0

    def before_part(self, body: StreamReader) -> None:
        """Remember what the body's reader holds before a part is parsed."""
        self._pieces = len(body._buffer)
        self._chunks = len(body._http_chunk_splits or ())

    def after_part(self, part: bytes, body: StreamReader) -> None:
        """Count the lines of a part that was parsed."""
        chunks = len(body._http_chunk_splits or ()) - self._chunks
        data_lines = sum(
            piece.count(b"\n") for piece in islice(body._buffer, self._pieces, None)
        )
        # A chunk has a line with its length, and one that ends with its data.
        self.trailers += part.count(b"\n") - data_lines - 2 * chunks

    @property
    def held_bytes(self) -> int:
        """Return what the trailers hold."""
        return BYTES_PER_TRAILER * max(self.trailers - FRAMING_LINES, 0)


def make_framing_lines() -> FramingLines:
    """Return the count of a body of which nothing has come."""
    return FramingLines()
