"""Prefix affinity: which target has likely cached the start of a prompt.

A router remembers where it sent a prefix and corrects that by the targets' cache
events, which come late and with gaps, so it is a hint and no more. Digests are
made with the customer's id: two customers with the same prompt share nothing, and
neither can learn the other's prompts by timing. A hint only chooses among targets
with a free slot; a request never waits for its cache.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from sesameford.tables import Request

MAX_PREFIXES = 20_000


class Affinity:
    """A bounded memory of prefixes by target, the least recently used going first."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._targets: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._targets)

    def record_sent(self, request: Request, target_id: str) -> None:
        """Note that a request goes to a target, which will cache its prefixes."""
        for digest in request.prefix_digests:
            self._targets[digest] = target_id
            self._targets.move_to_end(digest)
        while len(self._targets) > self._max_prefixes:
            self._targets.popitem(last=False)

    def record_evicted(self, target_id: str, digests: Iterable[int]) -> None:
        """Take a target's news that it dropped prefixes."""
        for digest in digests:
            if self._targets.get(digest) == target_id:
                del self._targets[digest]

    def forget_target(self, target_id: str) -> None:
        """Drop all of a target that left or restarted: its cache is empty."""
        gone = [one for one, target in self._targets.items() if target == target_id]
        for digest in gone:
            del self._targets[digest]

    def cached_prefixes(self, request: Request, target_id: str) -> int:
        """Return how many of a request's prefixes a target has likely cached."""
        targets = self._targets
        return sum(targets.get(one) == target_id for one in request.prefix_digests)

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
            serving: Targets with a free slot that serve it, at least one.
            avoid_target_id: Taken only where there is no other.

        Returns:
            The target with most of its prefixes, of equals the emptiest.
        """
        return max(
            serving,
            key=lambda one: (
                one != avoid_target_id,
                self.cached_prefixes(request, one),
                free[one],
                one,
            ),
        )
