"""Simulates policies that bound the requests to one cold target in virtual time.

A cold target looks idle, so each of many routers would send it some requests per
second. A policy decides whether a router may send. While the fleet is partitioned, its
parts receive nothing from each other, and a router counts only the routers from which
it receives messages.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from xxhash import xxh32_intdigest

from sesameford.discovery.heartbeat_table import make_heartbeat_table, short_name
from sesameford.gateway.cold_permits import make_cold_permits
from sesameford.gateway.cold_targets import make_cold_targets
from sesameford.messages import HeartbeatRow
from sesameford.settings import ColdBoundSettings
from sesameford.tables import TargetState

STEP_SECONDS = 0.02
TARGET = "cold"
# Mean number of routers that may send to a cold target under `by_hash`.
HASHED_ROUTERS = 15
# Delays of permits on their way to a router, usually and while links are bad.
PERMIT_DELAYS_SECONDS = (0.02, 0.05, 0.1)
LONG_PERMIT_DELAYS_SECONDS = (0.05, 0.4, 1.5)
# Interval of a router's load reports, which also request permits.
REPORT_SECONDS = 0.06


@dataclass(frozen=True, slots=True)
class ColdLoad:
    """Requests that a cold target received in the busiest second, and per second."""

    most_requests: int
    mean_requests: float


# Returns whether a router may send; the arguments are its number and the time.
MaySend = Callable[[int, float], bool]


def play(
    may_send: MaySend,
    routers: int,
    requests_per_second: float,
    seconds: float,
    random: Random,
    tick: Callable[[float], None] = lambda now_seconds: None,
) -> ColdLoad:
    """Simulate routers that send to a cold target what the policy allows.

    Args:
        may_send: The policy.
        routers: Number of routers.
        requests_per_second: Requests for the target at all routers together.
        seconds: Time to simulate.
        random: Draws the arrivals of requests.
        tick: Called in each step, for the periodic work of the policy.

    Returns:
        The load of the cold target.
    """
    recent: deque[float] = deque()
    most = total = 0
    now_seconds = 0.0
    while now_seconds < seconds:
        tick(now_seconds)
        for router in range(routers):
            has_request = random.random() < requests_per_second / routers * STEP_SECONDS
            if has_request and may_send(router, now_seconds):
                recent.append(now_seconds)
                total += 1
        while recent and now_seconds - recent[0] >= 1.0:
            recent.popleft()
        most = max(most, len(recent))
        now_seconds += STEP_SECONDS
    return ColdLoad(most, total / seconds)


def by_budget(bound_requests_per_second: float, live_routers: int) -> MaySend:
    """Return the policy that gives each router an equal part of the bound."""
    router_requests_per_second = bound_requests_per_second / live_routers
    credits: dict[int, tuple[float, float]] = {}

    def may_send(router: int, now_seconds: float) -> bool:
        credit, at_seconds = credits.get(router, (1.0, now_seconds))
        credit = min(
            credit + router_requests_per_second * (now_seconds - at_seconds), 1.0
        )
        credits[router] = (credit - 1.0 if credit >= 1.0 else credit, now_seconds)
        return credit >= 1.0

    return may_send


def by_hash(live_routers: int, seed: int) -> MaySend:
    """Return the policy by which a few routers, chosen by hash, send one a second."""
    sent_at_seconds: dict[int, float] = {}

    def may_send(router: int, now_seconds: float) -> bool:
        hash_fraction = xxh32_intdigest(f"{router}/{TARGET}/{seed}".encode()) / 2**32
        if hash_fraction >= HASHED_ROUTERS / live_routers:
            return False
        if now_seconds - sent_at_seconds.get(router, -1.0) < 1.0:
            return False
        sent_at_seconds[router] = now_seconds
        return True

    return may_send


def by_permits(
    target_requests_per_second: float,
    bound: ColdBoundSettings,
    routers: int,
    data_centres: int,
    random: Random,
    permit_delays_seconds: tuple[float, ...] = PERMIT_DELAYS_SECONDS,
) -> tuple[MaySend, Callable[[float], None]]:
    """Return the product's policy of permits, and its periodic work."""
    replicas = [make_cold_permits(bound, data_centres) for _ in range(data_centres)]
    row = HeartbeatRow(TARGET, 1, "pool", "t:1", "a", 8, TargetState.READY, 60_000)
    table = make_heartbeat_table()
    table.handle_heartbeat(row, 0.0)
    entry = table.entries[TARGET]
    cold_targets = [make_cold_targets(table) for _ in range(routers)]
    permits_in_transit: list[tuple[float, int, float]] = []

    def tick(now_seconds: float) -> None:
        for number, replica in enumerate(replicas):
            requesting_routers = [
                str(router)
                for router in range(number, routers, len(replicas))
                if not cold_targets[router].has_permit(entry, now_seconds)
                and random.random() < STEP_SECONDS / REPORT_SECONDS
            ]
            rates = {short_name(TARGET): target_requests_per_second}
            for router_id in replica.grant(rates, requesting_routers, now_seconds):
                at_seconds = now_seconds + random.choice(permit_delays_seconds)
                permits_in_transit.append((at_seconds, int(router_id), now_seconds))
        for permit in [
            permit for permit in permits_in_transit if permit[0] <= now_seconds
        ]:
            permits_in_transit.remove(permit)
            cold_targets[permit[1]].record_permits(
                [short_name(TARGET)], permit[2], now_seconds
            )

    def may_send(router: int, now_seconds: float) -> bool:
        if not cold_targets[router].has_permit(entry, now_seconds):
            return False
        cold_targets[router].record_sent(entry)
        return True

    return may_send, tick
