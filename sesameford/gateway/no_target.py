"""The Retry-After of calls for which no target is available."""

from sesameford.gateway.call_context import RETRY_AFTER_SECONDS, GatewayDeps
from sesameford.gateway.candidates import NoTargetReason
from sesameford.gateway.retry_times import spread_retry_seconds

# An evacuation lasts until an operator ends it, so frequent retries are useless.
EVACUATED_RETRY_SECONDS = 2.0
# A replacement of targets in a long backoff may be ready before it ends.
MAX_BACKOFF_RETRY_SECONDS = 30.0
# The part of the remaining backoff by which retries are spread out. Otherwise all
# callers who were refused during a backoff would return at its end.
BACKOFF_RETRY_SPREAD_PART = 0.5


def no_target_retry_seconds(
    deps: GatewayDeps,
    reason: NoTargetReason,
    service: str,
    homes: frozenset[str] | None,
) -> float:
    """Return the Retry-After of a call for which no target is available."""
    if reason is NoTargetReason.EVACUATED:
        return EVACUATED_RETRY_SECONDS
    if reason is NoTargetReason.IN_BACKOFF:
        return _backoff_retry_seconds(deps, service, homes)
    return RETRY_AFTER_SECONDS


def _backoff_retry_seconds(
    deps: GatewayDeps, service: str, homes: frozenset[str] | None
) -> float:
    """Return the Retry-After of a call whose targets are in backoff."""
    now_seconds = deps.now()
    end_seconds = deps.placement.candidates.backoff_end_seconds(
        service, now_seconds, homes
    )
    if end_seconds is None:
        return RETRY_AFTER_SECONDS
    remaining_seconds = min(end_seconds - now_seconds, MAX_BACKOFF_RETRY_SECONDS)
    latest_seconds = (1.0 + BACKOFF_RETRY_SPREAD_PART) * remaining_seconds
    return spread_retry_seconds(remaining_seconds, latest_seconds, deps.random)
