"""Requests whose exchange broke at a target that may have crashed.

A target behind a slow forwarder counts as alive for a moment after its crash. Without
the doubts, a request that crashes targets would be sent to several more of them before
the first crash is proven.
"""

import asyncio
from collections.abc import Coroutine


class CrashDoubts:
    """The probes that have not ended, by the request whose exchange broke."""

    def __init__(self) -> None:
        self._probes: dict[bytes, set[asyncio.Task[None]]] = {}

    def add(self, digest: bytes, probe: Coroutine[None, None, None]) -> None:
        """Run a probe whose result decides whether a request crashed its target."""
        task = asyncio.get_running_loop().create_task(probe)
        self._probes.setdefault(digest, set()).add(task)
        task.add_done_callback(lambda done: self._remove(digest, done))

    def count(self, digest: bytes) -> int:
        """Return how many crashes of a request are in doubt."""
        return len(self._probes.get(digest, ()))

    async def wait_for_one(self, digest: bytes) -> None:
        """Wait until one of the doubts of a request ends."""
        probes = self._probes.get(digest)
        if probes:
            await asyncio.wait(probes, return_when=asyncio.FIRST_COMPLETED)

    def _remove(self, digest: bytes, task: asyncio.Task[None]) -> None:
        self._probes[digest].discard(task)
        if not self._probes[digest]:
            del self._probes[digest]
