"""Which targets of a service a request may go to, before any is preferred.

Not those of evacuated data centres or of other regions than the request's homes, and
cold ones only with a permit.
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
from sesameford.tables import TargetState

logger = logging.getLogger(__name__)


class Nowhere(StrEnum):
    """Why a request has no target to go to."""

    NO_TARGET = "no-target"
    NOT_AT_HOME = "no-target-at-home"
    EVACUATED = "targets-evacuated"
    COLD = "targets-cold"


class Candidates:
    """The targets of a table, by service, as far as they may get work.

    Args:
        table: The targets.
        regions: The region of each data centre.
        restarted: Called with the id of a target that has started again under it.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        regions: Mapping[str, str],
        restarted: Callable[[str], None],
    ) -> None:
        self.cold = make_cold_targets(table)
        self._table = table
        self._regions = regions
        self._restarted = restarted
        self._incarnations: dict[str, int] = {}
        self._by_service: dict[str, list[HeartbeatEntry]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._seen_changes = -1

    def configure(self, tree: EffectiveTree, now_seconds: float) -> bool:
        """Take a tree that comes into force; return whether evacuations changed."""
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
        self._seen_changes = -1
        return True

    def of_service(
        self, service: str, homes: frozenset[str] | None = None
    ) -> list[HeartbeatEntry]:
        """Return the targets of a service that get work.

        Args:
            service: The service.
            homes: The regions in which they may be, None for all.
        """
        self._refresh()
        return self._at_home(self._by_service.get(service, []), homes)

    def permitted(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return those of some targets that one more request may be sent to."""
        if not self.cold.are_any(now_seconds):
            return found
        return [
            known
            for known in found
            if not self.cold.is_cold(known, now_seconds)
            or self.cold.may_send(known, now_seconds)
        ]

    def warm(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> list[HeartbeatEntry]:
        """Return those of some targets that are not cold."""
        if not self.cold.are_any(now_seconds):
            return found
        return [known for known in found if not self.cold.is_cold(known, now_seconds)]

    def cold_ids(
        self, found: list[HeartbeatEntry], now_seconds: float
    ) -> frozenset[str]:
        """Return the ids of those of some targets that are cold."""
        if not self.cold.are_any(now_seconds):
            return frozenset()
        return frozenset(
            known.row.target_id
            for known in found
            if self.cold.is_cold(known, now_seconds)
        )

    def cold_rates_requests(self, now_seconds: float) -> dict[int, float]:
        """Return what each cold target that gets work takes a second, by short name."""
        rates = {}
        for known in self._cold(now_seconds):
            rate_requests = self.cold.rate_requests(known, now_seconds)
            if rate_requests is not None:
                rates[short_name(known.row.target_id)] = rate_requests
        return rates

    def lacks_permits(self, now_seconds: float) -> bool:
        """Return whether there is a cold target that nothing may be sent to."""
        return any(
            not self.cold.may_send(known, now_seconds)
            for known in self._cold(now_seconds)
        )

    def use_permit(self, known: HeartbeatEntry, now_seconds: float) -> bool:
        """Use up the permit that a request needs, and return whether it needs one."""
        is_cold = self.cold.are_any(now_seconds) and self.cold.is_cold(
            known, now_seconds
        )
        if is_cold:
            self.cold.sent(known)
        return is_cold

    def why_nowhere(
        self,
        service: str,
        tried: frozenset[str],
        now_seconds: float,
        homes: frozenset[str] | None = None,
    ) -> Nowhere:
        """Return why there is no target for a request.

        Args:
            service: The service it is for.
            tried: Targets that had it already.
            now_seconds: The present time.
            homes: The regions in which it may run, None for all.
        """
        ready = self._ready((service,))
        at_home = self._at_home(ready, homes)
        if ready and not at_home:
            return Nowhere.NOT_AT_HOME
        left = [known for known in at_home if known.row.target_id not in tried]
        if left and all(one.row.data_centre in self._evacuated for one in left):
            return Nowhere.EVACUATED
        if any(self.cold.is_cold(known, now_seconds) for known in left):
            return Nowhere.COLD
        return Nowhere.NO_TARGET

    def available_part(self, services: Collection[str], now_seconds: float) -> float:
        """Return the part of the targets of some services that take work as usual.

        Those of evacuated data centres get none, and cold ones next to none.
        """
        if not self._evacuated and not self.cold.are_any(now_seconds):
            return 1.0
        ready = len(self._ready(services))
        available = sum(
            len(self.warm(self.of_service(service), now_seconds))
            for service in services
        )
        return available / ready if ready else 1.0

    def _ready(self, services: Collection[str]) -> list[HeartbeatEntry]:
        """Return the targets of some services, those of evacuated data centres too."""
        return [
            known
            for known in self._table.entries.values()
            if known.row.service in services and known.row.state is TargetState.READY
        ]

    def _cold(self, now_seconds: float) -> list[HeartbeatEntry]:
        """Return the cold targets that get work."""
        if not self.cold.are_any(now_seconds):
            return []
        self._refresh()
        found = chain.from_iterable(self._by_service.values())
        return [known for known in found if self.cold.is_cold(known, now_seconds)]

    def _at_home(
        self, found: list[HeartbeatEntry], homes: frozenset[str] | None
    ) -> list[HeartbeatEntry]:
        """Return the targets in some regions; one of an unknown region is in none."""
        if homes is None:
            return found
        return [
            known
            for known in found
            if self._regions.get(known.row.data_centre) in homes
        ]

    def _refresh(self) -> None:
        if self._seen_changes == self._table.changes:
            return
        self._seen_changes = self._table.changes
        self._by_service = {}
        for known in self._table.entries.values():
            self._note_incarnation(known)
            is_evacuated = known.row.data_centre in self._evacuated
            if known.row.state is TargetState.READY and not is_evacuated:
                self._by_service.setdefault(known.row.service, []).append(known)

    def _note_incarnation(self, known: HeartbeatEntry) -> None:
        target_id, incarnation = known.row.target_id, known.row.incarnation
        if incarnation > self._incarnations.setdefault(target_id, incarnation):
            self._incarnations[target_id] = incarnation
            self._restarted(target_id)


def make_candidates(
    table: HeartbeatTable, regions: Mapping[str, str], restarted: Callable[[str], None]
) -> Candidates:
    """Return the candidates before any tree is in force; see ``Candidates``."""
    return Candidates(table, regions, restarted)
