"""Rows on a replica's disk, for when all instances start at once.

What the instances tell each other lives in their memory. If all of them are killed or
lose power at the same time, nobody knows it any more. So each replica also appends the
rows that it is sent to a file. Nobody waits for that: the rows of the last moments may
be lost.

There are two files, the current one and the one before. When the rows of the one before
are over, the current one takes its place, so what is read at a start is bounded.
"""

import asyncio
import logging
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import StorageError
from sesameford.log_files import (
    open_for_append,
    read_file,
    remove_file,
    replace_file,
    storage_error,
    sync_data,
    sync_folder,
    write_all,
)
from sesameford.log_records import RecordKind, encode_record, read_records

logger = logging.getLogger(__name__)

# Each flush syncs the disk, which the log shares.
FLUSH_SECONDS = 0.2
# Rows beyond this wait for a disk that stands still; the oldest are dropped.
MAX_PENDING_ROWS = 20_000
# A file of this size is replaced even if its rows are not over.
MAX_FILE_BYTES = 8_000_000
# After a failed write the next one waits so long.
RETRY_SECONDS = 10.0

Row = TypeVar("Row")

_encoder = Encoder()


@dataclass(frozen=True, slots=True)
class RowFormat(Generic[Row]):
    """How the rows of one kind are stored.

    Args:
        prefix: Begins the names of their files.
        label: What log lines call them.
        kind: The kind of their records.
        decoder: Decodes the rows of one record.
        keep_seconds: Returns how long a row is of use from when it is written.
    """

    prefix: str
    label: str
    kind: RecordKind
    decoder: Decoder[tuple[Row, ...]]
    keep_seconds: Callable[[Row], float]

    def current_file(self, folder: Path) -> Path:
        """Return the file to which rows are appended."""
        return folder / f"{self.prefix}-current"

    def previous_file(self, folder: Path) -> Path:
        """Return the file before the current one."""
        return folder / f"{self.prefix}-previous"


class RowFiles(Generic[Row]):
    """Appends rows to the current file; made by ``make_row_files``.

    Args:
        folder: The replica's data folder.
        row_format: The kind of rows.
        present_rows: Returns the rows with which a new file begins, so that none is
            lost with the one before.
    """

    def __init__(
        self,
        folder: Path,
        row_format: RowFormat[Row],
        present_rows: Callable[[], Sequence[Row]],
    ) -> None:
        self._current = row_format.current_file(folder)
        self._previous = row_format.previous_file(folder)
        self._format = row_format
        self._present_rows = present_rows
        self._pending: list[Row] = []
        self._written_bytes = 0
        self._keep_seconds = 0.0
        self._previous_keep_seconds = 0.0
        self._since_seconds = float("-inf")
        self._next_flush_seconds = float("-inf")
        self._job: asyncio.Task[None] | None = None

    def read(
        self,
        now_seconds: float,
        merge: Callable[[list[Row]], Sequence[Row]] = list,
    ) -> Sequence[Row]:
        """Return the rows of the process before, and keep them in one file.

        A file that can't be read is as good as empty.

        Args:
            now_seconds: The present time.
            merge: Returns the rows that are kept of those that were read.
        """
        rows = merge(self._read_rows(self._previous) + self._read_rows(self._current))
        self._since_seconds = now_seconds
        self._previous_keep_seconds = self._longest_keep_seconds(rows)
        try:
            self._current.parent.mkdir(parents=True, exist_ok=True)
            replace_file(self._previous, self._encode_rows(rows))
            remove_file(self._current)
        except (OSError, StorageError) as error:
            if self._current.exists():
                # Its rows stay, and new ones are written behind them.
                self._written_bytes = self._current.stat().st_size
            logger.warning(
                f"{self._format.label} can't be kept on disk",
                extra={"error": str(error)},
            )
        return rows

    def append(self, rows: Sequence[Row]) -> None:
        """Write rows with the next flush."""
        self._pending += rows
        dropped = len(self._pending) - MAX_PENDING_ROWS
        if dropped > 0:
            del self._pending[:dropped]
            logger.warning(
                f"{self._format.label} wait for the disk", extra={"dropped": dropped}
            )

    def tick(self, now_seconds: float) -> None:
        """Start to write the pending rows if that is due."""
        is_writing = self._job is not None and not self._job.done()
        if is_writing or not self._pending or now_seconds < self._next_flush_seconds:
            return
        self._next_flush_seconds = now_seconds + FLUSH_SECONDS
        rows, self._pending = self._pending, []
        self._job = asyncio.create_task(self._flush(rows, now_seconds))

    async def stop(self, now_seconds: float) -> None:
        """Write all rows to the disk."""
        if self._job is not None:
            await self._job
        if self._pending:
            await self._flush(self._pending, now_seconds)

    async def _flush(self, rows: Sequence[Row], now_seconds: float) -> None:
        must_rotate = self._must_rotate(now_seconds)
        if must_rotate:
            rows = [*self._present_rows(), *rows]
        try:
            await asyncio.to_thread(self._write, rows, must_rotate)
        except StorageError as error:
            self._next_flush_seconds = now_seconds + RETRY_SECONDS
            logger.warning(
                f"{self._format.label} were not written",
                extra={"rows": len(rows), "error": str(error)},
            )

    def _must_rotate(self, now_seconds: float) -> bool:
        """Return whether the current file takes the place of the one before."""
        if self._written_bytes == 0:
            return False
        is_over = now_seconds - self._since_seconds > self._previous_keep_seconds
        if not is_over and self._written_bytes < MAX_FILE_BYTES:
            return False
        self._since_seconds = now_seconds
        return True

    def _write(self, rows: Sequence[Row], must_rotate: bool) -> None:
        """Append rows and sync them, in a thread of its own.

        Raises:
            StorageError: The disk is full or failed.
        """
        if must_rotate:
            self._rotate()
        data = self._encode_rows(rows)
        is_new = self._written_bytes == 0
        descriptor = open_for_append(self._current)
        try:
            self._drop_unfinished_write(descriptor)
            write_all(descriptor, data, self._current, self._written_bytes)
            sync_data(descriptor, self._current, self._written_bytes)
        finally:
            os.close(descriptor)
        if is_new:
            sync_folder(self._current.parent)
        self._written_bytes += len(data)
        self._keep_seconds = max(self._keep_seconds, self._longest_keep_seconds(rows))

    def _drop_unfinished_write(self, descriptor: int) -> None:
        """Cut off what a write that failed has left, as nothing is read behind it."""
        try:
            os.ftruncate(descriptor, self._written_bytes)
        except OSError as error:
            raise storage_error(self._current, self._written_bytes, error) from error

    def _rotate(self) -> None:
        try:
            os.replace(self._current, self._previous)
        except OSError as error:
            raise storage_error(self._current, 0, error) from error
        self._written_bytes = 0
        self._previous_keep_seconds, self._keep_seconds = self._keep_seconds, 0.0

    def _longest_keep_seconds(self, rows: Sequence[Row]) -> float:
        return max(map(self._format.keep_seconds, rows), default=0.0)

    def _encode_rows(self, rows: Sequence[Row]) -> bytes:
        return encode_record(self._format.kind, _encoder.encode(rows))

    def _read_rows(self, file: Path) -> list[Row]:
        rows: list[Row] = []
        if not file.exists():
            return rows
        try:
            for record in read_records(read_file(file), str(file), may_be_torn=True):
                rows += self._format.decoder.decode(record.payload)
        except (StorageError, DecodeError, ValidationError) as error:
            logger.warning(
                f"{self._format.label} can't be read", extra={"error": str(error)}
            )
        return rows


def make_row_files(
    folder: Path,
    row_format: RowFormat[Row],
    present_rows: Callable[[], Sequence[Row]] = tuple,
) -> RowFiles[Row]:
    """Return the files of a replica; ``read`` comes before the first ``append``.

    Args:
        folder: The replica's data folder.
        row_format: The kind of rows.
        present_rows: Returns the rows with which a new file begins.
    """
    return RowFiles(folder, row_format, present_rows)
