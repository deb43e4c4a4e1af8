"""Log replication: append requests, snapshot installation and the commit index."""

from sesameford.errors import LogError
from sesameford.log_entries import LogEntries
from sesameford.log_messages import (
    AppendReply,
    AppendRequest,
    Entry,
    Member,
    Packet,
    SnapshotChunk,
    SnapshotReply,
)
from sesameford.log_snapshot import decode_image, encode_image
from sesameford.log_state import (
    APPEND_LIMIT_BYTES,
    MAX_IN_FLIGHT_ENTRIES,
    Core,
    FollowerProgress,
    IncomingSnapshot,
    Role,
    SnapshotImage,
    append_entry,
    send,
    truncate_log,
)


def update_progress_members(core: Core) -> None:
    """Add missing members to the progress table and remove former members."""
    others = core.others
    for member in others:
        if member not in core.progress:
            core.progress[member] = FollowerProgress(next_index=core.log.last_index + 1)
    for member in list(core.progress):
        if member not in others:
            del core.progress[member]


def broadcast(core: Core, now_seconds: float, heartbeat: bool = False) -> None:
    """Send each other member the entries or snapshot chunk that it lacks.

    Args:
        core: The leader.
        now_seconds: The current time.
        heartbeat: Send also to members that lack nothing, and repeat a snapshot
            chunk that may be lost.
    """
    for member, progress in core.progress.items():
        _replicate_to(core, member, progress, now_seconds, heartbeat)


def _replicate_to(
    core: Core,
    member: Member,
    progress: FollowerProgress,
    now_seconds: float,
    heartbeat: bool,
) -> None:
    """Send one member the next entries or snapshot chunk."""
    log = core.log
    if progress.next_index <= log.base_index:
        _send_snapshot_chunk(core, member, progress, now_seconds, heartbeat)
        return
    entries: tuple[Entry, ...] = ()
    in_flight = progress.next_index - 1 - progress.match_index
    if progress.next_index <= log.last_index and in_flight < MAX_IN_FLIGHT_ENTRIES:
        entries = log.between(progress.next_index, log.last_index, APPEND_LIMIT_BYTES)
    if not entries and not heartbeat:
        return
    previous_index = progress.next_index - 1
    request = AppendRequest(
        previous_index=previous_index,
        previous_term=log.term_at(previous_index) or 0,
        entries=entries,
        commit_index=core.commit_index,
        sent_at_seconds=now_seconds,
    )
    send(core, member, request, before_sync=True)
    progress.next_index += len(entries)


def _send_snapshot_chunk(
    core: Core,
    member: Member,
    progress: FollowerProgress,
    now_seconds: float,
    heartbeat: bool,
) -> None:
    """Send a snapshot chunk, once for each requested offset and at each heartbeat."""
    image = core.snapshot
    if image is None:
        raise LogError("the log was compacted without a snapshot")
    if core.encoded_snapshot[0] != image.index:
        core.encoded_snapshot = (image.index, encode_image(image))
    if progress.snapshot_index != image.index:
        progress.snapshot_index = image.index
        progress.snapshot_offset_bytes = 0
        progress.snapshot_sent_offset_bytes = -1
    offset = progress.snapshot_offset_bytes
    if progress.snapshot_sent_offset_bytes == offset and not heartbeat:
        return
    progress.snapshot_sent_offset_bytes = offset
    encoded = core.encoded_snapshot[1]
    chunk = SnapshotChunk(
        index=image.index,
        index_term=image.index_term,
        offset_bytes=offset,
        total_bytes=len(encoded),
        data=encoded[offset : offset + core.chunk_bytes],
        sent_at_seconds=now_seconds,
    )
    send(core, member, chunk, before_sync=True)


def handle_append_request(core: Core, packet: Packet, body: AppendRequest) -> None:
    """Append a leader's entries; the reply with the match index follows the sync.

    Raises:
        LogError: The leader would replace entries that are committed here.
    """
    log = core.log
    previous_index, entries = body.previous_index, body.entries
    if previous_index < log.base_index:
        # Entries covered by the snapshot are committed, so every leader has the same.
        entries = tuple(entry for entry in entries if entry.index > log.base_index)
        previous_index = log.base_index
    elif log.term_at(previous_index) != body.previous_term:
        lacks = previous_index > log.last_index
        back_to = log.last_index if lacks else core.commit_index
        send(core, packet.sender, AppendReply(False, back_to, body.sent_at_seconds))
        return
    for entry in entries:
        _store_entry(core, entry)
    match_index = previous_index + len(entries)
    core.commit_index = max(core.commit_index, min(body.commit_index, match_index))
    send(core, packet.sender, AppendReply(True, match_index, body.sent_at_seconds))


def _store_entry(core: Core, entry: Entry) -> None:
    """Append an entry unless it is present, replacing conflicting entries.

    Raises:
        LogError: The conflicting entry is committed.
    """
    term = core.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        if entry.index <= core.commit_index:
            raise LogError(f"a leader would replace committed entry {entry.index}")
        truncate_log(core, entry.index)
    append_entry(core, entry)


def handle_append_reply(core: Core, packet: Packet, body: AppendReply) -> None:
    """Record a follower's progress; after a mismatch go back to its match index."""
    progress = core.progress.get(packet.sender)
    if progress is None:
        return
    progress.acked_at_seconds = max(progress.acked_at_seconds, body.sent_at_seconds)
    if body.matched:
        progress.match_index = max(progress.match_index, body.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(core)
        return
    # After one lost message the follower rejects all later messages in flight. Going
    # back for each rejection would send the same entries many times.
    is_newer = body.sent_at_seconds > progress.rewound_at_seconds
    if is_newer or body.match_index < progress.rewound_to_index:
        progress.rewound_at_seconds = body.sent_at_seconds
        progress.rewound_to_index = body.match_index
        back_to = min(progress.next_index, body.match_index + 1)
        progress.next_index = max(progress.match_index + 1, back_to)


def advance_commit(core: Core) -> None:
    """Advance the commit index to the newest entry synced by a majority of voters.

    Only entries of the leader's own term are counted. An older entry on a majority can
    still be replaced by a leader with a newer entry at its index, and an accepted
    change would be lost.
    """
    if core.role is not Role.LEADER or not core.voters:
        return
    matched = sorted(
        core.synced_index if member == core.me else core.progress[member].match_index
        for member in core.voters
    )
    index = matched[(len(matched) - 1) // 2]
    if index > core.commit_index and core.log.term_at(index) == core.term:
        core.commit_index = index


def handle_snapshot_chunk(core: Core, packet: Packet, body: SnapshotChunk) -> None:
    """Collect the chunks of a leader's snapshot and install it once complete."""
    in_log = core.log.term_at(body.index) == body.index_term
    if body.index <= core.commit_index or in_log:
        # A snapshot covers only committed entries, and the log has these already.
        core.commit_index = max(core.commit_index, body.index)
        send(core, packet.sender, AppendReply(True, body.index, body.sent_at_seconds))
        return
    incoming = core.incoming
    if incoming is None or (incoming.index, incoming.term) != (body.index, core.term):
        incoming = IncomingSnapshot(body.index, core.term, body.total_bytes)
        core.incoming = incoming
    if body.offset_bytes == len(incoming.data):
        incoming.data += body.data
    if len(incoming.data) < incoming.total_bytes:
        reply = SnapshotReply(body.index, len(incoming.data), body.sent_at_seconds)
        send(core, packet.sender, reply)
        return
    core.incoming = None
    _install_snapshot(core, decode_image(bytes(incoming.data)))
    send(core, packet.sender, AppendReply(True, body.index, body.sent_at_seconds))


def _install_snapshot(core: Core, image: SnapshotImage) -> None:
    """Replace a log that ends before the snapshot or conflicts with it."""
    core.log = LogEntries(image.index, image.index_term, image.configuration)
    core.snapshot = image
    core.new_snapshot = image
    core.commit_index = image.index
    core.synced_index = image.index
    core.emitted_index = image.index


def handle_snapshot_reply(core: Core, packet: Packet, body: SnapshotReply) -> None:
    """Record the snapshot offset that a follower requests next."""
    progress = core.progress.get(packet.sender)
    if progress is None:
        return
    progress.acked_at_seconds = max(progress.acked_at_seconds, body.sent_at_seconds)
    if progress.snapshot_index != body.index:
        return
    # The offset may go back: a restarted follower has lost all chunks.
    if body.sent_at_seconds >= progress.snapshot_replied_at_seconds:
        progress.snapshot_replied_at_seconds = body.sent_at_seconds
        progress.snapshot_offset_bytes = body.offset_bytes
