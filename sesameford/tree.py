"""The declared tree of settings: parsing, inheritance, differences.

A tree is held as one entry per node: the path, such as ``customers/clubs/anand``,
and what the node itself says, in one canonical coding. Equal nodes are equal
bytes, so comparing two trees, sending a difference and keeping 22,000 customers in
memory are all cheap, and a node's text is never parsed twice.
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
    Refused,
    check_fields,
    field_defaults,
    shown,
)
from sesameford.yaml_text import SlicedWork, load_yaml_in_slices, run_to_completion

MAX_TEXT_BYTES = 32_000_000
MAX_NODES = 200_000
MAX_DEPTH = 8
DATA_CENTRES = "data_centres"
SLICE_NODES = 400

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_NAME_ALLOWED = "a name of 1 to 64 letters, digits, '.', '_', ':' and '-'"
_DIGEST_MODULUS = 1 << 128
# Fields that hold lists of rows, and the data class of one row.
_ROW_KINDS: Mapping[str, type] = {"routes": RouteSettings, "backends": BackendSettings}


class TreeNode(Struct, frozen=True, array_like=True):
    """What one node says itself; a leaf is an entity, a branch has children."""

    is_leaf: bool
    settings: dict[str, Any]


_encoder = Encoder(order="sorted")
_decoder = Decoder(TreeNode)


@dataclass(frozen=True, slots=True)
class DeclaredTree:
    """A checked tree as operators declared it: canonical nodes by their path."""

    nodes: Mapping[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TreeDifference:
    """What turns one declared tree into another."""

    put: Mapping[str, bytes]
    removed: tuple[str, ...]

    def is_empty(self) -> bool:
        """Return whether both trees are the same."""
        return not self.put and not self.removed


def read_node(encoded: bytes) -> TreeNode:
    """Return a node from its canonical coding."""
    return _decoder.decode(encoded)


def data_centre_nodes(
    nodes: Mapping[str, bytes], data_centre: str, evacuated: bool
) -> dict[str, bytes]:
    """Return the nodes by which a data centre is evacuated, or no longer.

    Args:
        nodes: The present tree, whose other fields of the data centre are kept.
        data_centre: Its name.
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


def joined_nodes(below: bytes, above: bytes) -> bytes:
    """Return a node with the fields of two, those of ``above`` before the others."""
    node, other = read_node(below), read_node(above)
    return _encoder.encode(TreeNode(other.is_leaf, {**node.settings, **other.settings}))


def node_digest(path: str, encoded: bytes) -> int:
    """Return a number that stands for one node; a tree's digest is their sum.

    It tells trees apart that differ by mistake or by chance. It is not made against
    an operator who would search for two trees of equal digest.
    """
    return xxh3_128_intdigest(b"%b\0%b" % (path.encode(), encoded))


def tree_digest(nodes: Mapping[str, bytes]) -> int:
    """Return the digest of all nodes, whatever their order."""
    total = sum(node_digest(path, encoded) for path, encoded in nodes.items())
    return total % _DIGEST_MODULUS


def updated_digest(
    digest: int, nodes: Mapping[str, bytes], difference: TreeDifference
) -> int:
    """Return the digest that a tree has after a difference.

    Args:
        digest: That of the nodes before.
        nodes: The nodes before.
        difference: What changes.

    Returns:
        The digest after, in time that grows with the difference alone.
    """
    for path in (*difference.removed, *difference.put):
        if path in nodes:
            digest -= node_digest(path, nodes[path])
    for path, encoded in difference.put.items():
        digest += node_digest(path, encoded)
    return digest % _DIGEST_MODULUS


def difference(old: DeclaredTree, new: DeclaredTree) -> TreeDifference:
    """Return what turns the old tree into the new one."""
    put = {
        path: encoded
        for path, encoded in new.nodes.items()
        if old.nodes.get(path) != encoded
    }
    removed = tuple(path for path in old.nodes if path not in new.nodes)
    return TreeDifference(put, removed)


# --- parsing -------------------------------------------------------------------


def parse_tree(text: str, source: str) -> DeclaredTree:
    """Check a declared tree.

    Args:
        text: YAML.
        source: The name to give in errors.

    Returns:
        The tree.

    Raises:
        TreeError: It names the path of the field, what was found and what is
            allowed; nothing of the text is used.
    """
    return run_to_completion(parse_tree_in_slices(text, source))


def parse_tree_in_slices(text: str, source: str) -> SlicedWork[DeclaredTree]:
    """Do what ``parse_tree`` does, stopping after every few milliseconds of work.

    At 22,000 customers it takes most of a second in all. Done in one go it would
    hold up every token that the instance relays meanwhile.
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
    """Check a declared tree that was read from another format than YAML.

    Args:
        raw: Plain mappings, lists, texts and numbers.
        source: The name to give in errors.

    Returns:
        The tree.

    Raises:
        TreeError: As ``parse_tree`` does.
    """
    try:
        return (yield from _check_in_slices(raw))
    except Refused as refused:
        raise TreeError(
            source, refused.path, refused.found, refused.allowed
        ) from refused


def _check_in_slices(raw: Any) -> SlicedWork[DeclaredTree]:
    """Check plain values as a tree."""
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise Refused("(top)", shown(raw), "a mapping of " + ", ".join(ROOTS))
    nodes: dict[str, bytes] = {}
    owners: dict[str, str] = {}
    for root, value in raw.items():
        if root not in ROOTS:
            raise Refused(_root_name(root), "an unknown field", ", ".join(ROOTS))
        for path, node in _walk(value, root, root, 1):
            _check_owners(path, node, owners)
            nodes[path] = _encoder.encode(node)
            if len(nodes) > MAX_NODES:
                raise Refused(path, f"over {MAX_NODES} nodes", f"at most {MAX_NODES}")
            if len(nodes) % SLICE_NODES == 0:
                yield
    _check_routes(nodes)
    return DeclaredTree(nodes)


def _check_routes(nodes: Mapping[str, bytes]) -> None:
    """Refuse routes that contradict each other or lead nowhere.

    With two routes of one host and prefix it would be chance which one a request
    takes, and a route to a service that nobody declared answers every caller with a
    refusal that no target could ever lift.
    """
    inheritance = Inheritance(nodes)
    places: dict[tuple[str, str], str] = {}
    for path in nodes:
        if not path.startswith("routes/") or not read_node(nodes[path]).is_leaf:
            continue
        route: HttpRouteSettings = inheritance.entity(path)
        place = (route.host, route.path_prefix)
        if places.setdefault(place, path) != path:
            found = f"the host and prefix of {places[place]}"
            raise Refused(f"{path}.path_prefix", found, "each host and prefix once")
        _check_backends(path, route, nodes)


def _check_backends(
    path: str, route: HttpRouteSettings, nodes: Mapping[str, bytes]
) -> None:
    """Refuse a route without a service that requests can go to."""
    for backend in route.backends:
        leaf = nodes.get(f"services/{backend.service}")
        if leaf is None or not read_node(leaf).is_leaf:
            found = shown(backend.service)
            raise Refused(f"{path}.backends", found, "services that are declared")
    if sum(backend.weight for backend in route.backends) <= 0:
        raise Refused(f"{path}.backends", "no weight", "a weight above 0 in all")


def _root_name(root: Any) -> str:
    """Return a wrong root as the path of an error."""
    return root if isinstance(root, str) else shown(root)


def _walk(raw: Any, path: str, root: str, depth: int) -> Iterator[tuple[str, TreeNode]]:
    """Check a node and all below it, parents first."""
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise Refused(path, shown(raw), "a mapping of fields")
    if depth > MAX_DEPTH:
        raise Refused(path, f"{depth} levels", f"at most {MAX_DEPTH} levels")
    own = {name: value for name, value in raw.items() if name != "children"}
    # A root is a branch even with nothing in it: "customers" is no customer.
    is_leaf = "children" not in raw and depth > 1
    node = TreeNode(is_leaf, check_fields(own, ROOTS[root], path))
    if not is_leaf:
        for name in LEAF_FIELDS & node.settings.keys():
            raise Refused(f"{path}.{name}", "it at a branch", "it at a leaf only")
    yield path, node
    if "children" in raw:
        yield from _walk_children(raw["children"], path, root, depth)


def _walk_children(
    raw: Any, path: str, root: str, depth: int
) -> Iterator[tuple[str, TreeNode]]:
    """Check the children of a branch."""
    if root not in NAME_FIELDS:
        raise Refused(f"{path}.children", "children", "none under this root")
    if raw is None:
        raw = {}
    if not isinstance(raw, dict):
        raise Refused(f"{path}.children", shown(raw), "a mapping of nodes by name")
    for name, child in raw.items():
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            raise Refused(f"{path}.children", shown(name), _NAME_ALLOWED)
        yield from _walk(child, f"{path}/{name}", root, depth + 1)


def _check_owners(path: str, node: TreeNode, owners: dict[str, str]) -> None:
    """Refuse a key digest that stands at two customers.

    A caller's key names its customer, so with a digest at two of them one would be
    charged for the other's work and could read its answers.
    """
    for digest in node.settings.get("key_digests", ()):
        if owners.setdefault(digest, path) != path:
            raise Refused(
                f"{path}.key_digests",
                f"the digest {digest[:8]}... that {owners[digest]} has",
                "a digest at one customer only",
            )


# --- inheritance ---------------------------------------------------------------


class Inheritance:
    """Works out what nodes inherit, remembering the branches above them."""

    def __init__(self, nodes: Mapping[str, bytes]) -> None:
        self._nodes = nodes
        self._branches: dict[str, dict[str, Any]] = {}
        self._limits: dict[tuple[Any, ...], LimitSettings] = {}

    def settings(self, path: str) -> dict[str, Any]:
        """Return all fields in force at a node that any node up to it sets."""
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
        """Return the settings in force of a leaf, or of ``fleet``."""
        root, _, name = path.partition("/")
        values = self.settings(path)
        if "limits" in values:
            values["limits"] = self._shared_limits(values["limits"])
        for name_of_rows, kind in _ROW_KINDS.items():
            if name_of_rows in values:
                values[name_of_rows] = [kind(**one) for one in values[name_of_rows]]
        values = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in values.items()
        }
        if name:
            values[NAME_FIELDS[root]] = name
        return ROOTS[root](**values)

    def _shared_limits(self, values: dict[str, Any]) -> LimitSettings:
        """Return limits, one object for all customers with the same ones."""
        key = tuple(sorted(values.items()))
        if key not in self._limits:
            self._limits[key] = LimitSettings(**values)
        return self._limits[key]


def effective_tree(declared: DeclaredTree, revision: int) -> EffectiveTree:
    """Return the settings in force under a declared tree.

    Args:
        declared: A checked tree.
        revision: The revision that it has.

    Returns:
        Each entity with its inherited settings.
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
    """Return the settings of the whole deployment under a declared tree."""
    if "fleet" not in declared.nodes:
        return FleetSettings()
    fleet: FleetSettings = Inheritance(declared.nodes).entity("fleet")
    return fleet


def origins(declared: DeclaredTree, path: str) -> Mapping[str, Origin]:
    """Return each effective value of a node with the branch that it comes from.

    Args:
        declared: A checked tree.
        path: A leaf or branch, such as ``customers/clubs/anand``.

    Returns:
        Origins by field; those of limits as ``limits.queued_requests``. A value
        that no branch sets has the branch ``(default)``.

    Raises:
        TreeError: The tree has no such node.
    """
    root = path.partition("/")[0]
    if path not in declared.nodes:
        raise TreeError("(tree)", path, "no such node", "the path of a node")
    found: dict[str, Origin] = {}
    _put_origins(found, field_defaults(ROOTS[root]), "(default)")
    branches = path.split("/")
    for length in range(1, len(branches) + 1):
        branch = "/".join(branches[:length])
        _put_origins(found, read_node(declared.nodes[branch]).settings, branch)
    return found


def _put_origins(
    found: dict[str, Origin], settings: Mapping[str, Any], branch: str
) -> None:
    """Note a branch as the origin of what it sets."""
    for name, value in settings.items():
        if name == "limits":
            values = value if isinstance(value, dict) else field_defaults(LimitSettings)
            for limit, limit_value in values.items():
                found[f"limits.{limit}"] = Origin(limit_value, branch)
        else:
            found[name] = Origin(value, branch)
