"""The cold targets that one router sees, and its permits to send them requests.

A target that has just started handles few requests a second from the whole fleet, and
crashes under more. Routers don't count each other's requests, so each may send a cold
target only what a replica has permitted; see ``cold_permits``. Without a permit it
sends nothing there, so messages that are lost or late can't break the bound.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from sesameford.discovery.heartbeat_table import (
    HeartbeatEntry,
    HeartbeatTable,
    short_name,
)
from sesameford.effective import ServiceSettings

# A permit is valid for this long from when its router requested it, by the router's own
# clock, so a delayed permit has expired on arrival.
PERMIT_VALID_SECONDS = 0.5


@dataclass(slots=True)
class ColdTargets:
    """The cold targets of a table; made by ``make_cold_targets``.

    ``requests_sent`` counts the requests for which a permit was used.
    """

    table: HeartbeatTable
    _services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    _restored_at_seconds: dict[str, float] = field(default_factory=dict)
    _restored_until_seconds: float = float("-inf")
    _permits: dict[int, float] = field(default_factory=dict)
    requests_sent: int = 0

    def configure(
        self,
        services: Mapping[str, ServiceSettings],
        restored: frozenset[str],
        now_seconds: float,
    ) -> None:
        """Apply new settings.

        Targets of a restored data centre may have become cold shortly before, and
        their heartbeats report that only later.

        Args:
            services: The settings in force, by service.
            restored: Data centres whose evacuation has just ended.
            now_seconds: The present time.
        """
        self._services = services
        max_cold_start_seconds = max(
            (one.cold_start_seconds for one in services.values()), default=0.0
        )
        for data_centre in restored:
            self._restored_at_seconds[data_centre] = now_seconds
            self._restored_until_seconds = now_seconds + max_cold_start_seconds

    def has_cold_targets(self, now_seconds: float) -> bool:
        """Return whether any target may be cold."""
        return now_seconds < max(
            self._restored_until_seconds, self.table.cold_until_seconds
        )

    def requests_per_second(
        self, entry: HeartbeatEntry, now_seconds: float
    ) -> float | None:
        """Return how many requests a second a cold target accepts, None if warm."""
        service = self._services.get(entry.row.service)
        if service is None or service.cold_requests_per_second is None:
            return None
        restored_at_seconds = self._restored_at_seconds.get(
            entry.row.data_centre, float("-inf")
        )
        until_seconds = max(
            entry.cold_until_seconds, restored_at_seconds + service.cold_start_seconds
        )
        return service.cold_requests_per_second if now_seconds < until_seconds else None

    def is_cold(self, entry: HeartbeatEntry, now_seconds: float) -> bool:
        """Return whether a target is cold."""
        return self.requests_per_second(entry, now_seconds) is not None

    def record_permits(
        self, names: Collection[int], requested_at_seconds: float, now_seconds: float
    ) -> None:
        """Store permits for one request to each of some targets.

        Args:
            names: The targets' short names.
            requested_at_seconds: When this router requested them.
            now_seconds: The present time.
        """
        until_seconds = requested_at_seconds + PERMIT_VALID_SECONDS
        if now_seconds < until_seconds:
            self._permits.update(dict.fromkeys(names, until_seconds))

    def has_permit(self, entry: HeartbeatEntry, now_seconds: float) -> bool:
        """Return whether this router has a valid permit for a target."""
        name = short_name(entry.row.target_id)
        return now_seconds < self._permits.get(name, float("-inf"))

    def record_sent(self, entry: HeartbeatEntry) -> None:
        """Record a request to a target, which uses up the permit."""
        self.requests_sent += 1
        self._permits.pop(short_name(entry.row.target_id), None)


def make_cold_targets(table: HeartbeatTable) -> ColdTargets:
    """Return the state before any tree is in force.

    Args:
        table: The targets.
    """
    return ColdTargets(table)
