"""Records of the log's files: encoding, checksums, torn and damaged records."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from sesameford.errors import StorageError

_MAGIC = b"SFR1"
# Magic, kind, payload length in bytes, payload checksum.
_HEADER = Struct("<4sBIQ")
_HEADER_CHECK = Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_CHECK.size
_SECTOR_BYTES = 512


class RecordKind(IntEnum):
    """The type of a record's payload."""

    SEGMENT = 1
    HARD_STATE = 2
    ENTRY = 3
    RESET = 4
    SNAPSHOT = 5
    IDENTITY = 6
    ORIGINS = 7
    SUSPECTS = 8


@dataclass(frozen=True, slots=True)
class Record:
    """A record and its offset in the file."""

    kind: RecordKind
    payload: bytes
    offset_bytes: int


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return the bytes of a record.

    Args:
        kind: The type of the payload.
        payload: The bytes to store.

    Returns:
        A header with its own checksum, then the payload.
    """
    checksum = xxh3_64_intdigest(payload)
    header = _HEADER.pack(_MAGIC, kind, len(payload), checksum)
    return header + _HEADER_CHECK.pack(xxh32_intdigest(header)) + payload


def read_records(data: bytes, file: str, may_be_torn: bool) -> Iterator[Record]:
    """Yield the records of a file.

    A crash between write and sync leaves a torn tail. It was never acknowledged, so
    it is ignored. A record that was once synced and is invalid now is an error: this
    replica has acknowledged it, and going on without it could lose an accepted
    change. A torn tail is recognised by its shape: it ends early or has a sector
    that was never written, and no valid record follows.

    Args:
        data: The content of the whole file.
        file: The file's name, for errors.
        may_be_torn: Whether this is the file that was last written to.

    Yields:
        The valid records in their order.

    Raises:
        StorageError: A record is invalid for another reason than a crash.
    """
    offset = 0
    while offset < len(data):
        record = _valid_record_at(data, offset)
        if record is None:
            if may_be_torn and _is_torn(data, offset):
                return
            raise StorageError(file, offset, "a record is damaged")
        yield record
        offset += HEADER_BYTES + len(record.payload)


def _valid_record_at(data: bytes, offset: int) -> Record | None:
    """Return the valid record at an offset, or None."""
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
    """Return whether the data from an offset on looks like a torn write."""
    if _has_valid_record_after(data, offset):
        return False
    return _ends_within_record(data, offset) or _has_unwritten_sector(data, offset)


def _ends_within_record(data: bytes, offset: int) -> bool:
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
    """Return whether a sector, or the rest of the file, contains only zeros."""
    if not any(data[offset:]):
        return True
    first = -(-offset // _SECTOR_BYTES) * _SECTOR_BYTES
    empty = bytes(_SECTOR_BYTES)
    return any(
        data[start : start + _SECTOR_BYTES] == empty[: len(data) - start]
        for start in range(first, len(data), _SECTOR_BYTES)
    )


def _has_valid_record_after(data: bytes, offset: int) -> bool:
    """Return whether any valid record follows an offset."""
    found = data.find(_MAGIC, offset + 1)
    while found != -1:
        if _valid_record_at(data, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False
