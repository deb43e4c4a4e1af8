"""YAML reading that refuses what plain YAML lets pass."""

from collections.abc import Hashable
from typing import Any

from yaml import MappingNode, SafeLoader, load
from yaml.composer import ComposerError
from yaml.constructor import ConstructorError
from yaml.events import AliasEvent
from yaml.nodes import Node


class _StrictLoader(SafeLoader):
    """A safe loader without duplicate keys and without aliases."""

    def compose_node(self, parent: Node | None, index: int) -> Node | None:
        # A document may name itself through an alias, and a few lines of nested
        # aliases unfold to gigabytes. Inheritance is the tree's own business, so
        # neither is needed, and refusing aliases shuts out cycles as well.
        if self.check_event(AliasEvent):
            event = self.peek_event()
            raise ComposerError(None, None, "aliases are not allowed", event.start_mark)
        return super().compose_node(parent, index)

    def construct_mapping(
        self, node: MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        # Plain YAML lets the last of two equal keys win, and an operator who pasted
        # a customer twice would see one of the two vanish without a word.
        seen: set[Hashable] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, Hashable):
                raise ConstructorError(
                    None, None, "this key is no plain value", key_node.start_mark
                )
            if key in seen:
                raise ConstructorError(
                    None, None, f"duplicate key {key!r}", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_yaml(text: str) -> Any:
    """Return the value of a YAML text.

    Args:
        text: One YAML document.

    Returns:
        Plain Python values.

    Raises:
        yaml.YAMLError: It is no YAML, has a duplicate key or an alias.
    """
    return load(text, Loader=_StrictLoader)
