"""File operations of the log; each reports a failure as a ``StorageError``."""

import fcntl
import os
from pathlib import Path

from sesameford.errors import StorageError

TEMPORARY_SUFFIX = ".tmp"


def open_for_append(file: Path) -> int:
    """Open a file for appending, made if missing, and return the descriptor."""
    try:
        return os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    except OSError as error:
        raise storage_error(file, 0, error) from error


def write_all(descriptor: int, data: bytes, file: Path, offset_bytes: int) -> None:
    """Write all of the data.

    A write may be short, for example on a disk that is nearly full; without the loop
    the rest would be missing from the middle of the log.

    Args:
        descriptor: The open file.
        data: The bytes to write.
        file: The file's name, for errors.
        offset_bytes: The offset of the data in the file, for errors.

    Raises:
        StorageError: The disk is full or failed.
    """
    view = memoryview(data)
    done = 0
    while done < len(view):
        try:
            written = os.write(descriptor, view[done:])
        except OSError as error:
            raise storage_error(file, offset_bytes + done, error) from error
        if written == 0:
            raise StorageError(str(file), offset_bytes + done, "nothing was written")
        done += written


def sync_data(descriptor: int, file: Path, offset_bytes: int) -> None:
    """Sync a file's data.

    Raises:
        StorageError: Data written since the last sync may be lost. A second sync
            would report success without having written it.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise storage_error(file, offset_bytes, error) from error


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that new and renamed files exist after a crash."""
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        raise storage_error(folder, 0, error) from error


def replace_file(file: Path, data: bytes) -> None:
    """Replace a file atomically and sync it.

    Args:
        file: The file; its old content stays until the new content is synced.
        data: The new content.

    Raises:
        StorageError: The disk is full or failed.
    """
    temporary = file.with_name(file.name + TEMPORARY_SUFFIX)
    remove_file(temporary)
    descriptor = open_for_append(temporary)
    try:
        write_all(descriptor, data, temporary, 0)
        sync_data(descriptor, temporary, 0)
    finally:
        os.close(descriptor)
    try:
        os.replace(temporary, file)
    except OSError as error:
        raise storage_error(file, 0, error) from error
    sync_folder(file.parent)


def read_file(file: Path) -> bytes:
    """Return a file's content."""
    try:
        return file.read_bytes()
    except OSError as error:
        raise storage_error(file, 0, error) from error


def remove_file(file: Path) -> None:
    """Remove a file if it exists."""
    try:
        file.unlink(missing_ok=True)
    except OSError as error:
        raise storage_error(file, 0, error) from error


def lock_folder(folder: Path) -> int:
    """Lock the data folder for this process.

    Two daemons on one folder would write over each other's records, and the next
    start would find a damaged log.

    Args:
        folder: The data folder, made if missing.

    Returns:
        A descriptor that holds the lock until it is closed or the process ends.

    Raises:
        StorageError: Another process holds the lock.
    """
    file = folder / "lock"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(file, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise storage_error(file, 0, error) from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise StorageError(
            str(file), 0, "another process uses this data folder"
        ) from error
    return descriptor


def storage_error(file: Path, offset_bytes: int, error: OSError) -> StorageError:
    """Return the ``StorageError`` for an error of the operating system."""
    return StorageError(str(file), offset_bytes, error.strerror or str(error))
