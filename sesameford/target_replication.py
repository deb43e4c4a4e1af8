"""Replicates targets and their leases over the fleet, at a cost that follows changes.

Every target announces itself about once a second. If all instances forwarded every
announcement, those of 600 targets would cost each of 360 instances over 100 KB/s. So
one instance, the target's lease holder, handles its announcements and holds its lease.
The others are notified of changes. About once a second the lease holder attests all its
targets in one short message with a digest over them. A receiver whose own digest
differs requests the rows.
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

ATTESTATION_INTERVAL_SECONDS = 1.25
# Targets get no new work after this long without an attestation of their lease holder.
# With the time that a message may take it stays below the guaranteed 3 s.
ATTESTED_LEASE_SECONDS = 2.5
ROWS_REQUEST_INTERVAL_SECONDS = 1.0
LEASE_HOLDER_TIMEOUT_SECONDS = 2.25


@dataclass(frozen=True, slots=True)
class _ReceivedAttestation:
    """A lease holder's latest attestation that agreed with the rows here."""

    digest: int
    attested_at_seconds: float


class TargetReplication:
    """The replication of targets at one instance.

    Args:
        registry: The table to fill.
        instance_id: The id of this instance.
        incarnation: The incarnation of its process. Versions start there, so that a
            lease holder that restarts empty doesn't count below the versions that
            others have of it.
        is_hub: Whether it forwards what it receives, as a hub of its data centre.
        hub_ids: The other hubs that it has links to.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        instance_id: str,
        incarnation: int,
        is_hub: bool,
        hub_ids: Collection[str] = (),
    ) -> None:
        self._registry = registry
        self._hub_ids = frozenset(hub_ids)
        self._first_version = incarnation
        self._instance_id = instance_id
        self._is_hub = is_hub
        self._outgoing: list[Outgoing] = []
        self._attestations: dict[str, _ReceivedAttestation] = {}
        self._lease_holder_seen_at_seconds: dict[str, float] = {}
        self._rows_requested_at_seconds: dict[str, float] = {}
        self._next_attestation_seconds = 0.0
        self._hub_id: str | None = None

    def schedule_attestation(self) -> None:
        """Make this instance's next attestation due now, together with its heartbeat.

        On schedules of their own the two would take two envelopes to every peer, and
        the network's overhead for an envelope is larger than the attestation itself.
        """
        self._next_attestation_seconds = -inf

    def set_hub(self, hub_id: str | None) -> None:
        """Set the hub that holds the leases for this instance, None without one."""
        self._hub_id = hub_id

    def handle_announcement(
        self, announcement: TargetAnnouncement, now_seconds: float
    ) -> bool:
        """Handle an announcement that a target made here or another instance forwarded.

        Returns:
            False if it is outdated, and nothing was changed.
        """
        if self._registry.is_outdated(
            announcement.target_id,
            announcement.incarnation,
            announcement.announcement_sequence,
        ):
            return False
        entry = self._registry.get(announcement.target_id)
        lease_holder_id = self._choose_lease_holder(entry, announcement, now_seconds)
        if lease_holder_id == self._instance_id:
            self._hold_lease(entry, announcement, now_seconds)
            return True
        if entry is not None and entry.target.incarnation == announcement.incarnation:
            # Recorded before it is forwarded, so that two instances which each take
            # the other for the lease holder don't forward it to each other for ever.
            sequence = announcement.announcement_sequence
            updated = replace(entry, announcement_sequence=sequence)
            self._registry.put(updated, now_seconds)
        self._forward_to_lease_holder(lease_holder_id, entry, announcement)
        return True

    def handle_leave(
        self, target_id: str, incarnation: int, sequence: int, now_seconds: float
    ) -> bool:
        """Handle a target's request, made here, to leave.

        Returns:
            False if it is outdated or the target is unknown.
        """
        entry = self._registry.get(target_id)
        if entry is None or entry.target.incarnation != incarnation:
            return False
        if self._registry.is_outdated(target_id, incarnation, sequence):
            return False
        announcement = replace_fields(
            announcement_from_entry(entry, now_seconds),
            announcement_sequence=sequence,
            leaving=True,
        )
        # Not left to the lease holder: it may be unreachable, and then every other
        # router would continue to send work to a target that has left.
        self._hold_lease(entry, announcement, now_seconds)
        return True

    def handle_renewal(
        self, sender_id: str, message: TargetRenewal, now_seconds: float
    ) -> None:
        """Handle, as the lease holder, an announcement made at another instance."""
        entry = self._registry.get(message.target_id)
        if entry is None or entry.target.incarnation != message.incarnation:
            # A lease holder that restarted empty has lost the target. Without its row,
            # renewals could not bring it back: it would announce itself in vain.
            request = TargetRowsRequest(self._instance_id)
            self._outgoing.append(Outgoing(sender_id, request))
            return
        announcement = replace_fields(
            announcement_from_entry(entry, now_seconds),
            announcement_sequence=message.announcement_sequence,
            lease_remaining_seconds=message.lease_remaining_seconds,
        )
        self.handle_announcement(announcement, now_seconds)

    def handle_row(self, sender_id: str, row: TargetRow, now_seconds: float) -> bool:
        """Handle a row of a changed target from another instance.

        Returns:
            Whether the row was newer than the entry here.
        """
        entry = self._registry.get(row.announcement.target_id)
        stamp = (row.announcement.incarnation, row.version, row.lease_holder_id)
        if entry is not None and stamp <= entry.stamp:
            # The sender may be a hub that restarted empty and accepted the row of an
            # instance that was behind. Unless it gets the newer row, neither accepts
            # the other's row, and the target stays dead here and alive there.
            if stamp < entry.stamp:
                reply = Outgoing(sender_id, _make_row(entry, now_seconds))
                self._outgoing.append(reply)
            return False
        sequence = row.announcement.announcement_sequence
        if (
            entry is not None
            and entry.target.incarnation == row.announcement.incarnation
        ):
            sequence = max(sequence, entry.announcement_sequence)
        lease_seconds = min(
            row.announcement.lease_remaining_seconds, ATTESTED_LEASE_SECONDS
        )
        announcement = replace_fields(
            row.announcement, lease_remaining_seconds=lease_seconds
        )
        target = target_from_announcement(announcement, now_seconds)
        received = RegisteredTarget(
            target, sequence, row.version, row.lease_holder_id, row.is_lapsed
        )
        self._registry.put(received, now_seconds)
        self._lease_holder_seen_at_seconds[row.lease_holder_id] = now_seconds
        if self._is_hub:
            self._send_row(self._registry.get(target.target_id), now_seconds)
        return True

    def handle_attestations(
        self, sender_id: str, message: LeaseAttestations, now_seconds: float
    ) -> None:
        """Handle attestations: renew the leases, or request the rows that differ."""
        for attestation in message.attestations:
            if attestation.lease_holder_id == self._instance_id:
                continue
            attested_at_seconds = now_seconds - attestation.age_milliseconds / 1000
            self._lease_holder_seen_at_seconds[attestation.lease_holder_id] = (
                attested_at_seconds
            )
            if attestation.digest == self._registry.digest(attestation.lease_holder_id):
                self._renew_leases(attestation, attested_at_seconds)
            elif self._may_request_rows(attestation.lease_holder_id, now_seconds):
                request = TargetRowsRequest(attestation.lease_holder_id)
                self._outgoing.append(Outgoing(sender_id, request))

    def handle_rows_request(
        self, sender_id: str, message: TargetRowsRequest, now_seconds: float
    ) -> None:
        """Send all rows of a lease holder to an instance that lacks some."""
        rows = tuple(
            _make_row(entry, now_seconds)
            for entry in self._registry.rows()
            if entry.lease_holder_id == message.lease_holder_id
        )
        self._outgoing.append(
            Outgoing(sender_id, TargetRows(message.lease_holder_id, rows))
        )

    def handle_rows(
        self, sender_id: str, message: TargetRows, now_seconds: float
    ) -> None:
        """Handle all rows of a lease holder, and release the targets it no longer has.

        A lease holder that restarts empty has lost the leases it held before. As long
        as a receiver counts such a target among the lease holder's, the digests differ
        and none of its leases is renewed: live targets would get no work.
        """
        for row in message.rows:
            self.handle_row(sender_id, row, now_seconds)
        if message.lease_holder_id == self._instance_id:
            return
        listed_ids = {row.announcement.target_id for row in message.rows}
        for entry in self._registry.rows():
            is_dropped = entry.target.target_id not in listed_ids
            if entry.lease_holder_id == message.lease_holder_id and is_dropped:
                self._registry.put(replace(entry, lease_holder_id=""), now_seconds)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return the messages that are due: changes, requests and attestations."""
        self._expire_leases(now_seconds)
        if now_seconds >= self._next_attestation_seconds:
            self._next_attestation_seconds = now_seconds + ATTESTATION_INTERVAL_SECONDS
            attestations = self._collect_attestations(now_seconds)
            if attestations:
                self._outgoing.append(Outgoing(None, LeaseAttestations(attestations)))
        due, self._outgoing = self._outgoing, []
        return due

    def _choose_lease_holder(
        self,
        entry: RegisteredTarget | None,
        announcement: TargetAnnouncement,
        now_seconds: float,
    ) -> str:
        """Return the lease holder for a target that announces itself here."""
        if self._hub_id is not None:
            return self._hub_id
        is_new_incarnation = (
            entry is None or entry.target.incarnation != announcement.incarnation
        )
        if entry is None or is_new_incarnation or entry.target.leaving:
            return self._instance_id
        # An instance that knew no hub when the target announced itself holds the lease
        # until a hub receives the target: if each left the lease to the other, it
        # would lapse.
        if self._is_hub and entry.lease_holder_id not in self._hub_ids:
            return self._instance_id
        # Announcements must not go to a lease holder that died or is isolated, or the
        # live target would get no work. Its silence shows that.
        seen_at_seconds = self._lease_holder_seen_at_seconds.get(
            entry.lease_holder_id, -inf
        )
        if now_seconds - seen_at_seconds < LEASE_HOLDER_TIMEOUT_SECONDS:
            return entry.lease_holder_id
        return self._instance_id

    def _forward_to_lease_holder(
        self,
        lease_holder_id: str,
        entry: RegisteredTarget | None,
        announcement: TargetAnnouncement,
    ) -> None:
        """Send an announcement to its lease holder, as a renewal if nothing changed."""
        message: TargetAnnouncement | TargetRenewal = announcement
        is_held_there = entry is not None and entry.lease_holder_id == lease_holder_id
        if entry is not None and is_held_there and _is_unchanged(entry, announcement):
            message = TargetRenewal(
                announcement.target_id,
                announcement.incarnation,
                announcement.announcement_sequence,
                announcement.lease_remaining_seconds,
            )
        self._outgoing.append(Outgoing(lease_holder_id, message, urgent=entry is None))

    def _hold_lease(
        self,
        entry: RegisteredTarget | None,
        announcement: TargetAnnouncement,
        now_seconds: float,
    ) -> None:
        """Hold a target's lease here, and notify all instances of a change."""
        target = target_from_announcement(announcement, now_seconds)
        is_held_here = entry is not None and entry.lease_holder_id == self._instance_id
        version = max(entry.version if entry is not None else 0, self._first_version)
        is_change = (
            entry is None
            or not is_held_here
            or not _is_unchanged(entry, announcement)
            or not self._registry.is_live(entry, now_seconds)
        )
        row = RegisteredTarget(
            target,
            announcement.announcement_sequence,
            version + 1 if is_change else version,
            self._instance_id,
        )
        self._registry.put(row, now_seconds)
        if is_change:
            self._send_row(row, now_seconds)

    def _send_row(self, entry: RegisteredTarget | None, now_seconds: float) -> None:
        """Send a changed row to all instances, urgently if the target is gone."""
        if entry is not None:
            row = _make_row(entry, now_seconds)
            self._outgoing.append(
                Outgoing(None, row, urgent=row.announcement.leaving or row.is_lapsed)
            )

    def _expire_leases(self, now_seconds: float) -> None:
        """Notify all instances of targets held here whose leases have expired.

        Routers that receive the attestations would consider the target live as long
        as the rows agree, although it is silent. So the expiry is a change of its row.
        """
        for entry in self._registry.rows():
            is_held_here = entry.lease_holder_id == self._instance_id
            is_gone = entry.target.leaving or entry.is_lapsed
            if is_held_here and not is_gone:
                if entry.target.lease_expires_at_seconds > now_seconds:
                    continue
                row = replace(entry, is_lapsed=True, version=entry.version + 1)
                self._registry.put(row, now_seconds)
                self._send_row(row, now_seconds)

    def _renew_leases(
        self, attestation: LeaseAttestation, attested_at_seconds: float
    ) -> None:
        """Extend the leases of a lease holder's targets from its attestation."""
        received = self._attestations.get(attestation.lease_holder_id)
        if received is None or received.attested_at_seconds < attested_at_seconds:
            self._attestations[attestation.lease_holder_id] = _ReceivedAttestation(
                attestation.digest, attested_at_seconds
            )
        until_seconds = attested_at_seconds + ATTESTED_LEASE_SECONDS
        self._registry.renew_leases_of(attestation.lease_holder_id, until_seconds)

    def _may_request_rows(self, lease_holder_id: str, now_seconds: float) -> bool:
        """Return whether a first or further request for a holder's rows is due."""
        requested_at_seconds = self._rows_requested_at_seconds.get(lease_holder_id)
        if (
            requested_at_seconds is not None
            and now_seconds - requested_at_seconds < ROWS_REQUEST_INTERVAL_SECONDS
        ):
            return False
        self._rows_requested_at_seconds[lease_holder_id] = now_seconds
        return True

    def _collect_attestations(self, now_seconds: float) -> tuple[LeaseAttestation, ...]:
        """Return this instance's attestation, and on a hub recent ones of others."""
        attestations = []
        if any(k.lease_holder_id == self._instance_id for k in self._registry.rows()):
            digest = self._registry.digest(self._instance_id)
            attestations.append(LeaseAttestation(self._instance_id, digest, 0))
        if self._is_hub:
            for lease_holder_id, received in self._attestations.items():
                age_seconds = now_seconds - received.attested_at_seconds
                if age_seconds < ATTESTED_LEASE_SECONDS:
                    age_milliseconds = ceil(age_seconds * 1000)
                    attestations.append(
                        LeaseAttestation(
                            lease_holder_id, received.digest, age_milliseconds
                        )
                    )
        return tuple(attestations)


def _make_row(entry: RegisteredTarget, now_seconds: float) -> TargetRow:
    """Return the row that reports a target to other instances."""
    announcement = announcement_from_entry(entry, now_seconds)
    return TargetRow(
        entry.lease_holder_id, entry.version, announcement, entry.is_lapsed
    )


def _is_unchanged(entry: RegisteredTarget, announcement: TargetAnnouncement) -> bool:
    """Return whether an announcement reports only that the target is still alive."""
    entry_announcement = announcement_from_entry(entry, 0.0)
    return entry_announcement == replace_fields(
        announcement,
        announcement_sequence=entry_announcement.announcement_sequence,
        lease_remaining_seconds=entry_announcement.lease_remaining_seconds,
    )


def make_target_replication(
    registry: TargetRegistry,
    instance_id: str,
    incarnation: int,
    is_hub: bool,
    hub_ids: Collection[str] = (),
) -> TargetReplication:
    """Return the replication of targets at an instance.

    Args:
        registry: The table to fill.
        instance_id: The id of this instance.
        incarnation: The incarnation of its process, larger after each restart.
        is_hub: Whether it forwards what it receives, as a hub of its data centre.
        hub_ids: The other hubs that it has links to.
    """
    return TargetReplication(registry, instance_id, incarnation, is_hub, hub_ids)
