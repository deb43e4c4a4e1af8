"""Runs a suspect without other work of this router on its target."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class TargetExclusion:
    """A shared or exclusive lock per target: many attempts at once, or one suspect.

    Without it, a request that crashes targets would abort other callers' running work
    again on its next attempt.
    """

    def __init__(self) -> None:
        self._running: Counter[str] = Counter()
        self._exclusive: dict[str, int] = {}
        self._exclusive_requests: set[bytes] = set()
        self._changed = asyncio.Event()

    @asynccontextmanager
    async def run_shared(self, target_id: str) -> AsyncIterator[None]:
        """Run beside others, once no suspect runs or waits on the target."""
        while self._exclusive.get(target_id):
            await self._changed.wait()
        self._running[target_id] += 1
        try:
            yield
        finally:
            self._release_target(target_id)
            if self._exclusive:
                self._notify_waiters()

    @asynccontextmanager
    async def run_exclusive(
        self, target_id: str, request_digest: bytes
    ) -> AsyncIterator[None]:
        """Run alone on the target, with no other copy of it at this router."""
        self._exclusive[target_id] = self._exclusive.get(target_id, 0) + 1
        entered = False
        try:
            while (
                self._running[target_id] or request_digest in self._exclusive_requests
            ):
                await self._changed.wait()
            self._running[target_id] += 1
            self._exclusive_requests.add(request_digest)
            entered = True
            yield
        finally:
            self._exclusive[target_id] -= 1
            if not self._exclusive[target_id]:
                del self._exclusive[target_id]
            if entered:
                self._exclusive_requests.discard(request_digest)
                self._release_target(target_id)
            self._notify_waiters()

    def _release_target(self, target_id: str) -> None:
        self._running[target_id] -= 1
        if not self._running[target_id]:
            del self._running[target_id]

    def _notify_waiters(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
