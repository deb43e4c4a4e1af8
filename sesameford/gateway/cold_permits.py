"""Permits to send requests to cold targets, given out at a replica.

The bound of a cold target is the fleet's. It is divided once for all among the data
centres, by their number in the settings, and in each of them one replica gives its part
out. So the parts add up to no more than the bound while data centres are cut from each
other, and where no replica answers nothing is sent.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from sesameford.gateway.cold_targets import PERMIT_SECONDS
from sesameford.gateway.forward import CONNECT_TIMEOUT_SECONDS
from sesameford.settings import ColdBoundSettings

# The time in which the bound counts requests.
BOUND_SECONDS = 1.0
# Permits that are given out within this time may all be used within the bound's. A
# request whose connection is opened anew arrives later than its permit was used.
WINDOW_SECONDS = BOUND_SECONDS + PERMIT_SECONDS + CONNECT_TIMEOUT_SECONDS
# Replicas of a data centre that know each other differently for a moment, after one has
# been replaced, may both give out permits; one part is left for that.
SPARE_PARTS = 1


@dataclass(slots=True)
class ColdPermits:
    """The permits of one replica.

    A replica that has just started does not know what it gave out before, and gives out
    nothing until that has run out. ``given`` counts all since its start.

    Args:
        bound: What a cold target may be sent.
        data_centres: Among how many data centres that is divided.
        gives_out: Whether this replica is the one of its data centre that does so.
    """

    bound: ColdBoundSettings
    data_centres: int
    gives_out: Callable[[], bool]
    _began_at_seconds: float | None = None
    _given_at_seconds: dict[int, deque[float]] = field(default_factory=dict)
    _turn: int = 0
    given: int = 0

    def part_requests(self, rate_requests: float) -> int:
        """Return this replica's part of what a target may be sent in one window."""
        bound = self.bound.factor * rate_requests * BOUND_SECONDS
        bound += self.bound.spare_requests
        return int(bound / (self.data_centres + SPARE_PARTS))

    def give(
        self,
        rates_requests: Mapping[int, float],
        router_ids: Sequence[str],
        now_seconds: float,
    ) -> dict[str, list[int]]:
        """Return the targets to which routers may send one request each.

        Args:
            rates_requests: What cold targets take in a second, by short name.
            router_ids: The routers that ask for permits.
            now_seconds: The present time.
        """
        if self._began_at_seconds is None:
            self._began_at_seconds = now_seconds
        if now_seconds - self._began_at_seconds < WINDOW_SECONDS or not router_ids:
            return {}
        self._forget(now_seconds)
        if not self.gives_out():
            return {}
        permits: dict[str, list[int]] = {}
        for name, rate_requests in rates_requests.items():
            given = self._given_at_seconds.setdefault(name, deque())
            left = min(self.part_requests(rate_requests) - len(given), len(router_ids))
            for _ in range(left):
                self._turn += 1
                router_id = router_ids[self._turn % len(router_ids)]
                permits.setdefault(router_id, []).append(name)
                given.append(now_seconds)
                self.given += 1
        return permits

    def _forget(self, now_seconds: float) -> None:
        """Drop what was given out before the present window."""
        for name, given in list(self._given_at_seconds.items()):
            while given and now_seconds - given[0] >= WINDOW_SECONDS:
                given.popleft()
            if not given:
                del self._given_at_seconds[name]


def make_cold_permits(
    bound: ColdBoundSettings,
    data_centres: int,
    gives_out: Callable[[], bool] = lambda: True,
) -> ColdPermits:
    """Return the permits of a replica that has just started; see ``ColdPermits``."""
    return ColdPermits(bound, max(data_centres, 1), gives_out)
