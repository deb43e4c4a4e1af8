"""Single consensus decisions; each case was a fault that fuzzing found."""

import pytest

from sesameford.errors import LogError
from sesameford.log_core import (
    collect_effects,
    committed_entries,
    has_lease,
    make_core,
    propose,
    receive,
    record_persisted,
    tick,
)
from sesameford.log_membership import next_configuration
from sesameford.log_messages import (
    Announce,
    AppendReply,
    AppendRequest,
    Command,
    Configuration,
    Entry,
    HardState,
    Member,
    Packet,
    SnapshotReply,
    TermStart,
    VoteReply,
    VoteRequest,
)
from sesameford.log_snapshot import encode_image
from sesameford.log_state import (
    ELECTION_MIN_SECONDS,
    HEARTBEAT_SECONDS,
    INITIAL_PRE_VOTE_MAX_SECONDS,
    LEASE_SECONDS,
    QUORUM_SECONDS,
    Core,
    FollowerProgress,
    Role,
    SnapshotImage,
    StoredState,
)

A, B, C = Member("a", 1), Member("b", 2), Member("c", 3)
ALL = Configuration(7, (A, B, C))


def make_started_core(
    me: Member, entries: tuple[Entry, ...] = (), term: int = 1, now: float = 0.0
) -> Core:
    founded = (Entry(1, 0, ALL), *entries)
    stored = StoredState(me, HardState(term), None, founded)
    return make_core(stored, ("a", "b", "c"), seed=1, now_seconds=now)


def flush(core: Core, now: float) -> list[Packet]:
    """Write and sync the effects that are due, and return the packets to send."""
    due = collect_effects(core, now)
    if due is None:
        return []
    record_persisted(core, due, now)
    return [*due.packets_before_sync, *due.packets_after_sync]


def make_packet(sender: Member, receiver: Member, term: int, body) -> Packet:
    return Packet(sender, receiver.instance_id, receiver.incarnation, 7, term, body)


def make_leader(now: float = 10.0, configuration: Configuration = ALL) -> Core:
    """Return the core of a just after b and c elected it in term 2."""
    core = make_started_core(A, (Entry(2, 1, configuration),))
    tick(core, now)
    flush(core, now)
    for pre, term in ((True, 1), (False, 2)):
        for voter in (B, C):
            receive(
                core, make_packet(voter, A, term, VoteReply(pre, granted=True)), now
            )
            flush(core, now)
    assert core.role is Role.LEADER
    return core


def receive_ack(core: Core, member: Member, now: float) -> None:
    """Let a member acknowledge the leader's whole log."""
    reply = AppendReply(True, core.log.last_index, now)
    receive(core, make_packet(member, core.me, core.term, reply), now)
    flush(core, now)


def test_a_leader_commits_with_a_majority_and_holds_a_lease():
    core = make_leader()
    propose(core, (Command("p", "m", b"x"),))
    flush(core, 10.0)
    assert core.commit_index < core.log.last_index
    receive_ack(core, B, 10.1)
    assert [entry.index for entry in committed_entries(core, 2)] == [3, 4]
    assert has_lease(core, 10.1 + 0.99 * LEASE_SECONDS)
    assert not has_lease(core, 10.1 + 1.01 * LEASE_SECONDS)


def test_a_vote_is_sent_only_after_its_sync():
    """The power fails between a vote and its sync. If the vote had been sent, the
    replica could vote again in the same term, two leaders could be elected, and an
    accepted change could be lost."""
    core = make_started_core(B)
    receive(core, make_packet(A, B, 2, VoteRequest(False, 9, 1)), 10.0)
    due = collect_effects(core, 10.0)
    assert due.hard_state == HardState(2, A)
    assert not due.packets_before_sync
    assert isinstance(due.packets_after_sync[0].body, VoteReply)


def test_votes_of_and_for_other_incarnations_do_not_count():
    """A replica's disk was replaced. Its new incarnation must not count as the old
    one, because it lost what the old one acknowledged."""
    core = make_started_core(A)
    tick(core, 10.0)
    flush(core, 10.0)
    emptied = Member("b", 99)
    receive(core, make_packet(emptied, A, 1, VoteReply(True, granted=True)), 10.0)
    assert core.role is Role.PRE_CANDIDATE
    before = core.hard_state
    receive(core, make_packet(C, Member("a", 98), 5, VoteRequest(False, 99, 9)), 10.0)
    assert core.hard_state == before


def test_a_pre_vote_from_an_older_term_counts():
    """A candidate raised its term and its vote requests were lost, so the others are
    still in the term before. If their pre-votes were ignored, no leader could be
    elected again and every change would be refused."""
    core = make_started_core(A, term=5)
    tick(core, 10.0)
    receive(core, make_packet(B, A, 4, VoteReply(True, granted=True)), 10.0)
    assert core.role is Role.CANDIDATE


def test_followers_of_a_live_leader_ignore_vote_requests():
    """A replica returns from a partition and requests votes while the leader works.
    Voters that receive heartbeats don't reply, so the leader stays."""
    core = make_started_core(B)
    heartbeat = AppendRequest(1, 0, (), 1, 10.0)
    receive(core, make_packet(A, B, 1, heartbeat), 10.0)
    flush(core, 10.0)
    requested_at_seconds = 10.0 + 0.99 * ELECTION_MIN_SECONDS
    receive(core, make_packet(C, B, 6, VoteRequest(False, 9, 1)), requested_at_seconds)
    assert core.term == 1
    assert flush(core, requested_at_seconds) == []


def test_a_leader_goes_back_twice_for_rejections_of_the_same_send_time():
    """A follower has entries of a lost leader. It rejects first because its log is
    short and then because the terms differ. A leader that goes back only once for a
    send time would repeat the wrong position, and the follower would stay behind."""
    core = make_leader()
    for number in range(5):
        propose(core, (Command(str(number), "m", b""),))
    flush(core, 10.0)
    receive(core, make_packet(C, A, 2, AppendReply(False, 4, 10.0)), 10.0)
    flush(core, 10.0)
    receive(core, make_packet(C, A, 2, AppendReply(False, 1, 10.0)), 10.0)
    sent = [p.body for p in flush(core, 10.0) if p.receiver_id == "c"]
    assert [body.previous_index for body in sent] == [1]


def test_a_snapshot_is_sent_from_the_start_to_a_restarted_follower():
    """A follower restarts during a snapshot installation. The leader must go back to
    the first chunk, or the follower never catches up."""
    core = make_leader()
    image = SnapshotImage(2, 1, ALL, bytes(3000))
    core.snapshot = image
    core.log.compact(2)
    core.chunk_bytes = 1000
    core.progress[C] = FollowerProgress(next_index=1)
    total = len(encode_image(image))
    offsets = []
    for requested, at in ((1000, 10.1), (2000, 10.2), (0, 10.3)):
        offsets += [
            p.body.offset_bytes for p in flush(core, at) if p.receiver_id == "c"
        ]
        receive(core, make_packet(C, A, 2, SnapshotReply(2, requested, at)), at)
    offsets += [p.body.offset_bytes for p in flush(core, 11) if p.receiver_id == "c"]
    assert offsets == [0, 1000, 2000, 0]
    assert total > 3000


def test_a_replica_with_uncommitted_removal_may_start_an_election():
    """A leader appends the change that removes its own vote and crashes before any
    other replica has it. Its log is then the longest, so no other replica can win an
    election; it must be allowed to."""
    removal = Entry(2, 1, Configuration(7, (B,), (A, C)))
    core = make_started_core(A, (removal,))
    tick(core, 10.0)
    assert core.role is Role.PRE_CANDIDATE
    committed_removal = make_started_core(A, (removal,))
    committed_removal.commit_index = 2
    tick(committed_removal, 10.0)
    assert committed_removal.role is Role.FOLLOWER


def test_a_live_voter_is_not_removed_while_the_others_are_no_majority():
    """An operator removes one voter while another has just lost its disk. Two of
    three voters would be lost, and no change could be accepted again."""
    core = make_leader()
    receive_ack(core, B, 10.0)
    core.desired_voters = frozenset({"a", "c"})
    assert next_configuration(core, 10.1) is None
    receive_ack(core, C, 10.1)
    assert next_configuration(core, 10.2).voters == (A, C)


def test_a_lost_undesired_voter_is_removed_before_a_live_one():
    configuration = Configuration(7, (A, B, C, Member("d", 4), Member("e", 5)))
    core = make_leader(configuration=configuration)
    core.desired_voters = frozenset({"a", "d", "e"})
    core.commit_index = core.log.last_index
    for member in (C, Member("d", 4), Member("e", 5)):
        core.progress[member].acked_at_seconds = 10.0
    assert B not in next_configuration(core, 10.1).voters


def test_a_learner_becomes_voter_only_once_it_is_caught_up_and_replies():
    configuration = Configuration(7, (A, B), (C,))
    core = make_leader(configuration=configuration)
    receive_ack(core, B, 10.0)
    assert next_configuration(core, 10.0) is None
    reply = AppendReply(True, 1, 10.0)
    receive(core, make_packet(C, A, 2, reply), 10.0)
    assert next_configuration(core, 10.0) is None
    receive_ack(core, C, 10.0)
    assert next_configuration(core, 10.0).voters == (A, B, C)


def test_a_newcomer_is_not_needed_to_commit_its_own_vote():
    """A repaired replica is about to become a voter while another voter doesn't reply.
    If the repaired replica failed now, its vote would be missing to commit the change
    that adds it, and no change could be accepted any more."""
    d = Member("d", 4)
    core = make_leader(configuration=Configuration(7, (A, B, C), (d,)))
    receive_ack(core, B, 10.0)
    receive_ack(core, d, 10.0)
    assert next_configuration(core, 10.1) is None
    receive_ack(core, C, 10.1)
    assert next_configuration(core, 10.2).voters == (A, B, C, d)


def test_an_isolated_leader_steps_down():
    """A partition isolates a leader. If it stayed leader, callers would wait for
    answers that can't arrive instead of trying another instance."""
    core = make_leader()
    receive_ack(core, B, 10.0)
    tick(core, 10.0 + 0.95 * QUORUM_SECONDS)
    assert core.role is Role.LEADER
    tick(core, 10.0 + 1.05 * QUORUM_SECONDS)
    assert core.role is Role.FOLLOWER


def start_pre_vote(core: Core, now: float) -> list[Packet]:
    """Let a newly started replica start a pre-vote and return its requests."""
    tick(core, now)
    requests = flush(core, now)
    assert core.role is Role.PRE_CANDIDATE
    return requests


def test_after_a_full_power_failure_no_election_waits_for_old_leases():
    """All hosts lose power and restart at once. Each may have acknowledged a leader
    just before, whose lease rules out an election. Callers would wait for the end of
    the lease, although the former leader has restarted as well."""
    a, b = make_started_core(A), make_started_core(B)
    now = INITIAL_PRE_VOTE_MAX_SECONDS
    assert now < ELECTION_MIN_SECONDS
    for request in start_pre_vote(a, now):
        if request.receiver_id == "b":
            receive(b, request, now)
    (reply,) = flush(b, now)
    receive(a, reply, now)
    assert a.role is Role.PRE_CANDIDATE, "c may lead, or follow a leader"
    receive(a, make_packet(C, A, 1, VoteReply(True, False, start_token=5)), now)
    assert a.role is Role.CANDIDATE
    votes = {one.receiver_id: one for one in flush(a, now)}
    assert votes["c"].body.start_token == 5
    receive(b, votes["b"], now)
    (reply,) = flush(b, now)
    assert reply.body.granted


def test_two_replicas_that_start_together_elect_a_leader_soon():
    """Two hosts restart at the same time and request votes at the same ticks; the
    third has lost its disk. If each votes for itself repeatedly, votes split each time
    and callers wait."""
    a, b = make_started_core(A), make_started_core(B)
    for step in range(1, 30):
        now = step * HEARTBEAT_SECONDS
        for core in (a, b):
            tick(core, now)
        for _ in range(4):
            for sender, receiver in ((a, b), (b, a)):
                for one in flush(sender, now):
                    if one.receiver_id == receiver.me.instance_id:
                        receive(receiver, one, now)
        if Role.LEADER in (a.role, b.role):
            break
    assert now <= 2 * ELECTION_MIN_SECONDS


def test_a_start_token_of_an_earlier_start_grants_no_vote():
    """A voter reports its start token and loses power, or follows a leader since. A
    vote request with that token arrives now, while a leader's lease may still rely on
    the voter."""
    b = make_started_core(B)
    outdated_request = VoteRequest(False, 9, 1, False, b.start_token)
    restarted = make_core(
        StoredState(B, HardState(1), None, (Entry(1, 0, ALL),)), (), 2, 0
    )
    receive(restarted, make_packet(C, B, 6, outdated_request), 0.1)
    assert restarted.term == 1
    receive(b, make_packet(A, B, 1, AppendRequest(1, 0, (), 1, 0.1)), 0.1)
    flush(b, 0.1)
    receive(b, make_packet(C, B, 6, outdated_request), 0.2)
    assert b.term == 1, "it has followed a leader since"


def test_a_follower_waits_longer_for_a_leader_that_stalls():
    """A leader's host stalls repeatedly for some tenths of a second. If each stall
    caused an election, changes would fail."""
    healthy, stalled = make_started_core(B), make_started_core(B)
    for core, every_seconds in ((healthy, 0.1), (stalled, 0.35)):
        for number in range(20):
            now = 10.0 + number * every_seconds
            receive(core, make_packet(A, B, 1, AppendRequest(1, 0, (), 1, now)), now)
        wait_seconds = core.election_due_at_seconds - core.leader_last_seen_at_seconds
        if core is healthy:
            assert wait_seconds <= 2 * ELECTION_MIN_SECONDS
        else:
            assert wait_seconds >= 2 * every_seconds


def test_a_log_is_founded_only_if_all_disks_are_empty():
    """All disks but one are lost. A newly founded log would silently revert all
    accepted changes; instead no change is accepted until operators act."""
    core = make_core(StoredState(A), ("a", "b", "c"), 1, 0.0)
    for sender, has_entries in ((B, False), (C, True)):
        announcement = Packet(sender, "a", 0, 0, 0, Announce(has_entries))
        receive(core, announcement, 10.0)
    tick(core, 10.1)
    assert core.log.last_index == 0
    receive(core, Packet(C, "a", 0, 0, 0, Announce(False)), 10.1)
    tick(core, 10.2)
    assert core.log.configuration.voters == (A, B, C)


def test_a_committed_entry_is_never_replaced():
    """A leader that conflicts with entries committed here has lost them. Following it
    would revert an accepted change, so this replica stops instead."""
    core = make_started_core(B, (Entry(2, 1, TermStart()),))
    receive(core, make_packet(A, B, 1, AppendRequest(2, 1, (), 2, 10.0)), 10.0)
    contradiction = AppendRequest(1, 0, (Entry(2, 3, TermStart()),), 2, 10.0)
    with pytest.raises(LogError):
        receive(core, make_packet(C, B, 3, contradiction), 10.0)
