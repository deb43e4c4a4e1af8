"""Reads a log folder: what its snapshot and its records say in their order."""

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


class Segment(Struct, frozen=True, array_like=True):
    """The head of a segment, with the hard state when it was begun."""

    sequence: int
    hard_state: HardState


class Reset(Struct, frozen=True, array_like=True):
    """The entries before this record are void; a snapshot stands for them."""

    index: int
    index_term: int


Decoded = TypeVar("Decoded")

_entry_decoder = Decoder(Entry)
_hard_state_decoder = Decoder(HardState)
_segment_decoder = Decoder(Segment)


class Replay:
    """What the records say when they are read in their order."""

    def __init__(self, image: SnapshotImage | None) -> None:
        self.image = image
        self.hard_state = HardState()
        self.entries: list[Entry] = []
        self.tail = bytearray()
        self.highest_index = 0

    def take(self, record: Record, file: Path) -> None:
        """Take the next record.

        Raises:
            StorageError: It does not follow from those before it.
        """
        match record.kind:
            case RecordKind.HARD_STATE:
                self.hard_state = decoded(_hard_state_decoder, record, file)
            case RecordKind.ENTRY:
                self._take_entry(decoded(_entry_decoder, record, file), record, file)
            case RecordKind.RESET:
                self.entries.clear()
            case _:
                raise StorageError(
                    str(file), record.offset_bytes, f"a {record.kind.name} record here"
                )

    def _take_entry(self, entry: Entry, record: Record, file: Path) -> None:
        """Append an entry, or put it in place of those from its index on."""
        self.highest_index = max(self.highest_index, entry.index)
        if self.entries:
            position = entry.index - self.entries[0].index
            if 0 <= position <= len(self.entries):
                del self.entries[position:]
                self.entries.append(entry)
                return
        snapshot_index = self.image.index if self.image else 0
        if entry.index > snapshot_index + 1 or self.entries:
            detail = f"entry {entry.index} does not follow what stands before it"
            raise StorageError(str(file), record.offset_bytes, detail)
        self.entries.append(entry)

    def state(self, me: Member, file: Path) -> StoredState:
        """Return what is left once the snapshot is set in place of what it covers."""
        entries = self.entries
        if self.image is not None:
            entries = _after_snapshot(self.image, entries)
        return StoredState(me, self.hard_state, self.image, tuple(entries))


def _after_snapshot(image: SnapshotImage, entries: list[Entry]) -> list[Entry]:
    """Return the entries that follow a snapshot.

    After a crash between a leader's snapshot and the new segment, entries that
    contradict the snapshot still stand in the old one. They are dropped, as the
    leader's snapshot said they should be.
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
    """Read one segment and return its highest index."""
    is_last = file == files[-1]
    expected = segment_sequence(files[0]) + files.index(file)
    if segment_sequence(file) != expected:
        missing = segment_file(file.parent, expected)
        raise StorageError(str(missing), 0, "missing between the log's segments")
    records = read_records(read_file(file), str(file), may_be_torn=is_last)
    head = next(records, None)
    if head is None or head.kind is not RecordKind.SEGMENT:
        raise StorageError(str(file), 0, "does not begin as a segment of the log")
    replay.hard_state = decoded(_segment_decoder, head, file).hard_state
    replay.tail.clear()
    for record in records:
        replay.take(record, file)
        replay.tail += encode_record(record.kind, record.payload)
    return replay.highest_index


def load_snapshot(file: Path) -> SnapshotImage | None:
    """Return the snapshot on the disk, if there is one."""
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


def decoded(decoder: Decoder[Decoded], record: Record, file: Path) -> Decoded:
    """Return a record's payload in its type."""
    try:
        return decoder.decode(record.payload)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise StorageError(str(file), record.offset_bytes, str(error)) from error
