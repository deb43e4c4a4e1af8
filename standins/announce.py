"""Announces a stand-in to instances in the way the platform's targets do."""

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
    """The properties that a target announces."""

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
        announcement: The properties to announce.
        urls: Operators' addresses of instances, tried in turn until one answers.
        platform_key: The bearer key of targets that announce themselves.
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
        """Announce the target every third of the lease until cancelled."""
        while True:
            await self._send(session, "announce", self._make_body())
            await asyncio.sleep(self._announcement.lease_seconds / 3)

    async def leave(self, session: ClientSession) -> None:
        """Announce that the target accepts no new work."""
        self._sequence += 1
        body = {
            "target_id": self._announcement.target_id,
            "incarnation": self._announcement.incarnation,
            "sequence": self._sequence,
        }
        await self._send(session, "leave", body)

    def _make_body(self) -> dict[str, Any]:
        """Return the request body of the next announcement."""
        self._sequence += 1
        announcement = self._announcement
        return {
            "target_id": announcement.target_id,
            "incarnation": announcement.incarnation,
            "sequence": self._sequence,
            "kind": announcement.kind,
            "serves": list(announcement.serves),
            "url": announcement.url,
            "data_centre": announcement.data_centre,
            "capacity_slots": announcement.capacity_slots,
            "lease_seconds": announcement.lease_seconds,
            "checks_fencing": announcement.checks_fencing,
        }

    async def _send(
        self, session: ClientSession, verb: str, body: dict[str, Any]
    ) -> None:
        """Post to the first instance that answers, and keep it first in the list."""
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
