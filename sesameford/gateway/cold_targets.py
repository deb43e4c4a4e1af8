"""Which targets are cold, as one router sees it, and what it may send them.

A target that has just started takes few requests in a second from the whole fleet,
and ends again under more. Routers don't count each other's requests, so each may send
a cold target only what a replica has permitted it; see ``cold_permits``. Without a
permit nothing is sent there, so what a router does not hear can't break the bound.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from sesameford.discovery.beat_table import BeatTable, KnownTarget, short_name
from sesameford.effective import ServiceSettings
from sesameford.tables import TargetState

# A permit counts for so long from when its router asked, by the router's own clock, so
# one that was held up on its way is worth nothing.
PERMIT_SECONDS = 0.5


@dataclass(slots=True)
class ColdTargets:
    """The cold ones among a table's targets; made by ``make_cold_targets``.

    ``requests_sent`` counts the requests for which a permit was used.
    """

    table: BeatTable
    _services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    _evacuated: frozenset[str] = frozenset()
    _restored_at_seconds: dict[str, float] = field(default_factory=dict)
    _until_seconds: float = float("-inf")
    _permits: dict[int, float] = field(default_factory=dict)
    requests_sent: int = 0

    def configure(
        self,
        services: Mapping[str, ServiceSettings],
        evacuated: frozenset[str],
        now_seconds: float,
    ) -> None:
        """Take services and evacuated data centres that come into force.

        Targets of a data centre that is restored may have grown cold shortly
        before, and their heartbeats say so only later.
        """
        self._services = services
        longest_seconds = max(
            (one.cold_start_seconds for one in services.values()), default=0.0
        )
        for data_centre in self._evacuated - evacuated:
            self._restored_at_seconds[data_centre] = now_seconds
            self._until_seconds = now_seconds + longest_seconds
        self._evacuated = evacuated

    def are_any(self, now_seconds: float) -> bool:
        """Return whether any target can be cold."""
        return now_seconds < max(self._until_seconds, self.table.cold_until_seconds)

    def rate_requests(self, known: KnownTarget, now_seconds: float) -> float | None:
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

    def is_cold(self, known: KnownTarget, now_seconds: float) -> bool:
        """Return whether a target is cold."""
        return self.rate_requests(known, now_seconds) is not None

    def rates_requests(self, now_seconds: float) -> dict[int, float]:
        """Return what each cold target that may get work takes, by short name."""
        if not self.are_any(now_seconds):
            return {}
        rates = {}
        for known in self.table.known.values():
            if known.row.state is not TargetState.READY:
                continue
            if known.row.data_centre in self._evacuated:
                continue
            rate_requests = self.rate_requests(known, now_seconds)
            if rate_requests is not None:
                rates[short_name(known.row.target_id)] = rate_requests
        return rates

    def lacks_permits(self, now_seconds: float) -> bool:
        """Return whether there is a cold target that nothing may be sent to."""
        return any(
            not self._has_permit(name, now_seconds)
            for name in self.rates_requests(now_seconds)
        )

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

    def may_send(self, known: KnownTarget, now_seconds: float) -> bool:
        """Return whether there is a permit for a target."""
        return self._has_permit(short_name(known.row.target_id), now_seconds)

    def sent(self, known: KnownTarget) -> None:
        """Use up the permit for a target."""
        self.requests_sent += 1
        self._permits.pop(short_name(known.row.target_id), None)

    def _has_permit(self, name: int, now_seconds: float) -> bool:
        return now_seconds < self._permits.get(name, float("-inf"))


def make_cold_targets(table: BeatTable) -> ColdTargets:
    """Return what is known of cold targets before any tree is in force.

    Args:
        table: The targets.
    """
    return ColdTargets(table)
