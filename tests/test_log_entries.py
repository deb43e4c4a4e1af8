"""Which entries of the log stay in memory once a snapshot covers them."""

import pytest

from sesameford.log_entries import ENTRY_OVERHEAD_BYTES, LogEntries
from sesameford.log_messages import Command, Entry

ENTRIES = 20
COMMAND_BYTES = 1_000
ENTRY_BYTES = COMMAND_BYTES + ENTRY_OVERHEAD_BYTES
SNAPSHOT_INDEX = 15


def make_log():
    entries = (
        Entry(index, 1, Command(str(index), "m", bytes(COMMAND_BYTES)))
        for index in range(1, ENTRIES + 1)
    )
    return LogEntries(0, 0, None, entries)


@pytest.mark.parametrize(
    ("max_entries", "max_bytes", "kept"),
    [
        (4, 100 * ENTRY_BYTES, 4),
        (100, 4 * ENTRY_BYTES, 4),
        (100, 5 * ENTRY_BYTES - 1, 4),
        (100, 100 * ENTRY_BYTES, SNAPSHOT_INDEX),
        (100, ENTRY_BYTES - 1, 0),
        (0, 100 * ENTRY_BYTES, 0),
    ],
)
def test_a_snapshot_leaves_entries_within_both_bounds(max_entries, max_bytes, kept):
    """Guards against large configurations that stay in memory for their number."""
    log = make_log()
    log.compact(log.index_before(SNAPSHOT_INDEX, max_entries, max_bytes))
    assert log.base_index == SNAPSHOT_INDEX - kept
    assert log.last_index == ENTRIES
    later = log.between(log.base_index + 1, ENTRIES)
    assert [entry.index for entry in later] == [*range(log.base_index + 1, ENTRIES + 1)]


def test_entries_that_an_earlier_snapshot_has_dropped_are_not_counted():
    """Guards against an index before the log, as snapshots follow each other soon."""
    log = make_log()
    log.compact(12)
    assert log.index_before(SNAPSHOT_INDEX, 100, 100 * ENTRY_BYTES) == 12
