"""What a router reports of its work, and what it knows of the fleet's."""

from sesameford.load_messages import FleetLoad, TargetLoad

# What a router reports, and what it is sent of the fleet, counts for so long.
REPORT_VALID_SECONDS = 1.6
# What changed is reported this often while few routers report to one replica. An engine
# reads some thousand tokens meanwhile, which is what routers can err by.
REPORT_SECONDS = 0.02
# More routers report less often, so that their replica gets at most some five hundred
# messages a second.
REPORT_SECONDS_A_ROUTER = 0.002
# A router reports at least this often, so that it is counted as living, and is answered
# as often.
AT_LEAST_SECONDS = 0.2


class LoadReport:
    """When a router reports next, and the newest sums that it was sent."""

    def __init__(self) -> None:
        self.routers = 1
        self._direct_routers = 1
        self._last_places: tuple[TargetLoad, ...] = ()
        self._next_seconds = 0.0
        self._at_latest_seconds = 0.0
        self._last_seen_at_seconds = float("-inf")

    def may_report(self, now_seconds: float) -> bool:
        """Return whether a report can be due, before anything is worked out for it."""
        return now_seconds >= min(self._next_seconds, self._at_latest_seconds)

    def is_due(self, places: tuple[TargetLoad, ...], now_seconds: float) -> bool:
        """Return whether there is something to report.

        Args:
            places: What is under way here.
            now_seconds: The present time.
        """
        return now_seconds >= self._at_latest_seconds or places != self._last_places

    def reported(self, places: tuple[TargetLoad, ...], now_seconds: float) -> None:
        """Note that a report leaves now."""
        self._last_places = places
        self._next_seconds = now_seconds + report_seconds(self._direct_routers)
        self._at_latest_seconds = now_seconds + self.at_least_seconds()

    def heard(self, fleet: FleetLoad, now_seconds: float) -> None:
        """Note that the sums of the fleet have come."""
        if fleet.is_whole:
            self.routers = max(fleet.routers, 1)
        self._direct_routers = max(fleet.direct_routers, 1)
        self._last_seen_at_seconds = now_seconds

    def is_alone(self, now_seconds: float) -> bool:
        """Return whether a router has had no sums for so long that it is cut off."""
        return self.age_seconds(now_seconds) > REPORT_VALID_SECONDS

    def age_seconds(self, now_seconds: float) -> float:
        """Return how old the sums of the fleet are at this router."""
        return now_seconds - self._last_seen_at_seconds

    def at_least_seconds(self) -> float:
        """Return how often something is reported in any case."""
        return at_least_seconds(self._direct_routers)


def report_seconds(direct_routers: int) -> float:
    """Return how often what changed is reported to a replica, and is sent back.

    Args:
        direct_routers: How many routers report to it.
    """
    return max(REPORT_SECONDS, REPORT_SECONDS_A_ROUTER * direct_routers)


def at_least_seconds(direct_routers: int) -> float:
    """Return how often something is reported and sent back in any case.

    In a large fleet no more often than what changed: reports of routers that are idle
    would else be most of what a replica gets.
    """
    return max(AT_LEAST_SECONDS, report_seconds(direct_routers))


def make_load_report() -> LoadReport:
    """Return the reporting of a router that has reported nothing yet."""
    return LoadReport()
