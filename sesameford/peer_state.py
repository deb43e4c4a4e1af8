"""What a link to one peer has seen: order, acknowledgement, silence."""

from dataclasses import dataclass, replace

from sesameford.messages import Envelope

REDIAL_AFTER_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class PeerState:
    """Both directions of the link to one peer.

    ``dialled_at_seconds`` is when the present outgoing connection was begun.
    """

    dialled_at_seconds: float
    next_sequence: int = 1
    heard: tuple[int, int] = (0, 0)
    last_seen_at_seconds: float | None = None
    acknowledged: tuple[int, int] = (0, 0)
    acknowledged_at_seconds: float | None = None


def take_envelope(
    state: PeerState, envelope: Envelope, own_incarnation: int, now_seconds: float
) -> PeerState | None:
    """Return the state after an envelope, or None where it is old or doubled.

    A transport that reconnects by itself may deliver an envelope twice, or one of
    a dead incarnation after one of its successor. Its messages carry totals, so an
    old one would set totals back; only a rising pair is let through.
    """
    stamp = (envelope.incarnation, envelope.sequence)
    if stamp <= state.heard:
        return None
    state = replace(state, heard=stamp, last_seen_at_seconds=now_seconds)
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
    """Return whether the outgoing connection is to be given up for a new one.

    A flow that a box between the two ends has forgotten stays open and silent for
    good, while new connections work. One notices that nothing sent is acknowledged
    any more. A fresh connection is the only cure, and harmless where the peer is
    simply down.
    """
    last_sign_seconds = max(
        state.dialled_at_seconds, state.acknowledged_at_seconds or 0.0
    )
    return now_seconds - last_sign_seconds > redial_after_seconds
