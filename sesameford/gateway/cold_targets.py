"""Which targets are cold, as one router sees it, and what it may send them.

A target that has just started takes few requests in a second from the whole fleet,
and ends again under more. Routers don't count each other's requests, so each may send
a cold target only what a replica has permitted it; see ``cold_permits``. Without a
permit nothing is sent there, so what a router does not hear can't break the bound.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from sesameford.discovery.heartbeat_table import (
    HeartbeatEntry,
    HeartbeatTable,
    short_name,
)
from sesameford.effective import ServiceSettings

# A permit counts for so long from when its router asked, by the router's own clock, so
# one that was held up on its way is worth nothing.
PERMIT_SECONDS = 0.5


@dataclass(slots=True)
class ColdTargets:
    """The cold ones among a table's targets; made by ``make_cold_targets``.

    ``requests_sent`` counts the requests for which a permit was used.
    """

    table: HeartbeatTable
    _services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    _restored_at_seconds: dict[str, float] = field(default_factory=dict)
    _until_seconds: float = float("-inf")
    _permits: dict[int, float] = field(default_factory=dict)
    requests_sent: int = 0

    def configure(
        self,
        services: Mapping[str, ServiceSettings],
        restored: frozenset[str],
        now_seconds: float,
    ) -> None:
        """Take services that come into force, and data centres just restored.

        Targets of a data centre that is restored may have grown cold shortly
        before, and their heartbeats say so only later.
        """
        self._services = services
        longest_seconds = max(
            (one.cold_start_seconds for one in services.values()), default=0.0
        )
        for data_centre in restored:
            self._restored_at_seconds[data_centre] = now_seconds
            self._until_seconds = now_seconds + longest_seconds

    def are_any(self, now_seconds: float) -> bool:
        """Return whether any target can be cold."""
        return now_seconds < max(self._until_seconds, self.table.cold_until_seconds)

    def rate_requests(self, known: HeartbeatEntry, now_seconds: float) -> float | None:
        """Return what a target takes in a second; None if it is not cold."""
        service = self._services.get(known.row.service)
        if service is None or service.cold_requests_per_second is None:
            return None
        restored_at_seconds = self._restored_at_seconds.get(
            known.row.data_centre, float("-inf")
        )
        until_seconds = max(
            known.cold_until_seconds, restored_at_seconds + service.cold_start_seconds
        )
        return service.cold_requests_per_second if now_seconds < until_seconds else None

    def is_cold(self, known: HeartbeatEntry, now_seconds: float) -> bool:
        """Return whether a target is cold."""
        return self.rate_requests(known, now_seconds) is not None

    def take(
        self, names: Collection[int], asked_at_seconds: float, now_seconds: float
    ) -> None:
        """Take permits for one request to each of some targets.

        Args:
            names: The targets' short names.
            asked_at_seconds: When this router asked for them.
            now_seconds: The present time.
        """
        until_seconds = asked_at_seconds + PERMIT_SECONDS
        if now_seconds < until_seconds:
            self._permits.update(dict.fromkeys(names, until_seconds))

    def may_send(self, known: HeartbeatEntry, now_seconds: float) -> bool:
        """Return whether there is a permit for a target."""
        name = short_name(known.row.target_id)
        return now_seconds < self._permits.get(name, float("-inf"))

    def sent(self, known: HeartbeatEntry) -> None:
        """Use up the permit for a target."""
        self.requests_sent += 1
        self._permits.pop(short_name(known.row.target_id), None)


def make_cold_targets(table: HeartbeatTable) -> ColdTargets:
    """Return what is known of cold targets before any tree is in force.

    Args:
        table: The targets.
    """
    return ColdTargets(table)
