"""Isolates a stand-in from some instances, as a network partition does."""

import asyncio
from collections.abc import Iterable


class Partition:
    """Suspends the exchanges with instances that are isolated from this target.

    Attempt ids begin with the id of the instance that made them, which identifies the
    other end of a connection on loopback.
    """

    def __init__(self) -> None:
        self._prefixes: tuple[str, ...] = ()
        self._changed = asyncio.Event()

    def isolate(self, instance_ids: Iterable[str]) -> None:
        """Suspend exchanges with these instances only; an empty list heals."""
        self._prefixes = tuple(f"{instance_id}-" for instance_id in instance_ids)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until_reachable(self, attempt_id: str) -> None:
        """Wait until the attempt's instance is reachable."""
        while attempt_id.startswith(self._prefixes):
            await self._changed.wait()
