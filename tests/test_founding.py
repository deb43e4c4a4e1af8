"""Instances that know three seeds find each other and found one log under faults."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameford.discovery.founding_mark import is_founder
from sesameford.discovery.roster import FORGOTTEN_SECONDS, make_roster
from sesameford.log_messages import Command
from sesameford.log_state import Role
from sesameford.messages import Hello, ReplicaRow
from sesameford.settings import Peer
from tests.seed_world import SEEDS, SeedWorld

# The time in which a lost disk must be replaced before the next one may be lost.
CATCH_UP_SECONDS = 6.0
SETTLE_TICKS = 150


def leaders(world):
    return [
        name
        for name in world.living()
        if world.nodes[name].replica.core.role is Role.LEADER
    ]


def voters(world):
    name = leaders(world)[0]
    return {one.instance_id for one in world.nodes[name].replica.core.voters}


def accept_change(world):
    """Propose one change until it is accepted."""
    number = len(world.accepted)
    command = Command(f"p{number}", "revisions", b"%d:v%d" % (number, number))
    for _ in range(30):
        for name in leaders(world):
            world.propose(name, command)
        world.run(5, Random(1), 0.0, 0.0)
        if f"p{number}" in world.answers:
            return
    raise AssertionError("no change is accepted")


def run(world, seconds):
    world.run(int(seconds * 10), Random(2), 0.0, 0.0)


def running_world(size, seconds):
    """Return a world whose nodes have all run for this time."""
    world = SeedWorld(size)
    for name in world.names:
        world.start(name)
    run(world, seconds)
    return world


@pytest.mark.parametrize("order", [(0, 1, 2, 3), (3, 2, 1, 0), (2, 0, 3, 1)])
def test_replicas_found_one_log_in_any_order(order):
    world = SeedWorld(4)
    for number in order:
        world.start(f"r{number}")
        run(world, 0.3)
    run(world, 6)
    assert len(world.clusters()) == 1
    accept_change(world)


def test_no_log_is_founded_before_all_seeds_are_seen():
    """Two of three seeds start; the third is late.

    If the two founded a log and it another, accepted changes would be in only one.
    """
    world = SeedWorld(4)
    for name in ("r0", "r1", "r3"):
        world.start(name)
    run(world, 20)
    assert world.clusters() == set()
    world.start("r2")
    run(world, 6)
    accept_change(world)


def test_a_replica_with_an_empty_disk_founds_no_log():
    """A replica loses its disk while the two others are cut off from it."""
    world = running_world(3, 6)
    accept_change(world)
    world.crash("r0")
    world.empty_disk("r0")
    others = ("r1", "r2")
    world.blocked = {(a, "r0") for a in others} | {("r0", a) for a in others}
    world.start("r0")
    run(world, 20)
    assert len(world.clusters()) == 1
    world.blocked = set()
    run(world, 8)
    assert voters(world) == {"r0", "r1", "r2"}
    accept_change(world)


def test_a_lost_replica_is_replaced_by_a_new_one():
    """A machine is lost for good and replaced by an empty one at another address.

    Until the new one has its vote, the next loss would stop all changes. That takes the
    silence after which a replica counts as lost, and a few messages.
    """
    world = SeedWorld(4)
    for name in ("r0", "r1", "r2"):
        world.start(name)
    run(world, 6)
    accept_change(world)
    world.crash("r1")
    run(world, 1)
    world.founds["r3"] = False
    world.start("r3")
    run(world, CATCH_UP_SECONDS)
    assert voters(world) == {"r0", "r2", "r3"}
    world.crash("r0")
    run(world, 4)
    accept_change(world)


def test_a_fourth_replica_waits_for_a_vote():
    """Four voters tolerate no more losses than three and wait for one disk more."""
    world = running_world(4, 10)
    assert len(voters(world)) == 3


def test_two_more_replicas_make_five_voters():
    world = running_world(5, 10)
    assert len(voters(world)) == 5


def test_replicas_that_are_down_for_a_while_keep_their_votes():
    """A data centre loses power for some seconds, and no replica can replace it."""
    world = running_world(3, 6)
    world.crash("r1")
    run(world, 15)
    assert voters(world) == {"r0", "r1", "r2"}
    world.start("r1")
    run(world, 4)
    accept_change(world)


def test_a_restarted_instance_finds_the_others_by_one_live_seed():
    """All seeds but one are gone; the remaining one lists the other replicas."""
    own = Peer("r9", "a", "r9:1", True)
    roster = make_roster(own, SEEDS, False)
    rows = (ReplicaRow("r7", "a", "r7:1"), ReplicaRow("r9", "a", "r9:1"))
    hello = Hello("r0:1", "a", True, False, rows)
    found = {one.instance_id for one in roster.handle_hello("r0", hello, 0.0)}
    assert found == {"r0", "r7"}
    assert roster.remove_silent(FORGOTTEN_SECONDS + 1) == ["r0"]


class Founding(RuleBasedStateMachine):
    """Processes start in any order, crash and restart; disks are lost; links fail.

    There is never a second log, accepted changes stay accepted, and after all faults
    are repaired the next change is accepted.
    """

    def __init__(self):
        super().__init__()
        self.world = SeedWorld(5)
        self.disk_lost_at_seconds = -CATCH_UP_SECONDS

    @rule(number=st.integers(0, 4))
    def start(self, number):
        name = f"r{number}"
        if name not in self.world.living():
            self.world.start(name)

    @rule(number=st.integers(0, 4), keep=st.integers(0, 3))
    def crash(self, number, keep):
        name = f"r{number}"
        if name in self.world.living():
            self.world.nodes[name].storage.keep = keep
            self.world.crash(name)

    @precondition(lambda self: len(self.world.accepted) > 0)
    @rule(number=st.integers(0, 4))
    def lose_disk(self, number):
        name = f"r{number}"
        now_seconds = self.world.now_seconds
        is_calm = now_seconds - self.disk_lost_at_seconds > CATCH_UP_SECONDS
        if len(self.world.living()) < 5 or not is_calm:
            return
        if self.world.blocked or not self.world.may_empty_disk(name):
            return
        self.disk_lost_at_seconds = now_seconds
        self.world.crash(name)
        self.world.empty_disk(name)
        self.world.start(name)
        # No other fault until the disk has caught up.
        run(self.world, CATCH_UP_SECONDS)

    @rule(one=st.integers(0, 4), other=st.integers(0, 4), both=st.booleans())
    def cut(self, one, other, both):
        self.world.blocked.add((f"r{one}", f"r{other}"))
        if both:
            self.world.blocked.add((f"r{other}", f"r{one}"))

    @rule()
    def heal(self):
        self.world.blocked.clear()

    @rule(
        ticks=st.integers(1, 40),
        seed=st.integers(0, 99),
        loss=st.sampled_from([0, 0.2]),
    )
    def pass_time(self, ticks, seed, loss):
        self.world.hello_loss = loss
        self.world.run(ticks, Random(seed), loss, loss / 2)

    @rule()
    def mend_and_accept(self):
        self.world.blocked.clear()
        self.world.hello_loss = 0.0
        for name in self.world.names:
            if name not in self.world.living():
                self.world.start(name)
        self.world.run(SETTLE_TICKS, Random(3), 0.0, 0.0)
        accept_change(self.world)

    @invariant()
    def one_log(self):
        assert len(self.world.clusters()) <= 1, "a second log was founded"
        self.world.check()


TestFounding = Founding.TestCase
TestFounding.settings = settings(
    derandomize=True, max_examples=12, stateful_step_count=15, deadline=None
)


def test_a_disk_keeps_the_mark_of_the_first_start(tmp_path):
    """A process ends in its first second and is back before the log is founded.

    Its settings no longer declare the first start. Without the mark, the other seeds
    would wait for it for ever.
    """
    folder = tmp_path / "data"
    assert is_founder(folder, True)
    assert is_founder(folder, False)
    assert not is_founder(tmp_path / "another", False)


def test_routers_count_as_live_while_they_send_heartbeats():
    """A replica computes shares for all live routers, whether they reported or not."""
    own = Peer("replica-1", "a", "127.0.0.1:1", True)
    roster = make_roster(own, (), False)
    has_disks = {"r1": False, "r2": False, "replica-2": True}
    for name, has_disk in has_disks.items():
        roster.handle_hello(name, Hello("127.0.0.1:2", "a", has_disk, False, ()), 1.0)
    assert roster.live_routers(2.0, 1.5) == 2
    roster.record_heartbeat("r1", 3.0)
    assert roster.live_routers(3.5, 1.5) == 1
