"""Sums of rows of figures by their name."""

from collections.abc import Iterable
from operator import add
from typing import TypeVar

# The short name of a target, the number of a bin, or the id of a customer.
Name = TypeVar("Name", int, str)
Figure = TypeVar("Figure", int, float)


def sum_by_name(
    rows: Iterable[tuple[Name, *tuple[Figure, ...]]],
) -> Iterable[tuple[Name, tuple[Figure, ...]]]:
    """Return the sums of each name, one for each column, in the order of first rows."""
    sums: dict[Name, tuple[Figure, ...]] = {}
    for name, *figures in rows:
        before = sums.get(name)
        sums[name] = (
            tuple(figures) if before is None else tuple(map(add, before, figures))
        )
    return sums.items()
