"""Rows of the table of suspects on a replica's disk.

Without them, a request or a part of prompts that crashes targets would be learnt anew
after all instances started at once, at the cost of as many targets as the first time.
"""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from time import time

from msgspec import Struct
from msgspec.msgpack import Decoder

from sesameford.gateway.row_files import RowFiles, RowFormat, make_row_files
from sesameford.log_records import RecordKind
from sesameford.messages import SuspectUpdate
from sesameford.suspect_rows import Suspect, make_updates
from sesameford.suspect_table import SUSPECT_RETENTION_SECONDS
from sesameford.suspects import Suspects


class StoredSuspect(Struct, frozen=True, array_like=True):
    """A row as it was when it changed, at a Unix time in seconds."""

    update: SuspectUpdate
    changed_at_seconds: float


SUSPECT_FORMAT = RowFormat(
    "suspects",
    "suspects",
    RecordKind.SUSPECTS,
    Decoder(tuple[StoredSuspect, ...]),
    lambda row: SUSPECT_RETENTION_SECONDS,
)


class SuspectFiles:
    """Keeps a replica's table of suspects on its disk.

    Args:
        folder: The replica's data folder.
        suspects: The table.
        now: The present time, of the clock of the table.
        unix_now: The Unix time in seconds.
    """

    def __init__(
        self,
        folder: Path,
        suspects: Suspects,
        now: Callable[[], float],
        unix_now: Callable[[], float],
    ) -> None:
        self._suspects = suspects
        self._now = now
        self._unix_now = unix_now
        self._files: RowFiles[StoredSuspect] = make_row_files(
            folder, SUSPECT_FORMAT, self._present_rows
        )

    def read(self) -> int:
        """Add the rows of the process before to the table; return how many it has.

        A quarantine starts anew: nobody knows how long the deployment was down.
        """
        return len(self._files.read(self._now(), self._merge))

    def append(self, rows: Iterable[Suspect]) -> None:
        """Write rows that changed with the next flush."""
        unix_seconds = self._unix_now()
        stored = [
            StoredSuspect(update, unix_seconds)
            for row in rows
            for update in make_updates(row)
        ]
        if stored:
            self._files.append(stored)

    def tick(self, now_seconds: float) -> None:
        """Start to write the pending rows if that is due."""
        self._files.tick(now_seconds)

    async def stop(self, now_seconds: float) -> None:
        """Write all rows to the disk."""
        await self._files.stop(now_seconds)

    def _merge(self, stored: Sequence[StoredSuspect]) -> Sequence[StoredSuspect]:
        """Add stored rows to the table; return what it has then."""
        # A clock that was ahead as a row was written makes it no older than others.
        unix_seconds = self._unix_now()
        oldest_seconds = unix_seconds - SUSPECT_RETENTION_SECONDS
        recent = [one for one in stored if one.changed_at_seconds >= oldest_seconds]
        now_seconds = self._now()
        ordered = sorted(recent, key=lambda one: one.changed_at_seconds)
        ages = [max(0.0, unix_seconds - one.changed_at_seconds) for one in ordered]
        self._suspects.restore(
            [
                (one.update, now_seconds - age_seconds)
                for one, age_seconds in zip(ordered, ages, strict=True)
            ],
            now_seconds,
        )
        return self._present_rows()

    def _present_rows(self) -> Sequence[StoredSuspect]:
        ahead_seconds = self._unix_now() - self._now()
        return [
            StoredSuspect(update, row.last_seen_at_seconds + ahead_seconds)
            for row in self._suspects.list_rows()
            for update in make_updates(row)
        ]


def make_suspect_files(
    folder: Path,
    suspects: Suspects,
    now: Callable[[], float],
    unix_now: Callable[[], float] = time,
) -> SuspectFiles:
    """Return the files of a replica's table; see ``SuspectFiles``."""
    return SuspectFiles(folder, suspects, now, unix_now)
