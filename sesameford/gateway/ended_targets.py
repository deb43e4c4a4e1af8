"""Targets that have ended without an announcement, as one router found out.

Their rows stay in the table as ready until the time of their heartbeats is up, and a
successor may have their addresses meanwhile. Calls sent there would be refused.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from sesameford.discovery.heartbeat_table import HeartbeatEntry

# A heartbeat may be delayed, so one that arrives within this time after the end of its
# target was observed may have been sent before it.
DELAYED_HEARTBEAT_SECONDS = 3.0
# A router that is cut off from the replicas would never hear that a target runs again.
MAX_EXCLUSION_SECONDS = 10.0


@dataclass(slots=True)
class EndedTargets:
    """When incarnations ended, in seconds; made by ``make_ended_targets``."""

    _ended_at: dict[tuple[str, int], float] = field(default_factory=dict)

    def record(self, target_id: str, incarnation: int, now_seconds: float) -> None:
        """Add an incarnation that ended."""
        self._ended_at[target_id, incarnation] = now_seconds

    def running(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return the given targets except those that ended."""
        if not self._ended_at:
            return found
        return [entry for entry in found if not self._has_ended(entry, now_seconds)]

    def forget(self, known_ids: Container[str]) -> None:
        """Delete the ends of targets that the table no longer contains."""
        for target_id, incarnation in list(self._ended_at):
            if target_id not in known_ids:
                del self._ended_at[target_id, incarnation]

    def _has_ended(self, entry: HeartbeatEntry, now_seconds: float) -> bool:
        ended_at = self._ended_at.get((entry.row.target_id, entry.row.incarnation))
        if ended_at is None or now_seconds >= ended_at + MAX_EXCLUSION_SECONDS:
            return False
        return entry.last_seen_at_seconds < ended_at + DELAYED_HEARTBEAT_SECONDS


def make_ended_targets() -> EndedTargets:
    """Return the state of a router that has seen no target end."""
    return EndedTargets()
