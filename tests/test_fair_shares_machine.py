"""Fuzzes shares over a fleet against the requests that engines started."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from standins.share_ledger import WINDOW_SECONDS
from standins.virtual_shares import Demand, make_virtual_shares

ROUTERS = 24
REPLICAS = ("a", "b", "c")
ENGINES_TOKENS = 2_000_000.0
SIZES_TOKENS = (800, 3_000, 9_000)
MOST_CUSTOMERS = 10
# After a change of demand or links, shares adapt within the seconds that averages and
# reports cover. Seconds without a change are checked as well.
SETTLING_SECONDS = 3


class FairShares(RuleBasedStateMachine):
    """Overloads start and end while links between routers and replicas fail."""

    @initialize(seed=st.integers(0, 1000), speed=st.sampled_from((1.0, 2.0)))
    def start(self, seed, speed):
        self.fleet = make_virtual_shares(
            ROUTERS, REPLICAS, speed * ENGINES_TOKENS, ENGINES_TOKENS
        )
        self.random = Random(seed)
        self.demands = {}
        self.customers = 0
        self.calm_since_seconds = 0

    @rule(
        asked=st.floats(200_000.0, 4_000_000.0),
        routers=st.sampled_from((1, 2, 5, ROUTERS)),
        size=st.sampled_from(SIZES_TOKENS),
    )
    def flood(self, asked, routers, size):
        if len(self.demands) < MOST_CUSTOMERS:
            self.customers += 1
            reached_routers = self.random.sample(range(ROUTERS), routers)
            self.demands[f"c{self.customers}"] = Demand(asked, reached_routers, size)
        self.calm_since_seconds = self.fleet.now_seconds

    @rule()
    def end_a_flood(self):
        if self.demands:
            del self.demands[self.random.choice(sorted(self.demands))]
        self.calm_since_seconds = self.fleet.now_seconds

    @rule(
        kind=st.sampled_from(("silent", "lost")),
        replica=st.sampled_from(REPLICAS[:2]),
        routers=st.sampled_from((1, 3, 12, ROUTERS)),
    )
    def break_links(self, kind, replica, routers):
        links = getattr(self.fleet, kind)
        links.update(
            (number, replica) for number in self.random.sample(range(ROUTERS), routers)
        )
        self.calm_since_seconds = self.fleet.now_seconds

    @rule()
    def mend_links(self):
        self.fleet.silent.clear()
        self.fleet.lost.clear()
        self.calm_since_seconds = self.fleet.now_seconds

    @rule(has_room=st.booleans())
    def pass_time(self, has_room):
        spare_capacity_wait_seconds = 0.0125 if has_room else 0.0
        seconds = SETTLING_SECONDS + WINDOW_SECONDS + 1
        self.fleet.play(seconds, self.demands, self.random, spare_capacity_wait_seconds)

    @invariant()
    def nobody_gets_too_little(self):
        if not hasattr(self, "fleet"):
            return
        begin = int(self.calm_since_seconds) + SETTLING_SECONDS
        assert (
            self.fleet.ledger.find_unfair_shares(begin, int(self.fleet.now_seconds))
            == []
        )


TestFairShares = FairShares.TestCase
TestFairShares.settings = settings(
    derandomize=True, max_examples=4, stateful_step_count=8, deadline=None
)
