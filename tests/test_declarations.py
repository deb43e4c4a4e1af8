"""Full declarations under the declarer's own version, combined with tree changes."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.tree import difference, effective_tree, parse_tree, read_node
from sesameford.tree_changes import (
    ACCEPTED,
    CONFLICT,
    REFUSED,
    UNCHANGED,
    DeclaredVersionQuery,
    TreeDeclaration,
    TreeMachine,
    decode_answer,
    encode_command,
    make_tree_change,
)

ROOTS = ("routes", "services", "customers")


def declaration(version, customers=("a",), text=None, fleet=""):
    children = "".join(f"{name}: {{}}, " for name in customers)
    tree = parse_tree(f"{fleet}\ncustomers: {{children: {{{children}}}}}", "t")
    text = text or f"text {version}".encode()
    return TreeDeclaration("operator", version, 1.0, ROOTS, dict(tree.nodes), text)


def make_machine():
    return TreeMachine(lambda machine: None)


def apply(machine, command):
    return decode_answer(machine.apply(1, encode_command(command)))


def first_change(machine, text):
    """Return an operator's change from the empty tree."""
    return make_tree_change(
        machine.store,
        difference(machine.store.declared, parse_tree(text, "t")),
        change_id="c",
        base_revision=0,
        operator="o",
        at_seconds=0.0,
    )


def customers_of(machine):
    return set(effective_tree(machine.store.copy(), 1).customers)


def test_the_highest_version_wins():
    machine = make_machine()
    assert apply(machine, declaration(5, ("a",))).status == ACCEPTED
    assert apply(machine, declaration(9, ("b",))).status == ACCEPTED
    assert customers_of(machine) == {"b"}
    assert machine.declared_text == b"text 9"


def test_an_older_version_is_acknowledged_and_changes_nothing():
    """A declaration is delayed and arrives after a newer one.

    Applying it would undo the newer declaration.
    """
    machine = make_machine()
    apply(machine, declaration(9, ("b",)))
    answer = apply(machine, declaration(5, ("a",)))
    assert (answer.status, answer.version) == (UNCHANGED, 9)
    assert customers_of(machine) == {"b"}


@pytest.mark.parametrize("version", [0, -3])
def test_a_first_version_that_could_not_be_stored_is_refused(version):
    """Guards against a configuration that is acknowledged and never in force."""
    machine = make_machine()
    assert apply(machine, declaration(version, ("a",))).status == REFUSED
    assert customers_of(machine) == set()
    apply(machine, declaration(1, ("b",)))
    assert apply(machine, declaration(version, ("a",))).status == UNCHANGED
    assert customers_of(machine) == {"b"}


def test_other_content_under_the_present_version_changes_nothing():
    """Two declarers choose the same version; the second must have no effect."""
    machine = make_machine()
    apply(machine, declaration(5, ("a",)))
    assert apply(machine, declaration(5, ("b",), b"other")).status == UNCHANGED
    assert customers_of(machine) == {"a"}
    assert machine.declared_text == b"text 5"


def test_a_version_that_changes_no_field_is_still_recorded():
    """A newer version has the same content; an older one must not apply after it."""
    machine = make_machine()
    apply(machine, declaration(5, ("a",)))
    assert apply(machine, declaration(7, ("a",))).status == ACCEPTED
    apply(machine, declaration(6, ("b",)))
    assert customers_of(machine) == {"a"}
    assert machine.declared_text == b"text 7"


def test_a_declaration_preserves_roots_that_it_does_not_declare():
    machine = make_machine()
    change = first_change(machine, "targets: {children: {t: {drain: true}}}")
    assert apply(machine, change).status == ACCEPTED
    apply(machine, declaration(1, ("a",)))
    tree = effective_tree(machine.store.copy(), 1)
    assert tree.targets["t"].drain
    assert set(tree.customers) == {"a"}


def test_fleet_fields_are_merged_with_existing_ones():
    machine = make_machine()
    apply(machine, declaration(1, fleet="fleet: {silence_seconds: 3}"))
    apply(machine, declaration(2, fleet="fleet: {body_limit_bytes: 7}"))
    settings = read_node(machine.store.declared.nodes["fleet"]).settings
    assert settings == {"silence_seconds": 3.0, "body_limit_bytes": 7}


def test_a_change_on_a_base_before_a_declaration_conflicts():
    machine = make_machine()
    change = first_change(machine, "customers: {children: {z: {}}}")
    apply(machine, declaration(1, ("a",)))
    assert apply(machine, change).status == CONFLICT


def test_the_version_query_returns_the_newest_version():
    machine = make_machine()
    assert apply(machine, DeclaredVersionQuery()).version == 0
    apply(machine, declaration(4))
    assert apply(machine, DeclaredVersionQuery()).version == 4


def test_malformed_commands_are_refused():
    machine = make_machine()
    assert decode_answer(machine.apply(1, b"\x81\xa4type")).status == REFUSED


class Declarations(RuleBasedStateMachine):
    """Operators race, resend and send old versions; replicas restart from snapshots.

    The model holds the highest version and its content.
    """

    def __init__(self):
        super().__init__()
        self.machines = [make_machine(), make_machine()]
        self.highest = 0
        self.content = None

    @rule(version=st.integers(1, 12), names=st.sampled_from(["a", "b", "ab", "abc"]))
    def declare(self, version, names):
        declared = declaration(version, tuple(names), f"{version} {names}".encode())
        answers = {apply(machine, declared) for machine in self.machines}
        assert len(answers) == 1
        if version > self.highest:
            self.highest, self.content = version, names
        assert answers.pop().version == self.highest

    @rule(number=st.integers(0, 1))
    def restart(self, number):
        fresh = make_machine()
        fresh.restore(self.machines[number].snapshot())
        self.machines[number] = fresh

    @invariant()
    def all_hold_the_highest(self):
        for machine in self.machines:
            assert machine.declared_version == self.highest
            if self.content is not None:
                text = f"{self.highest} {self.content}".encode()
                assert machine.declared_text == text
                assert customers_of(machine) == set(self.content)


TestDeclarations = Declarations.TestCase
TestDeclarations.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
