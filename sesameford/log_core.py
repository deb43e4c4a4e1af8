"""One replica's decisions: messages and time in, effects out.

There is no I/O here. A shell calls ``receive``, ``tick`` and ``propose``, then
``take_effects``; once it has written and synced what the effects say it calls
``persisted``. See docs/LOG.md.
"""

from random import Random

from sesameford.log_election import (
    ask_soon,
    become_follower,
    check_quorum,
    lease_until_seconds,
    may_campaign,
    put_off_election,
    start_election,
    start_pre_vote,
    vote_replied,
    vote_requested,
)
from sesameford.log_entries import LogEntries
from sesameford.log_membership import (
    note_announcement,
    tick_configuration,
    tick_outsider,
)
from sesameford.log_messages import (
    Announce,
    AppendReply,
    AppendRequest,
    Body,
    Command,
    Entry,
    Member,
    Packet,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from sesameford.log_replication import (
    advance_commit,
    append_replied,
    append_requested,
    broadcast,
    chunk_received,
    chunk_replied,
)
from sesameford.log_state import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    FRESH_TOKEN_BITS,
    HEARTBEAT_SECONDS,
    PAUSE_KEPT_PART,
    Core,
    Effects,
    Role,
    SnapshotImage,
    StoredState,
    append_entry,
    send,
    take_effects,
)

# Entries kept in memory behind a snapshot, for followers that lag a little.
TRAILING_ENTRIES = 1024


def make_core(
    stored: StoredState, peer_ids: tuple[str, ...], seed: int, now_seconds: float
) -> Core:
    """Return the consensus state of a replica that starts.

    Args:
        stored: What its disk holds.
        peer_ids: The other instances with disks.
        seed: For the spread of election times.
        now_seconds: The present time.

    Returns:
        A follower, or an outsider while its log is empty.
    """
    image = stored.snapshot
    if image is None:
        log = LogEntries(0, 0, None, stored.entries)
    else:
        configuration = image.configuration
        log = LogEntries(image.index, image.index_term, configuration, stored.entries)
    core = Core(
        me=stored.me,
        peer_ids=tuple(other for other in peer_ids if other != stored.me.instance_id),
        log=log,
        hard_state=stored.hard_state,
        random=Random(seed),
        snapshot=image,
        commit_index=log.base_index,
        synced_index=log.last_index,
        handed_index=log.last_index,
    )
    core.fresh_token = core.random.getrandbits(FRESH_TOKEN_BITS) + 1
    core.fresh_until_seconds = now_seconds + ELECTION_MAX_SECONDS
    put_off_election(core, now_seconds)
    ask_soon(core, now_seconds)
    # A replica that starts again may have promised a leader its silence just
    # before; it keeps the promise for the longest time that it can have meant.
    core.leader_last_seen_at_seconds = now_seconds
    if core.voters == (core.me,) or not core.term:
        core.leader_last_seen_at_seconds = now_seconds - ELECTION_MIN_SECONDS
    if core.voters == (core.me,):
        core.election_due_at_seconds = now_seconds
    return core


def tick(core: Core, now_seconds: float) -> None:
    """Do what is due by time.

    Args:
        core: The replica.
        now_seconds: The present time.
    """
    if core.role is Role.LEADER:
        check_quorum(core, now_seconds)
    if core.role is Role.LEADER:
        tick_configuration(core, now_seconds)
        if now_seconds >= core.heartbeat_due_at_seconds:
            core.heartbeat_due_at_seconds = now_seconds + HEARTBEAT_SECONDS
            broadcast(core, now_seconds, heartbeat=True)
        return
    tick_outsider(core, now_seconds)
    if now_seconds >= core.election_due_at_seconds and may_campaign(core):
        start_pre_vote(core, now_seconds)


def receive(core: Core, packet: Packet, now_seconds: float) -> None:
    """Take a message from another replica; it may be old, doubled or lost later.

    Args:
        core: The replica.
        packet: The message.
        now_seconds: The present time.

    Raises:
        LogError: A leader contradicts what is committed; this replica must stop.
    """
    body = packet.body
    if packet.receiver_id != core.me.instance_id or not _is_known(core, packet.sender):
        return
    if core.cluster_id and packet.cluster_id not in (0, core.cluster_id):
        return
    if isinstance(body, Announce):
        note_announcement(core, packet, body, now_seconds)
        return
    if packet.receiver_incarnation != core.me.incarnation:
        # Meant for a disk that is gone; this one has not what that one had.
        return
    if isinstance(body, VoteRequest):
        vote_requested(core, packet, body, now_seconds)
        return
    if packet.term > core.term:
        become_follower(core, packet.term, now_seconds)
    if packet.term < core.term and not _is_pre_vote(body):
        _refuse_old_term(core, packet)
        return
    _receive_present_term(core, packet, now_seconds)


def _receive_present_term(core: Core, packet: Packet, now_seconds: float) -> None:
    """Take a message of the present term."""
    body = packet.body
    match body:
        case VoteReply():
            vote_replied(core, packet, body, now_seconds)
        case AppendRequest():
            _hear_leader(core, packet.sender, now_seconds)
            append_requested(core, packet, body)
        case SnapshotChunk():
            _hear_leader(core, packet.sender, now_seconds)
            chunk_received(core, packet, body)
        case AppendReply() if core.role is Role.LEADER:
            append_replied(core, packet, body)
            _leave_if_removed(core, now_seconds)
        case SnapshotReply() if core.role is Role.LEADER:
            chunk_replied(core, packet, body)
        case TimeoutNow() if packet.sender == core.leader and core.me in core.voters:
            start_election(core, now_seconds, transfer=True)


def propose(core: Core, commands: tuple[Command, ...]) -> bool:
    """Append commands if this replica leads.

    Args:
        core: The replica.
        commands: They are brought to agreement together.

    Returns:
        Whether it leads; if not, nothing was appended.
    """
    if core.role is not Role.LEADER:
        return False
    for command in commands:
        append_entry(core, Entry(core.log.last_index + 1, core.term, command))
    return True


def effects(core: Core, now_seconds: float) -> Effects | None:
    """Return what the shell has to do now, or None."""
    if core.role is Role.LEADER:
        broadcast(core, now_seconds)
    return take_effects(core)


def persisted(core: Core, done: Effects, now_seconds: float) -> None:
    """Note that effects were written and synced.

    Args:
        core: The replica.
        done: Effects taken earlier, in the order in which they were taken.
        now_seconds: The present time.
    """
    if core.log.term_at(done.last_index) == done.last_term:
        core.synced_index = max(core.synced_index, done.last_index)
    if core.role is Role.LEADER:
        advance_commit(core)
        _leave_if_removed(core, now_seconds)


def committed(core: Core, after_index: int) -> tuple[Entry, ...]:
    """Return the entries to apply after an index: committed, and synced here."""
    last_index = min(core.commit_index, core.synced_index)
    if last_index <= after_index or after_index < core.log.base_index:
        # In the second case a leader's snapshot is on its way to the disk.
        return ()
    return core.log.between(after_index + 1, last_index)


def compact(
    core: Core, image: SnapshotImage, trailing_entries: int = TRAILING_ENTRIES
) -> None:
    """Take a snapshot of this replica's own and drop the log well behind it.

    Args:
        core: The replica.
        image: The state after an applied index; the shell has it on the disk.
        trailing_entries: How many entries that it covers stay in memory.
    """
    core.snapshot = image
    core.log.compact(image.index - trailing_entries)


def transfer_leadership(core: Core, now_seconds: float) -> bool:
    """Let a leader that stops as planned ask the best follower to take over.

    Without this every planned stop of a leader would hold up changes and keyed
    requests for the length of an election timeout.

    Args:
        core: The replica.
        now_seconds: The present time.

    Returns:
        Whether a follower was asked.
    """
    if core.role is not Role.LEADER:
        return False
    ready = [
        (core.progress[member].acked_at_seconds, member)
        for member in core.voters
        if member in core.progress
        and core.progress[member].match_index == core.log.last_index
    ]
    if not ready:
        return False
    send(core, max(ready)[1], TimeoutNow())
    become_follower(core, core.term, now_seconds)
    return True


def has_lease(core: Core, now_seconds: float) -> bool:
    """Return whether this replica leads and no other can lead at present."""
    return now_seconds < lease_until_seconds(core, now_seconds)


def _is_known(core: Core, sender: Member) -> bool:
    """Return whether a sender is a replica by the settings or the log."""
    if sender.instance_id in core.peer_ids:
        return True
    return any(sender.instance_id == other.instance_id for other in core.others)


def _hear_leader(core: Core, leader: Member, now_seconds: float) -> None:
    """Follow the leader of the present term."""
    if core.role is not Role.FOLLOWER:
        become_follower(core, core.term, now_seconds)
    if core.leader == leader:
        pause_seconds = now_seconds - core.leader_last_seen_at_seconds
        core.longest_pause_seconds = max(
            pause_seconds, PAUSE_KEPT_PART * core.longest_pause_seconds
        )
    core.leader = leader
    core.fresh_token = 0
    core.leader_last_seen_at_seconds = now_seconds
    put_off_election(core, now_seconds)


def _is_pre_vote(body: Body) -> bool:
    """Return whether this grants a pre-vote, which holds in spite of an older term.

    A candidate that raised its term and lost the votes to a bad link would else
    never again get a pre-vote from those that did not hear of that term.
    """
    return isinstance(body, VoteReply) and body.pre


def _refuse_old_term(core: Core, packet: Packet) -> None:
    """Tell a leader of an old term that there is a newer one."""
    body = packet.body
    if isinstance(body, AppendRequest | SnapshotChunk):
        send(core, packet.sender, AppendReply(False, 0, body.sent_at_seconds))


def _leave_if_removed(core: Core, now_seconds: float) -> None:
    """Let a leader step down once the change that takes its vote is committed."""
    if core.me in core.voters or core.commit_index < core.log.configuration_index:
        return
    become_follower(core, core.term, now_seconds)
