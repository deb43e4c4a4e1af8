"""Which replicas are to vote, by who answers: lost voters give way to living ones."""

from sesameford.log_state import Core, Role

# Longer than an election, so that a voter which only lost its leader keeps its vote,
# and short beside the seconds in which a lost disk must be made good.
LOST_AFTER_SECONDS = 2.5
# More voters make each acceptance wait for more disks and bear no loss that is asked.
MOST_VOTERS = 5


def voters_by_health(core: Core, now_seconds: float) -> frozenset[str] | None:
    """Return the instances that are to vote, or None where nothing is to change.

    A voter whose machine is gone for good counts in every majority until somebody
    takes its vote away; the next loss would then stop all changes. So a leader gives
    the vote of one that has been silent to a learner that answers. An even number
    bears no more losses than the odd number below it, and waits for one disk more.

    Args:
        core: The replica; only a leader knows who answers.
        now_seconds: The present time.
    """
    configuration = core.log.configuration
    if core.role is not Role.LEADER or configuration is None:
        return None
    if now_seconds - core.leader_since_seconds < LOST_AFTER_SECONDS:
        # A new leader has heard nobody yet.
        return None
    voters = [one.instance_id for one in configuration.voters]
    answering = {
        member.instance_id
        for member, progress in core.progress.items()
        if now_seconds - progress.acked_at_seconds < LOST_AFTER_SECONDS
    } | {core.me.instance_id}
    standing = [one for one in voters if one in answering]
    silent = [one for one in voters if one not in answering]
    waiting = sorted(
        learner.instance_id
        for learner in configuration.learners
        if learner.instance_id in answering and learner.instance_id not in voters
    )
    available = _odd_size(len(standing) + len(waiting))
    # Never fewer than before: an acceptance would rest on fewer disks.
    size = max(available, _odd_size(len(voters)))
    order = [*_leader_first(core.me.instance_id, standing), *waiting, *silent]
    chosen = frozenset(order[:size])
    return None if chosen == frozenset(voters) and not waiting else chosen


def _odd_size(available: int) -> int:
    """Return how many voters are best among so many that answer."""
    size = min(available, MOST_VOTERS)
    return size if size % 2 else size - 1


def _leader_first(leader_id: str, voters: list[str]) -> list[str]:
    """Return the voters with the leader, whose change would cost an election, first."""
    return sorted(voters, key=lambda one: (one != leader_id, one))
