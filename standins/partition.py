"""Cuts a stand-in off from some instances, as a network partition does."""

import asyncio
from collections.abc import Iterable


class Partition:
    """Holds exchanges of the instances that can't reach this target now.

    Attempt ids begin with the id of the instance that made them, which tells who is
    at the other end of a connection on loopback.
    """

    def __init__(self) -> None:
        self._prefixes: tuple[str, ...] = ()
        self._changed = asyncio.Event()

    def cut_off(self, instance_ids: Iterable[str]) -> None:
        """Let nothing pass from and to these instances; none heals the network."""
        self._prefixes = tuple(f"{instance_id}-" for instance_id in instance_ids)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_open(self, attempt_id: str) -> None:
        """Return once the attempt's instance can be reached."""
        while attempt_id.startswith(self._prefixes):
            await self._changed.wait()
