"""Render declared trees as YAML, and differences as rows of fields."""

from collections.abc import Iterator, Mapping
from typing import Any

from msgspec import json

from sesameford.tree import DeclaredTree, TreeDifference, read_node
from sesameford.yaml_text import SlicedWork, run_to_completion

LINES_PER_SLICE = 2000

# Words that YAML 1.1 reads as booleans or null unless they are quoted.
_QUOTED = frozenset({"y", "n", "yes", "no", "on", "off", "true", "false", "null"})


def render_tree(declared: DeclaredTree) -> str:
    """Return a tree as YAML that parses to the same tree.

    Args:
        declared: A validated tree.

    Returns:
        YAML with sorted names, without the comments of the operators' file.
    """
    return run_to_completion(render_tree_in_slices(declared))


def render_tree_in_slices(declared: DeclaredTree) -> SlicedWork[str]:
    """Do what ``render_tree`` does, yielding after every few milliseconds of work.

    The tree must not change until it is done.
    """
    below: dict[str, list[str]] = {}
    for path in sorted(declared.nodes):
        below.setdefault(path.rpartition("/")[0], []).append(path)
    lines: list[str] = []
    for root in below.get("", []):
        for line in _node_lines(declared.nodes, below, root, 0):
            lines.append(line)
            if len(lines) % LINES_PER_SLICE == 0:
                yield
    return "\n".join(lines) + "\n" if lines else "{}\n"


def _node_lines(
    nodes: Mapping[str, bytes], below: Mapping[str, list[str]], path: str, depth: int
) -> Iterator[str]:
    """Yield the lines of a node and its descendants."""
    node = read_node(nodes[path])
    indent = "  " * depth
    name = _quoted_name(path.rpartition("/")[2])
    children = below.get(path, [])
    shows_children = not node.is_leaf and (depth > 0 or children)
    if not node.settings and not shows_children:
        yield f"{indent}{name}: {{}}"
        return
    yield f"{indent}{name}:"
    for field, value in node.settings.items():
        yield f"{indent}  {field}: {_json_text(value)}"
    if shows_children and not children:
        yield f"{indent}  children: {{}}"
    elif shows_children:
        yield f"{indent}  children:"
        for child in children:
            yield from _node_lines(nodes, below, child, depth + 2)


def _quoted_name(name: str) -> str:
    """Return a node's name, quoted if YAML would not read it as a string."""
    if name[0].isalpha() and name.lower() not in _QUOTED and ":" not in name:
        return name
    return f'"{name}"'


def _json_text(value: Any) -> str:
    """Return a value in JSON, which YAML's flow style includes."""
    return json.encode(value).decode()


def render_difference(
    old: DeclaredTree, difference: TreeDifference
) -> list[tuple[str, str, str]]:
    """Return the fields that a difference changes.

    Args:
        old: The tree before the difference.
        difference: The nodes to put and to remove.

    Returns:
        Rows of path, old value and new value; an empty string stands for no value.
    """
    rows: list[tuple[str, str, str]] = []
    for path in sorted({*difference.put, *difference.removed}):
        before = _fields_as_text(old.nodes.get(path))
        after = _fields_as_text(difference.put.get(path))
        rows.extend(
            (_field_path(path, name), before.get(name, ""), after.get(name, ""))
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        )
    return rows


def _fields_as_text(encoded: bytes | None) -> dict[str, str]:
    """Return a node's fields as text; its kind stands under an empty name."""
    if encoded is None:
        return {}
    node = read_node(encoded)
    texts = {"": "leaf" if node.is_leaf else "branch"}
    for name, value in node.settings.items():
        texts[name] = _json_text(value)
    return texts


def _field_path(path: str, name: str) -> str:
    return f"{path}.{name}" if name else path
