"""Which replica a router reports its loads to: the one that adds up for it."""

from collections.abc import Collection
from dataclasses import dataclass, field

from sesameford.load_messages import FleetLoad

# From so many routers on each reports to a replica of its own data centre. Fewer report
# to one for all: its sums are as old as one message, with no exchange in between.
NEAR_FROM_ROUTERS = 25
# Sums lack a part of the fleet if they lack more than this part of its routers.
MISSING_PART = 0.05
# While the replicas are cut from each other no near one can add up all routers, though
# routers reach all of them: by the sums of a part a customer gets less the fewer of its
# routers are in that part. So once sums have lacked a part of the fleet for so long,
# routers report to one replica for all, and try their own again after a while.
MISSING_SECONDS = 0.6
COMMON_SECONDS = 5.0
# A replica that has fallen silent is passed over for so long; it may only be slow.
PASSED_OVER_SECONDS = 2.0
# One that has just been heard again has started or woken, and does not know all routers
# for the first one and a half seconds. Meanwhile another one's sums are better.
NEWLY_HEARD_SECONDS = 2.0


@dataclass(slots=True)
class AggregatorChoice:
    """The replica chosen last, and those that are passed over."""

    chosen: str | None = None
    _is_large: bool = False
    _missing_since_seconds: float | None = None
    _common_until_seconds: float = float("-inf")
    _unanswered_since_seconds: float | None = None
    _passed_over_until: dict[str, float] = field(default_factory=dict)
    _heard_since_seconds: dict[str, float] = field(default_factory=dict)

    def heard(self, sender_id: str, fleet: FleetLoad, now_seconds: float) -> None:
        """Take what the sums of a replica say of itself."""
        self._passed_over_until.pop(sender_id, None)
        if sender_id != self.chosen:
            return
        self._unanswered_since_seconds = now_seconds
        self._is_large = fleet.routers >= NEAR_FROM_ROUTERS
        if fleet.known_routers >= (1 - MISSING_PART) * fleet.routers:
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
        """Return whom to report to.

        All routers that hear the same replicas choose the same, or the same in their
        data centre.

        Args:
            replicas: Those that are heard.
            near_replicas: Those of them in the own data centre.
            silent_seconds: One that was sent something and has answered nothing for so
                long is passed over.
            now_seconds: The present time.
        """
        since_seconds = self._unanswered_since_seconds
        is_silent = (
            since_seconds is not None and now_seconds - since_seconds > silent_seconds
        )
        if self.chosen is not None and is_silent:
            self._passed_over_until[self.chosen] = now_seconds + PASSED_OVER_SECONDS
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
        """Return the first that answers and is known for a while, near ones first."""
        preferred = () if self._is_common(now_seconds) else near_replicas
        answering = [
            one
            for one in replicas
            if self._passed_over_until.get(one, 0.0) <= now_seconds
        ]
        known = self._known(answering, replicas, now_seconds)
        for candidates in (known, answering, replicas):
            near = [one for one in candidates if one in preferred]
            if near or candidates:
                return min(near or candidates)
        return None

    def _is_common(self, now_seconds: float) -> bool:
        """Return whether to report to one replica for all data centres."""
        if not self._is_large:
            return True
        since_seconds = self._missing_since_seconds
        if since_seconds is not None and now_seconds - since_seconds > MISSING_SECONDS:
            self._common_until_seconds = now_seconds + COMMON_SECONDS
        return now_seconds < self._common_until_seconds

    def _known(
        self, answering: Collection[str], replicas: Collection[str], now_seconds: float
    ) -> list[str]:
        """Return the one chosen before, and those that have been heard for a while.

        Of those that are heard first none is newer than the others.
        """
        is_first = not self._heard_since_seconds
        new_since_seconds = float("-inf") if is_first else now_seconds
        self._heard_since_seconds = {
            one: self._heard_since_seconds.get(one, new_since_seconds)
            for one in replicas
        }
        return [
            one
            for one in answering
            if one == self.chosen
            or now_seconds - self._heard_since_seconds[one] >= NEWLY_HEARD_SECONDS
        ]


def make_aggregator_choice() -> AggregatorChoice:
    """Return the choice of a router that has reported to nobody yet."""
    return AggregatorChoice()
