"""The timing of a router's load reports, and the age of the fleet's sums there."""

from sesameford.load_messages import FleetLoad, TargetLoad

# A router's report, and the fleet's sums at a router, expire after this time.
REPORT_VALID_SECONDS = 1.6
# The interval of reports of changed loads while few routers report to one replica. An
# engine reads some thousand tokens in this time, so routers err by as much.
REPORT_SECONDS = 0.02
# With more routers the interval grows, so that their replica receives at most some five
# hundred messages a second.
REPORT_INTERVAL_SECONDS_PER_ROUTER = 0.002
# A router reports at least this often, which shows that it is live, and is answered as
# often.
MAX_REPORT_INTERVAL_SECONDS = 0.2


class LoadReport:
    """When a router's next report is due, and when it received sums last."""

    def __init__(self) -> None:
        self.routers = 1
        self._direct_routers = 1
        self._last_target_loads: tuple[TargetLoad, ...] = ()
        self._next_seconds = 0.0
        self._at_latest_seconds = 0.0
        self._last_seen_at_seconds = float("-inf")
        self.whole_at_seconds = float("-inf")

    def may_report(self, now_seconds: float) -> bool:
        """Return whether a report may be due, before its content is computed."""
        return now_seconds >= min(self._next_seconds, self._at_latest_seconds)

    def is_due(self, target_loads: tuple[TargetLoad, ...], now_seconds: float) -> bool:
        """Return whether the load has changed or the longest interval is over.

        Args:
            target_loads: This router's load at each target.
            now_seconds: The present time.
        """
        return (
            now_seconds >= self._at_latest_seconds
            or target_loads != self._last_target_loads
        )

    def record_report(
        self, target_loads: tuple[TargetLoad, ...], now_seconds: float
    ) -> None:
        """Record that a report is sent now."""
        self._last_target_loads = target_loads
        self._next_seconds = now_seconds + report_interval_seconds(self._direct_routers)
        self._at_latest_seconds = now_seconds + self.max_report_interval_seconds()

    def record_fleet_load(self, fleet: FleetLoad, now_seconds: float) -> None:
        """Record that the sums of the fleet have arrived."""
        if fleet.is_whole:
            self.routers = max(fleet.routers, 1)
            self.whole_at_seconds = now_seconds
        else:
            # Others may be missing from it, but those that it counts are there.
            self.routers = max(fleet.routers, self.routers)
        self._direct_routers = max(fleet.direct_routers, 1)
        self._last_seen_at_seconds = now_seconds

    def is_isolated(self, now_seconds: float) -> bool:
        """Return whether the sums have expired: no replica is reachable."""
        return self.age_seconds(now_seconds) > REPORT_VALID_SECONDS

    def age_seconds(self, now_seconds: float) -> float:
        """Return the age of the fleet's sums at this router."""
        return now_seconds - self._last_seen_at_seconds

    def max_report_interval_seconds(self) -> float:
        """Return the interval of reports while the load does not change."""
        return max_report_interval_seconds(self._direct_routers)


def report_interval_seconds(direct_routers: int) -> float:
    """Return the interval of reports to a replica, and of its answers, on changes.

    Args:
        direct_routers: How many routers report to it.
    """
    return max(REPORT_SECONDS, REPORT_INTERVAL_SECONDS_PER_ROUTER * direct_routers)


def max_report_interval_seconds(direct_routers: int) -> float:
    """Return the interval of reports and answers without changes.

    In a large fleet it is as long as the interval with changes. Otherwise most messages
    that a replica receives would be reports of idle routers.
    """
    return max(MAX_REPORT_INTERVAL_SECONDS, report_interval_seconds(direct_routers))


def make_load_report() -> LoadReport:
    """Return the state of a router that has reported nothing yet."""
    return LoadReport()
