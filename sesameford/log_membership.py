"""Membership of the log: founding, learners and single-server voter changes."""

from sesameford.log_election import reset_election_timer
from sesameford.log_messages import Announce, Configuration, Entry, Member, Packet
from sesameford.log_replication import update_progress_members
from sesameford.log_state import (
    ANNOUNCE_SECONDS,
    ANNOUNCEMENT_VALID_SECONDS,
    Core,
    append_entry,
    members_by_id,
    send,
)

# A learner at most this far behind counts as caught up; one message brings the rest.
CAUGHT_UP_ENTRIES = 64
# Voters change only while a majority has replied within this time.
ALIVE_SECONDS = 0.75


def handle_announcement(
    core: Core, packet: Packet, body: Announce, now_seconds: float
) -> None:
    """Record the announcement of a replica that is in no configuration."""
    row = (packet.sender, body.has_entries, now_seconds)
    core.announced[packet.sender.instance_id] = row


def tick_non_member(core: Core, now_seconds: float) -> None:
    """Announce a replica that is no member; found the cluster if all logs are empty."""
    if core.is_member:
        return
    if now_seconds >= core.announce_due_at_seconds:
        core.announce_due_at_seconds = now_seconds + ANNOUNCE_SECONDS
        body = Announce(has_entries=core.log.last_index > 0)
        for peer_id in core.peer_ids:
            send(core, Member(peer_id, 0), body)
    _found_cluster_if_all_new(core, now_seconds)


def _found_cluster_if_all_new(core: Core, now_seconds: float) -> None:
    """Write the first configuration if all disks are empty.

    Only the replica with the lowest id does so. If its own empty disk were enough, a
    replica that lost its disk would found a second log beside the existing one, and
    accepted changes would revert. So every other replica must have announced recently
    that its log is empty too. If replicas find each other by seeds, ``may_found`` is
    False until all seeds are discovered.
    """
    if not core.may_found:
        return
    if core.log.last_index or core.me.instance_id > min(core.peer_ids, default="~"):
        return
    members = [core.me]
    for peer_id in core.peer_ids:
        member, has_entries, announced_at = core.announced.get(
            peer_id, (None, True, 0.0)
        )
        fresh = now_seconds - announced_at <= ANNOUNCEMENT_VALID_SECONDS
        if member is None or has_entries or not fresh:
            return
        members.append(member)
    configuration = Configuration(core.me.incarnation, tuple(sorted(members)))
    append_entry(core, Entry(1, 0, configuration))
    reset_election_timer(core, now_seconds)
    core.election_due_at_seconds = now_seconds


def tick_configuration(core: Core, now_seconds: float) -> None:
    """Append the leader's next single-server change of the configuration, if any.

    A change waits until the last one and an entry of the leader's own term are
    committed; otherwise two majorities without a common member could exist.
    """
    if core.commit_index < max(core.log.configuration_index, core.term_start_index):
        return
    configuration = next_configuration(core, now_seconds)
    if configuration is None:
        return
    append_entry(core, Entry(core.log.last_index + 1, core.term, configuration))
    update_progress_members(core)


def next_configuration(core: Core, now_seconds: float) -> Configuration | None:
    """Return a configuration one step closer to the desired one.

    Args:
        core: The leader.
        now_seconds: The current time.

    Returns:
        A configuration whose voters differ by at most one, or None.
    """
    present = core.log.configuration
    if present is None:
        return None
    return (
        _add_announced_learner(core, present, now_seconds)
        or _remove_replaced_learner(core, present, now_seconds)
        or _promote_caught_up_learner(core, present, now_seconds)
        or _demote_undesired_voter(core, present, now_seconds)
    )


def _add_announced_learner(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Add a replica that announced itself as a learner."""
    for instance_id, (member, _, announced_at) in sorted(core.announced.items()):
        if now_seconds - announced_at > ANNOUNCEMENT_VALID_SECONDS:
            continue
        if member in present.voters or member in present.learners:
            continue
        if any(
            _is_alive(core, old, now_seconds) for old in _other_identities(core, member)
        ):
            # A delayed announcement of a lost disk; the instance's current one replies.
            continue
        learners = [old for old in present.learners if old.instance_id != instance_id]
        return _make_configuration(present, present.voters, (*learners, member))
    return None


def _remove_replaced_learner(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Remove a learner with a lost disk whose instance replies as another identity."""
    for learner in present.learners:
        others = _other_identities(core, learner)
        if learner == core.me or _is_alive(core, learner, now_seconds):
            continue
        if any(_is_alive(core, other, now_seconds) for other in others):
            learners = tuple(other for other in present.learners if other != learner)
            return _make_configuration(present, present.voters, learners)
    return None


def _demote_undesired_voter(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Demote a voter that is not desired to a learner.

    Voters that don't reply are demoted first, while the others still form a majority
    without them; the leader is last.
    """
    if core.desired_voters is None or len(present.voters) < 2:
        return None
    undesired = [
        voter
        for voter in present.voters
        if voter.instance_id not in core.desired_voters
    ]
    if len(undesired) == len(present.voters):
        return None
    order = sorted(
        undesired,
        key=lambda voter: (voter == core.me, _is_alive(core, voter, now_seconds)),
    )
    for voter in order:
        voters = tuple(other for other in present.voters if other != voter)
        is_silent = voter != core.me and not _is_alive(core, voter, now_seconds)
        if is_silent and not _is_majority_alive(core, voters, now_seconds, spare=1):
            # It may return with its disk, and one of the others may have lost its own.
            continue
        if _is_majority_alive(core, voters, now_seconds):
            return _make_configuration(present, voters, (*present.learners, voter))
    return None


def _promote_caught_up_learner(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Promote a learner that has caught up and replies to a voter.

    If its instance is a voter under the identity of a lost disk, that identity is
    removed first: swapping both in one step would change two voters at once.
    """
    for learner in present.learners:
        desired = core.desired_voters
        if desired is not None and learner.instance_id not in desired:
            continue
        if not _is_alive(core, learner, now_seconds):
            continue
        behind = core.log.last_index - core.progress[learner].match_index
        if behind > CAUGHT_UP_ENTRIES:
            continue
        if core.progress[learner].match_index < core.term_start_index:
            continue
        old = members_by_id(Configuration(0, present.voters)).get(learner.instance_id)
        if old is not None and len(present.voters) > 1:
            voters = tuple(voter for voter in present.voters if voter != old)
            if not _is_majority_alive(core, voters, now_seconds):
                continue
            return _make_configuration(present, voters, present.learners)
        if len(present.voters) > 1 and not (
            _has_majority_without(core, learner, now_seconds)
            or _replaces_silent_voter(core, present, now_seconds)
        ):
            continue
        learners = tuple(other for other in present.learners if other != learner)
        return _make_configuration(present, (*present.voters, learner), learners)
    return None


def _other_identities(core: Core, member: Member) -> list[Member]:
    """Return the other identities of a member's instance."""
    return [
        other
        for other in core.others
        if other.instance_id == member.instance_id and other != member
    ]


def _is_alive(core: Core, member: Member, now_seconds: float) -> bool:
    """Return whether a member replied within ``ALIVE_SECONDS``."""
    progress = core.progress.get(member)
    if progress is None:
        return False
    return now_seconds - progress.acked_at_seconds < ALIVE_SECONDS


def _is_majority_alive(
    core: Core, voters: tuple[Member, ...], now_seconds: float, spare: int = 0
) -> bool:
    """Return whether a majority of these voters replies.

    Removing a voter that replies while another's disk is lost could leave the rest
    without a majority for ever: no change would be accepted any more.

    Args:
        core: The leader.
        voters: The voters.
        now_seconds: The current time.
        spare: How many of those that reply may have failed unnoticed.
    """
    alive = sum(
        voter == core.me or _is_alive(core, voter, now_seconds) for voter in voters
    )
    return 2 * (alive - spare) > len(voters)


def _has_majority_without(core: Core, newcomer: Member, now_seconds: float) -> bool:
    """Return whether the present voters can commit the next configuration alone.

    The newcomer may fail at any time. If its vote were needed to commit the change
    that adds it, no change could be accepted any more.
    """
    alive = sum(
        voter == core.me or _is_alive(core, voter, now_seconds)
        for voter in core.voters
        if voter != newcomer
    )
    return 2 * alive > len(core.voters) + 1


def _replaces_silent_voter(
    core: Core, present: Configuration, now_seconds: float
) -> bool:
    """Return whether a newcomer may be needed, as a silent voter is to be replaced.

    The silent voter stays until the newcomer votes, and brings the majority back if
    the newcomer fails.
    """
    desired = core.desired_voters
    if desired is None or not _is_majority_alive(core, present.voters, now_seconds):
        return False
    return any(
        voter.instance_id not in desired and not _is_alive(core, voter, now_seconds)
        for voter in present.voters
        if voter != core.me
    )


def _make_configuration(
    present: Configuration, voters: tuple[Member, ...], learners: tuple[Member, ...]
) -> Configuration:
    """Return a configuration of the same cluster."""
    voters, learners = tuple(sorted(voters)), tuple(sorted(learners))
    return Configuration(present.cluster_id, voters, learners)
