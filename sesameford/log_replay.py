"""Reads a log folder: replays the records on top of the snapshot."""

from pathlib import Path
from typing import TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder

from sesameford.errors import LogError, StorageError
from sesameford.log_files import read_file
from sesameford.log_messages import Entry, HardState, Member
from sesameford.log_records import Record, RecordKind, encode_record, read_records
from sesameford.log_snapshot import decode_image
from sesameford.log_state import SnapshotImage, StoredState

SEGMENT_GLOB = "log-" + "[0-9]" * 10


class SegmentHeader(Struct, frozen=True, array_like=True):
    """The first record of a segment, with the hard state when it was started."""

    sequence: int
    hard_state: HardState


class LogReset(Struct, frozen=True, array_like=True):
    """Invalidates the entries before this record; a snapshot replaces them."""

    index: int
    index_term: int


Decoded = TypeVar("Decoded")

_entry_decoder = Decoder(Entry)
_hard_state_decoder = Decoder(HardState)
_segment_decoder = Decoder(SegmentHeader)


class Replay:
    """The state that results from the records in their order."""

    def __init__(self, image: SnapshotImage | None) -> None:
        self.image = image
        self.hard_state = HardState()
        self.entries: list[Entry] = []
        self.tail = bytearray()
        self.highest_index = 0

    def apply_record(self, record: Record, file: Path) -> None:
        """Apply the next record.

        Raises:
            StorageError: The record does not follow from those before it.
        """
        match record.kind:
            case RecordKind.HARD_STATE:
                self.hard_state = decode_payload(_hard_state_decoder, record, file)
            case RecordKind.ENTRY:
                self._apply_entry(
                    decode_payload(_entry_decoder, record, file), record, file
                )
            case RecordKind.RESET:
                self.entries.clear()
            case _:
                raise StorageError(
                    str(file),
                    record.offset_bytes,
                    f"unexpected {record.kind.name} record",
                )

    def _apply_entry(self, entry: Entry, record: Record, file: Path) -> None:
        """Append an entry; it replaces all entries from its index on."""
        self.highest_index = max(self.highest_index, entry.index)
        if self.entries:
            position = entry.index - self.entries[0].index
            if 0 <= position <= len(self.entries):
                del self.entries[position:]
                self.entries.append(entry)
                return
        snapshot_index = self.image.index if self.image else 0
        if entry.index > snapshot_index + 1 or self.entries:
            detail = f"entry {entry.index} does not follow the entries before it"
            raise StorageError(str(file), record.offset_bytes, detail)
        self.entries.append(entry)

    def make_state(self, identity: Member, file: Path) -> StoredState:
        """Return the stored state without the entries that the snapshot covers."""
        entries = self.entries
        if self.image is not None:
            entries = _entries_after(self.image, entries)
        return StoredState(identity, self.hard_state, self.image, tuple(entries))


def _entries_after(image: SnapshotImage, entries: list[Entry]) -> list[Entry]:
    """Return the entries that follow a snapshot.

    After a crash between a leader's snapshot and the new segment, the old segment
    still contains entries that contradict the snapshot. They are dropped, as the
    leader's snapshot replaces them.
    """
    if not entries:
        return []
    position = image.index - entries[0].index
    if position == -1:
        return entries
    if position < -1 or position >= len(entries):
        return []
    if entries[position].term != image.index_term:
        return []
    return entries[position + 1 :]


def replay_segment(file: Path, files: list[Path], replay: Replay) -> int:
    """Replay one segment and return the highest index so far."""
    is_last = file == files[-1]
    expected = segment_sequence(files[0]) + files.index(file)
    if segment_sequence(file) != expected:
        missing = segment_file(file.parent, expected)
        raise StorageError(str(missing), 0, "missing between the log's segments")
    records = read_records(read_file(file), str(file), may_be_torn=is_last)
    header = next(records, None)
    if header is None or header.kind is not RecordKind.SEGMENT:
        raise StorageError(str(file), 0, "does not begin as a segment of the log")
    replay.hard_state = decode_payload(_segment_decoder, header, file).hard_state
    replay.tail.clear()
    for record in records:
        replay.apply_record(record, file)
        replay.tail += encode_record(record.kind, record.payload)
    return replay.highest_index


def load_snapshot(file: Path) -> SnapshotImage | None:
    """Return the snapshot on the disk, or None."""
    if not file.exists():
        return None
    records = list(read_records(read_file(file), str(file), may_be_torn=False))
    if [record.kind for record in records] != [RecordKind.SNAPSHOT]:
        raise StorageError(str(file), 0, "holds no snapshot")
    try:
        return decode_image(records[0].payload)
    except LogError as error:
        raise StorageError(str(file), 0, str(error)) from error


def segment_file(folder: Path, sequence: int) -> Path:
    """Return the file of a segment."""
    return folder / f"log-{sequence:010d}"


def segment_sequence(file: Path) -> int:
    """Return the number of a segment's file."""
    return int(file.name.removeprefix("log-"))


def decode_payload(decoder: Decoder[Decoded], record: Record, file: Path) -> Decoded:
    """Return a record's payload, decoded.

    Raises:
        StorageError: The payload doesn't have the type.
    """
    try:
        return decoder.decode(record.payload)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise StorageError(str(file), record.offset_bytes, str(error)) from error
