"""Rows of suspects on a replica's disk, and what a process that starts is sent."""

import asyncio

import pytest

from sesameford.gateway.suspect_exchange import (
    MAX_TABLE_WAIT_SECONDS,
    make_suspect_exchange,
)
from sesameford.gateway.suspect_files import SUSPECT_FORMAT, make_suspect_files
from sesameford.messages import SuspectUpdate
from sesameford.request_digest import digest_part, digest_request, logged_digest
from sesameford.suspect_table import SUSPECT_RETENTION_SECONDS
from sesameford.suspects import SuspectTreatment

PART, NEIGHBOUR = digest_part("club", 1), digest_part("club", 2)
REQUEST = digest_request("club", "POST", "h", "/x", b"")
DAY_SECONDS = 86_400.0


class Clock:
    """A replica's clocks; the one of the day may jump."""

    def __init__(self):
        self.seconds = 10.0
        self.unix_seconds = 1_000_000_000.0


def start_replica(folder, clock):
    """Return the exchange of a replica that reads its disk."""
    exchange = make_suspect_exchange("a", 300.0, True, lambda now: (), [].append)
    files = make_suspect_files(
        folder, exchange.suspects, lambda: clock.seconds, lambda: clock.unix_seconds
    )
    exchange.open_files(files)
    return exchange


def crash(exchange, digest, *crash_ids):
    update = SuspectUpdate(digest, crash_ids, False, crash_ids)
    exchange.handle_update("r1", update, 10.0)


async def write(exchange):
    exchange.tick(11.0)
    await exchange.stop(11.0)


@pytest.mark.parametrize("ahead_seconds", [0.0, 3600.0, -3600.0, -2 * DAY_SECONDS])
async def test_a_replica_that_starts_knows_what_was_quarantined(
    tmp_path, ahead_seconds
):
    """Guards against rows that end with all processes, or as a clock jumps."""
    clock = Clock()
    exchange = start_replica(tmp_path, clock)
    crash(exchange, PART, "t/1", "t/2")
    crash(exchange, REQUEST, "t/3", "t/4")
    await write(exchange)
    clock.unix_seconds += ahead_seconds
    for _ in range(3):
        suspects = start_replica(tmp_path, clock).suspects
        for digest, parts in ((b"new", (PART,)), (REQUEST, ())):
            treatment = suspects.treatment(digest, clock.seconds, parts)
            assert treatment is SuspectTreatment.QUARANTINED


async def test_a_cleared_suspect_stays_clear_after_a_start(tmp_path):
    """Guards against a disk that returns what a completion or an operator cleared."""
    clock = Clock()
    exchange = start_replica(tmp_path, clock)
    crash(exchange, PART, "t/1", "t/2")
    exchange.lift(logged_digest(PART), 10.0)
    await write(exchange)
    suspects = start_replica(tmp_path, clock).suspects
    treatment = suspects.treatment(b"new", clock.seconds, (PART,))
    assert treatment is SuspectTreatment.CLEAR


async def test_rows_end_after_the_retention_time_however_often_a_replica_starts(
    tmp_path,
):
    """Guards against rows that each start of a process makes new."""
    clock = Clock()
    exchange = start_replica(tmp_path, clock)
    crash(exchange, PART, "t/1", "t/2")
    await write(exchange)
    for _ in range(4):
        clock.unix_seconds += SUSPECT_RETENTION_SECONDS / 3
        await write(start_replica(tmp_path, clock))
    assert not start_replica(tmp_path, clock).suspects.has_rows


async def test_a_damaged_file_costs_no_start(tmp_path):
    """Guards against a replica that does not start on a torn write."""
    clock = Clock()
    exchange = start_replica(tmp_path, clock)
    crash(exchange, PART, "t/1", "t/2")
    await write(exchange)
    crash(exchange, NEIGHBOUR, "t/1", "t/2")
    await write(exchange)
    current = SUSPECT_FORMAT.current_file(tmp_path)
    current.write_bytes(current.read_bytes()[:-3])
    suspects = start_replica(tmp_path, clock).suspects
    treatment = suspects.treatment(b"new", clock.seconds, (PART,))
    assert treatment is SuspectTreatment.QUARANTINED


def make_router(needed_tables):
    return make_suspect_exchange(
        "r1", 300.0, False, lambda now: (), [].append, needed_tables
    )


def test_a_router_that_starts_waits_for_the_rows_of_most_replicas():
    """Guards against a router that sends what all others hold back."""
    router = make_router(2)
    assert not router.has_table(100.0)
    table = SuspectUpdate(b"", (), False, is_table=True)
    for replica, is_first in (("a", True), ("a", False), ("b", True)):
        assert not router.has_table(100.0)
        assert router.handle_update(replica, table, 100.0) is is_first
    assert router.has_table(100.0)
    assert not router.suspects.has_rows


def test_a_router_serves_after_a_time_if_a_replica_sends_no_rows():
    """Guards against a data centre that serves nothing while replicas are cut off."""
    router = make_router(2)
    router.handle_heartbeat("a", 1, 100.0)
    assert not router.has_table(100.0 + MAX_TABLE_WAIT_SECONDS)
    assert router.has_table(100.1 + MAX_TABLE_WAIT_SECONDS)


def test_rows_that_changed_together_are_one_message():
    """Guards against a part that is blamed where the culprit's row is not known yet."""
    sent = []
    router = make_suspect_exchange("r1", 300.0, False, lambda now: ("a",), sent.append)
    for number in (1, 2):
        request = digest_request("club", "POST", "h", f"/{number}", b"")
        digests = [PART, NEIGHBOUR, request]
        router.suspects.record_crash(f"t/{number}", digests, 1.0, trials=digests)
        router.tick(1.0)
    messages = [one.message for one in sent]
    assert [len(one.others) for one in messages] == [2, 2]
    receiver = make_suspect_exchange("r2", 300.0, False, lambda now: (), sent.append)
    receiver.handle_update("a", messages[1], 2.0)
    for parts, expected in (
        ((PART, NEIGHBOUR), SuspectTreatment.QUARANTINED),
        ((PART,), SuspectTreatment.SUSPECT),
    ):
        assert receiver.suspects.treatment(b"new", 2.0, parts) is expected


async def test_rows_are_written_while_calls_go_on(tmp_path):
    """Guards against rows that wait for the end of the process."""
    exchange = start_replica(tmp_path, Clock())
    crash(exchange, PART, "t/1", "t/2")
    exchange.tick(10.1)
    current = SUSPECT_FORMAT.current_file(tmp_path)
    async with asyncio.timeout(5.0):
        while not current.exists() or not current.stat().st_size:
            await asyncio.sleep(0.01)
