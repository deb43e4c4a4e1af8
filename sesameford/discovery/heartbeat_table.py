"""Replicated table of targets, filled by their heartbeats.

A target sends its heartbeats to any one instance with a disk. That instance sends each
change to all others at once, and twice a second only the targets whose heartbeats it
received, with a digest over all rows; an instance whose digest differs requests the
rows. So a lost message costs half a second, and regular messages do not repeat what all
instances have.
"""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain, repeat

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

logger = logging.getLogger(__name__)

# A second request for all rows within less time would be answered with the same rows.
ROWS_REQUEST_INTERVAL_SECONDS = 0.25
# After so long without a message of a replica, targets may have come and left unseen.
MAX_UNHEARD_SECONDS = 2.5
# Times that travelled in messages differ by less than this.
KNOWN_SINCE_SLACK_SECONDS = 1.0
# After so long no delayed message about a target that is gone arrives any more.
TOMBSTONE_SECONDS = 120.0


@dataclass(slots=True)
class HeartbeatEntry:
    """A row, and when this instance last learned of a heartbeat of the target.

    ``first_seen_at_seconds`` is when it first learned of the incarnation.
    """

    row: HeartbeatRow
    last_seen_at_seconds: float
    cold_until_seconds: float = float("-inf")
    gone_at_seconds: float | None = None
    first_seen_at_seconds: float = float("-inf")


@dataclass(frozen=True, slots=True)
class TableDigests:
    """Digests of the rows that decide which targets get work, and of their versions."""

    rows: int = 0
    versions: int = 0


@dataclass(slots=True)
class HeartbeatTable:
    """All rows at one instance, filled by ``handle_heartbeat`` and ``handle_message``.

    No target is cold after ``cold_until_seconds``. The digests of a replica equalled
    those of this table first and last at ``first_synchronised_at_seconds`` and
    ``synchronised_at_seconds``. ``has_all_rows`` says that an instance has sent all its
    rows, and ``rows_requested_at_seconds`` when the last such rows were requested.

    All targets that served after ``known_since_seconds`` have a row, for as long as
    rows of targets that left are kept.

    Only an instance with a disk acknowledges rows: before a leave is acknowledged, two
    instances that targets and routers query must have it.
    """

    has_disk: bool = False
    known_since_seconds: float = float("inf")
    entries: dict[str, HeartbeatEntry] = field(default_factory=dict)
    changes: int = 0
    cold_until_seconds: float = float("-inf")
    first_synchronised_at_seconds: float = float("inf")
    synchronised_at_seconds: float = float("-inf")
    has_all_rows: bool = False
    rows_requested_at_seconds: float = float("-inf")
    _target_ids: dict[int, str] = field(default_factory=dict)
    _digest: int = 0
    _versions_digest: int = 0
    _received_names: set[int] = field(default_factory=set)
    _requested_at_seconds: dict[str, float] = field(default_factory=dict)
    _unanswered_since_seconds: dict[str, float] = field(default_factory=dict)
    _heard_at_seconds: float = float("-inf")

    @property
    def digests(self) -> TableDigests:
        """Return the present digests."""
        return TableDigests(self._digest, self._versions_digest)

    def handle_heartbeat(
        self, row: HeartbeatRow, now_seconds: float, token: int = 0
    ) -> Sequence[Outgoing]:
        """Handle a target's own heartbeat or leave.

        Args:
            row: Its content.
            now_seconds: The present time.
            token: Identifies the acknowledgement of another replica, 0 for none.

        Returns:
            The message to all other instances if anything changed.
        """
        self._received_names.add(short_name(row.target_id))
        if not self._merge_row(row, now_seconds, now_seconds):
            return ()
        return [Outgoing(None, HeartbeatRows((row,), token), urgent=True)]

    def handle_leave(
        self, target_id: str, now_seconds: float, token: int = 0
    ) -> Sequence[Outgoing]:
        """Handle a target's announcement that it ends, which is final for this id."""
        entry = self.entries.get(target_id)
        if entry is None:
            row = HeartbeatRow(target_id, 0, "", "", "", 0, TargetState.GONE)
        else:
            row = replace(entry.row, state=TargetState.GONE)
        return self.handle_heartbeat(row, now_seconds, token)

    def handle_message(
        self, sender_id: str, message: Message, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Handle a message about targets from another instance."""
        match message:
            case HeartbeatRows():
                silent = chain(message.silent_milliseconds, repeat(0))
                for row, milliseconds in zip(message.rows, silent, strict=False):
                    heard_at_seconds = now_seconds - milliseconds / 1000
                    self._merge_row(row, now_seconds, heard_at_seconds)
                if message.is_whole:
                    self.has_all_rows = True
                    self._record_rows_of(sender_id)
                    self._record_known_since(message.known_milliseconds, now_seconds)
                if message.token and self.has_disk:
                    ack = HeartbeatRowsAck(message.token)
                    return [Outgoing(sender_id, ack, urgent=True)]
            case RecentHeartbeats():
                return self._handle_recent_heartbeats(sender_id, message, now_seconds)
            case HeartbeatRowsRequest():
                reply = self._make_whole_rows(now_seconds)
                return [Outgoing(sender_id, reply, urgent=True)]
        return ()

    def request_first_rows(
        self, replica_id: str, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Request all rows of the first replica that an instance hears of.

        Its digest, by which they would be requested, comes half a second later.
        """
        if self.has_all_rows or self._requested_at_seconds:
            return ()
        return self._request_rows(replica_id, now_seconds)

    def find_by_name(self, name: int) -> HeartbeatEntry | None:
        """Return a target by its short name, None if it has no entry."""
        return self.entries.get(self._target_ids.get(name, ""))

    def make_recent_heartbeats(self, now_seconds: float) -> RecentHeartbeats:
        """Return the regular message: the heartbeats received since the last one."""
        names, self._received_names = tuple(self._received_names), set()
        return RecentHeartbeats(
            names,
            self._digest,
            self._versions_digest,
            self._known_milliseconds(now_seconds),
        )

    def forget(self, now_seconds: float) -> None:
        """Drop the rows of targets that ended long ago."""
        for target_id, entry in list(self.entries.items()):
            gone_at_seconds = entry.gone_at_seconds
            if gone_at_seconds is None:
                continue
            if now_seconds - gone_at_seconds > TOMBSTONE_SECONDS:
                self._toggle_in_digests(entry.row)
                del self.entries[target_id]
                self._target_ids.pop(short_name(target_id), None)

    def _make_whole_rows(self, now_seconds: float) -> HeartbeatRows:
        """Return all rows, for an instance that may know none of them.

        Targets that crashed keep their rows. An instance that took these for new would
        send requests to them, or to whatever has their addresses now.
        """
        entries = self.entries.values()
        silent_seconds = (now_seconds - one.last_seen_at_seconds for one in entries)
        return HeartbeatRows(
            tuple(entry.row for entry in entries),
            is_whole=True,
            known_milliseconds=self._known_milliseconds(now_seconds),
            silent_milliseconds=tuple(
                round(max(seconds, 0.0) * 1000) for seconds in silent_seconds
            ),
        )

    def _merge_row(
        self, row: HeartbeatRow, now_seconds: float, heard_at_seconds: float
    ) -> bool:
        """Store a newer row; return whether more than its sequence number changed.

        A heartbeat may be delayed and arrive after later ones, or after its sender
        announced its end. Stored as new it would bring back a draining target, and
        requests would be sent to an address without a listener. The sequence number
        only grows, and an incarnation that is gone does not come back.
        """
        entry = self.entries.get(row.target_id)
        if entry is None or row.incarnation > entry.row.incarnation:
            self._put(row, now_seconds, heard_at_seconds)
            return True
        if row.incarnation < entry.row.incarnation:
            return False
        if entry.row.state is TargetState.GONE:
            return False
        is_end = row.state is TargetState.GONE
        if row.sequence <= entry.row.sequence and not is_end:
            return self._add_version(entry, row)
        row = _with_known_version(row, entry.row)
        heard_at_seconds = max(heard_at_seconds, entry.last_seen_at_seconds)
        entry.last_seen_at_seconds = heard_at_seconds
        if replace(row, sequence=entry.row.sequence) == entry.row:
            # A new sequence number alone is not sent on, and the digest excludes it.
            entry.row = row
            return False
        self._put(row, now_seconds, heard_at_seconds)
        return True

    def _add_version(self, entry: HeartbeatEntry, row: HeartbeatRow) -> bool:
        """Take a version that was not known from a row that is not newer."""
        if entry.row.software_version or not row.software_version:
            return False
        known = replace(entry.row, software_version=row.software_version)
        self._put(known, entry.last_seen_at_seconds, entry.last_seen_at_seconds)
        return True

    def _toggle_in_digests(self, row: HeartbeatRow) -> None:
        """Add a row to the digests, or remove it: they are XORs of all rows."""
        self._digest ^= _row_digest(row)
        self._versions_digest ^= _version_digest(row)

    def _put(
        self, row: HeartbeatRow, now_seconds: float, heard_at_seconds: float
    ) -> None:
        entry = self.entries.get(row.target_id)
        first_seen_at_seconds = now_seconds
        if entry is not None:
            self._toggle_in_digests(entry.row)
            if entry.row.incarnation == row.incarnation:
                first_seen_at_seconds = entry.first_seen_at_seconds
        self._toggle_in_digests(row)
        gone_at_seconds = now_seconds if row.state is TargetState.GONE else None
        cold_until_seconds = now_seconds + row.cold_milliseconds / 1000
        self.entries[row.target_id] = HeartbeatEntry(
            row,
            heard_at_seconds,
            cold_until_seconds,
            gone_at_seconds,
            first_seen_at_seconds,
        )
        self.cold_until_seconds = max(self.cold_until_seconds, cold_until_seconds)
        self._target_ids[short_name(row.target_id)] = row.target_id
        self.changes += 1

    def _handle_recent_heartbeats(
        self, sender_id: str, message: RecentHeartbeats, now_seconds: float
    ) -> Sequence[Outgoing]:
        if now_seconds - self._heard_at_seconds > MAX_UNHEARD_SECONDS:
            self.known_since_seconds = max(self.known_since_seconds, now_seconds)
        self._heard_at_seconds = now_seconds
        for name in message.names:
            target_id = self._target_ids.get(name)
            if target_id is not None:
                self.entries[target_id].last_seen_at_seconds = now_seconds
        are_versions_equal = message.versions_digest == self._versions_digest
        is_equal = message.digest == self._digest
        if is_equal and are_versions_equal:
            self.synchronised_at_seconds = now_seconds
            self.first_synchronised_at_seconds = min(
                self.first_synchronised_at_seconds, now_seconds
            )
        if is_equal and (are_versions_equal or not message.versions_digest):
            return self._request_older_rows(sender_id, message, now_seconds)
        return self._request_rows(sender_id, now_seconds)

    def _request_older_rows(
        self, replica_id: str, message: RecentHeartbeats, now_seconds: float
    ) -> Sequence[Outgoing]:
        """Request all rows of a replica that knows targets of an earlier time.

        Digests don't cover targets that are gone, so they are equal without those.
        """
        if not message.versions_digest:
            # No version to learn of, or an instance of an earlier release.
            return ()
        since_seconds = now_seconds - message.known_milliseconds / 1000
        if since_seconds >= self.known_since_seconds - KNOWN_SINCE_SLACK_SECONDS:
            return ()
        return self._request_rows(replica_id, now_seconds)

    def _record_rows_of(self, replica_id: str) -> None:
        """Record that all rows of a replica are merged, as of the first request."""
        requested_at_seconds = self._unanswered_since_seconds.pop(replica_id, None)
        if requested_at_seconds is not None:
            self.rows_requested_at_seconds = max(
                self.rows_requested_at_seconds, requested_at_seconds
            )

    def _record_known_since(self, known_milliseconds: int, now_seconds: float) -> None:
        """Record that all rows of an instance have arrived."""
        since_seconds = now_seconds - known_milliseconds / 1000
        self.known_since_seconds = min(self.known_since_seconds, since_seconds)

    def _known_milliseconds(self, now_seconds: float) -> int:
        """Return how far back this instance knows all targets."""
        known_seconds = min(now_seconds - self.known_since_seconds, TOMBSTONE_SECONDS)
        return round(max(known_seconds, -TOMBSTONE_SECONDS) * 1000)

    def _request_rows(self, replica_id: str, now_seconds: float) -> Sequence[Outgoing]:
        requested_at_seconds = self._requested_at_seconds.get(replica_id)
        if (
            requested_at_seconds is not None
            and now_seconds - requested_at_seconds < ROWS_REQUEST_INTERVAL_SECONDS
        ):
            return ()
        self._requested_at_seconds[replica_id] = now_seconds
        self._unanswered_since_seconds.setdefault(replica_id, now_seconds)
        return [Outgoing(replica_id, HeartbeatRowsRequest(), urgent=True)]


def short_name(target_id: str) -> int:
    """Return the number that stands for a target in frequent messages."""
    return xxh32_intdigest(target_id.encode())


def _with_known_version(row: HeartbeatRow, known: HeartbeatRow) -> HeartbeatRow:
    """Return a later row of an incarnation with the version of its software.

    An instance of an earlier release sends rows on without it.
    """
    if row.software_version == known.software_version or not known.software_version:
        return row
    if not row.software_version:
        return replace(row, software_version=known.software_version)
    logger.warning(
        "target changed its software version without a restart",
        extra={
            "target": row.target_id,
            "incarnation": row.incarnation,
            "from": known.software_version,
            "to": row.software_version,
        },
    )
    return row


def _row_digest(row: HeartbeatRow) -> int:
    """Return one row's part of the digest: what decides whether it gets work.

    Targets that are gone are excluded, since each instance drops their rows at a time
    of its own.
    """
    if row.state is TargetState.GONE:
        return 0
    text = f"{row.target_id}/{row.service}/{row.address}/{row.state.value}"
    if row.incarnation:
        text += f"/{row.incarnation}"
    if row.cold_milliseconds:
        text += f"/{row.cold_milliseconds}"
    return xxh64_intdigest(text.encode())


def _version_digest(row: HeartbeatRow) -> int:
    """Return one row's part of the digest of versions."""
    if row.state is TargetState.GONE or not row.software_version:
        return 0
    text = f"{row.target_id}/{row.incarnation}/{row.software_version}"
    return xxh64_intdigest(text.encode())


def make_heartbeat_table(
    has_disk: bool = False, known_since_seconds: float = float("inf")
) -> HeartbeatTable:
    """Return an empty table.

    Args:
        has_disk: Whether it is a replica's.
        known_since_seconds: From when on a replica that starts now will have heard of
            all targets.
    """
    return HeartbeatTable(has_disk, known_since_seconds)
