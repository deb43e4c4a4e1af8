"""Lets a suspect run alone on its target, as far as this router fills it."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class TargetExclusion:
    """A gate per target: many pass at once, or one suspect alone.

    A body that crashes targets would otherwise take other callers' running work
    with it a second time.
    """

    def __init__(self) -> None:
        self._running: Counter[str] = Counter()
        self._alone: dict[str, int] = {}
        self._bodies: set[bytes] = set()
        self._changed = asyncio.Event()

    @asynccontextmanager
    async def run_shared(self, target_id: str) -> AsyncIterator[None]:
        """Run beside others, once no suspect runs or waits there."""
        while self._alone.get(target_id):
            await self._changed.wait()
        self._running[target_id] += 1
        try:
            yield
        finally:
            self._leave(target_id)

    @asynccontextmanager
    async def run_exclusive(
        self, target_id: str, body_digest: bytes
    ) -> AsyncIterator[None]:
        """Run once nothing else runs there, and no other copy of the body here."""
        self._alone[target_id] = self._alone.get(target_id, 0) + 1
        entered = False
        try:
            while self._running[target_id] or body_digest in self._bodies:
                await self._changed.wait()
            self._running[target_id] += 1
            self._bodies.add(body_digest)
            entered = True
            yield
        finally:
            self._alone[target_id] -= 1
            if not self._alone[target_id]:
                del self._alone[target_id]
            if entered:
                self._bodies.discard(body_digest)
                self._leave(target_id)
            else:
                self._wake()

    def _leave(self, target_id: str) -> None:
        self._running[target_id] -= 1
        if not self._running[target_id]:
            del self._running[target_id]
        if self._alone or self._bodies:
            self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
