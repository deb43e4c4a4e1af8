"""Who belongs to the log: its founding, learners, and one change of voters a time."""

from sesameford.log_election import put_off_election
from sesameford.log_messages import Announce, Configuration, Entry, Member, Packet
from sesameford.log_replication import match_progress
from sesameford.log_state import (
    ANNOUNCE_SECONDS,
    ANNOUNCEMENT_VALID_SECONDS,
    Core,
    append_entry,
    members_by_id,
    send,
)

# A learner this close behind is caught up: the rest comes with the next message.
CAUGHT_UP_ENTRIES = 64
# Voters change only while those who must agree answered this short a time ago.
ALIVE_SECONDS = 0.75


def note_announcement(
    core: Core, packet: Packet, body: Announce, now_seconds: float
) -> None:
    """Remember a replica that stands outside the configuration."""
    row = (packet.sender, body.has_entries, now_seconds)
    core.announced[packet.sender.instance_id] = row


def tick_outsider(core: Core, now_seconds: float) -> None:
    """Announce a replica that is in no configuration; found one if all are new."""
    if core.is_member:
        return
    if now_seconds >= core.announce_due_at_seconds:
        core.announce_due_at_seconds = now_seconds + ANNOUNCE_SECONDS
        body = Announce(has_entries=core.log.last_index > 0)
        for peer_id in core.peer_ids:
            send(core, Member(peer_id, 0), body)
    _found_if_all_new(core, now_seconds)


def _found_if_all_new(core: Core, now_seconds: float) -> None:
    """Write the first configuration, at one replica only, when all disks are empty.

    Were an empty disk enough, a replica that lost its disk would found a second
    log beside the living one, and accepted changes would revert. So every other
    replica must have said of late that it has nothing either. Where replicas find
    each other by seeds, ``may_found`` is False until all seeds are known.
    """
    if not core.may_found:
        return
    if core.log.last_index or core.me.instance_id > min(core.peer_ids, default="~"):
        return
    members = [core.me]
    for peer_id in core.peer_ids:
        member, has_entries, heard_at = core.announced.get(peer_id, (None, True, 0.0))
        fresh = now_seconds - heard_at <= ANNOUNCEMENT_VALID_SECONDS
        if member is None or has_entries or not fresh:
            return
        members.append(member)
    configuration = Configuration(core.me.incarnation, tuple(sorted(members)))
    append_entry(core, Entry(1, 0, configuration))
    put_off_election(core, now_seconds)
    core.election_due_at_seconds = now_seconds


def tick_configuration(core: Core, now_seconds: float) -> None:
    """Let a leader make the next single change of the configuration.

    A change waits until the last one and an entry of the leader's own term are
    committed; else two majorities without a common member could come about.
    """
    if core.commit_index < max(core.log.configuration_index, core.term_start_index):
        return
    configuration = next_configuration(core, now_seconds)
    if configuration is None:
        return
    append_entry(core, Entry(core.log.last_index + 1, core.term, configuration))
    match_progress(core)


def next_configuration(core: Core, now_seconds: float) -> Configuration | None:
    """Return the configuration one step closer to the wanted one.

    Args:
        core: The leader.
        now_seconds: The present time.

    Returns:
        A configuration whose voters differ by at most one, or None.
    """
    present = core.log.configuration
    if present is None:
        return None
    return (
        _with_announced(core, present, now_seconds)
        or _without_replaced_learner(core, present, now_seconds)
        or _without_unwanted_voter(core, present, now_seconds)
        or _with_caught_up_learner(core, present, now_seconds)
    )


def _with_announced(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Take in a replica that announced itself as a learner."""
    for instance_id, (member, _, heard_at) in sorted(core.announced.items()):
        if now_seconds - heard_at > ANNOUNCEMENT_VALID_SECONDS:
            continue
        if member in present.voters or member in present.learners:
            continue
        if any(_is_alive(core, old, now_seconds) for old in _others_of(core, member)):
            # Late news of a disk that is gone; the present one answers.
            continue
        learners = [old for old in present.learners if old.instance_id != instance_id]
        return _changed(present, present.voters, (*learners, member))
    return None


def _without_replaced_learner(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Forget a learner whose disk is gone and whose instance is here as another."""
    for learner in present.learners:
        others = _others_of(core, learner)
        if learner == core.me or _is_alive(core, learner, now_seconds):
            continue
        if any(_is_alive(core, other, now_seconds) for other in others):
            learners = tuple(other for other in present.learners if other != learner)
            return _changed(present, present.voters, learners)
    return None


def _without_unwanted_voter(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Make a voter that operators don't want a learner.

    One that does not answer goes first, while the others can still do without it;
    the leader goes last.
    """
    if core.desired_voters is None or len(present.voters) < 2:
        return None
    unwanted = [
        voter
        for voter in present.voters
        if voter.instance_id not in core.desired_voters
    ]
    if len(unwanted) == len(present.voters):
        return None
    order = sorted(
        unwanted,
        key=lambda voter: (voter == core.me, _is_alive(core, voter, now_seconds)),
    )
    for voter in order:
        voters = tuple(other for other in present.voters if other != voter)
        if _majority_is_alive(core, voters, now_seconds):
            return _changed(present, voters, (*present.learners, voter))
    return None


def _with_caught_up_learner(
    core: Core, present: Configuration, now_seconds: float
) -> Configuration | None:
    """Let a learner vote that has synced the log and answers now.

    Where its instance votes under the identity of a lost disk, that identity goes
    first: swapping both in one step would change two voters at once.
    """
    for learner in present.learners:
        wanted = core.desired_voters
        if wanted is not None and learner.instance_id not in wanted:
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
            if not _majority_is_alive(core, voters, now_seconds):
                continue
            return _changed(present, voters, present.learners)
        if len(present.voters) > 1 and not _majority_without(
            core, learner, now_seconds
        ):
            continue
        learners = tuple(other for other in present.learners if other != learner)
        return _changed(present, (*present.voters, learner), learners)
    return None


def _others_of(core: Core, member: Member) -> list[Member]:
    """Return the other identities of a member's instance."""
    return [
        other
        for other in core.others
        if other.instance_id == member.instance_id and other != member
    ]


def _is_alive(core: Core, member: Member, now_seconds: float) -> bool:
    """Return whether a member answered of late."""
    progress = core.progress.get(member)
    if progress is None:
        return False
    return now_seconds - progress.acked_at_seconds < ALIVE_SECONDS


def _majority_is_alive(
    core: Core, voters: tuple[Member, ...], now_seconds: float
) -> bool:
    """Return whether a majority of these voters answers.

    Taking the vote from one that answers, while another's disk is lost, would
    leave a majority that never comes back: no change is accepted any more.
    """
    alive = sum(
        voter == core.me or _is_alive(core, voter, now_seconds) for voter in voters
    )
    return 2 * alive > len(voters)


def _majority_without(core: Core, newcomer: Member, now_seconds: float) -> bool:
    """Return whether the present voters carry the next configuration alone.

    The newcomer may die in this moment. Were its vote needed to commit the change
    that brings it in, no change would ever be accepted again.
    """
    alive = sum(
        voter == core.me or _is_alive(core, voter, now_seconds)
        for voter in core.voters
        if voter != newcomer
    )
    return 2 * alive > len(core.voters) + 1


def _changed(
    present: Configuration, voters: tuple[Member, ...], learners: tuple[Member, ...]
) -> Configuration:
    """Return a configuration of the same cluster."""
    voters, learners = tuple(sorted(voters)), tuple(sorted(learners))
    return Configuration(present.cluster_id, voters, learners)
