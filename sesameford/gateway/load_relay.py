"""What one replica that adds up loads passes on to another that does so too.

Each router chooses by itself which replica it tells its loads. While one of them hears
another replica than the rest, or has passed the first one over for some late answers,
two add up at one time. Each from its own routers alone would hold what the other hears
for nothing under way and nothing asked: customers behind a few routers were let in
without a limit, and got twice what all others got. So both pass on what they are told,
and both add up the same.

It is noticed in ``shares limited`` lines of two replicas in one second, which then name
the same number of routers.
"""

from collections.abc import Collection

from sesameford.gateway.fleet_load import REPORT_VALID_SECONDS
from sesameford.messages import LoadsPassedOn, Outgoing, RouterLoad

# One that was not heard for so long adds up no more: as long as a report counts.
ADDS_UP_SECONDS = REPORT_VALID_SECONDS


class LoadRelay:
    """The loads that came here since they were passed on last, and other adders."""

    def __init__(self) -> None:
        self._loads: dict[str, RouterLoad] = {}
        self._heard_at_seconds: dict[str, float] = {}

    def told(self, load: RouterLoad) -> None:
        """Keep what a router told here."""
        self._loads[load.router_id] = load

    def heard(self, sender_id: str, now_seconds: float) -> None:
        """Note a replica that adds up."""
        self._heard_at_seconds[sender_id] = now_seconds

    def pass_on(
        self, other_replicas: Collection[str], hears_all: bool, now_seconds: float
    ) -> list[Outgoing]:
        """Return what a replica that adds up tells the others, and begin anew.

        One that adds up is told the loads. The others are only told, while not all
        routers are heard here, that there is one more that adds up; whoever hears the
        missing routers answers with their loads. So in a calm fleet, where one replica
        hears all, nothing is sent.

        Args:
            other_replicas: Those that live, without this one.
            hears_all: Whether all routers that live tell their loads here.
            now_seconds: The present time.
        """
        loads, self._loads = tuple(self._loads.values()), {}
        outgoing = []
        for replica_id in other_replicas:
            adds_up = self._adds_up(replica_id, now_seconds)
            if adds_up or not hears_all:
                message = LoadsPassedOn(loads if adds_up else ())
                outgoing.append(Outgoing(replica_id, message, urgent=True))
        return outgoing

    def _adds_up(self, replica_id: str, now_seconds: float) -> bool:
        heard_at_seconds = self._heard_at_seconds.get(replica_id, float("-inf"))
        return now_seconds - heard_at_seconds < ADDS_UP_SECONDS


def make_load_relay() -> LoadRelay:
    """Return a relay that has been told nothing."""
    return LoadRelay()
