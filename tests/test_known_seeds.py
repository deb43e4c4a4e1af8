"""Cases that the fuzzing drew and that showed a fault; each stays, step by step.

What a seed draws depends on all modules that are loaded, so the steps are kept.
"""

from pathlib import Path

import pytest
from msgspec.json import decode

from tests.test_fair_fleet_machine import FairFleet

CASES = Path(__file__).parent / "known_cases"


@pytest.mark.parametrize(
    "case",
    [
        # Both sides of a cut fill a target, which then gets fewer requests than it
        # has slots for, while customers wait.
        "slow-window",
        # A slot that is lent to its target's own allocator serves nobody; later a late
        # message to a process that ended makes two allocators deal out the same slots.
        "restarted-allocator",
    ],
)
def test_all_rules_hold_under_the_steps_that_broke_them(case):
    """Customers wait beside idle slots, or targets get twice their slots."""
    fleet = FairFleet()
    for line in (CASES / f"{case}.jsonl").read_text().splitlines():
        values = decode(line)
        getattr(fleet, values.pop("step"))(**values)
        fleet.nothing_idles_while_work_waits()
        fleet.nobody_starves()
        fleet.the_gap_is_bounded()
        fleet.targets_are_not_overfilled()
        fleet.limits_hold()
