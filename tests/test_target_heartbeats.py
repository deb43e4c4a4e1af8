"""What a replica acknowledges to targets that drain or leave."""

import asyncio
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.errors import NotReplicatedError
from sesameford.gateway.target_heartbeats import make_target_heartbeats
from sesameford.messages import HeartbeatRow, HeartbeatRows, HeartbeatRowsAck
from sesameford.tables import TargetState

ROW = HeartbeatRow("t0", 1, "pool", "10.0.0.1:1", "a", 8, TargetState.READY)
DRAINING = replace(ROW, sequence=2, state=TargetState.DRAINING)


class Replica:
    """A replica whose messages another one acknowledges, or loses."""

    def __init__(self, is_lost, has_live_replicas):
        self.is_lost = is_lost
        self.sent = []
        links = SimpleNamespace(send=self._send, flush=lambda: None)
        self.heartbeats = make_target_heartbeats(
            make_heartbeat_table(True),
            links,
            lambda: 1.0,
            lambda now_seconds: has_live_replicas,
        )

    def _send(self, outgoing):
        assert isinstance(outgoing.message, HeartbeatRows)
        self.sent += outgoing.message.rows
        if not self.is_lost:
            ack = HeartbeatRowsAck(outgoing.message.token)
            asyncio.get_running_loop().call_soon(self.heartbeats.handle_ack, ack)


async def drain(replica):
    await replica.heartbeats.handle_heartbeat(DRAINING)


async def leave(replica):
    await replica.heartbeats.handle_leave(ROW.target_id)


@pytest.mark.parametrize("end", [drain, leave])
async def test_an_end_that_no_other_replica_has_is_not_acknowledged(end):
    """Guards against a drain that is lost with the one replica that acknowledged it."""
    replica = Replica(is_lost=True, has_live_replicas=True)
    await replica.heartbeats.handle_heartbeat(ROW)
    for _ in range(2):
        with pytest.raises(NotReplicatedError):
            await end(replica)
    replica.is_lost = False
    sent = len(replica.sent)
    await end(replica)
    assert len(replica.sent) == sent + 1
    await end(replica)
    assert len(replica.sent) == sent + 1


@pytest.mark.parametrize("end", [drain, leave])
async def test_a_replica_without_others_acknowledges_alone(end):
    """Guards against targets that can't leave while one replica is left."""
    replica = Replica(is_lost=True, has_live_replicas=False)
    await replica.heartbeats.handle_heartbeat(ROW)
    await end(replica)


async def test_a_usual_heartbeat_waits_for_nobody():
    """Guards against heartbeats that wait for replicas while nothing changes."""
    replica = Replica(is_lost=True, has_live_replicas=True)
    await replica.heartbeats.handle_heartbeat(ROW)
    await replica.heartbeats.handle_heartbeat(replace(ROW, sequence=2))
    assert len(replica.sent) == 1
