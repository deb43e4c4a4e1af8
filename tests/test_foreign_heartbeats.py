"""Heartbeats that come from another program than a server."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesameford.codec import encode_message
from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.messages import HeartbeatRows
from sesameford_platform.control import BadHeartbeatError, read_heartbeat

HEARTBEAT = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "hall",
    "state": "ready",
    "sequence": 4,
    "slots": 16,
    "cold_remaining_ms": 0,
    "born": 1_700_000_000_000,
}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "16"},
        {"slots": -1},
        {"sequence": 2**64},
        {"sequence": None},
        {"born": -1},
        {"address": "nowhere"},
        {"address": 7},
        {"address": "10.0.0.1"},
    ],
)
def test_a_heartbeat_with_an_odd_field_is_refused(change):
    """Guards against an entry that no peer can receive, or a target without address."""
    with pytest.raises(BadHeartbeatError):
        read_heartbeat("s1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize("field", ["service", "address", "zone", "state", "sequence"])
def test_a_heartbeat_without_a_field_is_refused(field):
    body = {name: value for name, value in HEARTBEAT.items() if name != field}
    with pytest.raises(BadHeartbeatError):
        read_heartbeat("s1", json.dumps(body).encode())


@given(st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), VALUES), st.binary())
def test_whatever_arrives_other_targets_hold_and_peers_can_receive_all(changes, tail):
    """Guards against one unreadable heartbeat that hides all targets from peers."""
    table = make_heartbeat_table()
    usual = json.dumps(HEARTBEAT).encode()
    table.handle_heartbeat(read_heartbeat("s0", usual), 0.0)
    odd = json.dumps(HEARTBEAT | changes).encode()
    for body in (odd, odd + tail, tail):
        try:
            row = read_heartbeat("s1", body)
        except BadHeartbeatError:
            continue
        table.handle_heartbeat(row, 0.0)
    assert table.entries["s0"].row.address == HEARTBEAT["address"]
    encode_message(HeartbeatRows(tuple(one.row for one in table.entries.values())))
