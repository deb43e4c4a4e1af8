"""Which part of a fleet-wide allowance one router may use.

An allowance of the fleet, such as a number of retries in any ten seconds, is divided by
the number of routers. Nobody records who used how much: routers are killed with what
they know, and those on two sides of a partition know nothing of each other. So a part
is used only while nobody else can use it, or can have used it within the window:

- A router that has just started waits for a window, in which that counts which its
  predecessor used.
- The parts of routers that are gone are divided anew only after a window.
- A router without contact to most replicas uses none, as others may divide its part.
"""

from sesameford.gateway.load_report import REPORT_VALID_SECONDS

# A replica that a router has seen counts as one that exists for so long. A roster
# forgets it sooner, and then both sides of a long cut would have most of those left.
REPLICAS_MEMORY_SECONDS = 600.0
# A count of routers, and the retries sent by it, reach all others within this time.
SETTLING_SECONDS = 2.0


class RouterCensus:
    """The counts of live routers that reached one router lately.

    Args:
        window_seconds: The time over which allowances count.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._memory_seconds = window_seconds + SETTLING_SECONDS
        self._counted_since_seconds = float("inf")
        self._counted_at_seconds = float("-inf")
        self._last_counted_seconds: dict[int, float] = {}
        self._replicas_live_seconds: dict[int, float] = {}

    def record(self, routers: int, live_replicas: int, now_seconds: float) -> None:
        """Record a count of all live routers, unless most replicas are out of reach.

        Args:
            routers: How many there are, this one included.
            live_replicas: How many replicas this router is in contact with.
            now_seconds: The present time.
        """
        self._replicas_live_seconds[live_replicas] = now_seconds
        self._replicas_live_seconds = _remembered(
            self._replicas_live_seconds, REPLICAS_MEMORY_SECONDS, now_seconds
        )
        if 2 * live_replicas <= max(self._replicas_live_seconds):
            return
        if now_seconds - self._counted_at_seconds > self._window_seconds:
            # The others may have divided this router's part among themselves.
            self._counted_since_seconds = now_seconds
        self._counted_at_seconds = now_seconds
        self._last_counted_seconds[routers] = now_seconds
        self._last_counted_seconds = self._remembered_counts(now_seconds)

    def routers(self, now_seconds: float) -> int:
        """Return the largest count of the last window, 0 if there is none."""
        return max(self._remembered_counts(now_seconds), default=0)

    def usable_part(self, now_seconds: float) -> float:
        """Return the part of an allowance that this router may use now, 0 to 1."""
        if now_seconds - self._counted_at_seconds > REPORT_VALID_SECONDS:
            return 0.0
        if now_seconds - self._counted_since_seconds < self._memory_seconds:
            return 0.0
        return 1.0 / max(self.routers(now_seconds), 1)

    def _remembered_counts(self, now_seconds: float) -> dict[int, float]:
        return _remembered(
            self._last_counted_seconds, self._memory_seconds, now_seconds
        )


def _remembered(
    last_seconds: dict[int, float], memory_seconds: float, now_seconds: float
) -> dict[int, float]:
    """Return the numbers that were last seen within a time, and when that was."""
    return {
        number: at_seconds
        for number, at_seconds in last_seconds.items()
        if now_seconds - at_seconds <= memory_seconds
    }


def make_router_census(window_seconds: float) -> RouterCensus:
    """Return the census of a router that has just started; see ``RouterCensus``."""
    return RouterCensus(window_seconds)
