"""Calls are sent only to targets that still take work when they are written."""

from random import Random

import pytest
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

ROW = HeartbeatRow("t0", 1, "pool", "10.0.0.1:1", "a", 8, TargetState.READY)


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
