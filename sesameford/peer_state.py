"""The state of a link to one peer: order, acknowledgement, silence."""

from dataclasses import dataclass, replace

from sesameford.messages import Envelope

REDIAL_AFTER_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class PeerState:
    """Both directions of the link to one peer.

    ``dialled_at_seconds`` is when the current outgoing connection was dialled.
    ``received_stamp`` and ``acknowledged`` are an incarnation and a sequence: of the
    newest envelope from the peer, and of the newest one that it acknowledged.
    """

    dialled_at_seconds: float
    next_sequence: int = 1
    received_stamp: tuple[int, int] = (0, 0)
    last_seen_at_seconds: float | None = None
    acknowledged: tuple[int, int] = (0, 0)
    acknowledged_at_seconds: float | None = None


def record_envelope(
    state: PeerState, envelope: Envelope, own_incarnation: int, now_seconds: float
) -> PeerState | None:
    """Return the state after an envelope, or None if it is outdated or a duplicate.

    A transport that reconnects by itself may deliver an envelope twice, or one of a
    dead incarnation after one of its successor. Messages carry totals, which an old
    envelope would set back, so only a growing pair of the two numbers is accepted.
    """
    stamp = (envelope.incarnation, envelope.sequence)
    if stamp <= state.received_stamp:
        return None
    state = replace(state, received_stamp=stamp, last_seen_at_seconds=now_seconds)
    is_newer = envelope.acknowledged > state.acknowledged
    if envelope.acknowledged[0] == own_incarnation and is_newer:
        state = replace(
            state,
            acknowledged=envelope.acknowledged,
            acknowledged_at_seconds=now_seconds,
        )
    return state


def should_redial(
    state: PeerState,
    now_seconds: float,
    redial_after_seconds: float = REDIAL_AFTER_SECONDS,
) -> bool:
    """Return whether the outgoing connection is to be replaced by a new one.

    A connection that a middlebox has lost track of stays open and silent for good,
    while new connections work. The sign is that nothing sent is acknowledged any more.
    Only a fresh connection helps, and it is harmless if the peer is simply down.
    """
    last_sign_at_seconds = max(
        state.dialled_at_seconds, state.acknowledged_at_seconds or 0.0
    )
    return now_seconds - last_sign_at_seconds > redial_after_seconds
