"""The origins of streams on a replica's disk.

Without them, callers who return after all instances started at once are refused, as
nobody knows where their streams began.
"""

from pathlib import Path

from msgspec.msgpack import Decoder

from sesameford.gateway.row_files import RowFiles, RowFormat, make_row_files
from sesameford.log_records import RecordKind
from sesameford.messages import StreamOriginRow

ORIGIN_FORMAT = RowFormat(
    "origins",
    "origins of streams",
    RecordKind.ORIGINS,
    Decoder(tuple[StreamOriginRow, ...]),
    lambda row: row.keep_milliseconds / 1000,
)

OriginFiles = RowFiles[StreamOriginRow]


def make_origin_files(folder: Path) -> OriginFiles:
    """Return the files of a replica; see ``RowFiles``."""
    return make_row_files(folder, ORIGIN_FORMAT)
