"""Cases of the fuzzing that showed a fault; each stays."""

import os
import subprocess
import sys

import pytest

from standins.virtual_fleet import STEP_SECONDS
from tests.test_fair_fleet_machine import IDLE_SECONDS, FairFleet

SEED = "134376551158194"


@pytest.mark.known_red
def test_the_gap_stays_within_its_bound_under_the_seed_that_broke_it():
    """Routers hear nobody or are cut off while customers are backlogged.

    A customer falls further behind another than the bound says, and its callers wait
    longer than those of its rival. Under the same seed a target stands idle after the
    mend while customers wait: its window is smaller than its slots. Later a target
    gets twice its slots: a router that has restarted deals them out beside another.

    What a seed draws depends on all modules that are loaded, and what a fleet does on
    the order of sets, so the round has a process of its own.
    """
    command = [sys.executable, "-m", "tools.fuzz", "--machine", "FairFleet"]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    done = subprocess.run(
        [*command, "--seed", SEED], env=environment, capture_output=True, check=False
    )
    assert done.returncode == 0, done.stdout[-4_000:]


def test_a_slot_that_is_lent_to_its_owner_is_given_back():
    """A router hears nobody, takes all others for lost and lends out their targets.

    After the mend each side counted a slot of such a target as the other's. It served
    nobody for as long as both lived, while hundreds of requests waited.
    """
    fleet = FairFleet()
    fleet.start(seed=931)
    fleet.backlog_and_time(backlog=307, router="e0")
    fleet.arrive("tiny", "e0", 42, 204.2873781286603, 3.5735714455189496)
    fleet.break_or_mend(fault="hears nobody", router="e1")
    fleet.arrive("mid", "e2", 29, 222.4647169783725, 2.4734933574186035)
    fleet.arrive("mid", "e2", 7, 158.35174573292733, 1.9)
    fleet.backlog_and_time(backlog=399, router="e0")
    fleet.backlog_and_time(backlog=103, router="e1")
    fleet.break_or_mend(fault="mend", router="e0")
    fleet.arrive("tiny", "e1", 52, 2.5, 3.0)
    fleet.backlog_and_time(backlog=198, router="e2")
    assert fleet.longest_idle <= IDLE_SECONDS + STEP_SECONDS
