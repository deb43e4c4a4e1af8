"""Replication: what a leader sends its followers, and what they make of it."""

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
    IN_FLIGHT_ENTRIES,
    Core,
    FollowerProgress,
    IncomingSnapshot,
    Role,
    SnapshotImage,
    append_entry,
    cut_log,
    send,
)


def match_progress(core: Core) -> None:
    """Keep a row of progress for each other member and for no one else."""
    others = core.others
    for member in others:
        if member not in core.progress:
            core.progress[member] = FollowerProgress(next_index=core.log.last_index + 1)
    for member in list(core.progress):
        if member not in others:
            del core.progress[member]


def broadcast(core: Core, now_seconds: float, heartbeat: bool = False) -> None:
    """Send each other member what it lacks.

    Args:
        core: The leader.
        now_seconds: The present time.
        heartbeat: Send also to those that lack nothing, and repeat what may be
            lost.
    """
    for member, progress in core.progress.items():
        _send_to(core, member, progress, now_seconds, heartbeat)


def _send_to(
    core: Core,
    member: Member,
    progress: FollowerProgress,
    now_seconds: float,
    heartbeat: bool,
) -> None:
    """Send one member the next entries, or a part of the snapshot."""
    log = core.log
    if progress.next_index <= log.base_index:
        _send_chunk(core, member, progress, now_seconds, heartbeat)
        return
    entries: tuple[Entry, ...] = ()
    in_flight = progress.next_index - 1 - progress.match_index
    if progress.next_index <= log.last_index and in_flight < IN_FLIGHT_ENTRIES:
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
    send(core, member, request, early=True)
    progress.next_index += len(entries)


def _send_chunk(
    core: Core,
    member: Member,
    progress: FollowerProgress,
    now_seconds: float,
    heartbeat: bool,
) -> None:
    """Send a part of the snapshot, once per wish of the follower or heartbeat."""
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
    send(core, member, chunk, early=True)


def append_requested(core: Core, packet: Packet, body: AppendRequest) -> None:
    """Take a leader's entries and say, once they are synced, how far we match.

    Raises:
        LogError: The leader would replace what is committed here.
    """
    log = core.log
    previous_index, entries = body.previous_index, body.entries
    if previous_index < log.base_index:
        # What the snapshot covers is committed and so the same at every leader.
        entries = tuple(entry for entry in entries if entry.index > log.base_index)
        previous_index = log.base_index
    elif log.term_at(previous_index) != body.previous_term:
        lacks = previous_index > log.last_index
        back_to = log.last_index if lacks else core.commit_index
        send(core, packet.sender, AppendReply(False, back_to, body.sent_at_seconds))
        return
    for entry in entries:
        _take_entry(core, entry)
    match_index = previous_index + len(entries)
    core.commit_index = max(core.commit_index, min(body.commit_index, match_index))
    send(core, packet.sender, AppendReply(True, match_index, body.sent_at_seconds))


def _take_entry(core: Core, entry: Entry) -> None:
    """Append an entry unless it is there, in place of another leader's."""
    term = core.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        if entry.index <= core.commit_index:
            raise LogError(f"a leader would replace committed entry {entry.index}")
        cut_log(core, entry.index)
    append_entry(core, entry)


def append_replied(core: Core, packet: Packet, body: AppendReply) -> None:
    """Note how far a follower is."""
    progress = core.progress.get(packet.sender)
    if progress is None:
        return
    progress.acked_at_seconds = max(progress.acked_at_seconds, body.sent_at_seconds)
    if body.matched:
        progress.match_index = max(progress.match_index, body.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(core)
        return
    # One lost message makes the follower reject all that were under way behind
    # it. Going back for each of them would send the same entries many times.
    is_newer = body.sent_at_seconds > progress.rewound_at_seconds
    if is_newer or body.match_index < progress.rewound_to_index:
        progress.rewound_at_seconds = body.sent_at_seconds
        progress.rewound_to_index = body.match_index
        back_to = min(progress.next_index, body.match_index + 1)
        progress.next_index = max(progress.match_index + 1, back_to)


def advance_commit(core: Core) -> None:
    """Commit what a majority of voters has synced.

    Only an entry of the leader's own term is counted: an older one on a majority
    may still be replaced by a leader that has a newer entry in its place, and a
    caller would see an accepted change vanish.
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


def chunk_received(core: Core, packet: Packet, body: SnapshotChunk) -> None:
    """Collect the leader's snapshot, and take it over once it is complete."""
    known = core.log.term_at(body.index) == body.index_term
    if body.index <= core.commit_index or known:
        # A snapshot covers only what is committed, and the log has it already.
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
        wanted = SnapshotReply(body.index, len(incoming.data), body.sent_at_seconds)
        send(core, packet.sender, wanted)
        return
    core.incoming = None
    _install(core, decode_image(bytes(incoming.data)))
    send(core, packet.sender, AppendReply(True, body.index, body.sent_at_seconds))


def _install(core: Core, image: SnapshotImage) -> None:
    """Put a snapshot in place of a log that ends before it or contradicts it."""
    core.log = LogEntries(image.index, image.index_term, image.configuration)
    core.snapshot = image
    core.new_snapshot = image
    core.commit_index = image.index
    core.synced_index = image.index
    core.handed_index = image.index


def chunk_replied(core: Core, packet: Packet, body: SnapshotReply) -> None:
    """Note which part of the snapshot a follower wants next."""
    progress = core.progress.get(packet.sender)
    if progress is None:
        return
    progress.acked_at_seconds = max(progress.acked_at_seconds, body.sent_at_seconds)
    if progress.snapshot_index != body.index:
        return
    # The wish may go back: a follower that started again has lost all the parts.
    if body.sent_at_seconds >= progress.snapshot_replied_at_seconds:
        progress.snapshot_replied_at_seconds = body.sent_at_seconds
        progress.snapshot_offset_bytes = body.offset_bytes
