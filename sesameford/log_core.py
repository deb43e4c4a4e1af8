"""The consensus core of one replica: takes messages and time, returns effects.

This module does no I/O. A shell calls ``receive``, ``tick`` and ``propose``, then
``collect_effects``. Once it has written and synced the effects it calls
``record_persisted``. See docs/LOG.md.
"""

from random import Random

from sesameford.log_election import (
    become_follower,
    check_quorum,
    handle_vote_reply,
    handle_vote_request,
    lease_until_seconds,
    may_campaign,
    reset_election_timer,
    schedule_initial_pre_vote,
    start_election,
    start_pre_vote,
)
from sesameford.log_entries import LogEntries
from sesameford.log_membership import (
    handle_announcement,
    tick_configuration,
    tick_non_member,
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
    broadcast,
    handle_append_reply,
    handle_append_request,
    handle_snapshot_chunk,
    handle_snapshot_reply,
)
from sesameford.log_state import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    HEARTBEAT_SECONDS,
    PAUSE_DECAY_FACTOR,
    START_TOKEN_BITS,
    Core,
    Effects,
    Role,
    SnapshotImage,
    StoredState,
    append_entry,
    drain_effects,
    send,
)

# Entries before a snapshot that stay in memory for followers that lag slightly.
TRAILING_ENTRIES = 1024
# Entries have any size up to that of the largest configuration.
TRAILING_BYTES = 8_000_000


def make_core(
    stored: StoredState, peer_ids: tuple[str, ...], seed: int, now_seconds: float
) -> Core:
    """Return the consensus state of a replica at its start.

    Args:
        stored: The state read from its disk.
        peer_ids: The other instances with disks.
        seed: Seed of the random election timeouts.
        now_seconds: The current time.

    Returns:
        A follower; while its log is empty it belongs to no configuration.
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
        emitted_index=log.last_index,
    )
    core.start_token = core.random.getrandbits(START_TOKEN_BITS) + 1
    core.newly_started_until_seconds = now_seconds + ELECTION_MAX_SECONDS
    reset_election_timer(core, now_seconds)
    schedule_initial_pre_vote(core, now_seconds)
    # Before a restart the replica may have acknowledged a leader's heartbeat, which
    # the leader's lease relies on. It grants no vote until that lease has expired.
    core.leader_last_seen_at_seconds = now_seconds
    if core.voters == (core.me,) or not core.term:
        core.leader_last_seen_at_seconds = now_seconds - ELECTION_MIN_SECONDS
    if core.voters == (core.me,):
        core.election_due_at_seconds = now_seconds
    return core


def tick(core: Core, now_seconds: float) -> None:
    """Run the timers: heartbeats, quorum check, membership changes and elections.

    Args:
        core: The replica.
        now_seconds: The current time.
    """
    if core.role is Role.LEADER:
        check_quorum(core, now_seconds)
    if core.role is Role.LEADER:
        tick_configuration(core, now_seconds)
        if now_seconds >= core.heartbeat_due_at_seconds:
            core.heartbeat_due_at_seconds = now_seconds + HEARTBEAT_SECONDS
            broadcast(core, now_seconds, heartbeat=True)
        return
    tick_non_member(core, now_seconds)
    if now_seconds >= core.election_due_at_seconds and may_campaign(core):
        start_pre_vote(core, now_seconds)


def receive(core: Core, packet: Packet, now_seconds: float) -> None:
    """Handle a message from another replica; it may be late or a duplicate.

    Args:
        core: The replica.
        packet: The message.
        now_seconds: The current time.

    Raises:
        LogError: A leader contradicts committed entries; this replica must stop.
    """
    body = packet.body
    if packet.receiver_id != core.me.instance_id or not _is_known_replica(
        core, packet.sender
    ):
        return
    if core.cluster_id and packet.cluster_id not in (0, core.cluster_id):
        return
    if isinstance(body, Announce):
        handle_announcement(core, packet, body, now_seconds)
        return
    if packet.receiver_incarnation != core.me.incarnation:
        # The message is addressed to a lost disk, whose state this one doesn't have.
        return
    if isinstance(body, VoteRequest):
        handle_vote_request(core, packet, body, now_seconds)
        return
    if packet.term > core.term:
        become_follower(core, packet.term, now_seconds)
    if packet.term < core.term and not _is_pre_vote_reply(body):
        _reject_stale_term(core, packet)
        return
    _dispatch_message(core, packet, now_seconds)


def _dispatch_message(core: Core, packet: Packet, now_seconds: float) -> None:
    """Handle a message of the current term, or a pre-vote reply of an older one."""
    body = packet.body
    match body:
        case VoteReply():
            handle_vote_reply(core, packet, body, now_seconds)
        case AppendRequest():
            _record_leader_contact(core, packet.sender, now_seconds)
            handle_append_request(core, packet, body)
        case SnapshotChunk():
            _record_leader_contact(core, packet.sender, now_seconds)
            handle_snapshot_chunk(core, packet, body)
        case AppendReply() if core.role is Role.LEADER:
            handle_append_reply(core, packet, body)
            _step_down_if_removed(core, now_seconds)
        case SnapshotReply() if core.role is Role.LEADER:
            handle_snapshot_reply(core, packet, body)
        case TimeoutNow() if packet.sender == core.leader and core.me in core.voters:
            start_election(core, now_seconds, transfer=True)


def propose(core: Core, commands: tuple[Command, ...]) -> bool:
    """Append commands if this replica is the leader.

    Args:
        core: The replica.
        commands: The commands, replicated together.

    Returns:
        Whether it is the leader; if not, nothing was appended.
    """
    if core.role is not Role.LEADER:
        return False
    for command in commands:
        append_entry(core, Entry(core.log.last_index + 1, core.term, command))
    return True


def collect_effects(core: Core, now_seconds: float) -> Effects | None:
    """Return the effects that the shell has to carry out now, or None."""
    if core.role is Role.LEADER:
        broadcast(core, now_seconds)
    return drain_effects(core)


def record_persisted(core: Core, done: Effects, now_seconds: float) -> None:
    """Record that effects were written and synced.

    Args:
        core: The replica.
        done: Effects collected before; record them in the order of collection.
        now_seconds: The current time.
    """
    if core.log.term_at(done.last_index) == done.last_term:
        core.synced_index = max(core.synced_index, done.last_index)
    if core.role is Role.LEADER:
        advance_commit(core)
        _step_down_if_removed(core, now_seconds)


def committed_entries(core: Core, after_index: int) -> tuple[Entry, ...]:
    """Return the entries after an index that are committed and synced here."""
    last_index = min(core.commit_index, core.synced_index)
    if last_index <= after_index or after_index < core.log.base_index:
        # In the second case a leader's snapshot is still being written to the disk.
        return ()
    return core.log.between(after_index + 1, last_index)


def compact(
    core: Core,
    image: SnapshotImage,
    trailing_entries: int = TRAILING_ENTRIES,
    trailing_bytes: int = TRAILING_BYTES,
) -> None:
    """Record this replica's own snapshot and drop the entries well before it.

    Args:
        core: The replica.
        image: The state after an applied index, already on the disk.
        trailing_entries: Number of entries covered by it that stay in memory at most.
        trailing_bytes: Their size at most.
    """
    core.snapshot = image
    core.log.compact(
        core.log.index_before(image.index, trailing_entries, trailing_bytes)
    )


def transfer_leadership(core: Core, now_seconds: float) -> bool:
    """Start a leadership transfer to the best follower before a planned stop.

    Without it every planned stop of a leader would delay changes and keyed
    requests for the length of an election timeout.

    Args:
        core: The replica.
        now_seconds: The current time.

    Returns:
        Whether a follower was asked to take over.
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
    """Return whether this replica leads and no other replica can be leader now."""
    return now_seconds < lease_until_seconds(core, now_seconds)


def _is_known_replica(core: Core, sender: Member) -> bool:
    """Return whether the settings or the log name the sender as a replica."""
    if sender.instance_id in core.peer_ids:
        return True
    return any(sender.instance_id == other.instance_id for other in core.others)


def _record_leader_contact(core: Core, leader: Member, now_seconds: float) -> None:
    """Follow the leader of the current term and restart the election timer."""
    if core.role is not Role.FOLLOWER:
        become_follower(core, core.term, now_seconds)
    if core.leader == leader:
        pause_seconds = now_seconds - core.leader_last_seen_at_seconds
        core.longest_pause_seconds = max(
            pause_seconds, PAUSE_DECAY_FACTOR * core.longest_pause_seconds
        )
    core.leader = leader
    core.start_token = 0
    core.leader_last_seen_at_seconds = now_seconds
    reset_election_timer(core, now_seconds)


def _is_pre_vote_reply(body: Body) -> bool:
    """Return whether this is a pre-vote reply, which counts despite an older term.

    Otherwise a candidate that raised its term and lost its vote requests to a bad
    link could never again get a pre-vote from replicas that didn't see that term.
    """
    return isinstance(body, VoteReply) and body.pre


def _reject_stale_term(core: Core, packet: Packet) -> None:
    """Reply to a leader of an old term, so that it learns of the newer one."""
    body = packet.body
    if isinstance(body, AppendRequest | SnapshotChunk):
        send(core, packet.sender, AppendReply(False, 0, body.sent_at_seconds))


def _step_down_if_removed(core: Core, now_seconds: float) -> None:
    """Step down as leader once the change that removes its vote is committed."""
    if core.me in core.voters or core.commit_index < core.log.configuration_index:
        return
    become_follower(core, core.term, now_seconds)
