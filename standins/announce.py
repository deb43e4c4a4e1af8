"""Announces a stand-in to the instances, as the platform's targets do."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from logging import getLogger
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

_logger = getLogger(__name__)
_REQUEST_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself."""

    target_id: str
    incarnation: int
    kind: str
    serves: tuple[str, ...]
    url: str
    data_centre: str
    capacity_slots: int
    lease_seconds: float
    checks_fencing: bool = False


class Announcer:
    """Renews a target's lease with any of several instances.

    Args:
        announcement: What to say.
        urls: Operators' addresses of instances, tried in turn until one answers.
        platform_key: The bearer key of announcing targets.
    """

    def __init__(
        self, announcement: Announcement, urls: Sequence[str], platform_key: str
    ) -> None:
        self._announcement = announcement
        self._urls = list(urls)
        self._headers = {"Authorization": f"Bearer {platform_key}"}
        self._sequence = 0
        self.refusals = 0

    async def run(self, session: ClientSession) -> None:
        """Announce every third of the lease until cancelled."""
        while True:
            await self._send(session, "announce", self._full_body())
            await asyncio.sleep(self._announcement.lease_seconds / 3)

    async def leave(self, session: ClientSession) -> None:
        """Say that no new work shall come here."""
        self._sequence += 1
        body = {
            "target_id": self._announcement.target_id,
            "incarnation": self._announcement.incarnation,
            "sequence": self._sequence,
        }
        await self._send(session, "leave", body)

    def _full_body(self) -> dict[str, Any]:
        """Return the next announcement."""
        self._sequence += 1
        said = self._announcement
        return {
            "target_id": said.target_id,
            "incarnation": said.incarnation,
            "sequence": self._sequence,
            "kind": said.kind,
            "serves": list(said.serves),
            "url": said.url,
            "data_centre": said.data_centre,
            "capacity_slots": said.capacity_slots,
            "lease_seconds": said.lease_seconds,
            "checks_fencing": said.checks_fencing,
        }

    async def _send(
        self, session: ClientSession, verb: str, body: dict[str, Any]
    ) -> None:
        """Tell the first instance that answers; the one that did stays first."""
        for _ in range(len(self._urls)):
            url = f"{self._urls[0]}/targets/{verb}"
            try:
                async with session.post(
                    url,
                    json=body,
                    headers=self._headers,
                    timeout=ClientTimeout(total=_REQUEST_SECONDS),
                ) as response:
                    if response.status == 200:
                        return
                    self.refusals += 1
                    _logger.warning("%s refused: %s", url, await response.text())
            except (ClientError, TimeoutError, OSError) as error:
                _logger.info("%s: %s", url, error)
            self._urls.append(self._urls.pop(0))
