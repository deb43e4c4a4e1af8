"""Origins of streams on a replica's disk."""

import os
from itertools import count
from pathlib import Path

import pytest

from sesameford.gateway.origin_files import ORIGIN_FORMAT, make_origin_files
from sesameford.gateway.row_files import FLUSH_SECONDS, RETRY_SECONDS
from sesameford.messages import StreamOriginRow

KEEP_SECONDS = 14.0
CURRENT_FILE = ORIGIN_FORMAT.current_file(Path()).name
PREVIOUS_FILE = ORIGIN_FORMAT.previous_file(Path()).name


def make_rows(*numbers, keep_seconds=KEEP_SECONDS):
    milliseconds = round(keep_seconds * 1000)
    return tuple(
        StreamOriginRow(f"key-{number}".encode(), "pool", "v1", milliseconds)
        for number in numbers
    )


async def write(files, rows, now_seconds):
    files.append(rows)
    files.tick(now_seconds)
    await files.stop(now_seconds)


def read(folder, now_seconds=0.0):
    return {row.key for row in make_origin_files(folder).read(now_seconds)}


def keys(*numbers):
    return {row.key for row in make_rows(*numbers)}


async def test_a_process_reads_what_all_before_it_wrote(tmp_path):
    """Guards against origins that are lost when a second process is killed."""
    for number in range(3):
        files = make_origin_files(tmp_path)
        files.read(0.0)
        await write(files, make_rows(number), 1.0)
    assert read(tmp_path) == read(tmp_path) == keys(0, 1, 2)


async def test_a_torn_or_damaged_file_loses_its_end_alone(tmp_path):
    """Guards against a loss of power that makes a replica lose all origins."""
    files = make_origin_files(tmp_path)
    files.read(0.0)
    for number in range(3):
        await write(files, make_rows(number), 0.0)
    current = tmp_path / CURRENT_FILE
    data = current.read_bytes()
    current.write_bytes(data[:-5])
    assert read(tmp_path) == keys(0, 1)
    assert read(tmp_path) == keys(0, 1)
    current.write_bytes(data[: len(data) // 2] + b"x" + data[len(data) // 2 + 1 :])
    assert keys(0) <= read(tmp_path) <= keys(0, 1, 2)


async def test_what_is_kept_is_bounded_and_nothing_is_dropped_too_soon(tmp_path):
    """Guards against files that grow, and against rows that end before their time."""
    files = make_origin_files(tmp_path)
    files.read(0.0)
    seconds = 0.0
    for number in count():
        seconds = number * FLUSH_SECONDS
        if seconds > 4 * KEEP_SECONDS:
            break
        keep_seconds = 2 * KEEP_SECONDS if number == 5 else KEEP_SECONDS
        await write(files, make_rows(number, keep_seconds=keep_seconds), seconds)
        if seconds < 2 * KEEP_SECONDS:
            assert keys(5) <= peek(tmp_path) or number < 5
        lasting = range(max(number - int(KEEP_SECONDS / FLUSH_SECONDS), 0), number + 1)
        assert keys(*lasting) <= peek(tmp_path)
    assert len(peek(tmp_path)) <= 4 * KEEP_SECONDS / FLUSH_SECONDS


def peek(folder):
    """Return the keys in the files without a start that joins them."""
    data = b"".join(
        (folder / name).read_bytes()
        for name in (PREVIOUS_FILE, CURRENT_FILE)
        if (folder / name).exists()
    )
    return {key for key in keys(*range(300)) if key in data}


async def test_a_full_disk_costs_rows_and_no_more(tmp_path, monkeypatch, caplog):
    """Guards against a replica that ends, or never writes again, after a full disk."""
    files = make_origin_files(tmp_path)
    files.read(0.0)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", _raise_full)
        await write(files, make_rows(1), 0.0)
    assert "origins of streams were not written" in caplog.text
    files.append(make_rows(2))
    files.tick(RETRY_SECONDS - 0.1)
    assert read(tmp_path) == set()
    await write(files, make_rows(3), RETRY_SECONDS)
    assert read(tmp_path) == keys(2, 3)


async def test_rows_behind_a_write_that_failed_halfway_are_read(tmp_path, monkeypatch):
    """Guards against a disk that was full once and hides all later origins."""
    files = make_origin_files(tmp_path)
    files.read(0.0)
    await write(files, make_rows(1), 0.0)
    write_bytes = os.write

    def write_half(descriptor, data):
        if len(data) < 40:
            _raise_full(descriptor, data)
        return write_bytes(descriptor, data[: len(data) // 2])

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_half)
        await write(files, make_rows(2), 1.0)
    await write(files, make_rows(3), 1.0 + RETRY_SECONDS)
    assert read(tmp_path) == keys(1, 3)


def _raise_full(descriptor, data):
    raise OSError(28, "No space left on device")


def test_a_folder_that_cannot_be_written_is_logged(tmp_path, caplog):
    """Guards against a replica that does not start for the sake of origins."""
    (tmp_path / "data").write_text("a file, not a folder")
    assert make_origin_files(tmp_path / "data").read(0.0) == []
    assert "can't be kept on disk" in caplog.text


@pytest.mark.parametrize("name", [CURRENT_FILE, PREVIOUS_FILE])
def test_a_file_of_other_content_is_as_good_as_empty(tmp_path, name):
    """Guards against a replica that does not start on a damaged file."""
    (tmp_path / name).write_bytes(b"no record" * 100)
    assert read(tmp_path) == set()
