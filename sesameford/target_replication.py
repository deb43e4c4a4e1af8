"""Spreads targets and their leases over the fleet at a cost that few changes make.

Every target announces itself about once a second. Passed on as they come, the
announcements of 600 targets would cost each of 360 instances over 100 KB/s. So one
instance, the target's keeper, takes its announcements and holds its lease. Others
hear of a target when something changes, and once a second the keeper vouches for
all its targets in one short message with a digest over them. A receiver whose own
digest differs asks for the rows.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from math import ceil, inf

from msgspec.structs import replace as replace_fields

from sesameford.messages import (
    LeaseAttestation,
    LeaseAttestations,
    Outgoing,
    TargetAnnouncement,
    TargetRenewal,
    TargetRow,
    TargetRows,
    TargetRowsRequest,
)
from sesameford.targets import (
    RegisteredTarget,
    TargetRegistry,
    announcement_from_entry,
    target_from_announcement,
)

VOUCH_SECONDS = 1.25
# After this long without a keeper's word its targets get no new work. With the
# time that a word may be under way it stays below the 3 s that were promised.
VOUCHED_LEASE_SECONDS = 2.5
WANTED_AGAIN_SECONDS = 1.0
KEEPER_SILENT_SECONDS = 2.25


@dataclass(frozen=True, slots=True)
class _HeardVouch:
    """A keeper's latest word, as it agreed with the rows here."""

    digest: int
    given_at_seconds: float


class TargetReplication:
    """The spread of targets at one instance.

    Args:
        registry: The table that it fills.
        instance_id: This instance.
        incarnation: Of its process. Versions begin there, so that a keeper that
            restarts empty does not count again below what others have of it.
        passes_on: Whether it passes on what it hears, as a hub of its data centre.
        hub_ids: The other hubs that it has links to.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        instance_id: str,
        incarnation: int,
        passes_on: bool,
        hub_ids: Collection[str] = (),
    ) -> None:
        self._registry = registry
        self._hub_ids = frozenset(hub_ids)
        self._first_version = incarnation
        self._instance_id = instance_id
        self._passes_on = passes_on
        self._outgoing: list[Outgoing] = []
        self._heard: dict[str, _HeardVouch] = {}
        self._word_at_seconds: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._next_vouch_seconds = 0.0
        self._hub_id: str | None = None

    def schedule_attestation(self) -> None:
        """Let the next word of this keeper go out now, beside the heartbeat.

        Each on its own time they would go out in two envelopes to every peer, and
        what the network adds to an envelope is more than the word itself.
        """
        self._next_vouch_seconds = -inf

    def set_hub(self, hub_id: str | None) -> None:
        """Take the hub that the keeping is left to, None where there is none."""
        self._hub_id = hub_id

    def handle_announcement(self, news: TargetAnnouncement, now_seconds: float) -> bool:
        """Take an announcement that a target made here or another passed on.

        Returns:
            False if it is from the past, and nothing was changed.
        """
        if self._registry.is_outdated(
            news.target_id, news.incarnation, news.announcement_sequence
        ):
            return False
        known = self._registry.get(news.target_id)
        lease_holder_id = self._lease_holder_of(known, news, now_seconds)
        if lease_holder_id == self._instance_id:
            self._keep(known, news, now_seconds)
            return True
        if known is not None and known.target.incarnation == news.incarnation:
            # Noted before it goes on, so that two instances which each take the
            # other for the keeper do not pass it to and fro for ever.
            sequence = news.announcement_sequence
            noted = replace(known, announcement_sequence=sequence)
            self._registry.put(noted, now_seconds)
        self._pass_to_lease_holder(lease_holder_id, known, news)
        return True

    def handle_leave(
        self, target_id: str, incarnation: int, sequence: int, now_seconds: float
    ) -> bool:
        """Take a target's word, given here, that it leaves.

        Returns:
            False if it is from the past or of a target that is not known.
        """
        known = self._registry.get(target_id)
        if known is None or known.target.incarnation != incarnation:
            return False
        if self._registry.is_outdated(target_id, incarnation, sequence):
            return False
        news = replace_fields(
            announcement_from_entry(known, now_seconds),
            announcement_sequence=sequence,
            leaving=True,
        )
        # Not left to the keeper: it may be out of reach, and then every other
        # router would go on sending work to a target that has said good-bye.
        self._keep(known, news, now_seconds)
        return True

    def handle_renewal(
        self, sender_id: str, message: TargetRenewal, now_seconds: float
    ) -> None:
        """Take, as the keeper, an announcement that was made elsewhere."""
        known = self._registry.get(message.target_id)
        if known is None or known.target.incarnation != message.incarnation:
            # Short news of a target that a keeper restarted empty has lost: left
            # alone, the target would announce itself in vain from now on.
            wanted = TargetRowsRequest(self._instance_id)
            self._outgoing.append(Outgoing(sender_id, wanted))
            return
        news = replace_fields(
            announcement_from_entry(known, now_seconds),
            announcement_sequence=message.announcement_sequence,
            lease_remaining_seconds=message.lease_remaining_seconds,
        )
        self.handle_announcement(news, now_seconds)

    def handle_row(self, sender_id: str, row: TargetRow, now_seconds: float) -> bool:
        """Take a changed target from another instance.

        Returns:
            Whether it was news here.
        """
        known = self._registry.get(row.announcement.target_id)
        stamp = (row.announcement.incarnation, row.version, row.lease_holder_id)
        if known is not None and stamp <= known.stamp:
            # The sender may be a hub that restarted empty and took the row of an
            # instance that was behind. Left with it, neither would ever accept the
            # other's, and the target would be dead here and alive there.
            if stamp < known.stamp:
                behind = Outgoing(sender_id, _row_of(known, now_seconds))
                self._outgoing.append(behind)
            return False
        sequence = row.announcement.announcement_sequence
        if (
            known is not None
            and known.target.incarnation == row.announcement.incarnation
        ):
            sequence = max(sequence, known.announcement_sequence)
        lease_seconds = min(
            row.announcement.lease_remaining_seconds, VOUCHED_LEASE_SECONDS
        )
        news = replace_fields(row.announcement, lease_remaining_seconds=lease_seconds)
        target = target_from_announcement(news, now_seconds)
        heard = RegisteredTarget(
            target, sequence, row.version, row.lease_holder_id, row.is_lapsed
        )
        self._registry.put(heard, now_seconds)
        self._word_at_seconds[row.lease_holder_id] = now_seconds
        if self._passes_on:
            self._send_row(self._registry.get(target.target_id), now_seconds)
        return True

    def handle_attestations(
        self, sender_id: str, message: LeaseAttestations, now_seconds: float
    ) -> None:
        """Take keepers' words: renew their leases, or ask where rows differ."""
        for vouch in message.attestations:
            if vouch.lease_holder_id == self._instance_id:
                continue
            given_at_seconds = now_seconds - vouch.age_milliseconds / 1000
            self._word_at_seconds[vouch.lease_holder_id] = given_at_seconds
            if vouch.digest == self._registry.digest(vouch.lease_holder_id):
                self._renew(vouch, given_at_seconds)
            elif self._may_ask(vouch.lease_holder_id, now_seconds):
                wanted = TargetRowsRequest(vouch.lease_holder_id)
                self._outgoing.append(Outgoing(sender_id, wanted))

    def handle_rows_request(
        self, sender_id: str, message: TargetRowsRequest, now_seconds: float
    ) -> None:
        """Send all rows of a keeper to an instance that lacks some."""
        rows = tuple(
            _row_of(known, now_seconds)
            for known in self._registry.rows()
            if known.lease_holder_id == message.lease_holder_id
        )
        self._outgoing.append(
            Outgoing(sender_id, TargetRows(message.lease_holder_id, rows))
        )

    def handle_rows(
        self, sender_id: str, message: TargetRows, now_seconds: float
    ) -> None:
        """Take all rows of a keeper, and drop those that it has no more.

        A keeper that restarts empty knows nothing of what it kept before. As long as
        a receiver counts such a target among the keeper's, the digests differ and
        none of the keeper's leases is renewed: live targets would get no work.
        """
        for row in message.rows:
            self.handle_row(sender_id, row, now_seconds)
        if message.lease_holder_id == self._instance_id:
            return
        named = {row.announcement.target_id for row in message.rows}
        for known in self._registry.rows():
            is_dropped = known.target.target_id not in named
            if known.lease_holder_id == message.lease_holder_id and is_dropped:
                self._registry.put(replace(known, lease_holder_id=""), now_seconds)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return what is due: changes, questions, and now and then a word."""
        self._drop_lapsed(now_seconds)
        if now_seconds >= self._next_vouch_seconds:
            self._next_vouch_seconds = now_seconds + VOUCH_SECONDS
            vouches = self._vouches(now_seconds)
            if vouches:
                self._outgoing.append(Outgoing(None, LeaseAttestations(vouches)))
        due, self._outgoing = self._outgoing, []
        return due

    def _lease_holder_of(
        self,
        known: RegisteredTarget | None,
        news: TargetAnnouncement,
        now_seconds: float,
    ) -> str:
        """Return who is to keep a target that announces itself here."""
        if self._hub_id is not None:
            return self._hub_id
        is_new_life = known is None or known.target.incarnation != news.incarnation
        if known is None or is_new_life or known.target.leaving:
            return self._instance_id
        # An instance that knew of no hub when the target came keeps it until a hub
        # hears of it: two that each leave it to the other would both let it lapse.
        if self._passes_on and known.lease_holder_id not in self._hub_ids:
            return self._instance_id
        # A keeper that died or is cut off would go on getting the announcements,
        # and the target, though it lives, would get no work. Its silence shows it.
        word_at_seconds = self._word_at_seconds.get(known.lease_holder_id, -inf)
        if now_seconds - word_at_seconds < KEEPER_SILENT_SECONDS:
            return known.lease_holder_id
        return self._instance_id

    def _pass_to_lease_holder(
        self,
        lease_holder_id: str,
        known: RegisteredTarget | None,
        news: TargetAnnouncement,
    ) -> None:
        """Send an announcement to the keeper, in short where nothing changed."""
        message: TargetAnnouncement | TargetRenewal = news
        is_kept_there = known is not None and known.lease_holder_id == lease_holder_id
        if known is not None and is_kept_there and _same(known, news):
            message = TargetRenewal(
                news.target_id,
                news.incarnation,
                news.announcement_sequence,
                news.lease_remaining_seconds,
            )
        self._outgoing.append(Outgoing(lease_holder_id, message, urgent=known is None))

    def _keep(
        self,
        known: RegisteredTarget | None,
        news: TargetAnnouncement,
        now_seconds: float,
    ) -> None:
        """Hold a target's lease here, and tell all where something changed."""
        target = target_from_announcement(news, now_seconds)
        is_kept_here = known is not None and known.lease_holder_id == self._instance_id
        version = max(known.version if known is not None else 0, self._first_version)
        is_change = (
            known is None
            or not is_kept_here
            or not _same(known, news)
            or not self._registry.is_live(known, now_seconds)
        )
        row = RegisteredTarget(
            target,
            news.announcement_sequence,
            version + 1 if is_change else version,
            self._instance_id,
        )
        self._registry.put(row, now_seconds)
        if is_change:
            self._send_row(row, now_seconds)

    def _send_row(self, known: RegisteredTarget | None, now_seconds: float) -> None:
        """Tell all of a change; that a target is gone can't wait."""
        if known is not None:
            row = _row_of(known, now_seconds)
            self._outgoing.append(
                Outgoing(None, row, urgent=row.announcement.leaving or row.is_lapsed)
            )

    def _drop_lapsed(self, now_seconds: float) -> None:
        """Tell all of a target kept here whose lease has run out.

        Routers that hear the keeper's word would take the target for alive as long
        as the rows agree, although it has been silent: so its end is a change.
        """
        for known in self._registry.rows():
            is_kept_here = known.lease_holder_id == self._instance_id
            is_gone = known.target.leaving or known.is_lapsed
            if is_kept_here and not is_gone:
                if known.target.lease_expires_at_seconds > now_seconds:
                    continue
                row = replace(known, is_lapsed=True, version=known.version + 1)
                self._registry.put(row, now_seconds)
                self._send_row(row, now_seconds)

    def _renew(self, vouch: LeaseAttestation, given_at_seconds: float) -> None:
        """Let the leases of a keeper's targets run on from its word."""
        heard = self._heard.get(vouch.lease_holder_id)
        if heard is None or heard.given_at_seconds < given_at_seconds:
            self._heard[vouch.lease_holder_id] = _HeardVouch(
                vouch.digest, given_at_seconds
            )
        until_seconds = given_at_seconds + VOUCHED_LEASE_SECONDS
        self._registry.renew_leases_of(vouch.lease_holder_id, until_seconds)

    def _may_ask(self, lease_holder_id: str, now_seconds: float) -> bool:
        """Return whether it is time to ask for a keeper's rows, again or first."""
        asked_seconds = self._asked.get(lease_holder_id)
        if (
            asked_seconds is not None
            and now_seconds - asked_seconds < WANTED_AGAIN_SECONDS
        ):
            return False
        self._asked[lease_holder_id] = now_seconds
        return True

    def _vouches(self, now_seconds: float) -> tuple[LeaseAttestation, ...]:
        """Return this keeper's word, and on a hub those of others that are fresh."""
        vouches = []
        if any(k.lease_holder_id == self._instance_id for k in self._registry.rows()):
            digest = self._registry.digest(self._instance_id)
            vouches.append(LeaseAttestation(self._instance_id, digest, 0))
        if self._passes_on:
            for lease_holder_id, heard in self._heard.items():
                age_seconds = now_seconds - heard.given_at_seconds
                if age_seconds < VOUCHED_LEASE_SECONDS:
                    age_milliseconds = ceil(age_seconds * 1000)
                    vouches.append(
                        LeaseAttestation(
                            lease_holder_id, heard.digest, age_milliseconds
                        )
                    )
        return tuple(vouches)


def _row_of(known: RegisteredTarget, now_seconds: float) -> TargetRow:
    """Return the row that tells others of a target."""
    news = announcement_from_entry(known, now_seconds)
    return TargetRow(known.lease_holder_id, known.version, news, known.is_lapsed)


def _same(known: RegisteredTarget, news: TargetAnnouncement) -> bool:
    """Return whether an announcement says nothing but that the target lives on."""
    known_news = announcement_from_entry(known, 0.0)
    return known_news == replace_fields(
        news,
        announcement_sequence=known_news.announcement_sequence,
        lease_remaining_seconds=known_news.lease_remaining_seconds,
    )


def make_target_replication(
    registry: TargetRegistry,
    instance_id: str,
    incarnation: int,
    passes_on: bool,
    hub_ids: Collection[str] = (),
) -> TargetReplication:
    """Return the spread of targets at an instance.

    Args:
        registry: The table that it fills.
        instance_id: This instance.
        incarnation: Of its process, larger after each restart.
        passes_on: Whether it passes on what it hears, as a hub of its data centre.
        hub_ids: The other hubs that it has links to.
    """
    return TargetReplication(registry, instance_id, incarnation, passes_on, hub_ids)
