"""How soon a target that failed or flaps gets new work again, at one router."""

from dataclasses import dataclass, replace

HOLD_FIRST_SECONDS = 0.5
HOLD_MOST_SECONDS = 15.0
FLAP_WITHIN_SECONDS = 60.0
FLAP_HOLD_FIRST_SECONDS = 1.0
FLAP_HOLD_MOST_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """What a target did lately.

    ``failures`` counts failed fresh connections since the last success, ``flaps``
    the incarnations that lived shorter than `FLAP_WITHIN_SECONDS`.
    """

    incarnation: int
    first_seen_at_seconds: float
    failures: int = 0
    flaps: int = 0
    held_until_seconds: float = 0.0


def began(
    health: TargetHealth | None, incarnation: int, now_seconds: float
) -> TargetHealth:
    """Return the health of a target with a new incarnation.

    A target that crashes soon after each start would otherwise get a full load of
    requests each time, and each of these would be cut.
    """
    if health is None:
        return TargetHealth(incarnation, now_seconds)
    lived_seconds = now_seconds - health.first_seen_at_seconds
    flaps = health.flaps + 1 if lived_seconds < FLAP_WITHIN_SECONDS else 0
    hold_seconds = 0.0
    if flaps > 1:
        doubled_seconds = FLAP_HOLD_FIRST_SECONDS * 2.0 ** min(flaps - 2, 16)
        hold_seconds = min(doubled_seconds, FLAP_HOLD_MOST_SECONDS)
    return TargetHealth(incarnation, now_seconds, 0, flaps, now_seconds + hold_seconds)


def failed(health: TargetHealth, now_seconds: float) -> TargetHealth:
    """Return the health after a fresh connection failed."""
    if now_seconds < health.held_until_seconds:
        # Requests that were on their way together fail together; one failure of
        # the target must not count as many.
        return health
    doubled_seconds = HOLD_FIRST_SECONDS * 2.0 ** min(health.failures, 16)
    hold_seconds = min(doubled_seconds, HOLD_MOST_SECONDS)
    return replace(
        health,
        failures=health.failures + 1,
        held_until_seconds=now_seconds + hold_seconds,
    )


def proved(health: TargetHealth) -> TargetHealth:
    """Return the health after an answer came whole."""
    return replace(health, failures=0) if health.failures else health


def is_held(health: TargetHealth, now_seconds: float) -> bool:
    """Return whether the target gets no new work for now."""
    return now_seconds < health.held_until_seconds
