"""One cold target before many routers in virtual time: ways to bound what it gets.

Each router would send it some requests a second, as it looks idle. A way says whether a
router may. While the fleet is split its parts hear nothing of each other, and a router
counts only those that it hears.
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
# Routers that may send to one cold target, in the way that picks them by a hash.
PICKED_ROUTERS = 15
# How old permits are when a router gets them, the usual way and while links are bad.
NEWS_SECONDS = (0.02, 0.05, 0.1)
LATE_NEWS_SECONDS = (0.05, 0.4, 1.5)
# How often a router reports, and asks with it.
REPORT_SECONDS = 0.06


@dataclass(frozen=True, slots=True)
class ColdLoad:
    """What a cold target got: the most in a second, and on average."""

    most_requests: int
    mean_requests: float


# Whether a router may send now; the arguments are its number and the time.
May = Callable[[int, float], bool]


def play(
    may: May,
    routers: int,
    asked_requests: float,
    seconds: float,
    random: Random,
    tick: Callable[[float], None] = lambda now_seconds: None,
) -> ColdLoad:
    """Let routers send what they may.

    Args:
        may: The way.
        routers: How many.
        asked_requests: What all of them together would send in a second.
        seconds: How long.
        random: Draws when requests come.
        tick: Runs what the way does regularly.
    """
    recent: deque[float] = deque()
    most = total = 0
    now_seconds = 0.0
    while now_seconds < seconds:
        tick(now_seconds)
        for router in range(routers):
            is_asked = random.random() < asked_requests / routers * STEP_SECONDS
            if is_asked and may(router, now_seconds):
                recent.append(now_seconds)
                total += 1
        while recent and now_seconds - recent[0] >= 1.0:
            recent.popleft()
        most = max(most, len(recent))
        now_seconds += STEP_SECONDS
    return ColdLoad(most, total / seconds)


def by_budget(bound_requests: float, heard_routers: int) -> May:
    """Return the way by which each router has its part of the bound for itself."""
    part_requests = bound_requests / heard_routers
    credits: dict[int, tuple[float, float]] = {}

    def may(router: int, now_seconds: float) -> bool:
        credit, at_seconds = credits.get(router, (1.0, now_seconds))
        credit = min(credit + part_requests * (now_seconds - at_seconds), 1.0)
        credits[router] = (credit - 1.0 if credit >= 1.0 else credit, now_seconds)
        return credit >= 1.0

    return may


def by_hash(heard_routers: int, seed: int) -> May:
    """Return the way by which a few routers, picked by a hash, send one a second."""
    sent_at_seconds: dict[int, float] = {}

    def may(router: int, now_seconds: float) -> bool:
        drawn = xxh32_intdigest(f"{router}/{TARGET}/{seed}".encode()) / 2**32
        if drawn >= PICKED_ROUTERS / heard_routers:
            return False
        if now_seconds - sent_at_seconds.get(router, -1.0) < 1.0:
            return False
        sent_at_seconds[router] = now_seconds
        return True

    return may


def by_permits(
    requests_per_second: float,
    bound: ColdBoundSettings,
    routers: int,
    data_centres: int,
    random: Random,
    news_seconds: tuple[float, ...] = NEWS_SECONDS,
) -> tuple[May, Callable[[float], None]]:
    """Return the way of the product, and what it does regularly."""
    replicas = [make_cold_permits(bound, data_centres) for _ in range(data_centres)]
    row = HeartbeatRow(TARGET, 1, "pool", "t:1", "a", 8, TargetState.READY, 60_000)
    table = make_heartbeat_table()
    table.handle_heartbeat(row, 0.0)
    known = table.entries[TARGET]
    fleet = [make_cold_targets(table) for _ in range(routers)]
    coming: list[tuple[float, int, float]] = []

    def tick(now_seconds: float) -> None:
        for number, replica in enumerate(replicas):
            asking = [
                str(router)
                for router in range(number, routers, len(replicas))
                if not fleet[router].has_permit(known, now_seconds)
                and random.random() < STEP_SECONDS / REPORT_SECONDS
            ]
            rates = {short_name(TARGET): requests_per_second}
            for router_id in replica.grant(rates, asking, now_seconds):
                at_seconds = now_seconds + random.choice(news_seconds)
                coming.append((at_seconds, int(router_id), now_seconds))
        for one in [one for one in coming if one[0] <= now_seconds]:
            coming.remove(one)
            fleet[one[1]].record_permits([short_name(TARGET)], one[2], now_seconds)

    def may(router: int, now_seconds: float) -> bool:
        if not fleet[router].has_permit(known, now_seconds):
            return False
        fleet[router].record_sent(known)
        return True

    return may, tick
