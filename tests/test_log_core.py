"""Consensus decisions one at a time; each case was once found by the fuzzing."""

import pytest

from sesameford.errors import LogError
from sesameford.log_core import (
    committed,
    effects,
    has_lease,
    make_core,
    persisted,
    propose,
    receive,
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
    FRESH_ASK_MAX_SECONDS,
    HEARTBEAT_SECONDS,
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


def started(
    me: Member, entries: tuple[Entry, ...] = (), term: int = 1, now: float = 0.0
) -> Core:
    founded = (Entry(1, 0, ALL), *entries)
    stored = StoredState(me, HardState(term), None, founded)
    return make_core(stored, ("a", "b", "c"), seed=1, now_seconds=now)


def flushed(core: Core, now: float) -> list[Packet]:
    """Write and sync what is due, and return the packets that leave."""
    due = effects(core, now)
    if due is None:
        return []
    persisted(core, due, now)
    return [*due.early, *due.late]


def packet(sender: Member, receiver: Member, term: int, body) -> Packet:
    return Packet(sender, receiver.instance_id, receiver.incarnation, 7, term, body)


def leading(now: float = 10.0, configuration: Configuration = ALL) -> Core:
    """Return a's core just after it was elected by b and c, in term 2."""
    core = started(A, (Entry(2, 1, configuration),))
    tick(core, now)
    flushed(core, now)
    for pre, term in ((True, 1), (False, 2)):
        for voter in (B, C):
            receive(core, packet(voter, A, term, VoteReply(pre, granted=True)), now)
            flushed(core, now)
    assert core.role is Role.LEADER
    return core


def acked(core: Core, member: Member, now: float) -> None:
    reply = AppendReply(True, core.log.last_index, now)
    receive(core, packet(member, core.me, core.term, reply), now)
    flushed(core, now)


def test_a_leader_commits_with_a_majority_and_holds_a_lease():
    core = leading()
    propose(core, (Command("p", "m", b"x"),))
    flushed(core, 10.0)
    assert core.commit_index < core.log.last_index
    acked(core, B, 10.1)
    assert [entry.index for entry in committed(core, 2)] == [3, 4]
    assert has_lease(core, 10.1 + 0.99 * LEASE_SECONDS)
    assert not has_lease(core, 10.1 + 1.01 * LEASE_SECONDS)


def test_nothing_of_this_disk_is_said_before_the_sync():
    """The power fails between a vote and its sync. Had the vote left, the replica
    could vote again in the same term, two leaders would be elected, and an accepted
    change could vanish."""
    core = started(B)
    receive(core, packet(A, B, 2, VoteRequest(False, 9, 1)), 10.0)
    due = effects(core, 10.0)
    assert due.hard_state == HardState(2, A)
    assert not due.early
    assert isinstance(due.late[0].body, VoteReply)


def test_a_vote_for_an_identity_that_is_gone_does_not_count():
    """A replica's disk was replaced. Its new incarnation must not be counted in the
    old one's place: it forgot what the old one acknowledged."""
    core = started(A)
    tick(core, 10.0)
    flushed(core, 10.0)
    emptied = Member("b", 99)
    receive(core, packet(emptied, A, 1, VoteReply(True, granted=True)), 10.0)
    assert core.role is Role.PRE_CANDIDATE
    before = core.hard_state
    receive(core, packet(C, Member("a", 98), 5, VoteRequest(False, 99, 9)), 10.0)
    assert core.hard_state == before


def test_a_pre_vote_counts_from_one_that_is_in_an_older_term():
    """A candidate raised its term and its requests for votes were lost. The others
    are still in the term before; were their pre-votes dropped for that, no leader
    would ever be elected again, and every change refused."""
    core = started(A, term=5)
    tick(core, 10.0)
    receive(core, packet(B, A, 4, VoteReply(True, granted=True)), 10.0)
    assert core.role is Role.CANDIDATE


def test_a_living_leader_is_not_voted_out():
    """A replica comes back from a partition and asks for votes, though the leader
    serves. Voters that hear the leader stay silent, so changes go on."""
    core = started(B)
    heartbeat = AppendRequest(1, 0, (), 1, 10.0)
    receive(core, packet(A, B, 1, heartbeat), 10.0)
    flushed(core, 10.0)
    asked_at_seconds = 10.0 + 0.99 * ELECTION_MIN_SECONDS
    receive(core, packet(C, B, 6, VoteRequest(False, 9, 1)), asked_at_seconds)
    assert core.term == 1
    assert flushed(core, asked_at_seconds) == []


def test_a_leader_goes_back_twice_at_the_same_moment():
    """A follower has entries of a lost leader. It rejects first for its length and
    then for its term; a leader that goes back only once per moment would send the
    same wrong position for ever, and the follower would stay behind."""
    core = leading()
    for number in range(5):
        propose(core, (Command(str(number), "m", b""),))
    flushed(core, 10.0)
    receive(core, packet(C, A, 2, AppendReply(False, 4, 10.0)), 10.0)
    flushed(core, 10.0)
    receive(core, packet(C, A, 2, AppendReply(False, 1, 10.0)), 10.0)
    sent = [p.body for p in flushed(core, 10.0) if p.receiver_id == "c"]
    assert [body.previous_index for body in sent] == [1]


def test_a_snapshot_is_sent_from_the_start_to_a_follower_that_started_again():
    """A replica that catches up by snapshot is restarted in the middle of it. The
    leader must go back to the first part, or the replica never catches up."""
    core = leading()
    image = SnapshotImage(2, 1, ALL, bytes(3000))
    core.snapshot = image
    core.log.compact(2)
    core.chunk_bytes = 1000
    core.progress[C] = FollowerProgress(next_index=1)
    total = len(encode_image(image))
    offsets = []
    for wanted, at in ((1000, 10.1), (2000, 10.2), (0, 10.3)):
        offsets += [
            p.body.offset_bytes for p in flushed(core, at) if p.receiver_id == "c"
        ]
        receive(core, packet(C, A, 2, SnapshotReply(2, wanted, at)), at)
    offsets += [p.body.offset_bytes for p in flushed(core, 11) if p.receiver_id == "c"]
    assert offsets == [0, 1000, 2000, 0]
    assert total > 3000


def test_one_whose_removal_is_not_committed_may_still_lead():
    """A leader writes the change that takes its own vote and dies before anybody has
    it. Its log is then the longest, and unless it may ask to lead, nobody can."""
    removal = Entry(2, 1, Configuration(7, (B,), (A, C)))
    core = started(A, (removal,))
    tick(core, 10.0)
    assert core.role is Role.PRE_CANDIDATE
    committed_removal = started(A, (removal,))
    committed_removal.commit_index = 2
    tick(committed_removal, 10.0)
    assert committed_removal.role is Role.FOLLOWER


def test_a_living_voter_stays_while_the_others_are_no_majority():
    """An operator takes a vote from one replica just when another lost its disk.
    Two of three would be gone, and no change could ever be accepted again."""
    core = leading()
    acked(core, B, 10.0)
    core.desired_voters = frozenset({"a", "c"})
    assert next_configuration(core, 10.1) is None
    acked(core, C, 10.1)
    assert next_configuration(core, 10.2).voters == (A, C)


def test_an_unwanted_voter_that_is_lost_goes_before_one_that_lives():
    configuration = Configuration(7, (A, B, C, Member("d", 4), Member("e", 5)))
    core = leading(configuration=configuration)
    core.desired_voters = frozenset({"a", "d", "e"})
    core.commit_index = core.log.last_index
    for member in (C, Member("d", 4), Member("e", 5)):
        core.progress[member].acked_at_seconds = 10.0
    assert B not in next_configuration(core, 10.1).voters


def test_a_learner_votes_only_once_it_is_caught_up_and_answers():
    configuration = Configuration(7, (A, B), (C,))
    core = leading(configuration=configuration)
    acked(core, B, 10.0)
    assert next_configuration(core, 10.0) is None
    reply = AppendReply(True, 1, 10.0)
    receive(core, packet(C, A, 2, reply), 10.0)
    assert next_configuration(core, 10.0) is None
    acked(core, C, 10.0)
    assert next_configuration(core, 10.0).voters == (A, B, C)


def test_a_newcomer_is_not_needed_to_commit_its_own_vote():
    """A repaired replica is about to vote again while another voter does not answer.
    If the repaired one died now, its vote would be missing for the very change that
    gives it one, and no change could be accepted any more."""
    d = Member("d", 4)
    core = leading(configuration=Configuration(7, (A, B, C), (d,)))
    acked(core, B, 10.0)
    acked(core, d, 10.0)
    assert next_configuration(core, 10.1) is None
    acked(core, C, 10.1)
    assert next_configuration(core, 10.2).voters == (A, B, C, d)


def test_an_isolated_leader_steps_down():
    """A leader is cut off silently. If it went on leading, callers would wait for
    answers that can't come, instead of asking another instance."""
    core = leading()
    acked(core, B, 10.0)
    tick(core, 10.0 + 0.95 * QUORUM_SECONDS)
    assert core.role is Role.LEADER
    tick(core, 10.0 + 1.05 * QUORUM_SECONDS)
    assert core.role is Role.FOLLOWER


def fresh_pre_vote(core: Core, now: float) -> list[Packet]:
    """Let a replica that has just started ask for votes; return what it asks."""
    tick(core, now)
    asked = flushed(core, now)
    assert core.role is Role.PRE_CANDIDATE
    return asked


def test_replicas_that_all_lost_power_elect_without_waiting_for_old_promises():
    """All machines lose power and are back within a moment. Each may have promised a
    leader its silence just before, and callers would wait until that time is over,
    though whoever led has started anew as well."""
    a, b = started(A), started(B)
    now = FRESH_ASK_MAX_SECONDS
    assert now < ELECTION_MIN_SECONDS
    for asked in fresh_pre_vote(a, now):
        if asked.receiver_id == "b":
            receive(b, asked, now)
    (reply,) = flushed(b, now)
    receive(a, reply, now)
    assert a.role is Role.PRE_CANDIDATE, "c may lead, or follow a leader"
    receive(a, packet(C, A, 1, VoteReply(True, False, fresh_token=5)), now)
    assert a.role is Role.CANDIDATE
    votes = {one.receiver_id: one for one in flushed(a, now)}
    assert votes["c"].body.fresh_token == 5
    receive(b, votes["b"], now)
    (reply,) = flushed(b, now)
    assert reply.body.granted


def test_two_replicas_that_start_at_once_don_t_tie_again_and_again():
    """Two machines come back in the same moment and ask for votes at the same ticks;
    the third has lost its disk. Each votes for itself, over and over, and callers
    wait."""
    a, b = started(A), started(B)
    for step in range(1, 30):
        now = step * HEARTBEAT_SECONDS
        for core in (a, b):
            tick(core, now)
        for _ in range(4):
            for sender, receiver in ((a, b), (b, a)):
                for one in flushed(sender, now):
                    if one.receiver_id == receiver.me.instance_id:
                        receive(receiver, one, now)
        if Role.LEADER in (a.role, b.role):
            break
    assert now <= 2 * ELECTION_MIN_SECONDS


def test_a_vote_for_another_start_is_not_given_while_a_leader_may_count_on_silence():
    """A voter answers that it has just started, loses power, follows a new leader and
    loses power again. The vote that was asked of its first start comes now."""
    b = started(B)
    late = VoteRequest(False, 9, 1, False, b.fresh_token)
    again = make_core(StoredState(B, HardState(1), None, (Entry(1, 0, ALL),)), (), 2, 0)
    receive(again, packet(C, B, 6, late), 0.1)
    assert again.term == 1
    receive(b, packet(A, B, 1, AppendRequest(1, 0, (), 1, 0.1)), 0.1)
    flushed(b, 0.1)
    receive(b, packet(C, B, 6, late), 0.2)
    assert b.term == 1, "it has heard a leader since"


def test_a_follower_waits_longer_for_a_leader_that_stalls():
    """A leader's machine stalls now and then for some tenths of a second. Elected anew
    at each stall, the fleet would spend its time on elections, and changes fail."""
    healthy, stalled = started(B), started(B)
    for core, every_seconds in ((healthy, 0.1), (stalled, 0.35)):
        for number in range(20):
            now = 10.0 + number * every_seconds
            receive(core, packet(A, B, 1, AppendRequest(1, 0, (), 1, now)), now)
        wait_seconds = core.election_due_at_seconds - core.leader_last_seen_at_seconds
        if core is healthy:
            assert wait_seconds <= 2 * ELECTION_MIN_SECONDS
        else:
            assert wait_seconds >= 2 * every_seconds


def test_only_empty_disks_found_a_log():
    """All but one disk are lost. Were the log founded anew, everything accepted would
    have reverted silently; instead nothing is agreed until operators step in."""
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
    """A leader that contradicts what is committed here has lost it. Taking its word
    would revert an accepted change, so this replica stops instead."""
    core = started(B, (Entry(2, 1, TermStart()),))
    receive(core, packet(A, B, 1, AppendRequest(2, 1, (), 2, 10.0)), 10.0)
    contradiction = AppendRequest(1, 0, (Entry(2, 3, TermStart()),), 2, 10.0)
    with pytest.raises(LogError):
        receive(core, packet(C, B, 3, contradiction), 10.0)
