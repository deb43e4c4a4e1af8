"""Choice of the replica that a router reports its loads to, its aggregator."""

from collections.abc import Collection
from dataclasses import dataclass, field

from sesameford.load_messages import FleetLoad

# From this number of routers on each reports to a replica of its own data centre. Fewer
# report to one common replica, whose sums are only one message old as they need no
# exchange between replicas.
LARGE_FLEET_ROUTERS = 25
# Sums count as incomplete if they lack more than this part of the fleet's routers.
MAX_MISSING_PART = 0.05
# During a partition between replicas no near one can sum all routers, though routers
# reach all replicas. By incomplete sums a customer gets less the fewer of its routers
# they contain. So after this time with incomplete sums routers report to one common
# replica, and for COMMON_REPLICA_SECONDS, before they try their near one again.
MAX_MISSING_SECONDS = 0.6
COMMON_REPLICA_SECONDS = 5.0
# A silent replica is not chosen for this time; it may only be slow.
EXCLUDED_SECONDS = 2.0
# A replica that is live again has started or resumed, and does not know all routers for
# the first one and a half seconds. Until then another one's sums are better.
NEWLY_LIVE_SECONDS = 2.0


@dataclass(slots=True)
class AggregatorChoice:
    """The replica chosen last, and the silent ones that are excluded for a while."""

    chosen: str | None = None
    _is_large: bool = False
    _missing_since_seconds: float | None = None
    _common_until_seconds: float = float("-inf")
    _unanswered_since_seconds: float | None = None
    _excluded_until_seconds: dict[str, float] = field(default_factory=dict)
    _live_since_seconds: dict[str, float] = field(default_factory=dict)

    def record_answer(
        self, sender_id: str, fleet: FleetLoad, now_seconds: float
    ) -> None:
        """Record that a replica sent sums, and whether these are complete."""
        self._excluded_until_seconds.pop(sender_id, None)
        if sender_id != self.chosen:
            return
        self._unanswered_since_seconds = now_seconds
        self._is_large = fleet.routers >= LARGE_FLEET_ROUTERS
        if fleet.known_routers >= (1 - MAX_MISSING_PART) * fleet.routers:
            self._missing_since_seconds = None
        elif self._missing_since_seconds is None:
            self._missing_since_seconds = now_seconds

    def choose(
        self,
        replicas: Collection[str],
        near_replicas: Collection[str],
        silent_seconds: float,
        now_seconds: float,
    ) -> str | None:
        """Return the replica to report to, None if none is live.

        All routers that see the same live replicas choose the same one, or the same one
        in their data centre.

        Args:
            replicas: The live replicas.
            near_replicas: Those of them in the own data centre.
            silent_seconds: A replica that has not answered reports for longer than this
                is excluded.
            now_seconds: The present time.
        """
        since_seconds = self._unanswered_since_seconds
        is_silent = (
            since_seconds is not None and now_seconds - since_seconds > silent_seconds
        )
        if self.chosen is not None and is_silent:
            self._excluded_until_seconds[self.chosen] = now_seconds + EXCLUDED_SECONDS
        chosen = self._best(replicas, near_replicas, now_seconds)
        if chosen != self.chosen or is_silent:
            self._unanswered_since_seconds = now_seconds
        if chosen != self.chosen:
            self._missing_since_seconds = None
        self.chosen = chosen
        return chosen

    def _best(
        self,
        replicas: Collection[str],
        near_replicas: Collection[str],
        now_seconds: float,
    ) -> str | None:
        """Return the lowest id, preferring answering, settled and near replicas."""
        preferred = () if self._uses_common_replica(now_seconds) else near_replicas
        answering = [
            one
            for one in replicas
            if self._excluded_until_seconds.get(one, 0.0) <= now_seconds
        ]
        settled = self._settled(answering, replicas, now_seconds)
        for candidates in (settled, answering, replicas):
            near = [one for one in candidates if one in preferred]
            if near or candidates:
                return min(near or candidates)
        return None

    def _uses_common_replica(self, now_seconds: float) -> bool:
        """Return whether to report to one common replica of all data centres."""
        if not self._is_large:
            return True
        since_seconds = self._missing_since_seconds
        if (
            since_seconds is not None
            and now_seconds - since_seconds > MAX_MISSING_SECONDS
        ):
            self._common_until_seconds = now_seconds + COMMON_REPLICA_SECONDS
        return now_seconds < self._common_until_seconds

    def _settled(
        self, answering: Collection[str], replicas: Collection[str], now_seconds: float
    ) -> list[str]:
        """Return the answering replicas that are not newly live, or already chosen.

        Replicas that are live at the first choice do not count as newly live.
        """
        is_first = not self._live_since_seconds
        new_since_seconds = float("-inf") if is_first else now_seconds
        self._live_since_seconds = {
            one: self._live_since_seconds.get(one, new_since_seconds)
            for one in replicas
        }
        return [
            one
            for one in answering
            if one == self.chosen
            or now_seconds - self._live_since_seconds[one] >= NEWLY_LIVE_SECONDS
        ]


def make_aggregator_choice() -> AggregatorChoice:
    """Return the choice of a router that has not reported yet."""
    return AggregatorChoice()
