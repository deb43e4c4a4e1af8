"""The examples are valid and have the size of the deployments that they show."""

import re
from hashlib import sha256
from pathlib import Path

import pytest

from sesameford.effective import LimitSettings, RouteSettings
from sesameford.settings import (
    DaemonSettings,
    Listen,
    Logging,
    OperatorKey,
    Peer,
    Tls,
    Tracing,
    load_settings,
)
from sesameford.tree import effective_tree, parse_tree
from sesameford.tree_fields import ROOTS, field_checks

EXAMPLES = Path(__file__).parent.parent / "examples"


def read_tree(name):
    text = (EXAMPLES / name / "tree.yaml").read_text(encoding="utf-8")
    return effective_tree(parse_tree(text, name), 1)


@pytest.mark.parametrize(
    ("name", "models", "services"), [("desk", 2, 3), ("consortium", 2, 1)]
)
def test_the_trees_are_valid(name, models, services):
    tree = read_tree(name)
    assert len(tree.customers) == 16
    assert (len(tree.models), len(tree.services)) == (models, services)
    shares = sorted(customer.share for customer in tree.customers.values())
    assert shares[-1] >= 2 * shares[0]


@pytest.mark.parametrize("name", ["desk", "consortium"])
def test_customer_keys_match_their_documentation(name):
    for customer_id, customer in read_tree(name).customers.items():
        last = customer_id.rpartition("/")[2]
        key = f"demo-{last}" if name == "desk" else f"demo-{customer_id}"
        digest = sha256(key.replace("/", "-").encode()).hexdigest()
        assert customer.key_digests == (digest,)


@pytest.mark.parametrize(("name", "disks"), [("desk", 3), ("consortium", 5)])
def test_the_instance_settings_are_valid(name, disks):
    settings = load_settings(EXAMPLES / name / "e1.yaml")
    assert len(settings.peers) == 7
    assert 1 + sum(peer.has_disk for peer in settings.peers) == disks


def test_consortium_members_have_equal_total_shares():
    shares = {}
    for customer_id, customer in read_tree("consortium").customers.items():
        member = customer_id.partition("/")[0]
        shares[member] = shares.get(member, 0) + customer.share
    del shares["regulator"]
    assert len(set(shares.values())) == 1


def test_the_settings_page_documents_every_field():
    page = (EXAMPLES.parent / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    names = {name for kind in ROOTS.values() for name in field_checks(kind)}
    names |= {*field_checks(LimitSettings), *field_checks(RouteSettings)}
    for kind in (DaemonSettings, Listen, Peer, Tls, Logging, Tracing, OperatorKey):
        names |= set(kind.__struct_fields__)
    missing = {name for name in names if not re.search(rf"`[^`]*\b{name}\b", page)}
    assert not missing
