"""Requests whose target is sent byte for byte.

A URL of the HTTP library drops an empty query, as in ``/a?``, and what follows a ``#``.
A target that heeds either would run another request than its caller sent.
"""

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from aiohttp import ClientRequest, ClientResponse
from yarl import URL

if TYPE_CHECKING:
    from aiohttp.connector import Connection

# Hands the target to ``VerbatimRequest``, and is never sent.
VERBATIM_TARGET_HEADER = "X-Internal-Verbatim-Target"


class VerbatimRequest(ClientRequest):
    """Sends the target in ``VERBATIM_TARGET_HEADER``, the path with the query."""

    async def send(self, conn: "Connection") -> ClientResponse:
        """Write the request to a connection, and return the answer to come."""
        target = self.headers.pop(VERBATIM_TARGET_HEADER, None)
        if target is None or target == self.url.raw_path_qs:
            return await super().send(conn)
        url = self.url
        # The library takes nothing else from the URL here.
        self.url = cast(URL, SimpleNamespace(raw_path_qs=target))
        try:
            return await super().send(conn)
        finally:
            self.url = url
