"""The state of the replicated log as one instance sees it, for the status page."""

from dataclasses import dataclass

from sesameford.log_election import lease_until_seconds
from sesameford.log_replica import Replica
from sesameford.log_state import Role


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One replica as this instance sees it.

    ``match_index`` and ``silent_seconds`` are None where this instance is not the
    leader, except in its own row.
    """

    instance_id: str
    incarnation: int
    voter: bool
    match_index: int | None
    silent_seconds: float | None


@dataclass(frozen=True, slots=True)
class ReplicaLogStatus:
    """The replicated log as one instance sees it.

    ``role`` is learner, follower, pre-candidate, candidate, leader, ``none`` without
    a disk, or ``failed`` after a failure of the disk or the log; ``failure`` then
    contains the error.
    """

    role: str
    leader_id: str | None
    term: int = 0
    last_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    snapshot_index: int = 0
    lease_remaining_seconds: float = 0.0
    leader_silent_seconds: float | None = None
    members: tuple[MemberStatus, ...] = ()
    waiting_proposals: int = 0
    failure: str | None = None


def replica_status(
    replica: Replica, waiting_proposals: int, now_seconds: float
) -> ReplicaLogStatus:
    """Return the status of a replica.

    Args:
        replica: The replica.
        waiting_proposals: The number of pending proposals of this instance.
        now_seconds: The current time.
    """
    core = replica.core
    leads = core.role is Role.LEADER
    lease = lease_until_seconds(core, now_seconds) - now_seconds
    silent = None if leads else now_seconds - core.leader_last_seen_at_seconds
    return ReplicaLogStatus(
        role=replica.role,
        leader_id=core.leader.instance_id if core.leader else None,
        term=core.term,
        last_index=core.log.last_index,
        commit_index=core.commit_index,
        applied_index=replica.applier.applied_index,
        snapshot_index=core.snapshot.index if core.snapshot else 0,
        lease_remaining_seconds=max(0.0, lease),
        leader_silent_seconds=silent,
        members=_members(replica, now_seconds),
        waiting_proposals=waiting_proposals,
    )


def _members(replica: Replica, now_seconds: float) -> tuple[MemberStatus, ...]:
    """Return a row for each member of the newest configuration."""
    core = replica.core
    configuration = core.log.configuration
    if configuration is None:
        return ()
    rows = []
    for member in configuration.voters + configuration.learners:
        progress = core.progress.get(member)
        match_index, silent = None, None
        if member == core.me:
            match_index, silent = core.synced_index, 0.0
        elif progress is not None:
            match_index = progress.match_index
            silent = now_seconds - progress.acked_at_seconds
        voter = member in configuration.voters
        rows.append(
            MemberStatus(
                member.instance_id, member.incarnation, voter, match_index, silent
            )
        )
    return tuple(rows)
