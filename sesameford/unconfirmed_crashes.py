"""Requests whose exchange broke at a target that may have crashed.

A target behind a slow forwarder counts as alive for a moment after its crash. Without
this, a request that crashes targets would be sent to several more of them before the
first crash is proven.
"""

import asyncio


class UnconfirmedCrashes:
    """The probes that have not ended, by the request whose exchange broke."""

    def __init__(self) -> None:
        self._targets: dict[bytes, dict[asyncio.Task[None], str]] = {}

    def add(self, digest: bytes, target_id: str, probe: asyncio.Task[None]) -> None:
        """Add a probe whose result decides whether a request crashed its target."""
        self._targets.setdefault(digest, {})[probe] = target_id
        probe.add_done_callback(lambda done: self._remove(digest, done))

    def count(self, digest: bytes) -> int:
        """Return how many targets a request may have crashed."""
        return len(set(self._targets.get(digest, {}).values()))

    def probes(self, digest: bytes) -> set[asyncio.Task[None]]:
        """Return the probes that decide about a request."""
        return set(self._targets.get(digest, ()))

    def clear(self, digest: bytes) -> None:
        """Drop the crashes of a request that a target ran to completion."""
        self._targets.pop(digest, None)

    def _remove(self, digest: bytes, probe: asyncio.Task[None]) -> None:
        targets = self._targets.get(digest, {})
        targets.pop(probe, None)
        if not targets:
            self._targets.pop(digest, None)
