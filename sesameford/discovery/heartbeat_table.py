"""The table of targets as their heartbeats tell it, the same at every instance.

A target beats at any one instance with a disk. That instance tells all others at
once when something changed, and twice a second only which targets beat there, with a
digest over all rows; one whose digest differs asks for the rows. So a lost message
costs half a second, and what is sent regularly does not repeat what all know.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from msgspec.structs import replace
from xxhash import xxh32_intdigest, xxh64_intdigest

from sesameford.messages import (
    HeartbeatRow,
    HeartbeatRows,
    HeartbeatRowsAck,
    HeartbeatRowsRequest,
    Message,
    Outgoing,
    RecentHeartbeats,
)
from sesameford.tables import TargetState

# Two questions for all rows within less time would be answered with the same rows.
ASK_AGAIN_SECONDS = 0.25
# A target that is gone for so long is sent by no late message any more.
TOMBSTONE_SECONDS = 120.0


@dataclass(slots=True)
class HeartbeatEntry:
    """A row with when a beat of the target was last heard of here."""

    row: HeartbeatRow
    last_seen_at_seconds: float
    cold_until_seconds: float = float("-inf")
    gone_at_seconds: float | None = None


@dataclass(slots=True)
class HeartbeatTable:
    """All rows at one instance; made empty, filled by ``handle_heartbeat`` and ``handle_message``.

    No target is cold after ``cold_until_seconds``.

    Only an instance with a disk says that it has taken rows: a leave must be known
    to two that targets and routers ask, before it is acknowledged.
    """

    has_disk: bool = False
    entries: dict[str, HeartbeatEntry] = field(default_factory=dict)
    changes: int = 0
    cold_until_seconds: float = float("-inf")
    _names: dict[int, str] = field(default_factory=dict)
    _digest: int = 0
    _beat_here: set[int] = field(default_factory=set)
    _asked_at_seconds: dict[str, float] = field(default_factory=dict)

    def handle_heartbeat(
        self, row: HeartbeatRow, now_seconds: float, token: int = 0
    ) -> Sequence[Outgoing]:
        """Take a target's own heartbeat or leave.

        Args:
            row: What it says.
            now_seconds: The present time.
            token: By which another replica says that it has it, 0 for no answer.

        Returns:
            What to tell all other instances, where anything changed.
        """
        self._beat_here.add(short_name(row.target_id))
        if not self._take(row, now_seconds):
            return ()
        return [Outgoing(None, HeartbeatRows((row,), token), urgent=True)]

    def handle_leave(
        self, target_id: str, now_seconds: float, token: int = 0
    ) -> Sequence[Outgoing]:
        """Take a target's word that it ends; nothing brings this id back."""
        known = self.entries.get(target_id)
        if known is None:
            row = HeartbeatRow(target_id, 0, "", "", "", 0, TargetState.GONE)
        else:
            row = replace(known.row, state=TargetState.GONE)
        return self.handle_heartbeat(row, now_seconds, token)

    def handle_message(
        self, sender_id: str, message: Message, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Take a message about targets from another instance."""
        match message:
            case HeartbeatRows():
                for row in message.rows:
                    self._take(row, now_seconds)
                if message.token and self.has_disk:
                    taken = HeartbeatRowsAck(message.token)
                    return [Outgoing(sender_id, taken, urgent=True)]
            case RecentHeartbeats():
                return self._compare(sender_id, message, now_seconds)
            case HeartbeatRowsRequest():
                rows = tuple(one.row for one in self.entries.values())
                return [Outgoing(sender_id, HeartbeatRows(rows), urgent=True)]
        return ()

    def find_by_name(self, name: int) -> HeartbeatEntry | None:
        """Return a target by its short name, None if nothing is known of it."""
        return self.entries.get(self._names.get(name, ""))

    def make_recent_heartbeats(self) -> RecentHeartbeats:
        """Return what to tell the others regularly."""
        names, self._beat_here = tuple(self._beat_here), set()
        return RecentHeartbeats(names, self._digest)

    def forget(self, now_seconds: float) -> None:
        """Drop the rows of targets that ended long ago."""
        for target_id, one in list(self.entries.items()):
            gone_at_seconds = one.gone_at_seconds
            if gone_at_seconds is None:
                continue
            if now_seconds - gone_at_seconds > TOMBSTONE_SECONDS:
                self._digest ^= _digest_of(one.row)
                del self.entries[target_id]
                self._names.pop(short_name(target_id), None)

    def _take(self, row: HeartbeatRow, now_seconds: float) -> bool:
        """Take a row that is newer; return whether more than its number changed.

        A heartbeat may be held up on its way and arrive after later ones, or after
        its sender said that it ends. Taken as new it would bring back a target that
        drains, and requests would be sent to where nobody listens. The number only
        grows, and a target that is gone has ended for good.
        """
        known = self.entries.get(row.target_id)
        if known is None or row.incarnation > known.row.incarnation:
            self._put(row, now_seconds)
            return True
        if row.incarnation < known.row.incarnation:
            return False
        if known.row.state is TargetState.GONE:
            return False
        is_end = row.state is TargetState.GONE
        if row.sequence <= known.row.sequence and not is_end:
            return False
        known.last_seen_at_seconds = now_seconds
        if replace(row, sequence=known.row.sequence) == known.row:
            # The number is not passed on, and does not count for the digest.
            known.row = row
            return False
        self._put(row, now_seconds)
        return True

    def _put(self, row: HeartbeatRow, now_seconds: float) -> None:
        known = self.entries.get(row.target_id)
        if known is not None:
            self._digest ^= _digest_of(known.row)
        self._digest ^= _digest_of(row)
        gone_at_seconds = now_seconds if row.state is TargetState.GONE else None
        cold_until_seconds = now_seconds + row.cold_milliseconds / 1000
        self.entries[row.target_id] = HeartbeatEntry(
            row, now_seconds, cold_until_seconds, gone_at_seconds
        )
        self.cold_until_seconds = max(self.cold_until_seconds, cold_until_seconds)
        self._names[short_name(row.target_id)] = row.target_id
        self.changes += 1

    def _compare(
        self, sender_id: str, message: RecentHeartbeats, now_seconds: float
    ) -> Sequence[Outgoing]:
        for name in message.names:
            target_id = self._names.get(name)
            if target_id is not None:
                self.entries[target_id].last_seen_at_seconds = now_seconds
        if message.digest == self._digest:
            return ()
        asked_at_seconds = self._asked_at_seconds.get(sender_id)
        if (
            asked_at_seconds is not None
            and now_seconds - asked_at_seconds < ASK_AGAIN_SECONDS
        ):
            return ()
        self._asked_at_seconds[sender_id] = now_seconds
        return [Outgoing(sender_id, HeartbeatRowsRequest(), urgent=True)]


def short_name(target_id: str) -> int:
    """Return the number that stands for a target in frequent messages."""
    return xxh32_intdigest(target_id.encode())


def _digest_of(row: HeartbeatRow) -> int:
    """Return one row's part of the digest: what decides whether it gets work.

    Those that are gone count for nothing, since each instance forgets them at a
    time of its own.
    """
    if row.state is TargetState.GONE:
        return 0
    text = f"{row.target_id}/{row.service}/{row.address}/{row.state.value}"
    if row.incarnation:
        text += f"/{row.incarnation}"
    if row.cold_milliseconds:
        text += f"/{row.cold_milliseconds}"
    return xxh64_intdigest(text.encode())


def make_heartbeat_table(has_disk: bool = False) -> HeartbeatTable:
    """Return an empty table.

    Args:
        has_disk: Whether it is a replica's.
    """
    return HeartbeatTable(has_disk)
