"""The table of the other instances and of which of them are live.

In a small deployment every instance receives heartbeats from every other one. With 360
instances that would cost each of them 720 heartbeats a second. There an instance has
links only to the hubs of its data centre, hubs have links to all other hubs, and a hub
sends a row about an instance of its data centre only when the row changes.
"""

from collections.abc import Collection, Mapping, Sequence
from math import inf

from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from sesameford.messages import (
    Heartbeat,
    MemberRow,
    MembersRequest,
    MembersUpdate,
    Outgoing,
)
from sesameford.tables import InstanceRow, InstanceState, Table

LIVENESS_TIMEOUT_SECONDS = 3.0
DIGEST_MISMATCH_SECONDS = 2.0
LIVE_CACHE_SECONDS = 0.2


class Members:
    """The table of instances at one of them.

    Args:
        instance_id: This instance.
        incarnation: The incarnation of its process.
        data_centre: Its data centre.
        is_hub: Whether it relays for its data centre.
        peer_hubs: The hubs that it has links to; none in a full mesh of links.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        data_centre: str,
        is_hub: bool = False,
        peer_hubs: Collection[str] = (),
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._is_hub = is_hub
        self._peer_hubs = frozenset(peer_hubs)
        self._rows: Table[str, MemberRow] = Table()
        self._heartbeat_at_seconds: dict[str, float] = {}
        self._updated_at_seconds: dict[str, float] = {}
        self._reachable_by_hub: dict[str, frozenset[str]] = {}
        self._changed: dict[str, str] = {}
        self._change_count = 0
        self._live_cache: tuple[float, int, dict[str, InstanceRow]] = (-inf, 0, {})
        self._digest = 0
        self._differs_since_seconds: dict[str, float] = {}
        self._outgoing: list[Outgoing] = []
        self._own = MemberRow(
            instance_id,
            incarnation,
            0,
            0,
            False,
            data_centre,
            InstanceState.STARTING,
            0,
            is_hub,
        )
        self._put(self._own, instance_id)

    def heartbeat(
        self, state: InstanceState, revision: int, now_seconds: float
    ) -> Heartbeat:
        """Update this instance's own row and return its heartbeat."""
        own = self._own
        if (own.state, own.revision) != (state, revision):
            number = own.change_number + 1
            self._own = replace(
                own,
                change_number=number,
                silence_count=0,
                state=state,
                revision=revision,
            )
            self._put(self._own, self._instance_id)
        return Heartbeat(
            self._data_centre,
            state,
            revision,
            self._own.change_number,
            self._is_hub,
            self._digest if self._is_hub else 0,
            tuple(sorted(self._reachable_data_centres(now_seconds)))
            if self._is_hub
            else (),
        )

    def handle_heartbeat(
        self,
        sender_id: str,
        incarnation: int,
        heartbeat: Heartbeat,
        now_seconds: float,
    ) -> None:
        """Record a heartbeat; a row of an older incarnation changes nothing."""
        row_before = self._rows.get(sender_id)
        version = (incarnation, heartbeat.change_number)
        self._heartbeat_at_seconds[sender_id] = now_seconds
        self._updated_at_seconds[sender_id] = now_seconds
        if row_before is None or version > (
            row_before.incarnation,
            row_before.change_number,
        ):
            row = MemberRow(
                sender_id,
                incarnation,
                heartbeat.change_number,
                0,
                False,
                heartbeat.data_centre,
                heartbeat.state,
                heartbeat.revision,
                heartbeat.is_hub,
            )
            self._put(row, sender_id)
        if heartbeat.is_hub:
            self._reachable_by_hub[sender_id] = frozenset(heartbeat.reachable)
            self._compare_digest(sender_id, heartbeat.members_digest, now_seconds)

    def handle_update(
        self, sender_id: str, update: MembersUpdate, now_seconds: float
    ) -> None:
        """Merge rows from a hub, keeping the newest row of each instance."""
        for row in update.rows:
            row_before = self._rows.get(row.instance_id)
            if row.instance_id == self._instance_id:
                self._refute(row)
            elif row_before is None or _version_of(row) > _version_of(row_before):
                self._put(row, sender_id)
                self._updated_at_seconds[row.instance_id] = now_seconds
        if update.is_whole:
            self._send_missing_rows(sender_id, update)

    def handle_request(self, sender_id: str) -> None:
        """Send the whole table to an instance that requested it."""
        update = MembersUpdate(tuple(self._rows), is_whole=True)
        self._outgoing.append(Outgoing(sender_id, update))

    def collect_outgoing(
        self, peers: Mapping[str, str], now_seconds: float
    ) -> Sequence[Outgoing]:
        """Return the messages to send now.

        Args:
            peers: The data centre of each instance that this one has a link to.
            now_seconds: The current time.
        """
        changed, self._changed = self._changed, {}
        if self._is_hub:
            self._mark_silent(now_seconds)
            changed.update(self._changed)
            self._changed = {}
            for peer_id in peers:
                rows = self._rows_for(peer_id, peers[peer_id], changed)
                if rows:
                    self._outgoing.append(Outgoing(peer_id, MembersUpdate(rows)))
        due, self._outgoing = self._outgoing, []
        return due

    def live(self, now_seconds: float) -> Mapping[str, InstanceRow]:
        """Return the other live instances, by direct heartbeats or by rows of hubs.

        This is called at every tick, and there may be 359 instances, so the result is
        cached for a short time unless a row changes.
        """
        cached_at_seconds, changes, live = self._live_cache
        age_seconds = now_seconds - cached_at_seconds
        if changes != self._change_count or not 0 <= age_seconds < LIVE_CACHE_SECONDS:
            live = self._compute_live(now_seconds)
            self._live_cache = (now_seconds, self._change_count, live)
        return live

    def _compute_live(self, now_seconds: float) -> dict[str, InstanceRow]:
        data_centres = self._covered_data_centres(now_seconds)
        return {
            row.instance_id: _instance_of(
                row, self._heartbeat_at_seconds.get(row.instance_id, now_seconds)
            )
            for row in self._rows
            if row.instance_id != self._instance_id
            and self._is_live(row, data_centres, now_seconds)
        }

    def all(self, now_seconds: float) -> list[InstanceRow]:
        """Return every other instance in the table, for the status report."""
        live = self.live(now_seconds)
        return [
            live.get(row.instance_id)
            or _instance_of(row, self._updated_at_seconds.get(row.instance_id, 0.0))
            for row in self._rows
            if row.instance_id != self._instance_id
        ]

    def highest_revision(self) -> int:
        """Return the highest tree revision that any instance has reported."""
        return max(row.revision for row in self._rows)

    def live_hub(
        self, data_centre: str, candidates: Sequence[str], now_seconds: float
    ) -> str | None:
        """Return the first live candidate hub of a data centre, or None."""
        for hub_id in candidates:
            row = self._rows.get(hub_id)
            is_local = row is not None and row.data_centre == data_centre
            if is_local and self._has_live_heartbeat(hub_id, now_seconds):
                return hub_id
        return None

    def data_centre_of(self, instance_id: str) -> str | None:
        """Return the data centre of an instance, or None if it is not in the table."""
        row = self._rows.get(instance_id)
        return row.data_centre if row is not None else None

    def _put(self, row: MemberRow, source_id: str) -> None:
        row_before = self._rows.get(row.instance_id)
        if row_before is not None:
            self._digest ^= _digest_of(row_before)
        self._digest ^= _digest_of(row)
        self._rows.put(row.instance_id, row)
        self._change_count += 1
        self._changed[row.instance_id] = source_id

    def _refute(self, row: MemberRow) -> None:
        """Replace a newer row about this instance that it has not sent itself.

        Hubs that lost this instance sent all others a row that marks it silent. When
        the links are back, this row would still be newer than the instance's own, and
        instances without a link to it would consider it dead for ever.
        """
        if (
            _version_of(row) > _version_of(self._own)
            and row.incarnation == self._own.incarnation
        ):
            number = max(row.change_number, self._own.change_number) + 1
            self._own = replace(self._own, change_number=number)
            self._put(self._own, self._instance_id)

    def _send_missing_rows(self, hub_id: str, update: MembersUpdate) -> None:
        """Send a hub the rows that are missing or older in its whole table.

        A hub that restarted empty has no rows of silent instances. The digests would
        differ for ever, and each comparison would send the whole table again.
        """
        versions = {row.instance_id: _version_of(row) for row in update.rows}
        missing_rows = tuple(
            row
            for row in self._rows
            if _version_of(row) > versions.get(row.instance_id, (0, 0, 0))
        )
        if missing_rows:
            self._outgoing.append(Outgoing(hub_id, MembersUpdate(missing_rows)))

    def _compare_digest(self, hub_id: str, digest: int, now_seconds: float) -> None:
        """Request all rows of a hub once its digest has differed for a while."""
        if digest == self._digest:
            self._differs_since_seconds.pop(hub_id, None)
            return
        since_seconds = self._differs_since_seconds.setdefault(hub_id, now_seconds)
        if now_seconds - since_seconds >= DIGEST_MISMATCH_SECONDS:
            self._differs_since_seconds[hub_id] = now_seconds
            self._outgoing.append(Outgoing(hub_id, MembersRequest()))

    def _mark_silent(self, now_seconds: float) -> None:
        """Mark the instances of this data centre whose heartbeats have timed out."""
        for row in self._rows:
            if row.instance_id == self._instance_id or row.is_silent:
                continue
            if row.data_centre != self._data_centre:
                continue
            updated_at_seconds = self._updated_at_seconds.get(row.instance_id, -inf)
            if now_seconds - updated_at_seconds > LIVENESS_TIMEOUT_SECONDS:
                silent = replace(
                    row, silence_count=row.silence_count + 1, is_silent=True
                )
                self._put(silent, self._instance_id)

    def _rows_for(
        self, peer_id: str, data_centre: str, changed: Mapping[str, str]
    ) -> tuple[MemberRow, ...]:
        """Return the changed rows that a peer has neither sent nor received already.

        Hubs have links to all hubs, so a row from a hub is relayed only to instances of
        this data centre that are no hubs; otherwise each hub would relay each change.
        """
        is_remote = data_centre != self._data_centre or peer_id in self._peer_hubs
        return tuple(
            row
            for row in self._rows
            if row.instance_id in changed
            and changed[row.instance_id] != peer_id
            and not (is_remote and changed[row.instance_id] in self._peer_hubs)
            and row.instance_id != peer_id
        )

    def _has_live_heartbeat(self, instance_id: str, now_seconds: float) -> bool:
        last_seen_at_seconds = self._heartbeat_at_seconds.get(instance_id, -inf)
        return now_seconds - last_seen_at_seconds <= LIVENESS_TIMEOUT_SECONDS

    def _is_live(
        self, row: MemberRow, data_centres: frozenset[str], now_seconds: float
    ) -> bool:
        if row.instance_id in self._heartbeat_at_seconds:
            return self._has_live_heartbeat(row.instance_id, now_seconds)
        return not row.is_silent and row.data_centre in data_centres

    def _reachable_data_centres(self, now_seconds: float) -> frozenset[str]:
        """Return the own data centre and those with a live hub linked to this one."""
        data_centres = {self._data_centre}
        for hub_id in self._peer_hubs:
            row = self._rows.get(hub_id)
            if row is not None and self._has_live_heartbeat(hub_id, now_seconds):
                data_centres.add(row.data_centre)
        return frozenset(data_centres)

    def _covered_data_centres(self, now_seconds: float) -> frozenset[str]:
        """Return the data centres for which the rows from hubs are up to date."""
        if self._is_hub:
            return self._reachable_data_centres(now_seconds)
        data_centres: set[str] = set()
        for hub_id in self._peer_hubs:
            if self._has_live_heartbeat(hub_id, now_seconds):
                data_centres |= self._reachable_by_hub.get(hub_id, frozenset())
        return frozenset(data_centres)


def _version_of(row: MemberRow) -> tuple[int, int, int]:
    """Return the version that orders the rows of one instance."""
    return row.incarnation, row.change_number, row.silence_count


def _digest_of(row: MemberRow) -> int:
    """Return the digest of one row; the table's digest is the XOR of all rows'."""
    return xxh3_64_intdigest(f"{row.instance_id}/{_version_of(row)}".encode())


def _instance_of(row: MemberRow, last_seen_at_seconds: float) -> InstanceRow:
    """Return a row in the form that the other modules use."""
    return InstanceRow(
        instance_id=row.instance_id,
        incarnation=row.incarnation,
        data_centre=row.data_centre,
        state=row.state,
        revision=row.revision,
        last_seen_at_seconds=last_seen_at_seconds,
        is_hub=row.is_hub,
    )


def make_members(
    instance_id: str,
    incarnation: int,
    data_centre: str,
    is_hub: bool = False,
    peer_hubs: Collection[str] = (),
) -> Members:
    """Return an instance's table of instances; see ``Members`` for the arguments."""
    return Members(instance_id, incarnation, data_centre, is_hub, peer_hubs)
