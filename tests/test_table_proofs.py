"""Calls are sent only by a table of targets that is proven to be recent."""

from random import Random
from time import monotonic

import pytest
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.placement import make_placement
from sesameford.gateway.table_proof import (
    CUT_OFF_SECONDS,
    MAX_TABLE_AGE_SECONDS,
    make_table_proof,
)
from sesameford.load_messages import FleetLoad
from sesameford.messages import HeartbeatRow, HeartbeatRows
from sesameford.tables import TargetState
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk

ROW = HeartbeatRow("t0", 1, "pool", "10.0.0.1:1", "a", 8, TargetState.READY)
DIGEST = 77


def make_reserved():
    """Return a table, a placement over it and a reservation of its one target."""
    table = make_heartbeat_table()
    table.handle_heartbeat(ROW, 0.0)
    placement = make_placement(table, "a", 1e6, Random(1))
    reservation = placement.choose("pool", None, None, 0.25, frozenset(), 1.0)
    return table, placement, reservation


def drain(table):
    table.handle_heartbeat(replace(ROW, sequence=2, state=TargetState.DRAINING), 1.1)


def leave(table):
    table.handle_leave(ROW.target_id, 1.1)


def start_again(table):
    table.handle_heartbeat(replace(ROW, incarnation=ROW.incarnation + 1), 1.1)


@pytest.mark.parametrize("change", [drain, leave, start_again])
def test_a_call_that_waits_for_a_connection_is_not_sent_to_a_target_that_left(change):
    """Guards against new work for a target that leaves between choice and write."""
    table, placement, reservation = make_reserved()
    assert placement.may_send(reservation, 1.05)
    change(table)
    assert not placement.may_send(reservation, 1.2)


def make_lagging(late_seconds, now_seconds):
    """Return the lag of a loop that has just been late."""
    lag = make_loop_lag()
    lag.record_run(0.0, now_seconds - late_seconds)
    lag.record_run(0.02, now_seconds)
    return lag


def make_answer(sent_at_seconds, digest=DIGEST):
    """Return a replica's answer to a report that was sent at a time."""
    milliseconds = round(sent_at_seconds * 1000)
    return FleetLoad((), 1, report_milliseconds=milliseconds, table_digest=digest)


def test_a_late_router_sends_nothing_by_a_table_that_is_not_proven():
    """Guards against work for targets whose leave lies unread at a late router."""
    proof = make_table_proof()
    proof.record_answer(make_answer(10.0), DIGEST, 10.2)
    late = 10.0 + MAX_TABLE_AGE_SECONDS + 0.1
    lag = make_lagging(0.6, late)
    assert proof.allows_sending(lag, 10.0 + MAX_TABLE_AGE_SECONDS - 0.1)
    assert not proof.allows_sending(lag, late)
    # An answer to an older report proves nothing more, however late it is read.
    proof.record_answer(make_answer(10.05), DIGEST, late)
    assert not proof.allows_sending(lag, late)
    proof.record_answer(make_answer(late - 0.5, digest=78), DIGEST, late)
    assert not proof.allows_sending(lag, late)
    proof.record_answer(make_answer(late - 0.5), DIGEST, late)
    assert proof.allows_sending(lag, late)


def test_all_rows_of_a_replica_prove_a_table_whose_digest_differs():
    """Guards against late routers that serve nothing after replicas started anew."""
    table = make_heartbeat_table()
    table.handle_heartbeat(ROW, 0.0)
    proof = make_table_proof()
    proof.record_answer(make_answer(10.0), DIGEST, 10.0)
    table.request_first_rows("p1", 12.0)
    rows = HeartbeatRows((), is_whole=True)
    table.handle_message("p1", rows, 12.4)
    table.handle_message("p1", rows, 20.0)
    proof.record_answer(make_answer(12.5, digest=78), DIGEST, 12.6)
    proof.record_rows(table.rows_requested_at_seconds)
    asked_seconds = 12.0 + MAX_TABLE_AGE_SECONDS
    lag = make_lagging(0.6, asked_seconds)
    assert proof.allows_sending(lag, asked_seconds - 0.1)
    assert not proof.allows_sending(lag, asked_seconds + 0.1)


@pytest.mark.parametrize(("late_seconds", "allows"), [(0.1, True), (0.2, False)])
def test_a_table_is_doubted_only_where_messages_may_lie_unread(late_seconds, allows):
    """Guards against refusals at routers that are late by no more than usual."""
    proof = make_table_proof()
    proof.record_answer(make_answer(10.0), DIGEST, 10.0)
    proof.record_answer(make_answer(11.9, digest=78), DIGEST, 12.0)
    assert proof.allows_sending(make_lagging(late_seconds, 12.0), 12.0) == allows


def test_a_router_that_is_cut_off_goes_on_by_the_table_that_it_has():
    """Guards against a cut-off data centre that serves nothing."""
    proof = make_table_proof()
    proof.record_answer(make_answer(10.0), DIGEST, 10.0)
    assert proof.allows_sending(make_loop_lag(), 20.0)
    cut = 10.1 + CUT_OFF_SECONDS
    assert proof.allows_sending(make_lagging(0.6, cut), cut)


def test_a_replica_of_an_earlier_release_takes_nothing_away():
    """Guards against late routers that serve nothing beside older replicas."""
    proof = make_table_proof()
    proof.record_answer(make_answer(10.0), DIGEST, 10.0)
    proof.record_answer(FleetLoad((), 1), DIGEST, 12.0)
    assert proof.allows_sending(make_lagging(0.6, 12.1), 12.1)


async def test_a_late_router_refuses_calls_while_its_table_is_not_proven():
    """Guards against calls that wait for their deadline at a router that can't send."""
    async with open_desk(Fault.NONE) as desk:
        now_seconds = monotonic()
        proof = desk.deps.table_proof
        proof.record_answer(make_answer(now_seconds - 3.0), DIGEST, now_seconds)
        desk.deps.lag.record_run(0.0, now_seconds - 0.2)
        desk.deps.lag.record_run(60.0, now_seconds)
        desk.deps.lag.late_seconds = 0.0
        status, _, headers = await desk.ask("/safe/")
        assert status == 503
        assert float(headers["Retry-After"]) < 1.0
        assert desk.runs == 0
