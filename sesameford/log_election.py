"""Elections: pre-vote, votes, the leader's quorum check and the leader lease."""

from sesameford.log_messages import (
    Entry,
    HardState,
    Member,
    Packet,
    TermStart,
    VoteReply,
    VoteRequest,
)
from sesameford.log_replication import (
    advance_commit,
    broadcast,
    update_progress_members,
)
from sesameford.log_state import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    ELECTION_TIMEOUT_PAUSES,
    INITIAL_PRE_VOTE_MAX_SECONDS,
    INITIAL_PRE_VOTE_MIN_SECONDS,
    LEASE_SECONDS,
    QUORUM_SECONDS,
    Core,
    Role,
    append_entry,
    send,
    set_hard_state,
)


def become_follower(core: Core, term: int, now_seconds: float) -> None:
    """Become a follower in the current or a newer term.

    Args:
        core: The replica.
        term: The term to enter; a newer one clears the vote.
        now_seconds: The current time.
    """
    if term > core.term:
        set_hard_state(core, HardState(term=term))
    if core.role is Role.LEADER:
        # A leader's own election timer is not restarted while it leads. Without this it
        # would start an election at once instead of waiting like any other follower.
        reset_election_timer(core, now_seconds)
    core.role = Role.FOLLOWER
    core.leader = None
    core.votes = set()
    core.progress = {}


def reset_election_timer(core: Core, now_seconds: float) -> None:
    """Restart the election timer with a random timeout.

    A fixed timeout is too long for a healthy fleet and too short for one whose hosts
    stall: that one would lose its leader repeatedly, and changes would fail. So the
    timeout depends on the longest recent pause between the leader's messages.
    """
    base_seconds = max(
        ELECTION_MIN_SECONDS, ELECTION_TIMEOUT_PAUSES * core.longest_pause_seconds
    )
    base_seconds = min(base_seconds, ELECTION_MAX_SECONDS / 2)
    wait_seconds = core.random.uniform(base_seconds, 2 * base_seconds)
    core.election_due_at_seconds = now_seconds + wait_seconds


def schedule_initial_pre_vote(core: Core, now_seconds: float) -> None:
    """Shorten the election timer of a newly started replica to request pre-votes."""
    if _is_newly_started(core, now_seconds):
        core.election_due_at_seconds = now_seconds + core.random.uniform(
            INITIAL_PRE_VOTE_MIN_SECONDS, INITIAL_PRE_VOTE_MAX_SECONDS
        )


def may_campaign(core: Core) -> bool:
    """Return whether this replica may start an election.

    A replica whose own removal is in its log but possibly not committed may: it can
    be the only one whose log is long enough, and the others could elect no leader.
    """
    if core.me in core.voters:
        return True
    changed_at = core.log.configuration_index
    before = core.log.configuration_at(changed_at - 1)
    if before is None or changed_at <= core.commit_index:
        return False
    return core.me in before.voters


def start_pre_vote(core: Core, now_seconds: float) -> None:
    """Request pre-votes, to learn whether this replica would win an election.

    Without pre-votes a replica that is cut off would raise its term repeatedly and
    depose a working leader on its return; callers would get refusals.
    """
    reset_election_timer(core, now_seconds)
    schedule_initial_pre_vote(core, now_seconds)
    core.role = Role.PRE_CANDIDATE
    core.leader = None
    core.votes = {core.me}
    core.voter_start_tokens = {}
    if core.is_quorum(core.votes):
        start_election(core, now_seconds)
        return
    _request_votes(core, pre=True, transfer=False)


def start_election(core: Core, now_seconds: float, transfer: bool = False) -> None:
    """Become a candidate: raise the term, vote for itself and request votes."""
    reset_election_timer(core, now_seconds)
    set_hard_state(core, HardState(term=core.term + 1, voted_for=core.me))
    core.role = Role.CANDIDATE
    core.leader = None
    core.votes = {core.me}
    if core.is_quorum(core.votes):
        _become_leader(core, now_seconds)
        return
    _request_votes(core, pre=False, transfer=transfer)


def handle_vote_request(
    core: Core, packet: Packet, body: VoteRequest, now_seconds: float
) -> None:
    """Reply to a vote or pre-vote request, unless a leader may rely on this replica.

    Args:
        core: The receiver.
        packet: The request.
        body: Its body.
        now_seconds: The current time.
    """
    matches_this_start = 0 < body.start_token == core.start_token
    is_forced = body.transfer or matches_this_start
    if not is_forced and _has_live_leader(core, now_seconds):
        # The leader's lease relies on followers that reply to no vote request.
        if body.pre and core.start_token and packet.term >= core.term:
            _send_start_token(core, packet.sender, body, now_seconds)
        return
    if body.pre:
        granted = packet.term >= core.term and _is_candidate_up_to_date(core, body)
        if granted:
            _yield_to_candidate(core, packet.sender, now_seconds)
        send(core, packet.sender, VoteReply(pre=True, granted=granted))
        return
    if packet.term > core.term:
        become_follower(core, packet.term, now_seconds)
    granted = (
        packet.term == core.term
        and core.hard_state.voted_for in (None, packet.sender)
        and core.leader is None
        and _is_candidate_up_to_date(core, body)
    )
    if granted:
        core.role = Role.FOLLOWER
        reset_election_timer(core, now_seconds)
        set_hard_state(core, HardState(core.term, voted_for=packet.sender))
    send(core, packet.sender, VoteReply(pre=False, granted=granted))


def handle_vote_reply(
    core: Core, packet: Packet, body: VoteReply, now_seconds: float
) -> None:
    """Count a vote or pre-vote; those of members that are no voters don't count."""
    expected_role = Role.PRE_CANDIDATE if body.pre else Role.CANDIDATE
    if core.role is not expected_role:
        return
    if body.pre and body.start_token:
        core.voter_start_tokens[packet.sender] = body.start_token
        if _is_cluster_leaderless(core):
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
    """Step down as leader if no majority of voters replies.

    A leader in a partition would continue to accept proposals that it can never
    commit; its callers would wait instead of trying another instance.
    """
    if now_seconds - core.leader_since_seconds < QUORUM_SECONDS:
        return
    responsive = {
        member
        for member, progress in core.progress.items()
        if now_seconds - progress.acked_at_seconds < QUORUM_SECONDS
    }
    if not core.is_quorum(responsive | {core.me}):
        become_follower(core, core.term, now_seconds)


def lease_until_seconds(core: Core, now_seconds: float) -> float:
    """Return the time until which no other leader can be elected.

    Args:
        core: The replica.
        now_seconds: The current time.

    Returns:
        A time on this replica's clock; in the past if there is no lease.
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
    """Become leader and append the entry that commits all entries before it."""
    core.role = Role.LEADER
    core.start_token = 0
    core.leader = core.me
    core.leader_since_seconds = now_seconds
    core.progress = {}
    core.term_start_index = core.log.last_index + 1
    update_progress_members(core)
    append_entry(core, Entry(core.term_start_index, core.term, TermStart()))
    broadcast(core, now_seconds, heartbeat=True)
    advance_commit(core)


def _request_votes(core: Core, pre: bool, transfer: bool) -> None:
    """Send a vote or pre-vote request to all other voters."""
    for member in core.voters:
        if member != core.me:
            token = 0 if pre else core.voter_start_tokens.get(member, 0)
            last = core.log.last_index, core.log.last_term
            send(core, member, VoteRequest(pre, *last, transfer, token))


def _is_newly_started(core: Core, now_seconds: float) -> bool:
    """Return whether this replica started recently and has not followed a leader."""
    return core.start_token > 0 and now_seconds < core.newly_started_until_seconds


def _yield_to_candidate(core: Core, candidate: Member, now_seconds: float) -> None:
    """Let a newly started replica give up its pre-vote for another candidate's.

    After a power failure of the whole cluster all replicas request votes at the same
    times. Each would vote for itself, none would win, and with the short initial
    timeouts the votes would split again. The one with the highest identity proceeds.
    """
    if not _is_newly_started(core, now_seconds) or candidate < core.me:
        return
    if core.role is Role.PRE_CANDIDATE:
        core.role = Role.FOLLOWER
    if core.role is Role.FOLLOWER:
        reset_election_timer(core, now_seconds)


def _send_start_token(
    core: Core, candidate: Member, body: VoteRequest, now_seconds: float
) -> None:
    """Report to a candidate that this replica has newly started, instead of a vote.

    A leader's lease may still rely on this replica from before its start, so it grants
    nothing. But if all voters have newly started, the former leader is among them and
    leads no more. After a power failure of the whole cluster a leader can then be
    elected as soon as the last voter replies, without a wait for the longest lease.
    """
    if core.role is not Role.LEADER and _is_candidate_up_to_date(core, body):
        _yield_to_candidate(core, candidate, now_seconds)
        reply = VoteReply(pre=True, granted=False, start_token=core.start_token)
        send(core, candidate, reply)


def _is_cluster_leaderless(core: Core) -> bool:
    """Return whether no voter can follow a leader with a valid lease.

    The vote request that follows contains the start token of each voter. A voter that
    has followed a leader since, or has restarted again, has another token and treats it
    as an ordinary request.
    """
    if not core.start_token:
        return False
    without_leader = {core.me, *core.voter_start_tokens, *core.votes}
    return all(voter in without_leader for voter in core.voters)


def _has_live_leader(core: Core, now_seconds: float) -> bool:
    """Return whether a leader's lease may still rely on this replica."""
    if core.role is Role.LEADER:
        return now_seconds < lease_until_seconds(core, now_seconds)
    return now_seconds - core.leader_last_seen_at_seconds < ELECTION_MIN_SECONDS


def _is_candidate_up_to_date(core: Core, body: VoteRequest) -> bool:
    """Return whether a candidate's log is at least as recent as this replica's."""
    ours = (core.log.last_term, core.log.last_index)
    return (body.last_term, body.last_index) >= ours
