"""Who the other instances are and which of them live.

In a small deployment every instance hears every other one. In a large one that
would cost each of 360 nodes 720 heartbeats a second; there an instance has links to
the hubs of its data centre alone, hubs have links to all other hubs, and what a hub
hears of its own instances it tells the others when it changes, and only then.
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
WANTED_AFTER_SECONDS = 2.0
LOOK_AGAIN_SECONDS = 0.2


class Members:
    """The table of instances as this one knows it.

    Args:
        instance_id: This instance.
        incarnation: Of its process.
        data_centre: Where it stands.
        is_hub: Whether it passes on for its data centre.
        peer_hubs: The hubs that it has links to, none where all have links to all.
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
        self._direct_at_seconds: dict[str, float] = {}
        self._fresh_at_seconds: dict[str, float] = {}
        self._reachable: dict[str, frozenset[str]] = {}
        self._changed: dict[str, str] = {}
        self._changes = 0
        self._looked: tuple[float, int, dict[str, InstanceRow]] = (-inf, 0, {})
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
        """Return this instance's heartbeat, with its own row brought up to date."""
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
            tuple(sorted(self._heard_places(now_seconds))) if self._is_hub else (),
        )

    def handle_heartbeat(
        self,
        sender_id: str,
        incarnation: int,
        heartbeat: Heartbeat,
        now_seconds: float,
    ) -> None:
        """Take a heartbeat; one of an older incarnation changes nothing."""
        known = self._rows.get(sender_id)
        stamp = (incarnation, heartbeat.change_number)
        self._direct_at_seconds[sender_id] = now_seconds
        self._fresh_at_seconds[sender_id] = now_seconds
        if known is None or stamp > (known.incarnation, known.change_number):
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
            self._reachable[sender_id] = frozenset(heartbeat.reachable)
            self._compare(sender_id, heartbeat.members_digest, now_seconds)

    def handle_update(
        self, sender_id: str, news: MembersUpdate, now_seconds: float
    ) -> None:
        """Take rows from a hub."""
        for row in news.rows:
            known = self._rows.get(row.instance_id)
            if row.instance_id == self._instance_id:
                self._refute(row)
            elif known is None or _stamp(row) > _stamp(known):
                self._put(row, sender_id)
                self._fresh_at_seconds[row.instance_id] = now_seconds
        if news.is_whole:
            self._give_back(sender_id, news)

    def handle_request(self, sender_id: str) -> None:
        """Send the whole table to an instance whose own differs."""
        news = MembersUpdate(tuple(self._rows), is_whole=True)
        self._outgoing.append(Outgoing(sender_id, news))

    def collect_outgoing(
        self, peers: Mapping[str, str], now_seconds: float
    ) -> Sequence[Outgoing]:
        """Return what is due.

        Args:
            peers: The data centre of each instance that this one has a link to.
            now_seconds: The present time.
        """
        changed, self._changed = self._changed, {}
        if self._is_hub:
            self._note_silent(now_seconds)
            changed.update(self._changed)
            self._changed = {}
            for peer_id in peers:
                rows = self._rows_for(peer_id, peers[peer_id], changed)
                if rows:
                    self._outgoing.append(Outgoing(peer_id, MembersUpdate(rows)))
        due, self._outgoing = self._outgoing, []
        return due

    def live(self, now_seconds: float) -> Mapping[str, InstanceRow]:
        """Return the other instances that are heard, directly or by hubs.

        Systems ask for them at every tick, and at the target size there are 359; so
        an answer stands for a short while, unless a row changes.
        """
        looked_at_seconds, changes, live = self._looked
        age_seconds = now_seconds - looked_at_seconds
        if changes != self._changes or not 0 <= age_seconds < LOOK_AGAIN_SECONDS:
            live = self._look(now_seconds)
            self._looked = (now_seconds, self._changes, live)
        return live

    def _look(self, now_seconds: float) -> dict[str, InstanceRow]:
        places = self._live_places(now_seconds)
        return {
            row.instance_id: _instance_of(
                row, self._direct_at_seconds.get(row.instance_id, now_seconds)
            )
            for row in self._rows
            if row.instance_id != self._instance_id
            and self._is_live(row, places, now_seconds)
        }

    def all(self, now_seconds: float) -> list[InstanceRow]:
        """Return every other instance ever heard of, for the status page."""
        live = self.live(now_seconds)
        return [
            live.get(row.instance_id)
            or _instance_of(row, self._fresh_at_seconds.get(row.instance_id, 0.0))
            for row in self._rows
            if row.instance_id != self._instance_id
        ]

    def highest_revision(self) -> int:
        """Return the highest tree revision that any instance told of."""
        return max(row.revision for row in self._rows)

    def live_hub(
        self, data_centre: str, candidates: Sequence[str], now_seconds: float
    ) -> str | None:
        """Return the first of some hubs that stands in a data centre and is heard."""
        for hub_id in candidates:
            row = self._rows.get(hub_id)
            is_there = row is not None and row.data_centre == data_centre
            if is_there and self._is_direct(hub_id, now_seconds):
                return hub_id
        return None

    def data_centre_of(self, instance_id: str) -> str | None:
        """Return where an instance stands, None for one that is not known."""
        row = self._rows.get(instance_id)
        return row.data_centre if row is not None else None

    def _put(self, row: MemberRow, source_id: str) -> None:
        known = self._rows.get(row.instance_id)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(row)
        self._rows.put(row.instance_id, row)
        self._changes += 1
        self._changed[row.instance_id] = source_id

    def _refute(self, row: MemberRow) -> None:
        """Answer rows that tell of this instance what is not so.

        Hubs that lost this instance told all that it is silent. With the links back
        they hear it, but its old row would go on to count for less than theirs at
        all that have no link to it: to them it would be dead for good.
        """
        if _stamp(row) > _stamp(self._own) and row.incarnation == self._own.incarnation:
            number = max(row.change_number, self._own.change_number) + 1
            self._own = replace(self._own, change_number=number)
            self._put(self._own, self._instance_id)

    def _give_back(self, hub_id: str, news: MembersUpdate) -> None:
        """Send a hub the rows that its whole table lacks.

        A hub that restarted empty does not know the silent ones; the digests would
        differ for good, and each comparison would send the whole table again.
        """
        told = {row.instance_id: _stamp(row) for row in news.rows}
        lacking = tuple(
            row
            for row in self._rows
            if _stamp(row) > told.get(row.instance_id, (0, 0, 0))
        )
        if lacking:
            self._outgoing.append(Outgoing(hub_id, MembersUpdate(lacking)))

    def _compare(self, hub_id: str, digest: int, now_seconds: float) -> None:
        """Ask a hub for all rows once its digest has differed for a while."""
        if digest == self._digest:
            self._differs_since_seconds.pop(hub_id, None)
            return
        since_seconds = self._differs_since_seconds.setdefault(hub_id, now_seconds)
        if now_seconds - since_seconds >= WANTED_AFTER_SECONDS:
            self._differs_since_seconds[hub_id] = now_seconds
            self._outgoing.append(Outgoing(hub_id, MembersRequest()))

    def _note_silent(self, now_seconds: float) -> None:
        """Tell all of own instances that this hub has not heard for too long."""
        for row in self._rows:
            if row.instance_id == self._instance_id or row.is_silent:
                continue
            if row.data_centre != self._data_centre:
                continue
            fresh_at_seconds = self._fresh_at_seconds.get(row.instance_id, -inf)
            if now_seconds - fresh_at_seconds > LIVENESS_TIMEOUT_SECONDS:
                silent = replace(
                    row, silence_count=row.silence_count + 1, is_silent=True
                )
                self._put(silent, self._instance_id)

    def _rows_for(
        self, peer_id: str, place: str, changed: Mapping[str, str]
    ) -> tuple[MemberRow, ...]:
        """Return the changed rows that a peer has not told or been told already.

        Hubs have links to all hubs, so what one hub told goes to own instances
        alone; else each change would go round as often as there are hubs.
        """
        is_far = place != self._data_centre or peer_id in self._peer_hubs
        return tuple(
            row
            for row in self._rows
            if row.instance_id in changed
            and changed[row.instance_id] != peer_id
            and not (is_far and changed[row.instance_id] in self._peer_hubs)
            and row.instance_id != peer_id
        )

    def _is_direct(self, instance_id: str, now_seconds: float) -> bool:
        heard_seconds = self._direct_at_seconds.get(instance_id, -inf)
        return now_seconds - heard_seconds <= LIVENESS_TIMEOUT_SECONDS

    def _is_live(
        self, row: MemberRow, places: frozenset[str], now_seconds: float
    ) -> bool:
        if row.instance_id in self._direct_at_seconds:
            return self._is_direct(row.instance_id, now_seconds)
        return not row.is_silent and row.data_centre in places

    def _heard_places(self, now_seconds: float) -> frozenset[str]:
        """Return the data centres of which a hub is heard here."""
        places = {self._data_centre}
        for hub_id in self._peer_hubs:
            row = self._rows.get(hub_id)
            if row is not None and self._is_direct(hub_id, now_seconds):
                places.add(row.data_centre)
        return frozenset(places)

    def _live_places(self, now_seconds: float) -> frozenset[str]:
        """Return the data centres whose instances the hubs' rows speak of truly."""
        if self._is_hub:
            return self._heard_places(now_seconds)
        places: set[str] = set()
        for hub_id in self._peer_hubs:
            if self._is_direct(hub_id, now_seconds):
                places |= self._reachable.get(hub_id, frozenset())
        return frozenset(places)


def _stamp(row: MemberRow) -> tuple[int, int, int]:
    """Return what orders rows of one instance."""
    return row.incarnation, row.change_number, row.silence_count


def _digest_of(row: MemberRow) -> int:
    """Return one row's part of the table's digest."""
    return xxh3_64_intdigest(f"{row.instance_id}/{_stamp(row)}".encode())


def _instance_of(row: MemberRow, last_seen_at_seconds: float) -> InstanceRow:
    """Return a row as the other modules know instances."""
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
    """Return the table of instances at one of them; see ``Members``."""
    return Members(instance_id, incarnation, data_centre, is_hub, peer_hubs)
