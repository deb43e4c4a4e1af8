"""Elections: pre-vote, votes, the leader's check of its quorum, and its lease."""

from sesameford.log_messages import (
    Entry,
    HardState,
    Member,
    Packet,
    TermStart,
    VoteReply,
    VoteRequest,
)
from sesameford.log_replication import advance_commit, broadcast, match_progress
from sesameford.log_state import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    ELECTION_PAUSES,
    FRESH_ASK_MAX_SECONDS,
    FRESH_ASK_MIN_SECONDS,
    LEASE_SECONDS,
    QUORUM_SECONDS,
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
    """Draw a new time after which silence means that there is no leader.

    A fixed wait is too long for a healthy fleet and too short for one whose machines
    stall: it would lose its leader again and again, and changes with it. So the wait
    follows from the longest pause of the leader that was seen of late.
    """
    base_seconds = max(
        ELECTION_MIN_SECONDS, ELECTION_PAUSES * core.longest_pause_seconds
    )
    base_seconds = min(base_seconds, ELECTION_MAX_SECONDS / 2)
    wait_seconds = core.random.uniform(base_seconds, 2 * base_seconds)
    core.election_due_at_seconds = now_seconds + wait_seconds


def ask_soon(core: Core, now_seconds: float) -> None:
    """Let a replica that has just started ask for pre-votes before the usual wait."""
    if _is_fresh(core, now_seconds):
        core.election_due_at_seconds = now_seconds + core.random.uniform(
            FRESH_ASK_MIN_SECONDS, FRESH_ASK_MAX_SECONDS
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
    ask_soon(core, now_seconds)
    core.role = Role.PRE_CANDIDATE
    core.leader = None
    core.votes = {core.me}
    core.fresh_voters = {}
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
    is_for_this_start = 0 < body.fresh_token == core.fresh_token
    is_forced = body.transfer or is_for_this_start
    if not is_forced and _has_living_leader(core, now_seconds):
        # The leader counts on this silence for its lease.
        if body.pre and core.fresh_token and packet.term >= core.term:
            _tell_fresh(core, packet.sender, body, now_seconds)
        return
    if body.pre:
        granted = packet.term >= core.term and _is_up_to_date(core, body)
        if granted:
            _give_way(core, packet.sender, now_seconds)
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
    if core.role is not wanted:
        return
    if body.pre and body.fresh_token:
        core.fresh_voters[packet.sender] = body.fresh_token
        if _all_are_fresh(core):
            start_election(core, now_seconds)
        return
    if not body.granted:
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
    if now_seconds - core.leader_since_seconds < QUORUM_SECONDS:
        return
    heard = {
        member
        for member, progress in core.progress.items()
        if now_seconds - progress.acked_at_seconds < QUORUM_SECONDS
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
    core.fresh_token = 0
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
    for member in core.voters:
        if member != core.me:
            token = 0 if pre else core.fresh_voters.get(member, 0)
            last = core.log.last_index, core.log.last_term
            send(core, member, VoteRequest(pre, *last, transfer, token))


def _is_fresh(core: Core, now_seconds: float) -> bool:
    """Return whether this replica has just started and heard no leader yet."""
    return core.fresh_token > 0 and now_seconds < core.fresh_until_seconds


def _give_way(core: Core, asker: Member, now_seconds: float) -> None:
    """Let one that has just started wait for another that asks as well.

    After a loss of all power all ask at the same moments. Each would vote for itself,
    nobody would win, and with the short waits of the start they would tie once more.
    """
    if not _is_fresh(core, now_seconds) or asker < core.me:
        return
    if core.role is Role.PRE_CANDIDATE:
        core.role = Role.FOLLOWER
    if core.role is Role.FOLLOWER:
        put_off_election(core, now_seconds)


def _tell_fresh(
    core: Core, asker: Member, body: VoteRequest, now_seconds: float
) -> None:
    """Say that this replica has just started, in place of its silence.

    It may have promised a leader its silence before it started, and keeps that promise.
    But where all voters have just started, whoever led is among them and leads no more.
    After a loss of all power the fleet then has a leader as soon as the last voter is
    heard, where it would serve nobody until the longest promise is over.
    """
    if core.role is not Role.LEADER and _is_up_to_date(core, body):
        _give_way(core, asker, now_seconds)
        reply = VoteReply(pre=True, granted=False, fresh_token=core.fresh_token)
        send(core, asker, reply)


def _all_are_fresh(core: Core) -> bool:
    """Return whether no voter can follow a leader whose lease runs.

    The vote that is then asked for names the start of each voter. One that has heard a
    leader since, or has started once more, keeps its promise.
    """
    if not core.fresh_token:
        return False
    known = {core.me, *core.fresh_voters, *core.votes}
    return all(voter in known for voter in core.voters)


def _has_living_leader(core: Core, now_seconds: float) -> bool:
    """Return whether a leader may still rely on this replica."""
    if core.role is Role.LEADER:
        return now_seconds < lease_until_seconds(core, now_seconds)
    return now_seconds - core.leader_last_seen_at_seconds < ELECTION_MIN_SECONDS


def _is_up_to_date(core: Core, body: VoteRequest) -> bool:
    """Return whether a candidate's log holds all that this one may have acked."""
    ours = (core.log.last_term, core.log.last_index)
    return (body.last_term, body.last_index) >= ours
