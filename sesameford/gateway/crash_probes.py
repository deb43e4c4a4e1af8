"""Probes of targets that broke an exchange or fell silent: do they still listen?

Without a probe a router would notice a crash only when it sends the target another
call, after the target's backoff. A crashing request that comes again sooner would reach
further targets meanwhile.
"""

import asyncio
from collections.abc import Awaitable, Callable

# Broken exchanges with a target that runs would cause a connection each.
PROBE_INTERVAL_SECONDS = 1.0


class CrashProbes:
    """The probes of one router, at most one a second for each target.

    Args:
        refuses: Returns whether an address refuses connections.
        on_refused: Called with the id and the incarnation of a target that does.
    """

    def __init__(
        self,
        refuses: Callable[[str], Awaitable[bool]],
        on_refused: Callable[[str, int], None],
    ) -> None:
        self._refuses = refuses
        self._on_refused = on_refused
        self._probed_at_seconds: dict[str, float] = {}
        self._postponed: dict[str, tuple[int, str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, target_id: str, incarnation: int, address: str, now_seconds: float
    ) -> None:
        """Probe a target, a second after its last probe at the earliest.

        Its last probe may have been before the end that this one is to find out.
        """
        probed_at = self._probed_at_seconds.get(target_id, float("-inf"))
        if now_seconds - probed_at < PROBE_INTERVAL_SECONDS:
            self._postponed[target_id] = (incarnation, address)
            return
        self._probed_at_seconds[target_id] = now_seconds
        task = asyncio.create_task(self._probe(target_id, incarnation, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def tick(self, now_seconds: float) -> None:
        """Start the postponed probes that are due."""
        self._probed_at_seconds = {
            target_id: at_seconds
            for target_id, at_seconds in self._probed_at_seconds.items()
            if now_seconds - at_seconds < PROBE_INTERVAL_SECONDS
        }
        for target_id in self._postponed.keys() - self._probed_at_seconds.keys():
            incarnation, address = self._postponed.pop(target_id)
            self.start(target_id, incarnation, address, now_seconds)

    async def _probe(self, target_id: str, incarnation: int, address: str) -> None:
        if await self._refuses(address):
            self._on_refused(target_id, incarnation)


def make_crash_probes(
    refuses: Callable[[str], Awaitable[bool]],
    on_refused: Callable[[str, int], None],
) -> CrashProbes:
    """Return probes of a router that has made none; see ``CrashProbes``."""
    return CrashProbes(refuses, on_refused)
