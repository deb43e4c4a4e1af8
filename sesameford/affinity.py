"""Prefix affinity: which target has likely cached the start of a prompt.

A router remembers where it sent a prefix and corrects that by the targets' cache
events. These arrive late and with gaps, so the result is only a hint. Digests
include the customer's id: two customers with the same prompt share no entry, and
neither can learn the other's prompts by timing. The hint only chooses among targets
with a free slot; a request never waits for its cached prefix.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from sesameford.tables import Request

MAX_PREFIXES = 20_000


class Affinity:
    """A bounded map of prefix digests to targets, with LRU eviction."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._targets: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._targets)

    def record_sent(self, request: Request, target_id: str) -> None:
        """Record that a request is sent to a target, which will cache its prefixes."""
        for digest in request.prefix_digests:
            self._targets[digest] = target_id
            self._targets.move_to_end(digest)
        while len(self._targets) > self._max_prefixes:
            self._targets.popitem(last=False)

    def record_evicted(self, target_id: str, digests: Iterable[int]) -> None:
        """Record that a target evicted prefixes from its cache."""
        for digest in digests:
            if self._targets.get(digest) == target_id:
                del self._targets[digest]

    def forget_target(self, target_id: str) -> None:
        """Drop the prefixes of a target that left or restarted: its cache is empty."""
        dropped = [
            prefix for prefix, target in self._targets.items() if target == target_id
        ]
        for digest in dropped:
            del self._targets[digest]

    def cached_prefixes(self, request: Request, target_id: str) -> int:
        """Return how many of a request's prefixes a target has likely cached."""
        targets = self._targets
        return sum(
            targets.get(digest) == target_id for digest in request.prefix_digests
        )

    def choose_target(
        self,
        request: Request,
        free: dict[str, int],
        serving: Sequence[str],
        avoid_target_id: str | None,
    ) -> str:
        """Return the best target for a request.

        Args:
            request: The request.
            free: Free slots by target.
            serving: Targets with a free slot that serve the request, at least one.
            avoid_target_id: Target to choose only where there is no other.

        Returns:
            The target with most of the request's prefixes; among equals the one
            with most free slots.
        """
        return max(
            serving,
            key=lambda target_id: (
                target_id != avoid_target_id,
                self.cached_prefixes(request, target_id),
                free[target_id],
                target_id,
            ),
        )
