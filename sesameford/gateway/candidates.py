"""Determines which targets of a service a request may be sent to.

Targets in evacuated data centres and outside the request's home regions are excluded,
so are those that ended, requested backoff or announced a drain, and cold targets need a
permit. The choice among the others is made in ``placement``.
"""

import logging
from collections.abc import Callable, Collection, Mapping
from enum import StrEnum
from itertools import chain

from sesameford.discovery.heartbeat_table import (
    HeartbeatEntry,
    HeartbeatTable,
    short_name,
)
from sesameford.effective import EffectiveTree
from sesameford.gateway.cold_targets import make_cold_targets
from sesameford.gateway.ended_targets import make_ended_targets
from sesameford.gateway.target_notices import make_target_notices
from sesameford.tables import TargetState

logger = logging.getLogger(__name__)


class NoTargetReason(StrEnum):
    """Why no target is available for a request."""

    NO_TARGET = "no-target"
    NOT_AT_HOME = "no-target-at-home"
    EVACUATED = "targets-evacuated"
    COLD = "targets-cold"
    IN_BACKOFF = "targets-in-backoff"
    DRAINING = "targets-draining"


class Candidates:
    """The targets of a table that may get work, by service.

    Args:
        table: The targets and their heartbeats.
        regions: The region of each data centre.
        on_restarted: Called with the id of a target that restarted under it.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        regions: Mapping[str, str],
        on_restarted: Callable[[str], None],
    ) -> None:
        self.cold = make_cold_targets(table)
        self.notices = make_target_notices()
        self.ended = make_ended_targets()
        self._table = table
        self._regions = regions
        self._on_restarted = on_restarted
        self._incarnations: dict[str, int] = {}
        self._by_service: dict[str, list[HeartbeatEntry]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._indexed_changes = -1

    def configure(self, tree: EffectiveTree, now_seconds: float) -> bool:
        """Apply a tree that comes into force; return whether evacuations changed."""
        evacuated = tree.evacuated_data_centres
        restored = self._evacuated - evacuated
        self.cold.configure(tree.services, restored, now_seconds)
        if evacuated == self._evacuated:
            return False
        for data_centre in evacuated - self._evacuated:
            logger.info("evacuation in force", extra={"data_centre": data_centre})
        for data_centre in restored:
            logger.info("evacuation ended", extra={"data_centre": data_centre})
        self._evacuated = evacuated
        self._indexed_changes = -1
        return True

    def of_service(
        self,
        service: str,
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> list[HeartbeatEntry]:
        """Return the targets of a service that may get work.

        Args:
            service: The service.
            now_seconds: The present time.
            homes: The regions in which they may be, None for all.
        """
        running = self.ended.running(self.listed(service, homes), now_seconds)
        return self.notices.accepting(running, now_seconds)

    def listed(
        self, service: str, homes: frozenset[str] | None = None
    ) -> list[HeartbeatEntry]:
        """Return the targets of a service, in backoff and draining ones included."""
        self._refresh_index()
        return self._at_home(self._by_service.get(service, []), homes)

    def notice_reason(
        self, service: str, now_seconds: float, homes: frozenset[str] | None = None
    ) -> NoTargetReason | None:
        """Return why all targets of a service reject work, None if some accept it.

        Only for notices of the targets themselves; None also if there is no target.

        Args:
            service: The service.
            now_seconds: The present time.
            homes: The regions in which they may be, None for all.
        """
        if self.notices.is_empty():
            return None
        listed = self.ended.running(self.listed(service, homes), now_seconds)
        if not listed or self.notices.accepting(listed, now_seconds):
            return None
        if self.notices.earliest_end_seconds(listed, now_seconds) is None:
            return NoTargetReason.DRAINING
        return NoTargetReason.IN_BACKOFF

    def backoff_end_seconds(
        self, service: str, now_seconds: float, homes: frozenset[str] | None = None
    ) -> float | None:
        """Return when the first target of a service leaves backoff, None if unknown."""
        return self.notices.earliest_end_seconds(
            self.listed(service, homes), now_seconds
        )

    def accepting_part(self, services: Collection[str], now_seconds: float) -> float:
        """Return the part of some services' targets that accept work of this router."""
        if self.notices.is_empty():
            return 1.0
        listed = list(chain.from_iterable(map(self.listed, services)))
        accepting = self.notices.accepting(listed, now_seconds)
        return len(accepting) / len(listed) if listed else 1.0

    def permitted(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return the given targets except cold ones without a permit."""
        if not self.cold.has_cold_targets(now_seconds):
            return found
        return [
            entry
            for entry in found
            if not self.cold.is_cold(entry, now_seconds)
            or self.cold.has_permit(entry, now_seconds)
        ]

    def warm(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return the given targets except cold ones."""
        if not self.cold.has_cold_targets(now_seconds):
            return found
        return [entry for entry in found if not self.cold.is_cold(entry, now_seconds)]

    def cold_ids(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> frozenset[str]:
        """Return the ids of the cold ones among the given targets."""
        if not self.cold.has_cold_targets(now_seconds):
            return frozenset()
        return frozenset(
            entry.row.target_id
            for entry in found
            if self.cold.is_cold(entry, now_seconds)
        )

    def cold_rates(self, now_seconds: float) -> dict[int, float]:
        """Return the requests a second that cold targets accept, by short name.

        Only of cold targets that may get work.
        """
        rates = {}
        for entry in self._cold_targets(now_seconds):
            requests_per_second = self.cold.requests_per_second(entry, now_seconds)
            if requests_per_second is not None:
                rates[short_name(entry.row.target_id)] = requests_per_second
        return rates

    def lacks_permits(self, now_seconds: float) -> bool:
        """Return whether this router has no permit for some cold target."""
        return any(
            not self.cold.has_permit(entry, now_seconds)
            for entry in self._cold_targets(now_seconds)
        )

    def use_permit(self, entry: HeartbeatEntry, now_seconds: float) -> bool:
        """Use a permit if the target of a request is cold; return whether it is."""
        is_cold = self.cold.has_cold_targets(now_seconds) and self.cold.is_cold(
            entry, now_seconds
        )
        if is_cold:
            self.cold.record_sent(entry)
        return is_cold

    def no_target_reason(
        self,
        service: str,
        tried: frozenset[str],
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> NoTargetReason:
        """Return why no target is available for a request.

        Args:
            service: The service that it is for.
            tried: Targets that it was already sent to.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
        """
        ready = self._ready_targets((service,))
        at_home = self._at_home(ready, homes)
        if ready and not at_home:
            return NoTargetReason.NOT_AT_HOME
        untried = [entry for entry in at_home if entry.row.target_id not in tried]
        if untried and all(
            target.row.data_centre in self._evacuated for target in untried
        ):
            return NoTargetReason.EVACUATED
        if any(self.cold.is_cold(entry, now_seconds) for entry in untried):
            return NoTargetReason.COLD
        of_notices = self.notice_reason(service, now_seconds, homes)
        return of_notices or NoTargetReason.NO_TARGET

    def may_have_version(
        self, service: str, version: str, homes: frozenset[str] | None = None
    ) -> bool:
        """Return whether a target of a version may accept work later.

        Args:
            service: The service.
            version: The software version.
            homes: The regions in which it may be, None for all.
        """
        at_home = self._at_home(self._ready_targets((service,)), homes)
        return any(has_version(entry, version) for entry in at_home)

    def available_part(self, services: Collection[str], now_seconds: float) -> float:
        """Return the part of the targets of some services that accept work normally.

        Those in evacuated data centres get none, and cold ones almost none.
        """
        if not self._evacuated and not self.cold.has_cold_targets(now_seconds):
            return 1.0
        ready = len(self._ready_targets(services))
        available = sum(
            len(self.warm(self.of_service(service, now_seconds), now_seconds))
            for service in services
        )
        return available / ready if ready else 1.0

    def _ready_targets(self, services: Collection[str]) -> list[HeartbeatEntry]:
        """Return the ready targets of some services, evacuated ones included."""
        return [
            entry
            for entry in self._table.entries.values()
            if entry.row.service in services and entry.row.state is TargetState.READY
        ]

    def _cold_targets(self, now_seconds: float) -> list[HeartbeatEntry]:
        """Return the cold targets that may get work."""
        if not self.cold.has_cold_targets(now_seconds):
            return []
        self._refresh_index()
        found = chain.from_iterable(self._by_service.values())
        return [entry for entry in found if self.cold.is_cold(entry, now_seconds)]

    def _at_home(
        self, found: list[HeartbeatEntry], homes: frozenset[str] | None
    ) -> list[HeartbeatEntry]:
        """Return the targets in some regions; those of unknown regions are in none."""
        if homes is None:
            return found
        return [
            entry
            for entry in found
            if self._regions.get(entry.row.data_centre) in homes
        ]

    def _refresh_index(self) -> None:
        if self._indexed_changes == self._table.changes:
            return
        self._indexed_changes = self._table.changes
        self._by_service = {}
        for entry in self._table.entries.values():
            self._record_incarnation(entry)
            is_evacuated = entry.row.data_centre in self._evacuated
            if entry.row.state is TargetState.READY and not is_evacuated:
                self._by_service.setdefault(entry.row.service, []).append(entry)

    def _record_incarnation(self, entry: HeartbeatEntry) -> None:
        target_id, incarnation = entry.row.target_id, entry.row.incarnation
        if incarnation > self._incarnations.setdefault(target_id, incarnation):
            self._incarnations[target_id] = incarnation
            self._on_restarted(target_id)


def has_version(entry: HeartbeatEntry, version: str) -> bool:
    """Return whether a target runs a software version.

    An unknown version, which is empty, equals none.
    """
    return bool(version) and entry.row.software_version == version


def make_candidates(
    table: HeartbeatTable,
    regions: Mapping[str, str],
    on_restarted: Callable[[str], None],
) -> Candidates:
    """Return the candidates before a tree is in force; see ``Candidates``."""
    return Candidates(table, regions, on_restarted)
