"""Takes targets' heartbeats and leaves, and sends changes to all other instances."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from secrets import randbits

from sesameford.discovery.heartbeat_table import HeartbeatEntry, HeartbeatTable
from sesameford.errors import NotReplicatedError
from sesameford.messages import (
    HeartbeatRow,
    HeartbeatRows,
    HeartbeatRowsAck,
    Outgoing,
)
from sesameford.peers import PeerLinks
from sesameford.tables import TargetState

logger = logging.getLogger(__name__)

# A target waits a second for an acknowledgement; a connected replica answers within
# some hundredths of a second.
ROWS_ACK_TIMEOUT_SECONDS = 0.3
TOKEN_BITS = 48


class TargetHeartbeats:
    """What targets report at the control address of one replica.

    Args:
        table: The targets and their heartbeats.
        links: The links to all other instances.
        now: The present time.
        has_live_replicas: Returns whether other replicas are live at a time.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        links: PeerLinks,
        now: Callable[[], float],
        has_live_replicas: Callable[[float], bool],
    ) -> None:
        self._table = table
        self._links = links
        self._now = now
        self._has_live_replicas = has_live_replicas
        self._acks: dict[int, asyncio.Event] = {}
        self._unreplicated: set[str] = set()

    async def handle_heartbeat(self, row: HeartbeatRow) -> None:
        """Handle a target's heartbeat and send changes to all other instances.

        A leave is acknowledged only after another replica has it too, if any is live.
        Otherwise, if this process stood still or ended right after the answer, the
        others would go on sending requests to an address without a listener.

        Raises:
            NotReplicatedError: No other replica has it yet, so the target must ask
                another one.
        """
        token = randbits(TOKEN_BITS) if row.state is not TargetState.READY else 0
        before = self._table.entries.get(row.target_id)
        outgoing = self._table.handle_heartbeat(row, self._now(), token)
        if outgoing:
            _log_change(row, before)
        await self._send_and_wait(row.target_id, outgoing, token)

    async def handle_leave(self, target_id: str) -> None:
        """Handle a target's leave, acknowledged like a heartbeat.

        Raises:
            NotReplicatedError: As for a heartbeat.
        """
        token = randbits(TOKEN_BITS)
        outgoing = self._table.handle_leave(target_id, self._now(), token)
        if outgoing:
            logger.info("target left", extra={"target": target_id})
        await self._send_and_wait(target_id, outgoing, token)

    def handle_ack(self, ack: HeartbeatRowsAck) -> None:
        """Handle another replica's acknowledgement."""
        if ack.token in self._acks:
            self._acks[ack.token].set()

    async def _send_and_wait(
        self, target_id: str, outgoing: Sequence[Outgoing], token: int
    ) -> None:
        """Send changes, and wait for another replica's acknowledgement of a token.

        A target that repeats what no other replica has changes nothing here, so its row
        is sent once more.

        Raises:
            NotReplicatedError: It has not come, though others are live.
        """
        if not outgoing and token and target_id in self._unreplicated:
            row = self._table.entries[target_id].row
            outgoing = [Outgoing(None, HeartbeatRows((row,), token), urgent=True)]
        for one in outgoing:
            self._links.send(one)
        if not outgoing or not token:
            return
        self._links.flush()
        self._unreplicated.add(target_id)
        ack = self._acks[token] = asyncio.Event()
        try:
            async with asyncio.timeout(ROWS_ACK_TIMEOUT_SECONDS):
                await ack.wait()
        except TimeoutError as error:
            logger.warning("no other replica has acknowledged a leaving target yet")
            if self._has_live_replicas(self._now()):
                raise NotReplicatedError("no other replica has it yet") from error
        finally:
            del self._acks[token]
        self._unreplicated.discard(target_id)


def _log_change(row: HeartbeatRow, before: HeartbeatEntry | None) -> None:
    was_cold = before is not None and before.row.cold_milliseconds > 0
    text = "target changed"
    if row.cold_milliseconds:
        text = "target cold"
    elif was_cold:
        text = "target warm"
    logger.info(
        text,
        extra={
            "target": row.target_id,
            "service": row.service,
            "address": row.address,
            "state": row.state.value,
            "version": row.software_version,
            "sequence": row.sequence,
            "cold_seconds": row.cold_milliseconds / 1000,
        },
    )


def make_target_heartbeats(
    table: HeartbeatTable,
    links: PeerLinks,
    now: Callable[[], float],
    has_live_replicas: Callable[[float], bool],
) -> TargetHeartbeats:
    """Return the handler of a replica; see ``TargetHeartbeats``."""
    return TargetHeartbeats(table, links, now, has_live_replicas)
