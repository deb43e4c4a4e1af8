"""Permits to send requests to cold targets, granted by a replica.

The bound of a cold target holds for the whole fleet. It is divided statically among the
data centres, by their number in the settings, and one replica in each data centre
grants its part. So the parts never add up to more than the bound, even during a network
partition, and where no replica answers nothing is sent.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from sesameford.gateway.cold_targets import PERMIT_VALID_SECONDS
from sesameford.gateway.forward import CONNECT_TIMEOUT_SECONDS
from sesameford.settings import ColdBoundSettings

# The bound limits the requests within any period of this length.
BOUND_SECONDS = 1.0
# Permits granted within this time may all be used within one period of the bound. A
# request on a new connection arrives later than its permit is used.
WINDOW_SECONDS = BOUND_SECONDS + PERMIT_VALID_SECONDS + CONNECT_TIMEOUT_SECONDS
# After a replica was replaced, two replicas of a data centre may both grant permits
# until their views of each other agree. One part is reserved for that.
SPARE_PARTS = 1


@dataclass(slots=True)
class ColdPermits:
    """Grants the permits of one replica.

    A replica that has just started does not know what it granted before, and grants
    nothing until those permits have expired. ``granted`` counts all since its start.

    Args:
        bound: How many requests a cold target may be sent.
        data_centres: The number of data centres among which the bound is divided.
        is_granter: Returns whether this replica grants permits in its data centre.
    """

    bound: ColdBoundSettings
    data_centres: int
    is_granter: Callable[[], bool]
    _started_at_seconds: float | None = None
    _granted_at_seconds: dict[int, deque[float]] = field(default_factory=dict)
    _next_router: int = 0
    granted: int = 0

    def window_permits(self, requests_per_second: float) -> int:
        """Return how many permits for a target this replica may grant in one window."""
        bound = self.bound.factor * requests_per_second * BOUND_SECONDS
        bound += self.bound.spare_requests
        return int(bound / (self.data_centres + SPARE_PARTS))

    def grant(
        self,
        requests_per_second_by_name: Mapping[int, float],
        router_ids: Sequence[str],
        now_seconds: float,
    ) -> dict[str, list[int]]:
        """Grant permits to routers in turn.

        Args:
            requests_per_second_by_name: How many requests a second each cold target
                accepts, by short name.
            router_ids: The routers that request permits.
            now_seconds: The present time.

        Returns:
            By router, the short names of the targets to which it may send one request
            each.
        """
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        if now_seconds - self._started_at_seconds < WINDOW_SECONDS or not router_ids:
            return {}
        self._remove_expired(now_seconds)
        if not self.is_granter():
            return {}
        permits: dict[str, list[int]] = {}
        for name, requests_per_second in requests_per_second_by_name.items():
            granted_at = self._granted_at_seconds.setdefault(name, deque())
            count = min(
                self.window_permits(requests_per_second) - len(granted_at),
                len(router_ids),
            )
            for _ in range(count):
                self._next_router += 1
                router_id = router_ids[self._next_router % len(router_ids)]
                permits.setdefault(router_id, []).append(name)
                granted_at.append(now_seconds)
                self.granted += 1
        return permits

    def _remove_expired(self, now_seconds: float) -> None:
        """Remove the permits that were granted before the present window."""
        for name, granted_at in list(self._granted_at_seconds.items()):
            while granted_at and now_seconds - granted_at[0] >= WINDOW_SECONDS:
                granted_at.popleft()
            if not granted_at:
                del self._granted_at_seconds[name]


def make_cold_permits(
    bound: ColdBoundSettings,
    data_centres: int,
    is_granter: Callable[[], bool] = lambda: True,
) -> ColdPermits:
    """Return the permits of a replica that has just started; see ``ColdPermits``."""
    return ColdPermits(bound, max(data_centres, 1), is_granter)
