"""The log's files: crashes, damage and disk errors, produced on real files."""

import errno
import os
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford import log_files
from sesameford.errors import StorageError
from sesameford.log_messages import Command, Configuration, Entry, HardState, Member
from sesameford.log_records import HEADER_BYTES
from sesameford.log_state import SnapshotImage
from sesameford.log_storage import Batch, open_storage

IDENTITY = Member("a", 1)
CONFIGURATION = Configuration(1, (IDENTITY,))
numbers = count(1)


def open_folder(folder):
    return open_storage(folder, "a", lambda: next(numbers))


def make_entry(index, term=1, size=20):
    return Entry(index, term, Command(f"p{index}", "m", b"x" * size))


def write_batches(folder, *batches):
    """Write batches, each synced, and close; return the file last written to."""
    storage, _ = open_folder(folder)
    for batch in batches:
        storage.write(batch)
        storage.sync()
    storage.close()
    return max(folder.glob("log-*"))


def read_indexes(folder):
    storage, state = open_folder(folder)
    storage.close()
    return [entry.index for entry in state.entries]


def write_three_entries(folder):
    return write_batches(
        folder, *(Batch(None, (make_entry(index),)) for index in (1, 2, 3))
    )


def test_synced_batches_are_read_again(tmp_path):
    write_batches(
        tmp_path,
        Batch(HardState(3, IDENTITY), (make_entry(1), make_entry(2), make_entry(3))),
        Batch(None, (make_entry(2, term=2),)),
    )
    storage, state = open_folder(tmp_path)
    storage.close()
    assert state.hard_state == HardState(3, IDENTITY)
    assert [(e.index, e.term) for e in state.entries] == [(1, 1), (2, 2)]
    assert open_folder(tmp_path)[1].me == state.me


@given(cut=st.integers(1, 53))
@settings(derandomize=True, max_examples=30, deadline=None)
def test_a_torn_tail_is_cut(tmp_path_factory, cut):
    """The power fails while a record is being written.

    The record was never acknowledged, so the replica starts without it and appends
    after the last complete record.
    """
    folder = tmp_path_factory.mktemp("torn")
    file = write_three_entries(folder)
    os.truncate(file, file.stat().st_size - cut)
    assert read_indexes(folder) == [1, 2]
    write_batches(folder, Batch(None, (make_entry(3, term=5),)))
    assert read_indexes(folder) == [1, 2, 3]


def test_a_tail_of_zeros_is_cut(tmp_path):
    """The power fails after the file grew and before its content was written."""
    file = write_three_entries(tmp_path)
    with file.open("ab") as stream:
        stream.write(bytes(700))
    assert read_indexes(tmp_path) == [1, 2, 3]


@pytest.mark.parametrize("which", [0, 1, 2])
def test_a_flipped_bit_prevents_the_start(tmp_path, which):
    """A bit of a synced record flips on the disk.

    The replica has acknowledged the record, and going on without it could lose an
    accepted change. So it refuses to start and names file and offset, also for the
    last record.
    """
    file = write_three_entries(tmp_path)
    data = bytearray(file.read_bytes())
    starts = [at for at in range(len(data)) if data[at : at + 4] == b"SFR1"][-3:]
    data[starts[which] + HEADER_BYTES + 3] ^= 4
    file.write_bytes(data)
    with pytest.raises(StorageError) as caught:
        open_folder(tmp_path)
    assert caught.value.file == str(file)
    assert caught.value.offset_bytes == starts[which]


def test_a_damaged_or_missing_older_segment_prevents_the_start(tmp_path):
    """A file in the middle of the log is truncated or missing, so the log has a gap."""
    storage, _ = open_folder(tmp_path)
    for index in (1, 2, 3):
        storage.write(Batch(None, (make_entry(index),)))
        storage.sync()
        storage.start_segment(index + 1)
    storage.close()
    second = sorted(tmp_path.glob("log-*"))[1]
    data = second.read_bytes()
    os.truncate(second, len(data) - 5)
    with pytest.raises(StorageError, match="damaged"):
        open_folder(tmp_path)
    second.unlink()
    with pytest.raises(StorageError, match="missing"):
        open_folder(tmp_path)
    second.write_bytes(data)
    assert read_indexes(tmp_path) == [1, 2, 3]


def test_a_damaged_snapshot_or_identity_prevents_the_start(tmp_path):
    """The snapshot or the identity is damaged.

    Without them the replica would start empty although it has acknowledged entries.
    """
    storage, _ = open_folder(tmp_path)
    storage.write(Batch(None, (make_entry(1),)))
    storage.save_snapshot(SnapshotImage(1, 1, CONFIGURATION, b"state"))
    storage.close()
    for name in ("snapshot", "identity"):
        file = tmp_path / name
        data = file.read_bytes()
        file.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))
        with pytest.raises(StorageError) as caught:
            open_folder(tmp_path)
        assert caught.value.file == str(file)
        file.write_bytes(data)
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="missing"):
        open_folder(tmp_path)


def test_a_failed_sync_is_final(tmp_path, monkeypatch):
    """The disk fails a sync once.

    The operating system drops the unwritten pages and the next sync reports success;
    a replica that retried would acknowledge data that is not on the disk. It must
    stop, and rewrite its tail at the next start.
    """
    storage, _ = open_folder(tmp_path)
    storage.write(Batch(None, (make_entry(1),)))

    def fail_sync(descriptor):
        raise OSError(errno.EIO, "input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(log_files.os, "fdatasync", fail_sync)
        with pytest.raises(StorageError):
            storage.sync()
    for operation in (
        storage.sync,
        lambda: storage.write(Batch(None, (make_entry(2),))),
    ):
        with pytest.raises(StorageError, match="input/output"):
            operation()
    storage.close()
    file = max(tmp_path.glob("log-*"))
    inode = file.stat().st_ino
    assert read_indexes(tmp_path) == [1]
    assert max(tmp_path.glob("log-*")).stat().st_ino != inode


def test_a_full_disk_and_a_short_write(tmp_path, monkeypatch):
    """The disk has space for only a part of a record.

    The part is written and the rest fails. The record must not be acknowledged, and
    the next start must cut the part.
    """
    storage, _ = open_folder(tmp_path)
    storage.write(Batch(None, (make_entry(1),)))
    storage.sync()
    real_write, remaining_bytes = os.write, [30]

    def nearly_full(descriptor, data):
        if not remaining_bytes[0]:
            raise OSError(errno.ENOSPC, "no space left on device")
        part = bytes(data)[: min(7, remaining_bytes[0])]
        remaining_bytes[0] -= len(part)
        return real_write(descriptor, part)

    with monkeypatch.context() as patch:
        patch.setattr(log_files.os, "write", nearly_full)
        with pytest.raises(StorageError, match="no space"):
            storage.write(Batch(None, (make_entry(2),)))
        with pytest.raises(StorageError, match="no space"):
            storage.sync()
    storage.close()
    assert read_indexes(tmp_path) == [1]
    remaining_bytes[0] = 10**6
    monkeypatch.setattr(log_files.os, "write", nearly_full)
    write_batches(tmp_path, Batch(None, (make_entry(2),)))
    assert read_indexes(tmp_path) == [1, 2]


def test_a_leftover_temporary_file_is_ignored(tmp_path):
    """The power fails before a new snapshot is renamed; the old state is used."""
    write_three_entries(tmp_path)
    (tmp_path / "snapshot.tmp").write_bytes(b"half a snapshot")
    assert read_indexes(tmp_path) == [1, 2, 3]
    assert not (tmp_path / "snapshot.tmp").exists()


def test_two_daemons_on_one_folder(tmp_path):
    """An operator starts a second daemon on the same data folder.

    It must refuse to start, or both would overwrite each other's records.
    """
    storage, _ = open_folder(tmp_path)
    with pytest.raises(StorageError, match="another process"):
        open_folder(tmp_path)
    storage.close()
    open_folder(tmp_path)[0].close()


def test_the_folder_of_another_instance_is_refused(tmp_path):
    open_folder(tmp_path)[0].close()
    with pytest.raises(StorageError, match="belongs to instance a"):
        open_storage(tmp_path, "b", lambda: 1)


def test_a_snapshot_drops_the_segments_that_it_covers(tmp_path):
    storage, _ = open_folder(tmp_path)
    for index in range(1, 6):
        storage.write(Batch(None, (make_entry(index),)))
        storage.save_snapshot(SnapshotImage(index, 1, CONFIGURATION, b"state"))
    storage.write(Batch(None, (make_entry(6),)))
    storage.sync()
    storage.close()
    assert len(list(tmp_path.glob("log-*"))) == 1
    storage, state = open_folder(tmp_path)
    storage.close()
    assert state.snapshot.index == 5
    assert [entry.index for entry in state.entries] == [6]


@pytest.mark.parametrize("new_segment_lost", [False, True])
def test_a_leaders_snapshot_replaces_the_entries(tmp_path, new_segment_lost):
    """The power fails while a replica installs a leader's snapshot.

    The entries that the snapshot replaced must not come back.
    """
    storage, _ = open_folder(tmp_path)
    storage.write(Batch(None, tuple(make_entry(index) for index in range(1, 8))))
    storage.sync()
    before = max(tmp_path.glob("log-*"))
    old_data = before.read_bytes()
    image = SnapshotImage(5, 2, CONFIGURATION, b"leader")
    storage.write(Batch(HardState(2), (), image))
    storage.sync()
    storage.close()
    if new_segment_lost:
        max(tmp_path.glob("log-*")).unlink()
        before.write_bytes(old_data)
    storage, state = open_folder(tmp_path)
    assert (state.snapshot.index, state.entries) == (5, ())
    storage.write(Batch(None, (make_entry(6, term=3),)))
    storage.sync()
    storage.close()
    storage, state = open_folder(tmp_path)
    storage.close()
    assert [(e.index, e.term) for e in state.entries] == [(6, 3)]


def test_segments_stay_small(tmp_path, monkeypatch):
    monkeypatch.setattr("sesameford.log_storage.SEGMENT_LIMIT_BYTES", 500)
    write_batches(
        tmp_path, *(Batch(None, (make_entry(index),)) for index in range(1, 30))
    )
    assert len(list(tmp_path.glob("log-*"))) > 3
    assert read_indexes(tmp_path) == list(range(1, 30))
