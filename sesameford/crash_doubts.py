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
        self._targets: dict[bytes, dict[asyncio.Task[None], str]] = {}
        # The event loop holds only weak references to tasks.
        self._tasks: set[asyncio.Task[None]] = set()

    def add(
        self, digest: bytes, target_id: str, probe: Coroutine[None, None, None]
    ) -> None:
        """Run a probe whose result decides whether a request crashed its target."""
        task = asyncio.get_running_loop().create_task(probe)
        self._tasks.add(task)
        self._targets.setdefault(digest, {})[task] = target_id
        task.add_done_callback(lambda done: self._remove(digest, done))

    def count(self, digest: bytes) -> int:
        """Return how many targets a request may have crashed."""
        return len(set(self._targets.get(digest, {}).values()))

    def running(self, digest: bytes) -> set[asyncio.Task[None]]:
        """Return the probes that decide about a request."""
        return set(self._targets.get(digest, ()))

    def clear(self, digest: bytes) -> None:
        """Drop the doubts about a request that a target ran to completion."""
        self._targets.pop(digest, None)

    def _remove(self, digest: bytes, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        targets = self._targets.get(digest, {})
        targets.pop(task, None)
        if not targets:
            self._targets.pop(digest, None)
