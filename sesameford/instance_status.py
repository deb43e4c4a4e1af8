"""Builds the status report of an instance for operators."""

from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.log_status import ReplicaLogStatus
from sesameford.members import LIVENESS_TIMEOUT_SECONDS
from sesameford.settings import Peer
from sesameford.status import (
    InstanceStatus,
    LogStatus,
    QuarantineStatus,
    StatusReport,
    TargetStatus,
)
from sesameford.suspects import Suspects
from sesameford.tables import InstanceRow, InstanceState, Target

_LEARNER_ROLE = "learner"


@dataclass(frozen=True, slots=True)
class InstanceSummary:
    """The identity, state and tree revision of the reporting instance."""

    instance_id: str
    data_centre: str
    state: InstanceState
    revision: int


def make_status(
    own: InstanceSummary,
    peers: Sequence[Peer],
    rows: Sequence[InstanceRow],
    targets: Sequence[Target],
    running: dict[str, int],
    replica: ReplicaLogStatus,
    now_seconds: float,
    quarantine: tuple[QuarantineStatus, ...] = (),
    evacuated: frozenset[str] = frozenset(),
) -> StatusReport:
    """Return the answer to ``GET /status``.

    Args:
        own: The answering instance.
        peers: The other instances that the settings list.
        rows: The other instances as this one's member table records them.
        targets: All registered targets.
        running: The number of attempts that this instance runs, by target.
        replica: The status of the replicated log at this instance.
        now_seconds: The current time.
        quarantine: The request bodies that are refused.
        evacuated: The data centres whose targets get no new work.
    """
    rows_by_id = {one.instance_id: one for one in rows}
    roles = _roles(own, replica)
    instances = [
        InstanceStatus(
            own.instance_id,
            own.data_centre,
            own.state,
            own.revision,
            0.0,
            True,
            replica.role,
        )
    ]
    for peer in peers:
        row = rows_by_id.get(peer.instance_id)
        role = roles.get(peer.instance_id, "none")
        instances.append(_peer_status(peer, row, role, now_seconds))
    return StatusReport(
        instance_id=own.instance_id,
        data_centre=own.data_centre,
        state=own.state,
        revision=own.revision,
        instances=tuple(instances),
        targets=tuple(_target_status(one, running, now_seconds) for one in targets),
        quarantine=quarantine,
        log=_log_status(replica),
        evacuated=tuple(sorted(evacuated)),
    )


def quarantine_of(
    suspects: Suspects, now_seconds: float
) -> tuple[QuarantineStatus, ...]:
    """Return the refused bodies, each with its target deaths and remaining time."""
    return tuple(
        QuarantineStatus(
            row.request_digest.hex(), len(row.uncleared_crashes), left_seconds
        )
        for row, left_seconds in suspects.list_quarantined(now_seconds)
    )


def _roles(own: InstanceSummary, replica: ReplicaLogStatus) -> dict[str, str]:
    """Return the roles of the other replicas that this instance has recorded."""
    roles = {
        member.instance_id: "follower" if member.voter else _LEARNER_ROLE
        for member in replica.members
    }
    if replica.leader_id is not None and replica.leader_id != own.instance_id:
        roles[replica.leader_id] = "leader"
    return roles


def _peer_status(
    peer: Peer, row: InstanceRow | None, role: str, now_seconds: float
) -> InstanceStatus:
    """Return the status of another instance."""
    if row is None:
        return InstanceStatus(
            peer.instance_id, peer.data_centre, None, None, None, False, role
        )
    ago_seconds = now_seconds - row.last_seen_at_seconds
    return InstanceStatus(
        peer.instance_id,
        peer.data_centre,
        row.state,
        row.revision,
        ago_seconds,
        ago_seconds <= LIVENESS_TIMEOUT_SECONDS,
        role,
    )


def _target_status(
    target: Target, running: dict[str, int], now_seconds: float
) -> TargetStatus:
    """Return the status of a target."""
    return TargetStatus(
        target.target_id,
        target.data_centre,
        target.kind,
        target.serves,
        target.capacity_slots,
        running.get(target.target_id, 0),
        target.lease_expires_at_seconds - now_seconds,
        target.leaving,
    )


def _log_status(replica: ReplicaLogStatus) -> LogStatus:
    """Return the status of the replicated log."""
    has_quorum = None
    if replica.role == "leader":
        has_quorum = replica.lease_remaining_seconds > 0
    elif replica.leader_silent_seconds is not None:
        has_quorum = replica.leader_id is not None
    return LogStatus(
        leader_id=replica.leader_id,
        term=replica.term,
        commit_index=replica.commit_index,
        quorum=has_quorum,
        lease_remaining_seconds=(
            replica.lease_remaining_seconds if replica.role == "leader" else None
        ),
    )
