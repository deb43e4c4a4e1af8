"""Fuzzes the replicated log against a plain list while disks, links and power fail."""

from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameford.fencing import decode_answer, encode_command
from sesameford.leases import LeaseCommand, LeaseManager, make_lease_manager
from sesameford.log_messages import Command
from sesameford.log_state import ELECTION_MAX_SECONDS, ELECTION_MIN_SECONDS, Role
from tests.log_world import TICK_SECONDS, World

LEASE_SECONDS = 3.0
ORDER_DEADLINE_SECONDS = 2.0
numbers = st.integers(0, 4)
seeds = st.integers(0, 2**16)


class ThreeReplicas(RuleBasedStateMachine):
    """Links, disks and processes fail; operators race and resend; leases move."""

    size = 3

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.size)
        self.proposals: list[Command] = []
        self.commands = 0
        self.lease_managers = [self._make_lease_manager(number) for number in range(2)]
        self.pending_lease_commands: dict[
            str, tuple[LeaseManager, int, LeaseCommand]
        ] = {}
        self.orders: list[tuple[int, float]] = []
        self.highest_carried_out = 0
        self.world.listeners.append(self._record_lease_answer)
        self.world.run(60, Random(self.size), 0.0, 0.0)
        assert any(self._leaders()), "a new fleet elects no leader"

    def _make_lease_manager(self, number: int) -> LeaseManager:
        holder = f"k{number}-{self.commands}"
        return make_lease_manager("l", holder, ORDER_DEADLINE_SECONDS, LEASE_SECONDS)

    def _leaders(self) -> list[str]:
        nodes = self.world.nodes
        return [
            name
            for name in self.world.living()
            if nodes[name].replica.core.role is Role.LEADER
        ]

    def _node_name(self, number: int) -> str:
        return self.world.names[number % self.size]

    def _send(self, command: Command, node: int) -> None:
        leaders = self._leaders()
        if leaders:
            self.world.propose(leaders[node % len(leaders)], command)

    def _lease_manager_clock(self, number: int) -> float:
        # Each lease manager runs in a replica's process and uses that replica's clock.
        return self.world.clock(self._node_name(number))

    def _record_lease_answer(self, command: Command, answer: bytes) -> None:
        pending = self.pending_lease_commands.pop(command.proposal_id, None)
        if pending is not None:
            manager, number, lease_command = pending
            clock = self._lease_manager_clock(number)
            manager.record_answer(lease_command, decode_answer(answer), clock)

    @rule(ticks=st.integers(1, 30), seed=seeds, loss=st.sampled_from([0, 0, 0.1, 0.4]))
    def pass_time(self, ticks: int, seed: int, loss: float) -> None:
        self.world.run(ticks, Random(seed), loss, loss / 2)

    @rule(position=st.integers(0, 50), keep=st.booleans(), count=st.integers(1, 8))
    def deliver(self, position: int, keep: bool, count: int) -> None:
        for _ in range(count):
            self.world.deliver(position, keep)

    @rule(node=numbers, behind=st.integers(0, 2))
    def propose(self, node: int, behind: int) -> None:
        """An operator bases a change on the current or an older revision."""
        self.commands += 1
        base = max(0, len(self.world.accepted) - max(0, behind - 1))
        text = f"{base}:v{self.commands}".encode()
        command = Command(f"p{self.commands}", "revisions", text)
        self.proposals.append(command)
        self._send(command, node)

    @rule(count=st.integers(5, 20), node=numbers)
    def propose_many(self, count: int, node: int) -> None:
        for _ in range(count):
            self.propose(node, 0)

    @precondition(lambda self: self.proposals)
    @rule(which=st.integers(0, 40), node=numbers)
    def resend(self, which: int, node: int) -> None:
        """An answer was lost; the change is sent again with the same id."""
        self._send(self.proposals[-1 - which % len(self.proposals)], node)

    @rule(number=st.integers(0, 1), node=numbers)
    def keep_lease(self, number: int, node: int) -> None:
        manager = self.lease_managers[number]
        lease_command = manager.decide(self._lease_manager_clock(number))
        if lease_command is None:
            return
        self.commands += 1
        proposal_id = f"l{self.commands}"
        self.pending_lease_commands[proposal_id] = (manager, number, lease_command)
        self._send(
            Command(proposal_id, "fencing", encode_command(lease_command.command)), node
        )

    @rule(number=st.integers(0, 1))
    def lose_lease_answer(self, number: int) -> None:
        """The lease manager gets no answer; its command may still be accepted."""
        for proposal_id, (manager, owner, lease_command) in list(
            self.pending_lease_commands.items()
        ):
            if owner == number:
                del self.pending_lease_commands[proposal_id]
                manager.record_answer(
                    lease_command, None, self._lease_manager_clock(number)
                )

    @rule(number=st.integers(0, 1))
    def restart_keeper(self, number: int) -> None:
        self.commands += 1
        self.lease_managers[number] = self._make_lease_manager(number)

    @rule(number=st.integers(0, 1))
    def order(self, number: int) -> None:
        """A lease holder sends an order to an engine that ignores fencing numbers."""
        clock = self._lease_manager_clock(number)
        fencing_number = self.lease_managers[number].order_number(False, clock)
        if fencing_number is not None:
            until = self.world.now_seconds + ORDER_DEADLINE_SECONDS
            self.orders.append((fencing_number, until))

    @precondition(lambda self: self.orders)
    @rule(which=st.integers(0, 5))
    def carry_out_order(self, which: int) -> None:
        number, until = self.orders.pop(which % len(self.orders))
        if self.world.now_seconds <= until:
            assert number >= self.highest_carried_out, "an old holder's order came late"
            self.highest_carried_out = number

    @rule(node=numbers, after=st.integers(0, 4), keep=st.integers(0, 3))
    def crash_at_a_sync(self, node: int, after: int, keep: int) -> None:
        """The power fails before or after a later write or sync."""
        storage = self.world.nodes[self._node_name(node)].storage
        storage.crash_after, storage.surviving_parts = after, keep

    @rule(node=numbers)
    def crash(self, node: int) -> None:
        if self.world.nodes[self._node_name(node)].replica is not None:
            self.world.crash(self._node_name(node))

    @rule(node=numbers)
    def restart(self, node: int) -> None:
        if self.world.nodes[self._node_name(node)].replica is None:
            self.world.start(self._node_name(node))

    @rule(node=numbers, seed=seeds)
    def empty_a_disk(self, node: int, seed: int) -> None:
        """A disk is replaced by an empty one and the replica restarts."""
        name = self._node_name(node)
        if self.world.may_empty_disk(name):
            if self.world.nodes[name].replica is not None:
                self.world.crash(name)
            self.world.empty_disk(name)
            self.world.start(name)

    @rule(node=numbers, other=numbers, seed=seeds)
    def repair_and_lose_another(self, node: int, other: int, seed: int) -> None:
        """A second disk is lost right after the first one was repaired."""
        self.empty_a_disk(node, seed)
        self.heal()
        for name in self.world.names:
            if self.world.nodes[name].replica is None:
                self.world.start(name)
        for _ in range(20):
            self.world.run(5, Random(seed), 0.0, 0.0)
            if self._node_name(node) != self._node_name(
                other
            ) and self.world.may_empty_disk(self._node_name(other)):
                break
        if self._node_name(node) != self._node_name(other):
            self.empty_a_disk(other, seed)

    @rule(sender=numbers, receiver=numbers)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        self.world.blocked.add((self._node_name(sender), self._node_name(receiver)))

    @rule(inbound=st.booleans(), outbound=st.booleans(), ticks=st.integers(0, 60))
    def isolate_leader(self, inbound: bool, outbound: bool, ticks: int) -> None:
        """A partition isolates a leader, possibly long and one-way only."""
        for leader in self._leaders():
            for name in self.world.names:
                if inbound:
                    self.world.blocked.add((name, leader))
                if outbound:
                    self.world.blocked.add((leader, name))
        self.world.run(ticks, Random(ticks), 0.0, 0.0)

    @rule(voter=numbers, after=st.integers(0, 3), slow=numbers, seed=seeds)
    def tie_an_election(self, voter: int, after: int, slow: int, seed: int) -> None:
        """All but one replica start an election at the same time. The remaining one
        loses power while it votes and restarts at once; then a delayed vote request of
        another candidate arrives."""
        world, name = self.world, self._node_name(voter)
        link = (self._node_name(slow), name)
        world.in_flight.clear()
        world.now_seconds += 2 * ELECTION_MAX_SECONDS
        for other in world.living():
            delay = ELECTION_MAX_SECONDS if other == name else 0.0
            core = world.nodes[other].replica.core
            core.election_due_at_seconds = world.clock(other) + delay
        self.crash_at_a_sync(voter, after, 0)
        world.paused_links.add(link)
        others = [other for other in world.names if other != name]
        world.blocked |= {(one, two) for one in others for two in others}
        world.run(2, Random(seed), 0.0, 0.0)
        self.restart(voter)
        world.now_seconds += ELECTION_MIN_SECONDS
        world.paused_links.discard(link)
        world.run(2, Random(seed), 0.0, 0.0)

    @rule(ticks=st.integers(0, 6), keep=st.integers(0, 2), seed=seeds)
    def lose_all_power(self, ticks: int, keep: int, seed: int) -> None:
        """All replicas lose power with messages in flight and restart soon."""
        world = self.world
        for name in world.living():
            world.nodes[name].storage.surviving_parts = keep
            world.crash(name)
        world.now_seconds += ticks * TICK_SECONDS
        for name in world.names:
            world.start(name)
            world.run(1, Random(seed), 0.0, 0.5)

    @rule(node=numbers)
    def hand_over(self, node: int) -> None:
        name = self._node_name(node)
        clock = self.world.clock(name)
        self.world.act(name, lambda replica: replica.transfer_leadership(clock))

    @rule(wanted=st.sets(numbers, min_size=1))
    def want_voters(self, wanted: set[int]) -> None:
        names = frozenset(self._node_name(number) for number in wanted)
        if self.world.may_change_voters():
            self.world.set_desired_voters(names)

    @rule()
    def heal(self) -> None:
        self.world.blocked.clear()

    @invariant()
    def all_is_true(self) -> None:
        self.world.check()

    @invariant()
    def at_most_one_holds_the_lease(self) -> None:
        held = [
            manager.lease(self._lease_manager_clock(number))
            for number, manager in enumerate(self.lease_managers)
        ]
        assert sum(lease is not None for lease in held) <= 1

    def teardown(self) -> None:
        """After repair all accepted changes are present and new ones are accepted."""
        world = self.world
        world.blocked.clear()
        for name in world.names:
            node = world.nodes[name]
            node.storage.crash_after = None
            if node.replica is None:
                world.start(name)
        world.set_desired_voters(None)
        for _ in range(12):
            world.run(30, Random(1), 0.0, 0.0)
            if self._is_recovered():
                break
        assert self._is_recovered(), "the replicas do not recover"
        self.propose(0, 0)
        world.run(30, Random(2), 0.0, 0.0)
        assert self.proposals[-1].proposal_id in world.answers, "no change is accepted"
        for _ in range(12):
            if self._all_have_applied():
                break
            world.run(30, Random(3), 0.0, 0.0)
        assert self._all_have_applied(), "a replica does not catch up"
        self.all_is_true()
        for node in world.nodes.values():
            assert node.revisions.values == world.accepted, "something accepted is lost"

    def _all_have_applied(self) -> bool:
        """Whether every replica has applied the longest log."""
        replicas = [node.replica for node in self.world.nodes.values()]
        last_index = max(replica.core.log.last_index for replica in replicas)
        return all(replica.applier.applied_index == last_index for replica in replicas)

    def _is_recovered(self) -> bool:
        """Whether there is one leader whose voters are exactly the present disks."""
        leaders = self._leaders()
        present = {node.disk.me for node in self.world.nodes.values()}
        return len(leaders) == 1 and present == set(
            self.world.nodes[leaders[0]].replica.core.voters
        )


class FiveReplicas(ThreeReplicas):
    """The same with five replicas."""

    size = 5


_SETTINGS = settings(
    max_examples=40,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

TestThreeReplicas = ThreeReplicas.TestCase
TestThreeReplicas.settings = _SETTINGS
TestFiveReplicas = FiveReplicas.TestCase
TestFiveReplicas.settings = _SETTINGS
