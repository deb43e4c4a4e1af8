"""Replays cases in which the fuzzing found a fault.

The steps are stored, because what a seed draws depends on all loaded modules.
"""

from pathlib import Path

import pytest
from msgspec.json import decode

from tests.test_fair_fleet_machine import FairFleet

CASES = Path(__file__).parent / "known_cases"


@pytest.mark.parametrize(
    "case",
    [
        # Both sides of a network cut fill a target, which afterwards receives fewer
        # requests than it has slots while customers wait.
        "slow-window",
        # A slot lent to the allocator that owns its target stays unused. Later a late
        # message to an ended process makes two allocators grant the same slots.
        "restarted-allocator",
    ],
)
def test_all_rules_hold_under_the_steps_that_broke_them(case):
    """Guards against idle slots while work waits and against overfilled targets."""
    fleet = FairFleet()
    for line in (CASES / f"{case}.jsonl").read_text().splitlines():
        values = decode(line)
        getattr(fleet, values.pop("step"))(**values)
        fleet.nothing_idles_while_work_waits()
        fleet.nobody_starves()
        fleet.the_gap_is_bounded()
        fleet.targets_are_not_overfilled()
        fleet.limits_hold()
