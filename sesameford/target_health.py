"""Backoff of targets at one router.

For failed connections, for frequent restarts, and because targets request it.
"""

from dataclasses import dataclass, replace

from sesameford.doubling import doubled_seconds

INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 15.0
FLAP_LIFETIME_SECONDS = 60.0
INITIAL_FLAP_BACKOFF_SECONDS = 1.0
MAX_FLAP_BACKOFF_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """The recent failures and restarts of a target.

    ``failures`` counts failed fresh connections since the last success, ``flaps`` the
    consecutive incarnations that lived shorter than `FLAP_LIFETIME_SECONDS`. The target
    itself has requested backoff until ``requested_until_seconds``.
    """

    incarnation: int
    first_seen_at_seconds: float
    failures: int = 0
    flaps: int = 0
    backoff_until_seconds: float = 0.0
    requested_until_seconds: float = 0.0


def record_incarnation(
    health: TargetHealth | None, incarnation: int, now_seconds: float
) -> TargetHealth:
    """Return the health of a target with a new incarnation.

    A target that crashes soon after each start gets no new work for a while. Otherwise
    it would get a full load of requests each time, and all of these would be cut.
    """
    if health is None:
        return TargetHealth(incarnation, now_seconds)
    lifetime_seconds = now_seconds - health.first_seen_at_seconds
    flaps = health.flaps + 1 if lifetime_seconds < FLAP_LIFETIME_SECONDS else 0
    backoff_seconds = 0.0
    if flaps > 1:
        backoff_seconds = doubled_seconds(
            INITIAL_FLAP_BACKOFF_SECONDS, flaps - 2, MAX_FLAP_BACKOFF_SECONDS
        )
    return TargetHealth(
        incarnation, now_seconds, 0, flaps, now_seconds + backoff_seconds
    )


def record_failure(health: TargetHealth, now_seconds: float) -> TargetHealth:
    """Return the health after a fresh connection failed."""
    if now_seconds < health.backoff_until_seconds:
        # Concurrent requests fail together; they count as one failure of the target.
        return health
    backoff_seconds = doubled_seconds(
        INITIAL_BACKOFF_SECONDS, health.failures, MAX_BACKOFF_SECONDS
    )
    return replace(
        health,
        failures=health.failures + 1,
        backoff_until_seconds=now_seconds + backoff_seconds,
    )


def record_requested_backoff(
    health: TargetHealth, seconds: float, now_seconds: float
) -> TargetHealth:
    """Return the health after a target requested backoff; the latest end counts."""
    until_seconds = max(health.requested_until_seconds, now_seconds + seconds)
    return replace(health, requested_until_seconds=until_seconds)


def reset_failures(health: TargetHealth) -> TargetHealth:
    """Return the health after a complete answer."""
    return replace(health, failures=0) if health.failures else health


def is_in_backoff(health: TargetHealth, now_seconds: float) -> bool:
    """Return whether the target currently gets no new work."""
    return now_seconds < max(
        health.backoff_until_seconds, health.requested_until_seconds
    )
