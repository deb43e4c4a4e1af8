"""The declared tree held by an instance: its revision, nodes and latest changes."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sesameford.tree import (
    DeclaredTree,
    TreeDifference,
    updated_digest,
)

KEPT_STEPS = 1000
KEPT_STEPS_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class TreeStep:
    """The difference that made a revision out of the one before it."""

    revision: int
    difference: TreeDifference
    digest: int

    def size_bytes(self) -> int:
        """Return about how much room the step takes."""
        put = self.difference.put
        return (
            sum(len(path) + len(encoded) + 64 for path, encoded in put.items())
            + sum(len(path) + 32 for path in self.difference.removed)
            + 64
        )


class TreeStore:
    """The tree at the highest revision seen, and the steps that led there.

    The nodes are changed in place, so that a change costs what it touches and not
    what the tree holds; ``declared`` is a view of them.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, bytes] = {}
        self._steps: deque[TreeStep] = deque()
        self._steps_bytes = 0
        self.revision = 0
        self.digest = 0

    @property
    def declared(self) -> DeclaredTree:
        """The present tree; it changes with the store."""
        return DeclaredTree(self._nodes)

    def copy(self) -> DeclaredTree:
        """Return the present tree as it is now."""
        return DeclaredTree(dict(self._nodes))

    def would_be(self, difference: TreeDifference) -> int:
        """Return the digest that the tree would have after a difference."""
        return updated_digest(self.digest, self._nodes, difference)

    def step(self, step: TreeStep) -> bool:
        """Go one revision on.

        Args:
            step: The next revision's difference and digest.

        Returns:
            False, with nothing changed, when the step does not lead on from here.
        """
        if step.revision != self.revision + 1:
            return False
        # Two trees at one revision would never be told apart again, since every
        # later difference fits both. The digest shows it before anything is used.
        if self.would_be(step.difference) != step.digest:
            return False
        for path in step.difference.removed:
            self._nodes.pop(path, None)
        self._nodes.update(step.difference.put)
        self.revision = step.revision
        self.digest = step.digest
        self._keep(step)
        return True

    def replace(self, revision: int, nodes: Mapping[str, bytes], digest: int) -> None:
        """Take a whole tree; the steps that led to the former one are dropped.

        Args:
            revision: Its revision.
            nodes: Its nodes.
            digest: Their digest.
        """
        self._nodes = dict(nodes)
        self._steps.clear()
        self._steps_bytes = 0
        self.revision = revision
        self.digest = digest

    def steps_after(self, revision: int) -> Sequence[TreeStep] | None:
        """Return the steps from a revision to the present one.

        Args:
            revision: That of another instance.

        Returns:
            Steps in their order, none where the other is as new, or None where
            the steps are not kept any more and the whole tree has to be sent.
        """
        if revision >= self.revision:
            return ()
        if not self._steps or self._steps[0].revision > revision + 1:
            return None
        first = revision + 1 - self._steps[0].revision
        return [self._steps[position] for position in range(first, len(self._steps))]

    def _keep(self, step: TreeStep) -> None:
        """Keep a step for instances that are behind, within the bounds."""
        self._steps.append(step)
        self._steps_bytes += step.size_bytes()
        while len(self._steps) > KEPT_STEPS or self._steps_bytes > KEPT_STEPS_BYTES:
            self._steps_bytes -= self._steps.popleft().size_bytes()
