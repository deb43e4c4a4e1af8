"""The log on the disk: segments of records, a snapshot and the replica's identity.

One folder belongs to one process. ``identity`` holds the incarnation, made once
per disk; ``log-<sequence>`` files hold entries and hard states in the order in
which they were written; ``snapshot`` holds the newest snapshot. See docs/LOG.md.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import StorageError
from sesameford.log_files import (
    TEMPORARY_SUFFIX,
    lock_folder,
    open_for_append,
    read_file,
    remove_file,
    replace_file,
    sync_data,
    sync_folder,
    write_all,
)
from sesameford.log_messages import Entry, HardState, Member
from sesameford.log_records import RecordKind, encode_record, read_records
from sesameford.log_replay import (
    SEGMENT_GLOB,
    Replay,
    Reset,
    Segment,
    decoded,
    load_snapshot,
    replay_segment,
    segment_file,
    segment_sequence,
)
from sesameford.log_snapshot import encode_image
from sesameford.log_state import SnapshotImage, StoredState

SEGMENT_LIMIT_BYTES = 8_000_000


class LogStorage(Protocol):
    """Where a replica keeps what it must not forget."""

    def write(self, batch: "Batch") -> None:
        """Write a batch; it lasts only after ``sync``."""

    def sync(self) -> None:
        """Make all that was written last. After a failure nothing more is taken."""

    def save_snapshot(self, image: SnapshotImage) -> None:
        """Put the newest snapshot on the disk, synced, and drop what it covers."""

    def close(self) -> None:
        """Let go of the folder."""


class Batch(Struct, frozen=True):
    """What is written and synced together.

    With a ``snapshot``, all entries written before are void: it stands for them.
    """

    hard_state: HardState | None
    entries: tuple[Entry, ...]
    snapshot: SnapshotImage | None = None


_IDENTITY = "identity"
_SNAPSHOT = "snapshot"
_encoder = Encoder()
_member_decoder = Decoder(Member)


class FileStorage:
    """A log folder held open; made by ``open_storage``."""

    def __init__(self, folder: Path, lock: int, state: StoredState) -> None:
        self._folder = folder
        self._lock = lock
        self._hard_state = state.hard_state
        self._failure: StorageError | None = None
        self._descriptor = -1
        self._file = folder
        self._sequence = 0
        self._size_bytes = 0
        self._last_indexes: dict[Path, int] = {}
        self._last_index = state.entries[-1].index if state.entries else 0

    @property
    def failure(self) -> StorageError | None:
        """Why this storage takes nothing more, if so."""
        return self._failure

    def write(self, batch: Batch) -> None:
        """Write a batch; it lasts only after ``sync``.

        Raises:
            StorageError: Now or before; nothing more may be acknowledged.
        """
        self._guard(lambda: self._write(batch))

    def sync(self) -> None:
        """Make all that was written last.

        Raises:
            StorageError: What was written since the last sync may be gone though
                reads still show it. A second sync would say that all is well, so
                this storage takes nothing more until the process starts again
                and writes the tail anew.
        """
        self._guard(lambda: sync_data(self._descriptor, self._file, self._size_bytes))

    def save_snapshot(self, image: SnapshotImage) -> None:
        """Put the newest snapshot on the disk and drop the segments it covers.

        Raises:
            StorageError: The disk is full or failed.
        """
        self._guard(lambda: self._save_snapshot(image))

    def close(self) -> None:
        """Let go of the folder."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def begin_segment(self, sequence: int, records: bytes = b"") -> None:
        """Begin a segment, synced, which already holds some records.

        Args:
            sequence: The segment's number.
            records: Encoded records to begin with.

        Raises:
            StorageError: The disk is full or failed.
        """
        head = _encoder.encode(Segment(sequence, self._hard_state))
        data = encode_record(RecordKind.SEGMENT, head) + records
        file = segment_file(self._folder, sequence)
        replace_file(file, data)
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = open_for_append(file)
        self._file, self._sequence = file, sequence
        self._size_bytes = len(data)
        self._last_indexes[file] = self._last_index

    def note_segment(self, file: Path, last_index: int) -> None:
        """Remember an older segment, to be removed once a snapshot covers it."""
        self._last_indexes[file] = last_index

    def _guard(self, operation: Callable[[], None]) -> None:
        """Run an operation, and refuse all later ones once one has failed."""
        if self._failure is not None:
            raise self._failure
        try:
            operation()
        except StorageError as error:
            self._failure = error
            raise

    def _write(self, batch: Batch) -> None:
        """Write a batch as one piece."""
        if batch.snapshot is not None:
            self._replace_log(batch.snapshot)
        data = bytearray()
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
            encoded = _encoder.encode(batch.hard_state)
            data += encode_record(RecordKind.HARD_STATE, encoded)
        for entry in batch.entries:
            data += encode_record(RecordKind.ENTRY, _encoder.encode(entry))
            self._last_index = entry.index
        if not data:
            return
        if self._size_bytes + len(data) > SEGMENT_LIMIT_BYTES:
            self.begin_segment(self._sequence + 1)
        write_all(self._descriptor, bytes(data), self._file, self._size_bytes)
        self._size_bytes += len(data)
        highest = max(self._last_indexes[self._file], self._last_index)
        self._last_indexes[self._file] = highest

    def _replace_log(self, image: SnapshotImage) -> None:
        """Put a leader's snapshot in place of the whole log."""
        replace_file(self._folder / _SNAPSHOT, _snapshot_bytes(image))
        self._last_index = image.index
        self.begin_segment(self._sequence + 1, _reset_bytes(image))
        for file in [file for file in self._last_indexes if file != self._file]:
            remove_file(file)
            del self._last_indexes[file]
        sync_folder(self._folder)

    def _save_snapshot(self, image: SnapshotImage) -> None:
        """Replace the snapshot, begin a segment and remove those it covers."""
        replace_file(self._folder / _SNAPSHOT, _snapshot_bytes(image))
        sync_data(self._descriptor, self._file, self._size_bytes)
        self.begin_segment(self._sequence + 1)
        for file, last_index in sorted(self._last_indexes.items()):
            if file == self._file or last_index > image.index:
                # Segments go from the oldest on, so that none is ever missing.
                break
            remove_file(file)
            del self._last_indexes[file]
        sync_folder(self._folder)


def open_storage(
    folder: Path, instance_id: str, make_incarnation: Callable[[], int]
) -> tuple[FileStorage, StoredState]:
    """Open a replica's folder, or begin one on an empty disk.

    Args:
        folder: Where the log's files live.
        instance_id: Whose folder it is.
        make_incarnation: Gives the number that tells this disk from all others.

    Returns:
        The storage and what it held.

    Raises:
        StorageError: Another process has the folder, or what it holds can't be
            trusted; the error names file and offset.
    """
    lock = lock_folder(folder)
    try:
        for leftover in folder.glob("*" + TEMPORARY_SUFFIX):
            # A crash came before its rename, so nobody relies on its content.
            remove_file(leftover)
        me = _load_identity(folder, instance_id, make_incarnation)
        return _load(folder, lock, me)
    except BaseException:
        os.close(lock)
        raise


def _load_identity(
    folder: Path, instance_id: str, make_incarnation: Callable[[], int]
) -> Member:
    """Return the identity on the disk; make it on an empty one."""
    file = folder / _IDENTITY
    if not file.exists():
        if (folder / _SNAPSHOT).exists() or any(folder.glob(SEGMENT_GLOB)):
            raise StorageError(str(file), 0, "missing beside the files of a log")
        me = Member(instance_id, make_incarnation())
        replace_file(file, encode_record(RecordKind.IDENTITY, _encoder.encode(me)))
        return me
    records = list(read_records(read_file(file), str(file), may_be_torn=False))
    if [record.kind for record in records] != [RecordKind.IDENTITY]:
        raise StorageError(str(file), 0, "holds no identity")
    me = decoded(_member_decoder, records[0], file)
    if me.instance_id != instance_id:
        detail = f"belongs to instance {me.instance_id}, not {instance_id}"
        raise StorageError(str(file), 0, detail)
    return me


def _load(folder: Path, lock: int, me: Member) -> tuple[FileStorage, StoredState]:
    """Read snapshot and segments, and begin a segment to write to."""
    image = load_snapshot(folder / _SNAPSHOT)
    replay = Replay(image)
    files = sorted(folder.glob(SEGMENT_GLOB))
    last_indexes = [replay_segment(file, files, replay) for file in files]
    state = replay.state(me, files[-1] if files else folder)
    storage = FileStorage(folder, lock, state)
    if not files:
        storage.begin_segment(1)
        return storage, state
    for file, last_index in zip(files[:-1], last_indexes, strict=False):
        storage.note_segment(file, last_index)
    # The tail is written and synced anew under the same name. After a failed
    # sync the system may show pages as clean that never reached the disk: what
    # is read here could vanish later, after it was acknowledged again.
    tail = bytes(replay.tail)
    if replay.image is not None and not state.entries:
        # Entries that the snapshot voids stay void for the next start too.
        tail += _reset_bytes(replay.image)
    storage.begin_segment(segment_sequence(files[-1]), tail)
    return storage, state


def _snapshot_bytes(image: SnapshotImage) -> bytes:
    """Return the content of a snapshot's file."""
    return encode_record(RecordKind.SNAPSHOT, encode_image(image))


def _reset_bytes(image: SnapshotImage) -> bytes:
    """Return the record that voids the entries before it."""
    reset = _encoder.encode(Reset(image.index, image.index_term))
    return encode_record(RecordKind.RESET, reset)
