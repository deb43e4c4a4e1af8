"""Selects the voters by liveness: responsive learners replace lost voters."""

from sesameford.log_state import Core, Role

# Longer than an election, so that a voter which only lost its leader keeps its vote;
# short compared with the time within which a lost disk must be replaced.
LOST_AFTER_SECONDS = 2.5
# With more voters each commit waits for more disks, and tolerating the required losses
# needs no more.
MAX_VOTERS = 5


def voters_by_health(core: Core, now_seconds: float) -> frozenset[str] | None:
    """Return the instances that should vote, or None if nothing should change.

    A voter whose host is lost counts towards every majority until it is demoted; the
    next loss could then block all changes. So a leader replaces an unresponsive voter
    by a responsive learner. An even number of voters tolerates no more losses than the
    odd number below it, and a commit waits for one more disk.

    Args:
        core: The replica; only a leader can tell which replicas respond.
        now_seconds: The current time.
    """
    configuration = core.log.configuration
    if core.role is not Role.LEADER or configuration is None:
        return None
    if now_seconds - core.leader_since_seconds < LOST_AFTER_SECONDS:
        # A new leader may not have received replies yet.
        return None
    voters = [voter.instance_id for voter in configuration.voters]
    responsive = {
        member.instance_id
        for member, progress in core.progress.items()
        if now_seconds - progress.acked_at_seconds < LOST_AFTER_SECONDS
    } | {core.me.instance_id}
    responsive_voters = [voter for voter in voters if voter in responsive]
    lost_voters = [voter for voter in voters if voter not in responsive]
    replacements = sorted(
        learner.instance_id
        for learner in configuration.learners
        if learner.instance_id in responsive and learner.instance_id not in voters
    )
    available = _odd_size(len(responsive_voters) + len(replacements))
    # Never fewer voters than before, as a commit would then be on fewer disks.
    size = max(available, _odd_size(len(voters)))
    order = [
        *_leader_first(core.me.instance_id, responsive_voters),
        *replacements,
        *lost_voters,
    ]
    chosen = frozenset(order[:size])
    return None if chosen == frozenset(voters) and not replacements else chosen


def _odd_size(available: int) -> int:
    """Return the odd number of voters to choose from the available replicas."""
    size = min(available, MAX_VOTERS)
    return size if size % 2 else size - 1


def _leader_first(leader_id: str, voters: list[str]) -> list[str]:
    """Return the voters, leader first because demoting it would cost an election."""
    return sorted(voters, key=lambda voter_id: (voter_id != leader_id, voter_id))
