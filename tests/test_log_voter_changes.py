"""Voters change while a replica is silent and another loses its disk.

A silent voter may come back with its disk. Only the loss of a disk is for good, so one
lost disk beside silent replicas must never end the log.
"""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.test_founding import accept_change, leaders, run, running_world, voters

pytestmark = pytest.mark.heavy

RECOVERY_SECONDS = 12.0


def cut_off(world, name):
    """Freeze a replica, as far as the others can see."""
    for other in world.names:
        world.blocked |= {(name, other), (other, name)}


@pytest.mark.parametrize("lost_after_tenths", range(0, 44, 1))
@pytest.mark.parametrize("size", [4, 5, 6])
def test_a_silent_voter_beside_a_lost_disk_does_not_end_the_log(
    size, lost_after_tenths
):
    """Guards against voters whose majority includes a disk that is lost for good."""
    world = running_world(size, 20)
    accept_change(world)
    (leader,) = leaders(world)
    silent, lost = sorted(voters(world) - {leader})[:2]
    cut_off(world, silent)
    run(world, lost_after_tenths / 10)
    world.crash(lost)
    world.empty_disk(lost)
    run(world, 1.0)
    world.start(lost)
    run(world, max(4.0 - lost_after_tenths / 10 - 1.0, 0.0))
    world.blocked.clear()
    run(world, RECOVERY_SECONDS)
    accept_change(world)
    world.check()


numbers = st.integers(0, 5)


class SilentReplicasAndOneLostDisk(RuleBasedStateMachine):
    """Replicas freeze, end, are cut off and return; one disk at a time is lost."""

    @initialize(size=st.integers(4, 6))
    def found(self, size):
        self.world = running_world(size, 20)
        self.has_lost_disk = False
        accept_change(self.world)

    def _name(self, number):
        return self.world.names[number % len(self.world.names)]

    @rule(ticks=st.integers(1, 12))
    def pass_time(self, ticks):
        self.world.run(ticks, Random(ticks), 0.0, 0.0)

    @rule(number=numbers, ticks=st.integers(15, 30))
    def freeze(self, number, ticks):
        """A replica stands still until it is about to be replaced."""
        cut_off(self.world, self._name(number))
        self.world.run(ticks, Random(ticks), 0.0, 0.0)

    @rule(sender=numbers, receiver=numbers)
    def cut_one_way(self, sender, receiver):
        self.world.blocked.add((self._name(sender), self._name(receiver)))

    @rule()
    def heal(self):
        self.world.blocked.clear()

    @rule(number=numbers)
    def end(self, number):
        name = self._name(number)
        if name in self.world.living():
            self.world.crash(name)

    @rule(number=numbers)
    def restart(self, number):
        name = self._name(number)
        if name not in self.world.living():
            self.world.start(name)

    @precondition(lambda self: not self.has_lost_disk)
    @rule(number=numbers, ticks=st.integers(0, 15))
    def lose_disk(self, number, ticks):
        name = self._name(number)
        if name in self.world.living():
            self.world.crash(name)
        self.world.empty_disk(name)
        self.has_lost_disk = True
        self.world.run(ticks, Random(ticks), 0.0, 0.0)
        self.world.start(name)

    @rule()
    def recover(self):
        """All replicas run and reach each other, long enough to replace a lost disk."""
        self.world.blocked.clear()
        for name in self.world.names:
            if name not in self.world.living():
                self.world.start(name)
        run(self.world, RECOVERY_SECONDS)
        accept_change(self.world)
        run(self.world, RECOVERY_SECONDS)
        self.has_lost_disk = False

    @invariant()
    def all_is_true(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """After repair a change is accepted, and nothing accepted is lost."""
        if not hasattr(self, "world"):
            return
        self.recover()
        for node in self.world.nodes.values():
            assert node.revisions.values == self.world.accepted


TestSilentReplicasAndOneLostDisk = SilentReplicasAndOneLostDisk.TestCase
TestSilentReplicasAndOneLostDisk.settings = settings(
    max_examples=60,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
