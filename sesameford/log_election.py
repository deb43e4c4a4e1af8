"""Elections: pre-vote, votes, the leader's check of its quorum, and its lease."""

from sesameford.log_messages import (
    Entry,
    HardState,
    Packet,
    TermStart,
    VoteReply,
    VoteRequest,
)
from sesameford.log_replication import advance_commit, broadcast, match_progress
from sesameford.log_state import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    LEASE_SECONDS,
    Core,
    Role,
    append_entry,
    send,
    set_hard_state,
)


def become_follower(core: Core, term: int, now_seconds: float) -> None:
    """Follow, under an equal or newer term.

    Args:
        core: The replica.
        term: The term to be in; a newer one clears the vote.
        now_seconds: The present time.
    """
    if term > core.term:
        set_hard_state(core, HardState(term=term))
    if core.role is Role.LEADER:
        # It heard from itself until now; it must wait as any other follower.
        put_off_election(core, now_seconds)
    core.role = Role.FOLLOWER
    core.leader = None
    core.votes = set()
    core.progress = {}


def put_off_election(core: Core, now_seconds: float) -> None:
    """Draw a new time after which silence means that there is no leader."""
    core.election_due_at_seconds = now_seconds + core.random.uniform(
        ELECTION_MIN_SECONDS, ELECTION_MAX_SECONDS
    )


def may_campaign(core: Core) -> bool:
    """Return whether this replica may ask to lead.

    One whose own removal is in its log but perhaps not committed may: it can be
    the only one whose log is long enough, and the others could elect no one.
    """
    if core.me in core.voters:
        return True
    changed_at = core.log.configuration_index
    before = core.log.configuration_at(changed_at - 1)
    if before is None or changed_at <= core.commit_index:
        return False
    return core.me in before.voters


def start_pre_vote(core: Core, now_seconds: float) -> None:
    """Ask whether an election would be won, before anything is changed.

    A replica that was cut off would otherwise raise its term again and again and
    on its return depose a leader that serves well; callers would see refusals.
    """
    put_off_election(core, now_seconds)
    core.role = Role.PRE_CANDIDATE
    core.leader = None
    core.votes = {core.me}
    if core.is_quorum(core.votes):
        start_election(core, now_seconds)
        return
    _ask_for_votes(core, pre=True, transfer=False)


def start_election(core: Core, now_seconds: float, transfer: bool = False) -> None:
    """Raise the term, vote for oneself and ask for votes."""
    put_off_election(core, now_seconds)
    set_hard_state(core, HardState(term=core.term + 1, voted_for=core.me))
    core.role = Role.CANDIDATE
    core.leader = None
    core.votes = {core.me}
    if core.is_quorum(core.votes):
        _become_leader(core, now_seconds)
        return
    _ask_for_votes(core, pre=False, transfer=transfer)


def vote_requested(
    core: Core, packet: Packet, body: VoteRequest, now_seconds: float
) -> None:
    """Answer a request for a vote.

    Args:
        core: The replica that is asked.
        packet: The request.
        body: Its body.
        now_seconds: The present time.
    """
    if not body.transfer and _has_living_leader(core, now_seconds):
        # The leader counts on this silence for its lease.
        return
    if body.pre:
        granted = packet.term >= core.term and _is_up_to_date(core, body)
        send(core, packet.sender, VoteReply(pre=True, granted=granted))
        return
    if packet.term > core.term:
        become_follower(core, packet.term, now_seconds)
    granted = (
        packet.term == core.term
        and core.hard_state.voted_for in (None, packet.sender)
        and core.leader is None
        and _is_up_to_date(core, body)
    )
    if granted:
        core.role = Role.FOLLOWER
        put_off_election(core, now_seconds)
        set_hard_state(core, HardState(core.term, voted_for=packet.sender))
    send(core, packet.sender, VoteReply(pre=False, granted=granted))


def vote_replied(
    core: Core, packet: Packet, body: VoteReply, now_seconds: float
) -> None:
    """Count a vote; votes of members that don't vote are not counted."""
    wanted = Role.PRE_CANDIDATE if body.pre else Role.CANDIDATE
    if core.role is not wanted or not body.granted:
        return
    core.votes.add(packet.sender)
    if not core.is_quorum(core.votes):
        return
    if body.pre:
        start_election(core, now_seconds)
    else:
        _become_leader(core, now_seconds)


def check_quorum(core: Core, now_seconds: float) -> None:
    """Let a leader that no majority answers step down.

    A leader that is cut off silently would go on to take proposals that it can
    never bring to agreement; its callers would wait instead of trying another.
    """
    if now_seconds - core.leader_since_seconds < ELECTION_MAX_SECONDS:
        return
    heard = {
        member
        for member, progress in core.progress.items()
        if now_seconds - progress.acked_at_seconds < ELECTION_MAX_SECONDS
    }
    if not core.is_quorum(heard | {core.me}):
        become_follower(core, core.term, now_seconds)


def lease_until_seconds(core: Core, now_seconds: float) -> float:
    """Return until when no other leader can have been elected.

    Args:
        core: The replica.
        now_seconds: The present time.

    Returns:
        A time on this replica's clock; in the past when there is no lease.
    """
    if core.role is not Role.LEADER:
        return float("-inf")
    acked = [
        now_seconds if member == core.me else core.progress[member].acked_at_seconds
        for member in core.voters
        if member == core.me or member in core.progress
    ]
    needed = len(core.voters) // 2 + 1
    if len(acked) < needed:
        return float("-inf")
    return sorted(acked, reverse=True)[needed - 1] + LEASE_SECONDS


def _become_leader(core: Core, now_seconds: float) -> None:
    """Take the lead and append the entry that commits what stands before it."""
    core.role = Role.LEADER
    core.leader = core.me
    core.leader_since_seconds = now_seconds
    core.progress = {}
    core.term_start_index = core.log.last_index + 1
    match_progress(core)
    append_entry(core, Entry(core.term_start_index, core.term, TermStart()))
    broadcast(core, now_seconds, heartbeat=True)
    advance_commit(core)


def _ask_for_votes(core: Core, pre: bool, transfer: bool) -> None:
    """Ask all other voters."""
    request = VoteRequest(pre, core.log.last_index, core.log.last_term, transfer)
    for member in core.voters:
        if member != core.me:
            send(core, member, request)


def _has_living_leader(core: Core, now_seconds: float) -> bool:
    """Return whether a leader may still rely on this replica."""
    if core.role is Role.LEADER:
        return now_seconds < lease_until_seconds(core, now_seconds)
    return now_seconds - core.heard_leader_at_seconds < ELECTION_MIN_SECONDS


def _is_up_to_date(core: Core, body: VoteRequest) -> bool:
    """Return whether a candidate's log holds all that this one may have acked."""
    ours = (core.log.last_term, core.log.last_index)
    return (body.last_term, body.last_index) >= ours
