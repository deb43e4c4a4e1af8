"""The declared tree at an instance: its revision, nodes and latest steps."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sesameford.tree import (
    DeclaredTree,
    TreeDifference,
    updated_digest,
)

MAX_STORED_STEPS = 1000
MAX_STORED_STEPS_BYTES = 1_000_000
# Memory beside the texts of a step, roughly.
NODE_OVERHEAD_BYTES = 64
REMOVED_NODE_OVERHEAD_BYTES = 32
STEP_OVERHEAD_BYTES = 64


@dataclass(frozen=True, slots=True)
class TreeStep:
    """The difference from one revision to the next, and the next one's digest."""

    revision: int
    difference: TreeDifference
    digest: int

    def estimated_size_bytes(self) -> int:
        """Return the approximate memory use of the step."""
        put = self.difference.put
        return (
            sum(
                len(path) + len(encoded) + NODE_OVERHEAD_BYTES
                for path, encoded in put.items()
            )
            + sum(
                len(path) + REMOVED_NODE_OVERHEAD_BYTES
                for path in self.difference.removed
            )
            + STEP_OVERHEAD_BYTES
        )


class TreeStore:
    """The tree at the highest revision received, and the latest steps to it.

    Nodes are changed in place, so that the cost of a change depends on the nodes that
    it changes and not on the size of the tree; ``declared`` is a view of them.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, bytes] = {}
        self._steps: deque[TreeStep] = deque()
        self._steps_bytes = 0
        self.revision = 0
        self.digest = 0

    @property
    def declared(self) -> DeclaredTree:
        """A view of the present tree; it changes with the store."""
        return DeclaredTree(self._nodes)

    def copy(self) -> DeclaredTree:
        """Return a copy of the present tree."""
        return DeclaredTree(dict(self._nodes))

    def digest_after(self, difference: TreeDifference) -> int:
        """Return the digest of the tree after a difference, without applying it."""
        return updated_digest(self.digest, self._nodes, difference)

    def apply_step(self, step: TreeStep) -> bool:
        """Advance the tree by one revision.

        Args:
            step: The next revision's difference and digest.

        Returns:
            False, with nothing changed, if the step doesn't fit the present tree.
        """
        if step.revision != self.revision + 1:
            return False
        # If two trees differed at one revision, no later difference would reveal it,
        # since each fits both. The digest detects this before the step is applied.
        if self.digest_after(step.difference) != step.digest:
            return False
        for path in step.difference.removed:
            self._nodes.pop(path, None)
        self._nodes.update(step.difference.put)
        self.revision = step.revision
        self.digest = step.digest
        self._store_step(step)
        return True

    def replace(self, revision: int, nodes: Mapping[str, bytes], digest: int) -> None:
        """Replace the tree and drop the stored steps.

        Args:
            revision: The new tree's revision.
            nodes: The new tree's nodes.
            digest: The digest of these nodes.
        """
        self._nodes = dict(nodes)
        self._steps.clear()
        self._steps_bytes = 0
        self.revision = revision
        self.digest = digest

    def steps_after(self, revision: int) -> Sequence[TreeStep] | None:
        """Return the steps from a revision to the present one.

        Args:
            revision: The revision of another instance.

        Returns:
            Steps in order, empty if the other instance is up to date; None if the
            steps are no longer stored and the whole tree has to be sent.
        """
        if revision >= self.revision:
            return ()
        if not self._steps or self._steps[0].revision > revision + 1:
            return None
        first = revision + 1 - self._steps[0].revision
        return [self._steps[position] for position in range(first, len(self._steps))]

    def _store_step(self, step: TreeStep) -> None:
        """Store a step for instances that are behind, dropping the oldest."""
        self._steps.append(step)
        self._steps_bytes += step.estimated_size_bytes()
        while (
            len(self._steps) > MAX_STORED_STEPS
            or self._steps_bytes > MAX_STORED_STEPS_BYTES
        ):
            self._steps_bytes -= self._steps.popleft().estimated_size_bytes()
