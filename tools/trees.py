"""Makes trees and customers for the demo and the benchmarks."""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import yaml

from tools.members import digest_of
from tools.shapes import Shape

LARGE_SHARE = 4.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, its bearer key and the instances that receive its calls.

    ``name`` is the last part of its path in the tree, without a slash.
    """

    name: str
    branch: str
    share: float
    entries: tuple[str, ...]
    key: str = field(default_factory=lambda: secrets.token_hex(16))


def make_tree(
    shape: Shape, customers: Sequence[Customer], scheduler: str, **branch: Any
) -> str:
    """Return the YAML of a tree for a deployment.

    Args:
        shape: The deployment, with its models and services.
        customers: The customers to declare.
        scheduler: ``leased`` or ``independent``.
        branch: Fields of the ``customers`` node, which all customers inherit.

    Returns:
        The text for ``sesamefordctl apply``.
    """
    branches: dict[str, dict[str, Any]] = {}
    for customer in customers:
        node = branches.setdefault(
            customer.branch, {"share": customer.share, "children": {}}
        )
        leaf: dict[str, Any] = {"key_digests": [digest_of(customer.key)]}
        if customer.share != node["share"]:
            leaf["share"] = customer.share
        node["children"][customer.name] = leaf
    mailing_route = {"method": "POST", "path_prefix": "/mailing", "repeatable": False}
    tree = {
        "fleet": {"scheduler": scheduler},
        "customers": {**branch, "children": branches},
        "models": {"children": {model: {} for model in shape.models}},
        "services": {
            "children": {
                name: {"routes": [mailing_route]} for name in shape.service_names
            }
        },
    }
    return yaml.safe_dump(tree, sort_keys=False)
