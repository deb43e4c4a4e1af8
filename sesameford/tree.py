"""Parse, compare and digest declared settings trees, and resolve inheritance.

A tree is stored as one entry per node: its path, such as ``customers/clubs/anand``,
and the node's own settings in a canonical MessagePack encoding. Equal nodes have
equal bytes, so trees are cheap to compare, differences are cheap to send, 22,000
customers fit in little memory, and the YAML of a node is parsed only once.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_128_intdigest
from yaml import YAMLError

from sesameford.effective import (
    BackendSettings,
    EffectiveTree,
    FleetSettings,
    HttpRouteSettings,
    LimitSettings,
    Origin,
    RouteSettings,
)
from sesameford.errors import TreeError
from sesameford.tree_fields import (
    LEAF_FIELDS,
    NAME_FIELDS,
    ROOTS,
    FieldError,
    check_fields,
    describe_value,
    field_defaults,
)
from sesameford.yaml_text import SlicedWork, load_yaml_in_slices, run_to_completion

MAX_TEXT_BYTES = 32_000_000
MAX_NODES = 200_000
MAX_DEPTH = 8
DATA_CENTRES = "data_centres"
NODES_PER_SLICE = 400

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_NAME_ALLOWED = "a name of 1 to 64 letters, digits, '.', '_', ':' and '-'"
_DIGEST_MODULUS = 1 << 128
# Fields that hold lists of rows, with the data class of a row.
_ROW_KINDS: Mapping[str, type] = {"routes": RouteSettings, "backends": BackendSettings}


class TreeNode(Struct, frozen=True, array_like=True):
    """The settings that one node sets itself.

    A leaf is an entity; a branch has children that inherit its settings.
    """

    is_leaf: bool
    settings: dict[str, Any]


_encoder = Encoder(order="sorted")
_decoder = Decoder(TreeNode)


@dataclass(frozen=True, slots=True)
class DeclaredTree:
    """A validated tree as operators declared it: encoded nodes by path."""

    nodes: Mapping[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TreeDifference:
    """The nodes to put and to remove to turn one declared tree into another."""

    put: Mapping[str, bytes]
    removed: tuple[str, ...]

    def is_empty(self) -> bool:
        """Return whether the two trees are equal."""
        return not self.put and not self.removed


def read_node(encoded: bytes) -> TreeNode:
    """Decode a node from its canonical encoding."""
    return _decoder.decode(encoded)


def evacuation_nodes(
    nodes: Mapping[str, bytes], data_centre: str, evacuated: bool
) -> dict[str, bytes]:
    """Return the nodes to put to evacuate a data centre or to restore it.

    Args:
        nodes: The present tree; other fields of the data centre are preserved.
        data_centre: The data centre's name.
        evacuated: Whether its targets get no new work.
    """
    path = data_centre_path(data_centre)
    present = read_node(nodes[path]).settings if path in nodes else {}
    node = TreeNode(True, {**present, "evacuated": evacuated})
    return {
        DATA_CENTRES: nodes.get(DATA_CENTRES, _encoder.encode(TreeNode(False, {}))),
        path: _encoder.encode(node),
    }


def data_centre_path(data_centre: str) -> str:
    """Return the path of a data centre's node."""
    return f"{DATA_CENTRES}/{data_centre}"


def is_evacuated(nodes: Mapping[str, bytes], data_centre: str) -> bool:
    """Return whether a data centre is evacuated under a tree."""
    path = data_centre_path(data_centre)
    if path not in nodes:
        return False
    return bool(read_node(nodes[path]).settings.get("evacuated", False))


def merge_nodes(base: bytes, overlay: bytes) -> bytes:
    """Return a node with the fields of both; ``overlay`` wins over ``base``."""
    node, other = read_node(base), read_node(overlay)
    return _encoder.encode(TreeNode(other.is_leaf, {**node.settings, **other.settings}))


def node_digest(path: str, encoded: bytes) -> int:
    """Return the digest of one node; a tree's digest is the sum over its nodes.

    It detects trees that differ by accident. It doesn't resist an operator who
    searches for two trees with the same digest.
    """
    return xxh3_128_intdigest(b"%b\0%b" % (path.encode(), encoded))


def tree_digest(nodes: Mapping[str, bytes]) -> int:
    """Return the digest of all nodes, independent of their order."""
    total = sum(node_digest(path, encoded) for path, encoded in nodes.items())
    return total % _DIGEST_MODULUS


def updated_digest(
    digest: int, nodes: Mapping[str, bytes], difference: TreeDifference
) -> int:
    """Return the digest of a tree after a difference is applied.

    The time taken depends only on the size of the difference.

    Args:
        digest: The digest of ``nodes``.
        nodes: The nodes before the difference.
        difference: The nodes that change.
    """
    for path in (*difference.removed, *difference.put):
        if path in nodes:
            digest -= node_digest(path, nodes[path])
    for path, encoded in difference.put.items():
        digest += node_digest(path, encoded)
    return digest % _DIGEST_MODULUS


def difference(old: DeclaredTree, new: DeclaredTree) -> TreeDifference:
    """Return the difference that turns the old tree into the new one."""
    put = {
        path: encoded
        for path, encoded in new.nodes.items()
        if old.nodes.get(path) != encoded
    }
    removed = tuple(path for path in old.nodes if path not in new.nodes)
    return TreeDifference(put, removed)


# --- parsing -------------------------------------------------------------------


def parse_tree(text: str, source: str) -> DeclaredTree:
    """Parse and validate a declared tree.

    Args:
        text: YAML.
        source: The name of the text in errors.

    Returns:
        The tree.

    Raises:
        TreeError: The text is invalid. The error names the path of the field, the
            value found and the values allowed.
    """
    return run_to_completion(parse_tree_in_slices(text, source))


def parse_tree_in_slices(text: str, source: str) -> SlicedWork[DeclaredTree]:
    """Do what ``parse_tree`` does, yielding after every few milliseconds of work.

    A tree of 22,000 customers takes most of a second to parse. In one go this would
    delay every token that the instance relays in that time.
    """
    if len(text) > MAX_TEXT_BYTES:
        found = f"{len(text)} characters"
        raise TreeError(source, "(text)", found, f"at most {MAX_TEXT_BYTES}")
    try:
        raw = yield from load_yaml_in_slices(text)
    except YAMLError as error:
        found = " ".join(str(error).split())
        raise TreeError(source, "(text)", found, "YAML") from error
    return (yield from check_tree_in_slices(raw, source))


def check_tree_in_slices(raw: Any, source: str) -> SlicedWork[DeclaredTree]:
    """Validate a declared tree that was read from a format other than YAML.

    Args:
        raw: Plain mappings, lists, strings and numbers.
        source: The name of the tree in errors.

    Returns:
        The tree.

    Raises:
        TreeError: The tree is invalid, as for ``parse_tree``.
    """
    try:
        return (yield from _check_in_slices(raw))
    except FieldError as field_error:
        raise TreeError(
            source, field_error.path, field_error.found, field_error.allowed
        ) from field_error


def _check_in_slices(raw: Any) -> SlicedWork[DeclaredTree]:
    """Validate plain values as a tree and encode its nodes."""
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise FieldError(
            "(top)", describe_value(raw), "a mapping of " + ", ".join(ROOTS)
        )
    nodes: dict[str, bytes] = {}
    owners: dict[str, str] = {}
    for root, value in raw.items():
        if root not in ROOTS:
            raise FieldError(_root_name(root), "an unknown field", ", ".join(ROOTS))
        for path, node in _walk_node(value, root, root, 1):
            _check_key_owners(path, node, owners)
            nodes[path] = _encoder.encode(node)
            if len(nodes) > MAX_NODES:
                raise FieldError(
                    path, f"over {MAX_NODES} nodes", f"at most {MAX_NODES}"
                )
            if len(nodes) % NODES_PER_SLICE == 0:
                yield
    _check_routes(nodes)
    return DeclaredTree(nodes)


def _check_routes(nodes: Mapping[str, bytes]) -> None:
    """Reject duplicate routes and routes without a declared service.

    With two routes of the same host and prefix, which one a request takes would be
    arbitrary. A route to an undeclared service would refuse every request, since no
    target could ever serve it.
    """
    inheritance = Inheritance(nodes)
    paths_by_match: dict[tuple[str, str], str] = {}
    for path in nodes:
        if not path.startswith("routes/") or not read_node(nodes[path]).is_leaf:
            continue
        route: HttpRouteSettings = inheritance.entity(path)
        match_key = (route.host, route.path_prefix)
        if paths_by_match.setdefault(match_key, path) != path:
            found = f"the host and prefix of {paths_by_match[match_key]}"
            raise FieldError(f"{path}.path_prefix", found, "each host and prefix once")
        _check_backends(path, route, nodes)


def _check_backends(
    path: str, route: HttpRouteSettings, nodes: Mapping[str, bytes]
) -> None:
    """Reject a route whose backends are undeclared or have no weight in total."""
    for backend in route.backends:
        leaf = nodes.get(f"services/{backend.service}")
        if leaf is None or not read_node(leaf).is_leaf:
            found = describe_value(backend.service)
            raise FieldError(f"{path}.backends", found, "services that are declared")
    if sum(backend.weight for backend in route.backends) <= 0:
        raise FieldError(f"{path}.backends", "no weight", "a weight above 0 in all")


def _root_name(root: Any) -> str:
    """Return an unknown root as the path of an error."""
    return root if isinstance(root, str) else describe_value(root)


def _walk_node(
    raw: Any, path: str, root: str, depth: int
) -> Iterator[tuple[str, TreeNode]]:
    """Validate a node and yield it and its descendants, parents first."""
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise FieldError(path, describe_value(raw), "a mapping of fields")
    if depth > MAX_DEPTH:
        raise FieldError(path, f"{depth} levels", f"at most {MAX_DEPTH} levels")
    own = {name: value for name, value in raw.items() if name != "children"}
    # A root is always a branch, even when empty: "customers" is not a customer.
    is_leaf = "children" not in raw and depth > 1
    node = TreeNode(is_leaf, check_fields(own, ROOTS[root], path))
    if not is_leaf:
        for name in LEAF_FIELDS & node.settings.keys():
            raise FieldError(f"{path}.{name}", "it at a branch", "it at a leaf only")
    yield path, node
    if "children" in raw:
        yield from _walk_children(raw["children"], path, root, depth)


def _walk_children(
    raw: Any, path: str, root: str, depth: int
) -> Iterator[tuple[str, TreeNode]]:
    """Validate the children of a branch and yield their nodes."""
    if root not in NAME_FIELDS:
        raise FieldError(f"{path}.children", "children", "none under this root")
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise FieldError(
            f"{path}.children", describe_value(raw), "a mapping of nodes by name"
        )
    for name, child in raw.items():
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            raise FieldError(f"{path}.children", describe_value(name), _NAME_ALLOWED)
        yield from _walk_node(child, f"{path}/{name}", root, depth + 1)


def _check_key_owners(path: str, node: TreeNode, owners: dict[str, str]) -> None:
    """Reject a key digest that two customers share.

    A caller's key identifies its customer. If two customers had the same key, one
    would be charged for the other's work and could read its answers.
    """
    for digest in node.settings.get("key_digests", ()):
        if owners.setdefault(digest, path) != path:
            raise FieldError(
                f"{path}.key_digests",
                f"the digest {digest[:8]}... that {owners[digest]} has",
                "a digest at one customer only",
            )


# --- inheritance ---------------------------------------------------------------


class Inheritance:
    """Resolves inherited settings of nodes, caching those of their branches."""

    def __init__(self, nodes: Mapping[str, bytes]) -> None:
        self._nodes = nodes
        self._branches: dict[str, dict[str, Any]] = {}
        self._limits: dict[tuple[Any, ...], LimitSettings] = {}

    def settings(self, path: str) -> dict[str, Any]:
        """Return all fields that a node or any of its ancestors sets."""
        node = read_node(self._nodes[path])
        parent, _, name = path.rpartition("/")
        if not name or not parent:
            return node.settings
        if parent not in self._branches:
            self._branches[parent] = self.settings(parent)
        inherited = self._branches[parent]
        merged = {**inherited, **node.settings}
        if "limits" in node.settings and "limits" in inherited:
            merged["limits"] = {**inherited["limits"], **node.settings["limits"]}
        return merged

    def entity(self, path: str) -> Any:
        """Return the effective settings of a leaf, or of ``fleet``."""
        root, _, name = path.partition("/")
        values = self.settings(path)
        if "limits" in values:
            values["limits"] = self._shared_limits(values["limits"])
        for name_of_rows, kind in _ROW_KINDS.items():
            if name_of_rows in values:
                values[name_of_rows] = [kind(**row) for row in values[name_of_rows]]
        values = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in values.items()
        }
        if name:
            values[NAME_FIELDS[root]] = name
        return ROOTS[root](**values)

    def _shared_limits(self, values: dict[str, Any]) -> LimitSettings:
        """Return limits as one object shared by all customers with equal limits."""
        key = tuple(sorted(values.items()))
        if key not in self._limits:
            self._limits[key] = LimitSettings(**values)
        return self._limits[key]


def effective_tree(declared: DeclaredTree, revision: int) -> EffectiveTree:
    """Return the effective settings of a declared tree.

    Args:
        declared: A validated tree.
        revision: The tree's revision.

    Returns:
        All entities with their inherited settings.
    """
    inheritance = Inheritance(declared.nodes)
    entities: dict[str, dict[str, Any]] = {root: {} for root in NAME_FIELDS}
    for path, encoded in declared.nodes.items():
        if read_node(encoded).is_leaf:
            root, _, name = path.partition("/")
            entities[root][name] = inheritance.entity(path)
    fleet = fleet_settings(declared)
    by_digest = {
        digest: customer.customer_id
        for customer in entities["customers"].values()
        for digest in customer.key_digests
    }
    return EffectiveTree(revision, fleet, **entities, customer_ids_by_digest=by_digest)


def fleet_settings(declared: DeclaredTree) -> FleetSettings:
    """Return the fleet-wide settings of a declared tree."""
    if "fleet" not in declared.nodes:
        return FleetSettings()
    fleet: FleetSettings = Inheritance(declared.nodes).entity("fleet")
    return fleet


def origins(declared: DeclaredTree, path: str) -> Mapping[str, Origin]:
    """Return each effective value of a node with the branch that sets it.

    Args:
        declared: A validated tree.
        path: A leaf or branch, such as ``customers/clubs/anand``.

    Returns:
        Origins by field name; limits are named like ``limits.queued_requests``. A
        value that no branch sets has the branch ``(default)``.

    Raises:
        TreeError: The tree has no node at this path.
    """
    root = path.partition("/")[0]
    if path not in declared.nodes:
        raise TreeError("(tree)", path, "no such node", "the path of a node")
    found: dict[str, Origin] = {}
    _record_origins(found, field_defaults(ROOTS[root]), "(default)")
    branches = path.split("/")
    for length in range(1, len(branches) + 1):
        branch = "/".join(branches[:length])
        _record_origins(found, read_node(declared.nodes[branch]).settings, branch)
    return found


def _record_origins(
    found: dict[str, Origin], settings: Mapping[str, Any], branch: str
) -> None:
    """Record a branch as the origin of the values that it sets."""
    for name, value in settings.items():
        if name == "limits":
            values = value if isinstance(value, dict) else field_defaults(LimitSettings)
            for limit, limit_value in values.items():
                found[f"limits.{limit}"] = Origin(limit_value, branch)
        else:
            found[name] = Origin(value, branch)
