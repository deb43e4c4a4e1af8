"""Parsing, inheritance, differences and rendering of declared trees."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sesameford.effective import LimitSettings
from sesameford.errors import TreeError
from sesameford.tree import (
    difference,
    effective_tree,
    origins,
    parse_tree,
    tree_digest,
)
from sesameford.tree_fields import NAME_FIELDS, ROOTS, field_checks
from sesameford.tree_text import render_difference, render_tree

DIGEST = "a" * 64
GOOD = f"""
fleet: {{scheduler: leased, retry_budget_fraction: 0.2}}
customers:
  share: 2
  limits: {{queued_requests: 5}}
  children:
    clubs:
      children:
        anand:
          key_digests: [{DIGEST}]
          limits: {{concurrent_requests: 3}}
        surat: {{share: 1.5, limits: {{queued_requests: 9}}}}
    staff: {{share: 4}}
services:
  children:
    roster:
      routes: [{{method: POST, path_prefix: /mail, repeatable: false}}]
models: {{children: {{"8b": {{output_token_cost_units: 2}}}}}}
"""


def test_a_branch_inherits_from_its_parent():
    tree = effective_tree(parse_tree(GOOD, "t"), 7)
    assert tree.revision == 7
    assert tree.fleet.retry_budget_fraction == 0.2
    assert set(tree.customers) == {"clubs/anand", "clubs/surat", "staff"}
    anand = tree.customers["clubs/anand"]
    assert (anand.share, anand.key_digests) == (2.0, (DIGEST,))
    assert anand.limits == LimitSettings(concurrent_requests=3, queued_requests=5)
    assert tree.customers["clubs/surat"].limits.queued_requests == 9
    assert tree.models["8b"].output_token_cost_units == 2.0
    assert not tree.services["roster"].routes[0].repeatable


def test_each_value_names_the_branch_that_it_comes_from():
    found = origins(parse_tree(GOOD, "t"), "customers/clubs/anand")
    assert found["share"].branch == "customers"
    assert found["limits.queued_requests"].branch == "customers"
    assert found["limits.concurrent_requests"].branch == "customers/clubs/anand"
    assert found["deadline_seconds"].branch == "(default)"


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("colour: red", "colour"),
        ("customers: {colour: red}", "customers.colour"),
        ("customers: {children: {a: {share: -1}}}", "customers/a.share"),
        ("customers: {children: {a: {share: .nan}}}", "customers/a.share"),
        ("customers: {children: {a: {share: .inf}}}", "customers/a.share"),
        ("customers: {children: {a: {share: 0}}}", "customers/a.share"),
        ("customers: {children: {a: {share: yes}}}", "customers/a.share"),
        ("customers: {children: {a: {share: '1'}}}", "customers/a.share"),
        (
            "customers: {children: {a: {limits: {queued_requests: 1.5}}}}",
            "customers/a.limits.queued_requests",
        ),
        (
            "customers: {children: {a: {limits: {queued_requests: null}}}}",
            "customers/a.limits.queued_requests",
        ),
        (
            "customers: {children: {a: {key_digests: [ABC]}}}",
            "customers/a.key_digests[0]",
        ),
        (f"customers: {{key_digests: [{DIGEST}]}}", "customers.key_digests"),
        (
            f"customers: {{children: {{a: {{key_digests: [{DIGEST}]}},"
            f" b: {{key_digests: [{DIGEST}]}}}}}}",
            "customers/b.key_digests",
        ),
        ("customers: {children: {a: {}, a: {}}}", "(text)"),
        ("customers: {children: {'a/b': {}}}", "customers.children"),
        ("customers: {children: {'..': {}}}", "customers.children"),
        ("customers: {children: {[8]: {}}}", "(text)"),
        ("customers: {children: [a]}", "customers.children"),
        ("customers: &x {children: {a: *x}}", "(text)"),
        ("fleet: {children: {a: {}}}", "fleet.children"),
        ("fleet: {scheduler: fifo}", "fleet.scheduler"),
        ("fleet: {scheduler: [fifo]}", "fleet.scheduler"),
        (
            "services: {children: {a: {routes: [{method: GET}]}}}",
            "services/a.routes[0]",
        ),
        ("[1, 2]", "(top)"),
        ("a: [", "(text)"),
        ("[" * 5000, "(text)"),
        (
            "customers: " + "{children: {a: " * 9 + "{}" + "}}" * 9,
            "customers" + "/a" * 8,
        ),
    ],
)
def test_a_bad_tree_names_path_found_and_allowed(text, path):
    with pytest.raises(TreeError) as caught:
        parse_tree(text, "t.yaml")
    assert caught.value.source == "t.yaml"
    assert caught.value.path == path
    assert caught.value.found
    assert caught.value.allowed


def test_names_are_always_strings():
    text = "customers: {children: {8: {}, no: {}, 1e3: {}, null: {}, 2020-01-01: {}}}"
    names = set(effective_tree(parse_tree(text, "t"), 1).customers)
    assert names == {"8", "no", "1e3", "null", "2020-01-01"}
    with pytest.raises(TreeError):
        parse_tree("customers: {children: {8: {}, '8': {}}}", "t")


def test_every_field_of_the_settings_has_a_check():
    for root, kind in ROOTS.items():
        names = {*field_checks(kind), NAME_FIELDS.get(root, "")} - {""}
        assert names == set(kind.__dataclass_fields__)


def test_a_rendered_difference_lists_fields():
    old = parse_tree(GOOD, "t")
    new = parse_tree(GOOD.replace("share: 1.5", "share: 3"), "t")
    assert difference(old, old).is_empty()
    rows = render_difference(old, difference(old, new))
    assert rows == [("customers/clubs/surat.share", "1.5", "3.0")]


# --- properties ----------------------------------------------------------------

names = st.sampled_from(["a", "b", "no", "8", "1e3", "x:y", "null"])
customers = st.recursive(
    st.fixed_dictionaries({}, optional={"share": st.floats(1e-9, 1e6)}),
    lambda inner: st.fixed_dictionaries(
        {"children": st.dictionaries(names, inner, max_size=3)},
        optional={
            "share": st.integers(1, 9),
            "limits": st.fixed_dictionaries(
                {}, optional={"concurrent_requests": st.none() | st.integers(0, 9)}
            ),
        },
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(customers, customers)
def test_rendering_and_differences_lose_nothing(one, other):
    from yaml import safe_dump

    old = parse_tree(safe_dump({"customers": one}), "t")
    new = parse_tree(safe_dump({"customers": other}), "t")
    assert parse_tree(render_tree(old), "t") == old
    change = difference(old, new)
    nodes = dict(old.nodes)
    for path in change.removed:
        del nodes[path]
    nodes.update(change.put)
    assert nodes == new.nodes
    assert tree_digest(nodes) == tree_digest(new.nodes)


FRAGMENTS = """
customers|fleet|children|share|limits|: |{|}|[|]|, |  |- |1|-1|.nan|null|'|"|&a|*a
!!python/object:os.system|!!binary|!!set|2020-01-01|0x1f|<<|? |%YAML|---|1e999|a
"""
yaml_like = st.lists(
    st.sampled_from(
        [*FRAGMENTS.strip().replace("\n", "|").split("|"), "\n", "| ", "\0", "\ud800"]
    ),
    max_size=40,
).map("".join)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(yaml_like | st.text(max_size=60))
@example("customers: {children: {a: {share: 1" + "0" * 400 + "}}}")
@example("customers: 2020-99-99")
@example("customers: !!int abc")
@example("customers: 0b2")
@example("? {a: 1}\n: 2")
@example("1:1" + ":1" * 3000)
def test_any_text_is_a_tree_or_a_tree_error(text):
    try:
        declared = parse_tree(text, "t")
    except TreeError:
        return
    assert parse_tree(render_tree(declared), "t") == declared
