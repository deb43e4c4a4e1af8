"""The log on the disk: segments of records, a snapshot and the replica's identity.

A folder is used by one process at a time. ``identity`` holds the incarnation, made
once per disk; ``log-<sequence>`` files hold entries and hard states in the order in
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
    LogReset,
    Replay,
    SegmentHeader,
    decode_payload,
    load_snapshot,
    replay_segment,
    segment_file,
    segment_sequence,
)
from sesameford.log_snapshot import encode_image
from sesameford.log_state import SnapshotImage, StoredState

SEGMENT_LIMIT_BYTES = 8_000_000


class LogStorage(Protocol):
    """The durable storage of a replica."""

    def write(self, batch: "Batch") -> None:
        """Write a batch; it is durable only after ``sync``."""

    def sync(self) -> None:
        """Make all written batches durable; after a failure every call fails."""

    def save_snapshot(self, image: SnapshotImage) -> None:
        """Write and sync the newest snapshot, and remove the segments it covers."""

    def close(self) -> None:
        """Close the folder and release its lock."""


class Batch(Struct, frozen=True):
    """The changes that are written and synced together.

    A ``snapshot`` replaces all entries written before.
    """

    hard_state: HardState | None
    entries: tuple[Entry, ...]
    snapshot: SnapshotImage | None = None


_IDENTITY_FILE = "identity"
_SNAPSHOT_FILE = "snapshot"
_encoder = Encoder()
_member_decoder = Decoder(Member)


class FileStorage:
    """An open and locked log folder; made by ``open_storage``."""

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
        """The first failure, after which every operation is refused, or None."""
        return self._failure

    def write(self, batch: Batch) -> None:
        """Write a batch; it is durable only after ``sync``.

        Raises:
            StorageError: This or an earlier operation failed; nothing more may be
                acknowledged.
        """
        self._run_guarded(lambda: self._write(batch))

    def sync(self) -> None:
        """Make all written batches durable.

        Raises:
            StorageError: Data written since the last sync may be lost although reads
                still return it. A second sync would report success, so this storage
                refuses all operations until the folder is opened again, which
                rewrites the tail.
        """
        self._run_guarded(
            lambda: sync_data(self._descriptor, self._file, self._size_bytes)
        )

    def save_snapshot(self, image: SnapshotImage) -> None:
        """Write the newest snapshot and remove the segments it covers.

        Raises:
            StorageError: The disk is full or failed.
        """
        self._run_guarded(lambda: self._save_snapshot(image))

    def close(self) -> None:
        """Close the folder and release its lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def start_segment(self, sequence: int, records: bytes = b"") -> None:
        """Create and sync a segment, and use it for all further writes.

        Args:
            sequence: The segment's number.
            records: Encoded records that follow the segment's header.

        Raises:
            StorageError: The disk is full or failed.
        """
        header = _encoder.encode(SegmentHeader(sequence, self._hard_state))
        data = encode_record(RecordKind.SEGMENT, header) + records
        file = segment_file(self._folder, sequence)
        replace_file(file, data)
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = open_for_append(file)
        self._file, self._sequence = file, sequence
        self._size_bytes = len(data)
        self._last_indexes[file] = self._last_index

    def record_segment(self, file: Path, last_index: int) -> None:
        """Record an older segment, which is removed once a snapshot covers it."""
        self._last_indexes[file] = last_index

    def _run_guarded(self, operation: Callable[[], None]) -> None:
        """Run an operation unless an earlier one failed; record its failure."""
        if self._failure is not None:
            raise self._failure
        try:
            operation()
        except StorageError as error:
            self._failure = error
            raise

    def _write(self, batch: Batch) -> None:
        """Write a batch with one append."""
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
            self.start_segment(self._sequence + 1)
        write_all(self._descriptor, bytes(data), self._file, self._size_bytes)
        self._size_bytes += len(data)
        highest = max(self._last_indexes[self._file], self._last_index)
        self._last_indexes[self._file] = highest

    def _replace_log(self, image: SnapshotImage) -> None:
        """Replace the whole log by a leader's snapshot."""
        replace_file(self._folder / _SNAPSHOT_FILE, _encode_snapshot(image))
        self._last_index = image.index
        self.start_segment(self._sequence + 1, _encode_reset(image))
        for file in [file for file in self._last_indexes if file != self._file]:
            remove_file(file)
            del self._last_indexes[file]
        sync_folder(self._folder)

    def _save_snapshot(self, image: SnapshotImage) -> None:
        """Replace the snapshot, start a segment and remove the covered ones."""
        replace_file(self._folder / _SNAPSHOT_FILE, _encode_snapshot(image))
        sync_data(self._descriptor, self._file, self._size_bytes)
        self.start_segment(self._sequence + 1)
        for file, last_index in sorted(self._last_indexes.items()):
            if file == self._file or last_index > image.index:
                # Segments are removed oldest first, so the rest has no gap.
                break
            remove_file(file)
            del self._last_indexes[file]
        sync_folder(self._folder)


def open_storage(
    folder: Path, instance_id: str, make_incarnation: Callable[[], int]
) -> tuple[FileStorage, StoredState]:
    """Open a replica's folder; an empty disk gets a new identity and a first segment.

    Args:
        folder: The folder of the log's files.
        instance_id: The instance that the folder belongs to.
        make_incarnation: Returns the number that identifies a new disk.

    Returns:
        The storage and its stored state.

    Raises:
        StorageError: Another process uses the folder, or its content is invalid;
            the error names file and offset.
    """
    lock = lock_folder(folder)
    try:
        for leftover in folder.glob("*" + TEMPORARY_SUFFIX):
            # A crash preceded its rename, so its content was never acknowledged.
            remove_file(leftover)
        identity = _load_or_make_identity(folder, instance_id, make_incarnation)
        return _load_storage(folder, lock, identity)
    except BaseException:
        os.close(lock)
        raise


def _load_or_make_identity(
    folder: Path, instance_id: str, make_incarnation: Callable[[], int]
) -> Member:
    """Return the identity on the disk; an empty disk gets a new one."""
    file = folder / _IDENTITY_FILE
    if not file.exists():
        if (folder / _SNAPSHOT_FILE).exists() or any(folder.glob(SEGMENT_GLOB)):
            raise StorageError(str(file), 0, "missing beside the files of a log")
        identity = Member(instance_id, make_incarnation())
        replace_file(
            file, encode_record(RecordKind.IDENTITY, _encoder.encode(identity))
        )
        return identity
    records = list(read_records(read_file(file), str(file), may_be_torn=False))
    if [record.kind for record in records] != [RecordKind.IDENTITY]:
        raise StorageError(str(file), 0, "holds no identity")
    identity = decode_payload(_member_decoder, records[0], file)
    if identity.instance_id != instance_id:
        detail = f"belongs to instance {identity.instance_id}, not {instance_id}"
        raise StorageError(str(file), 0, detail)
    return identity


def _load_storage(
    folder: Path, lock: int, identity: Member
) -> tuple[FileStorage, StoredState]:
    """Read the snapshot and the segments, and start a segment to write to."""
    image = load_snapshot(folder / _SNAPSHOT_FILE)
    replay = Replay(image)
    files = sorted(folder.glob(SEGMENT_GLOB))
    last_indexes = [replay_segment(file, files, replay) for file in files]
    state = replay.make_state(identity, files[-1] if files else folder)
    storage = FileStorage(folder, lock, state)
    if not files:
        storage.start_segment(1)
        return storage, state
    for file, last_index in zip(files[:-1], last_indexes, strict=False):
        storage.record_segment(file, last_index)
    # The tail is rewritten and synced under the same name. After a failed sync the
    # operating system may mark pages as clean that never reached the disk: data that
    # is read here could be lost later, after it was acknowledged again.
    tail = bytes(replay.tail)
    if replay.image is not None and not state.entries:
        # Entries that the snapshot replaces stay replaced at the next start too.
        tail += _encode_reset(replay.image)
    storage.start_segment(segment_sequence(files[-1]), tail)
    return storage, state


def _encode_snapshot(image: SnapshotImage) -> bytes:
    """Return the content of a snapshot's file."""
    return encode_record(RecordKind.SNAPSHOT, encode_image(image))


def _encode_reset(image: SnapshotImage) -> bytes:
    """Return the record that invalidates the entries before it."""
    reset = _encoder.encode(LogReset(image.index, image.index_term))
    return encode_record(RecordKind.RESET, reset)
