"""Declared trees written out: as YAML, and as a difference between two."""

from collections.abc import Iterator, Mapping
from typing import Any

from msgspec import json

from sesameford.tree import DeclaredTree, TreeDifference, read_node
from sesameford.yaml_text import SlicedWork, run_to_completion

SLICE_LINES = 2000

# Words that YAML 1.1 reads as something else than text when they stand bare.
_QUOTED = frozenset({"y", "n", "yes", "no", "on", "off", "true", "false", "null"})


def render_tree(declared: DeclaredTree) -> str:
    """Return a tree as YAML that parses to the same tree.

    Args:
        declared: A checked tree.

    Returns:
        YAML with sorted names; comments of the operators' file are not in it.
    """
    return run_to_completion(render_tree_in_slices(declared))


def render_tree_in_slices(declared: DeclaredTree) -> SlicedWork[str]:
    """Do what ``render_tree`` does, stopping after every few milliseconds of work.

    The tree must not change meanwhile.
    """
    below: dict[str, list[str]] = {}
    for path in sorted(declared.nodes):
        below.setdefault(path.rpartition("/")[0], []).append(path)
    lines: list[str] = []
    for root in below.get("", []):
        for line in _node_lines(declared.nodes, below, root, 0):
            lines.append(line)
            if len(lines) % SLICE_LINES == 0:
                yield
    return "\n".join(lines) + "\n" if lines else "{}\n"


def _node_lines(
    nodes: Mapping[str, bytes], below: Mapping[str, list[str]], path: str, depth: int
) -> Iterator[str]:
    """Write a node and all below it."""
    node = read_node(nodes[path])
    indent = "  " * depth
    name = _name(path.rpartition("/")[2])
    children = below.get(path, [])
    shows_children = not node.is_leaf and (depth > 0 or children)
    if not node.settings and not shows_children:
        yield f"{indent}{name}: {{}}"
        return
    yield f"{indent}{name}:"
    for field, value in node.settings.items():
        yield f"{indent}  {field}: {_value(value)}"
    if shows_children and not children:
        yield f"{indent}  children: {{}}"
    elif shows_children:
        yield f"{indent}  children:"
        for child in children:
            yield from _node_lines(nodes, below, child, depth + 2)


def _name(name: str) -> str:
    """Return a node's name, in quotes where YAML would not read it as text."""
    if name[0].isalpha() and name.lower() not in _QUOTED and ":" not in name:
        return name
    return f'"{name}"'


def _value(value: Any) -> str:
    """Return a value in YAML's JSON-like style."""
    return json.encode(value).decode()


def render_difference(
    old: DeclaredTree, difference: TreeDifference
) -> list[tuple[str, str, str]]:
    """Return what a difference changes, field by field.

    Args:
        old: The tree before.
        difference: What turns it into the new one.

    Returns:
        Rows of path, what was set and what will be set; empty text for nothing.
    """
    rows: list[tuple[str, str, str]] = []
    for path in sorted({*difference.put, *difference.removed}):
        before = _set_fields(old.nodes.get(path))
        after = _set_fields(difference.put.get(path))
        rows.extend(
            (_field_path(path, name), before.get(name, ""), after.get(name, ""))
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        )
    return rows


def _set_fields(encoded: bytes | None) -> dict[str, str]:
    """Return what a node sets, as text; the node itself under an empty name."""
    if encoded is None:
        return {}
    node = read_node(encoded)
    found = {"": "leaf" if node.is_leaf else "branch"}
    for name, value in node.settings.items():
        found[name] = _value(value)
    return found


def _field_path(path: str, name: str) -> str:
    return f"{path}.{name}" if name else path
