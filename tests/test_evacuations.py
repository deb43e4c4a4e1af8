"""Evacuating and restoring data centres: orders, replication, placement."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.effective import DataCentreSettings, EffectiveTree, ServiceSettings
from sesameford.errors import NoQuorumError
from sesameford.evacuations import EvacuationDeps, order_evacuation
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.candidates import NoTargetReason
from sesameford.gateway.placement import make_placement
from sesameford.gateway.shares import make_share_table
from sesameford.load_messages import CustomerRates, PartialLoad
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState
from sesameford.tree import difference, effective_tree, parse_tree
from sesameford.tree_changes import (
    ACCEPTED,
    CONFLICT,
    REFUSED,
    UNCHANGED,
    EvacuationOrder,
    TreeDeclaration,
    TreeMachine,
    decode_answer,
    encode_command,
    make_tree_change,
)
from tests.test_platform_adapter import CONFIGURATION
from tests.test_platform_fleet import open_fleet, wait_until

ENGINE = ServiceSettings("pool", batch_slots=32, cache_copy_tokens_per_second=4e5)


def make_machine():
    return TreeMachine(lambda machine: None)


def order(evacuated, base, order_id="", data_centre="a"):
    return EvacuationOrder(order_id, data_centre, evacuated, base, "operator", 1.0)


def apply(machine, command):
    return decode_answer(machine.apply(1, encode_command(command)))


def evacuated_in(machine):
    return effective_tree(machine.store.copy(), 1).evacuated_data_centres


def tree_with(*evacuated):
    rows = {name: DataCentreSettings(name, True) for name in evacuated}
    return EffectiveTree(1, services={"pool": ENGINE}, data_centres=rows)


def make_placement_over_three(seed=1):
    """Return a placement over two engines in each of three data centres."""
    table = make_heartbeat_table()
    for data_centre in "abc":
        for number in range(2):
            name = f"{data_centre}{number}"
            ready = TargetState.READY
            row = HeartbeatRow(name, 1, "pool", f"{name}:1", data_centre, 32, ready)
            table.handle_heartbeat(row, 0.0)
    return make_placement(table, "a", 1000.0, Random(seed))


def choose(placement, subject=7, now=1.0, tried=frozenset()):
    prompt = Prompt("m", 6_000, 50, (PromptPart(subject, 5_000), PromptPart(99, 1_000)))
    return placement.choose("pool", prompt, ENGINE, 0.3, tried, now)


def test_a_resent_order_is_acknowledged_but_a_superseded_one_is_not():
    """An order is delayed in transit while its opposite is accepted.

    If it came into force, it would undo the newer order: targets without power would
    get requests.
    """
    machine = make_machine()
    first = order(True, 0)
    assert apply(machine, first).status == ACCEPTED
    assert apply(machine, first).status == UNCHANGED
    assert apply(machine, order(False, 1)).status == ACCEPTED
    assert apply(machine, first).status == CONFLICT
    assert not evacuated_in(machine)
    assert apply(machine, order(True, 2)).status == ACCEPTED
    assert evacuated_in(machine) == {"a"}


def test_an_order_with_an_id_is_recognised_after_later_orders():
    machine = make_machine()
    apply(machine, order(True, 0, "one"))
    apply(machine, order(False, 1, "two"))
    assert apply(machine, order(True, 2, "one")).status == ACCEPTED
    assert not evacuated_in(machine)
    assert apply(machine, order(True, 2, "two")).status == REFUSED


def test_an_order_that_changed_nothing_is_recognised_too():
    """Another operator has evacuated the data centre before, and restored it since.

    A delayed copy of the order must not evacuate it once more.
    """
    machine = make_machine()
    apply(machine, order(True, 0))
    assert apply(machine, order(True, 1, "mine")).status == UNCHANGED
    apply(machine, order(False, 1))
    assert apply(machine, order(True, 2, "mine")).status == UNCHANGED
    assert not evacuated_in(machine)


def test_an_evacuation_survives_snapshots_and_declarations():
    """A replica restarts from its snapshot; the operator declares the routes again."""
    machine = make_machine()
    apply(machine, order(True, 0))
    other = make_machine()
    other.restore(machine.snapshot())
    declared = parse_tree("customers: {children: {club: {}}}", "t")
    roots = ("routes", "services", "customers")
    declaration = TreeDeclaration("o", 5, 1.0, roots, dict(declared.nodes), b"text")
    assert apply(other, declaration).status == ACCEPTED
    assert evacuated_in(other) == {"a"}
    apply(other, order(False, 2))
    assert apply(other, order(True, 1)).status == CONFLICT


def test_a_tree_file_that_restores_a_data_centre_counts_as_an_order():
    machine = make_machine()
    apply(machine, order(True, 0))
    change = make_tree_change(
        machine.store,
        difference(machine.store.declared, parse_tree("", "t")),
        change_id="c",
        base_revision=1,
        operator="o",
        at_seconds=0.0,
    )
    assert apply(machine, change).status == ACCEPTED
    assert apply(machine, order(True, 1)).status == CONFLICT
    assert not evacuated_in(machine)


def test_history_names_the_data_centre():
    machine = make_machine()
    apply(machine, order(True, 0))
    newest = machine.history(99)[0]
    assert (newest.change_id, newest.paths) == ("evacuate", ("data_centres/a",))


async def test_an_order_at_a_lagging_replica_is_retried():
    """An evacuation was accepted elsewhere and is not applied here yet; now the data
    centre is restored through this replica."""
    machine = make_machine()
    apply(machine, order(True, 0))

    async def propose(name, kind, command):
        return machine.apply(1, command)

    deps = EvacuationDeps(lambda: "a", propose, lambda: 0, lambda: 0.0, lambda: 0.0)
    answer = await order_evacuation(deps, "a", False, "operator")
    assert answer.status == ACCEPTED
    assert not evacuated_in(machine)


@pytest.mark.parametrize(
    ("agreement_seconds", "is_accepted"), [(0.7, True), (1.0, False)]
)
async def test_an_order_at_a_lagging_replica_is_retried_while_agreement_is_slow(
    agreement_seconds, is_accepted
):
    """The replicas' machines are busy, and each agreement takes long.

    The operator was answered 503 though nobody had sent the opposite order. After a
    second it may have been sent, and must not be undone.
    """
    machine = make_machine()
    apply(machine, order(True, 0))
    now_seconds = 0.0

    async def propose(name, kind, command):
        nonlocal now_seconds
        now_seconds += agreement_seconds
        return machine.apply(1, command)

    deps = EvacuationDeps(
        lambda: "a", propose, lambda: 0, lambda: now_seconds, lambda: 0.0
    )
    if is_accepted:
        await order_evacuation(deps, "a", False, "operator")
    else:
        with pytest.raises(NoQuorumError):
            await order_evacuation(deps, "a", False, "operator")
    assert bool(evacuated_in(machine)) is not is_accepted


class Orders(RuleBasedStateMachine):
    """Orders by an operator who resends them, over replicas that restart.

    Copies of orders without an id are delayed in transit; one that was superseded
    must not come into force. The oracle stores the newest acknowledged order.
    """

    def __init__(self):
        super().__init__()
        self.machine = make_machine()
        self.expected = {}
        self.waiting = []

    @rule(place=st.sampled_from("ab"), evacuated=st.booleans())
    def ordered(self, place, evacuated):
        sent = order(evacuated, self.machine.store.revision, data_centre=place)
        self.waiting.append(sent)
        assert apply(self.machine, sent).status in (ACCEPTED, UNCHANGED)
        self.expected[place] = evacuated

    @rule(place=st.sampled_from("ab"), evacuated=st.booleans())
    def lost_on_its_way(self, place, evacuated):
        """A replica without a quorum delays the order."""
        if self.expected.get(place, False) == evacuated:
            held = order(evacuated, self.machine.store.revision, data_centre=place)
            self.waiting.append(held)

    @rule(number=st.integers(0, 20))
    def arrives_again(self, number):
        if self.waiting:
            late = self.waiting[number % len(self.waiting)]
            answer = apply(self.machine, late)
            is_expected = self.expected.get(late.data_centre, False) == late.evacuated
            assert (answer.status != CONFLICT) == is_expected

    @rule()
    def starts_again(self):
        snapshot = self.machine.snapshot()
        self.machine = make_machine()
        self.machine.restore(snapshot)

    @invariant()
    def the_newest_order_is_in_force(self):
        expected = {place for place, evacuated in self.expected.items() if evacuated}
        assert evacuated_in(self.machine) == expected


TestOrders = Orders.TestCase
TestOrders.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_an_evacuated_data_centre_gets_no_requests():
    """Requests go to other data centres, also those that are retried."""
    placement = make_placement_over_three()
    placement.configure(tree_with("b"), 0.5)
    for subject in range(60):
        assert choose(placement, subject).target_id[0] != "b"
    tried = frozenset({"a0", "a1", "c0"})
    assert choose(placement, tried=tried).target_id == "c1"


def test_all_routers_choose_the_same_new_home_for_a_shared_prompt_part():
    one, other = make_placement_over_three(1), make_placement_over_three(2)
    for placement in (one, other):
        placement.configure(tree_with("a"), 0.5)
    for subject in range(20):
        now = 10.0 * (1 + subject)
        first, second = choose(one, subject, now), choose(other, subject, now)
        assert first.target_id == second.target_id


def test_nothing_is_copied_out_of_an_evacuated_engine():
    placement = make_placement_over_three()
    home = choose(placement)
    placement.configure(tree_with(home.target_id[0]), 1.5)
    assert choose(placement, now=2.0).copy_from is None


def test_with_all_data_centres_evacuated_the_refusal_names_the_reason():
    placement = make_placement_over_three()
    placement.configure(tree_with("a", "b", "c"), 0.5)
    assert choose(placement) is None
    assert (
        placement.candidates.no_target_reason("pool", frozenset(), 1.0)
        is NoTargetReason.EVACUATED
    )


def test_admission_falls_with_the_share_of_evacuated_engines():
    """A third of the engines is evacuated under full load.

    If prompts were admitted by the former capacity, they would wait for seconds.
    """
    table = make_share_table()
    requested = (CustomerRates("club", 900_000, 300_000),)
    load = PartialLoad(3, (), requested, 0.05, 300_000.0)
    for step in range(100):
        table.tick([load], 100_000.0, 0.05, step * 0.02)
    before = table.capacity_tokens
    table.tick([load], 100_000.0, 0.05, 2.0, available_part=2 / 3)
    assert table.capacity_tokens < 0.7 * before


async def test_evacuation_orders_over_the_operators_http_interface(tmp_path):
    """Each replica acknowledges an order and its resend; an unknown name gets 404."""
    async with open_fleet(tmp_path, 81) as fleet:

        async def declared():
            return await fleet.declare(2, CONFIGURATION) == 200

        async def in_force():
            state = fleet.nodes[4]._state
            return state is not None and state.tree.evacuated_data_centres == {"a"}

        await wait_until(declared)
        path = "/v1/evacuations/a"
        assert (await fleet.control(1, "POST", path))[0] == 200
        await wait_until(in_force)
        assert (await fleet.control(2, "POST", path))[0] == 200
        assert (await fleet.control(3, "DELETE", path))[0] == 200
        assert not fleet.nodes[3]._machine.store.declared.nodes.get("none")
        assert (await fleet.control(1, "POST", "/v1/evacuations/none"))[0] == 404
