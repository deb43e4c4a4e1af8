"""Seeds of the fuzzing that showed a fault; each stays."""

from collections import Counter

from tests.test_fair_fleet_machine import FairFleet
from tools.fuzz import run_round


def test_the_gap_stays_within_its_bound_under_the_seed_that_broke_it():
    """Routers hear nobody or are cut off while customers are backlogged.

    A customer falls further behind another than the bound says, and its callers wait
    longer than those of its rival. Under the same seed a target stands idle after the
    mend while customers wait: its window is smaller than its slots.
    """
    assert run_round(FairFleet, 134376551158194, Counter(), shrink=False)
