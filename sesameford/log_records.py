"""Records of the log's files: their coding, checksums and what a bad one means."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from sesameford.errors import StorageError

_MAGIC = b"SFR1"
# Magic, kind, length of the payload, its checksum.
_HEADER = Struct("<4sBIQ")
_HEADER_CHECK = Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_CHECK.size
_SECTOR_BYTES = 512


class RecordKind(IntEnum):
    """What a record holds."""

    SEGMENT = 1
    HARD_STATE = 2
    ENTRY = 3
    RESET = 4
    SNAPSHOT = 5
    IDENTITY = 6


@dataclass(frozen=True, slots=True)
class Record:
    """A record and where it stands in its file."""

    kind: RecordKind
    payload: bytes
    offset_bytes: int


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return the bytes of a record.

    Args:
        kind: What the payload is.
        payload: The bytes to guard.

    Returns:
        A header with its own checksum, then the payload.
    """
    checksum = xxh3_64_intdigest(payload)
    header = _HEADER.pack(_MAGIC, kind, len(payload), checksum)
    return header + _HEADER_CHECK.pack(xxh32_intdigest(header)) + payload


def read_records(data: bytes, file: str, may_be_torn: bool) -> Iterator[Record]:
    """Yield the records of a file.

    A crash between write and sync leaves a torn tail, which nobody was told of,
    so it is passed over. A record that was once synced and is bad now is another
    matter: this replica has acknowledged it, and going on without it could make
    an accepted change vanish. The two are told apart by their shape: a torn tail
    ends early or has a sector that was never written, and nothing good follows.

    Args:
        data: The whole file.
        file: Its name, for errors.
        may_be_torn: Whether this is the file that was last written to.

    Yields:
        The good records in their order.

    Raises:
        StorageError: A record is bad for another reason than a crash.
    """
    offset = 0
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            if may_be_torn and _is_torn(data, offset):
                return
            raise StorageError(file, offset, "a record is damaged")
        yield record
        offset += HEADER_BYTES + len(record.payload)


def _record_at(data: bytes, offset: int) -> Record | None:
    """Return the good record at an offset, or None."""
    header_end = offset + _HEADER.size
    payload_start = offset + HEADER_BYTES
    if payload_start > len(data):
        return None
    magic, kind, length, checksum = _HEADER.unpack_from(data, offset)
    (header_check,) = _HEADER_CHECK.unpack_from(data, header_end)
    if magic != _MAGIC or header_check != xxh32_intdigest(data[offset:header_end]):
        return None
    payload = data[payload_start : payload_start + length]
    if len(payload) < length or xxh3_64_intdigest(payload) != checksum:
        return None
    if kind not in RecordKind.__members__.values():
        return None
    return Record(RecordKind(kind), payload, offset)


def _is_torn(data: bytes, offset: int) -> bool:
    """Return whether what stands from an offset on looks like a torn write."""
    if _good_record_after(data, offset):
        return False
    return _ends_early(data, offset) or _has_unwritten_sector(data, offset)


def _ends_early(data: bytes, offset: int) -> bool:
    """Return whether the file ends within the record at an offset."""
    header_end = offset + _HEADER.size
    payload_start = offset + HEADER_BYTES
    if payload_start > len(data):
        return True
    _, _, length, _ = _HEADER.unpack_from(data, offset)
    (header_check,) = _HEADER_CHECK.unpack_from(data, header_end)
    if header_check != xxh32_intdigest(data[offset:header_end]):
        return False
    return payload_start + length > len(data)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    """Return whether a sector, or all up to the file's end, is still zeros."""
    if not any(data[offset:]):
        return True
    first = -(-offset // _SECTOR_BYTES) * _SECTOR_BYTES
    empty = bytes(_SECTOR_BYTES)
    return any(
        data[start : start + _SECTOR_BYTES] == empty[: len(data) - start]
        for start in range(first, len(data), _SECTOR_BYTES)
    )


def _good_record_after(data: bytes, offset: int) -> bool:
    """Return whether a good record stands anywhere behind an offset."""
    found = data.find(_MAGIC, offset + 1)
    while found != -1:
        if _record_at(data, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False
