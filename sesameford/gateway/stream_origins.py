"""Where streams began: the service and the software version of their first target.

The output of two versions of a target's software is not compatible, so a stream is
resumed only at the version that began it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

KEY_BYTES = 16
# The oldest are dropped beyond this number; their streams are refused where several
# versions serve.
MAX_ORIGINS = 100_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream.

    The version is empty if it is unknown, which equals no version.
    """

    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class _Row:
    origin: StreamOrigin
    until_seconds: float


class StreamOrigins:
    """The origins that one instance knows, by key; made by ``make_stream_origins``.

    Args:
        max_rows: How many it keeps.
    """

    def __init__(self, max_rows: int) -> None:
        self._max_rows = max_rows
        self._rows: OrderedDict[bytes, _Row] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def record(self, key: bytes, origin: StreamOrigin, until_seconds: float) -> None:
        """Keep an origin until a time; what is known of a stream never changes."""
        row = self._rows.get(key)
        if row is not None:
            origin = row.origin
            until_seconds = max(until_seconds, row.until_seconds)
        self._rows[key] = _Row(origin, until_seconds)
        self._rows.move_to_end(key)
        if len(self._rows) > self._max_rows:
            self._rows.popitem(last=False)

    def find(self, key: bytes, now_seconds: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        row = self._rows.get(key)
        if row is None or now_seconds >= row.until_seconds:
            return None
        return row.origin

    def newest(
        self, max_rows: int, now_seconds: float
    ) -> list[tuple[bytes, StreamOrigin, float]]:
        """Return the newest rows: their keys, origins and how long they are kept."""
        rows = []
        for key in reversed(self._rows):
            row = self._rows[key]
            left_seconds = row.until_seconds - now_seconds
            if left_seconds > 0.0:
                rows.append((key, row.origin, left_seconds))
            if len(rows) >= max_rows:
                break
        return rows

    def forget(self, now_seconds: float) -> None:
        """Drop the oldest rows, up to the first whose time is not over."""
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if now_seconds < row.until_seconds:
                return
            del self._rows[key]


def origin_key(customer: str | None, request_id: str) -> bytes:
    """Return the key of a stream: the request that brought its first event.

    A customer can neither find another one's streams nor make a key equal to theirs.
    """
    of_customer = blake2b((customer or "").encode(), digest_size=KEY_BYTES).digest()
    encoded_id = request_id.encode("utf-8", "surrogateescape")
    return blake2b(encoded_id, digest_size=KEY_BYTES, key=of_customer).digest()


def make_stream_origins(max_rows: int = MAX_ORIGINS) -> StreamOrigins:
    """Return an empty table."""
    return StreamOrigins(max_rows)
