"""The log's files, with every fault of a disk brought about on real files."""

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

ME = Member("a", 1)
CONFIGURATION = Configuration(1, (ME,))
numbers = count(1)


def opened(folder):
    return open_storage(folder, "a", lambda: next(numbers))


def entry(index, term=1, size=20):
    return Entry(index, term, Command(f"p{index}", "m", b"x" * size))


def written(folder, *batches):
    """Write batches, each synced, and close; return the file last written to."""
    storage, _ = opened(folder)
    for batch in batches:
        storage.write(batch)
        storage.sync()
    storage.close()
    return max(folder.glob("log-*"))


def entries_of(folder):
    storage, state = opened(folder)
    storage.close()
    return [entry.index for entry in state.entries]


def three_entries(folder):
    return written(folder, *(Batch(None, (entry(index),)) for index in (1, 2, 3)))


def test_what_was_synced_is_read_again(tmp_path):
    written(
        tmp_path,
        Batch(HardState(3, ME), (entry(1), entry(2), entry(3))),
        Batch(None, (entry(2, term=2),)),
    )
    storage, state = opened(tmp_path)
    storage.close()
    assert state.hard_state == HardState(3, ME)
    assert [(e.index, e.term) for e in state.entries] == [(1, 1), (2, 2)]
    assert opened(tmp_path)[1].me == state.me


@given(cut=st.integers(1, 53))
@settings(derandomize=True, max_examples=30, deadline=None)
def test_a_torn_tail_is_cut(tmp_path_factory, cut):
    """The power fails while a record is being written. Nobody was told of it, so the
    replica starts without it and goes on writing behind the last whole one."""
    folder = tmp_path_factory.mktemp("torn")
    file = three_entries(folder)
    os.truncate(file, file.stat().st_size - cut)
    assert entries_of(folder) == [1, 2]
    written(folder, Batch(None, (entry(3, term=5),)))
    assert entries_of(folder) == [1, 2, 3]


def test_a_tail_of_zeros_is_cut(tmp_path):
    """The power fails after the file grew and before its content was written."""
    file = three_entries(tmp_path)
    with file.open("ab") as stream:
        stream.write(bytes(700))
    assert entries_of(tmp_path) == [1, 2, 3]


@pytest.mark.parametrize("which", [0, 1, 2])
def test_bit_rot_refuses_the_start(tmp_path, which):
    """A bit of an old record flips on the disk. The replica has acknowledged that
    record; to go on without it could make an accepted change vanish, so it refuses
    to start and names file and offset. The last record is no exception."""
    file = three_entries(tmp_path)
    data = bytearray(file.read_bytes())
    starts = [at for at in range(len(data)) if data[at : at + 4] == b"SFR1"][-3:]
    data[starts[which] + HEADER_BYTES + 3] ^= 4
    file.write_bytes(data)
    with pytest.raises(StorageError) as caught:
        opened(tmp_path)
    assert caught.value.file == str(file)
    assert caught.value.offset_bytes == starts[which]


def test_rot_in_an_older_segment_or_a_missing_one_refuses_the_start(tmp_path):
    """A file in the middle of the log is cut short or gone; the log has a hole."""
    storage, _ = opened(tmp_path)
    for index in (1, 2, 3):
        storage.write(Batch(None, (entry(index),)))
        storage.sync()
        storage.begin_segment(index + 1)
    storage.close()
    second = sorted(tmp_path.glob("log-*"))[1]
    data = second.read_bytes()
    os.truncate(second, len(data) - 5)
    with pytest.raises(StorageError, match="damaged"):
        opened(tmp_path)
    second.unlink()
    with pytest.raises(StorageError, match="missing"):
        opened(tmp_path)
    second.write_bytes(data)
    assert entries_of(tmp_path) == [1, 2, 3]


def test_a_rotten_snapshot_or_identity_refuses_the_start(tmp_path):
    """The snapshot or the identity can't be read. Without them the replica would
    begin anew beside what it once acknowledged."""
    storage, _ = opened(tmp_path)
    storage.write(Batch(None, (entry(1),)))
    storage.save_snapshot(SnapshotImage(1, 1, CONFIGURATION, b"state"))
    storage.close()
    for name in ("snapshot", "identity"):
        file = tmp_path / name
        data = file.read_bytes()
        file.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))
        with pytest.raises(StorageError) as caught:
            opened(tmp_path)
        assert caught.value.file == str(file)
        file.write_bytes(data)
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="missing"):
        opened(tmp_path)


def test_a_failed_sync_is_final(tmp_path, monkeypatch):
    """The disk fails a sync once. The system drops the unwritten pages and the next
    sync reports success; a replica that tried again would acknowledge what is not
    on the disk. It must stop, and write its tail anew at the next start."""
    storage, _ = opened(tmp_path)
    storage.write(Batch(None, (entry(1),)))

    def failing(descriptor):
        raise OSError(errno.EIO, "input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(log_files.os, "fdatasync", failing)
        with pytest.raises(StorageError):
            storage.sync()
    for operation in (storage.sync, lambda: storage.write(Batch(None, (entry(2),)))):
        with pytest.raises(StorageError, match="input/output"):
            operation()
    storage.close()
    file = max(tmp_path.glob("log-*"))
    inode = file.stat().st_ino
    assert entries_of(tmp_path) == [1]
    assert max(tmp_path.glob("log-*")).stat().st_ino != inode


def test_a_full_disk_and_a_short_write(tmp_path, monkeypatch):
    """The disk has room for a part of a record only. The part is written, the rest
    fails; nothing of it may be acknowledged, and the next start cuts the part."""
    storage, _ = opened(tmp_path)
    storage.write(Batch(None, (entry(1),)))
    storage.sync()
    real_write, room = os.write, [30]

    def nearly_full(descriptor, data):
        if not room[0]:
            raise OSError(errno.ENOSPC, "no space left on device")
        part = bytes(data)[: min(7, room[0])]
        room[0] -= len(part)
        return real_write(descriptor, part)

    with monkeypatch.context() as patch:
        patch.setattr(log_files.os, "write", nearly_full)
        with pytest.raises(StorageError, match="no space"):
            storage.write(Batch(None, (entry(2),)))
        with pytest.raises(StorageError, match="no space"):
            storage.sync()
    storage.close()
    assert entries_of(tmp_path) == [1]
    room[0] = 10**6
    monkeypatch.setattr(log_files.os, "write", nearly_full)
    written(tmp_path, Batch(None, (entry(2),)))
    assert entries_of(tmp_path) == [1, 2]


def test_a_leftover_temporary_file_is_passed_over(tmp_path):
    """The power fails before a new snapshot gets its name; the old state holds."""
    three_entries(tmp_path)
    (tmp_path / "snapshot.tmp").write_bytes(b"half a snapshot")
    assert entries_of(tmp_path) == [1, 2, 3]
    assert not (tmp_path / "snapshot.tmp").exists()


def test_two_daemons_on_one_folder(tmp_path):
    """An operator starts a second daemon on the same data folder. It must refuse,
    or both would write over each other's records."""
    storage, _ = opened(tmp_path)
    with pytest.raises(StorageError, match="another process"):
        opened(tmp_path)
    storage.close()
    opened(tmp_path)[0].close()


def test_the_folder_of_another_instance_is_refused(tmp_path):
    opened(tmp_path)[0].close()
    with pytest.raises(StorageError, match="belongs to instance a"):
        open_storage(tmp_path, "b", lambda: 1)


def test_a_snapshot_drops_the_segments_that_it_covers(tmp_path):
    storage, _ = opened(tmp_path)
    for index in range(1, 6):
        storage.write(Batch(None, (entry(index),)))
        storage.save_snapshot(SnapshotImage(index, 1, CONFIGURATION, b"state"))
    storage.write(Batch(None, (entry(6),)))
    storage.sync()
    storage.close()
    assert len(list(tmp_path.glob("log-*"))) == 1
    storage, state = opened(tmp_path)
    storage.close()
    assert state.snapshot.index == 5
    assert [entry.index for entry in state.entries] == [6]


@pytest.mark.parametrize("new_segment_lost", [False, True])
def test_a_leaders_snapshot_voids_what_contradicts_it(tmp_path, new_segment_lost):
    """A replica takes over a leader's snapshot, and the power fails in the middle of
    it. The entries that the snapshot replaced must not come back."""
    storage, _ = opened(tmp_path)
    storage.write(Batch(None, tuple(entry(index) for index in range(1, 8))))
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
    storage, state = opened(tmp_path)
    assert (state.snapshot.index, state.entries) == (5, ())
    storage.write(Batch(None, (entry(6, term=3),)))
    storage.sync()
    storage.close()
    storage, state = opened(tmp_path)
    storage.close()
    assert [(e.index, e.term) for e in state.entries] == [(6, 3)]


def test_segments_stay_small(tmp_path, monkeypatch):
    monkeypatch.setattr("sesameford.log_storage.SEGMENT_LIMIT_BYTES", 500)
    written(tmp_path, *(Batch(None, (entry(index),)) for index in range(1, 30)))
    assert len(list(tmp_path.glob("log-*"))) > 3
    assert entries_of(tmp_path) == list(range(1, 30))
