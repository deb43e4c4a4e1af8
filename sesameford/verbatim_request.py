"""Requests whose target is sent byte for byte, and large bodies without a copy.

A URL of the HTTP library drops an empty query, as in ``/a?``, and what follows a ``#``.
A target that heeds either would run another request than its caller sent.
"""

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from aiohttp import ClientRequest, ClientResponse, Payload
from aiohttp.abc import AbstractStreamWriter
from yarl import URL

if TYPE_CHECKING:
    from aiohttp.connector import Connection

# Hands the target to ``VerbatimRequest``, and is never sent.
VERBATIM_TARGET_HEADER = "X-Internal-Verbatim-Target"


# A small body goes into one packet with its head.
MAX_JOINED_BODY_BYTES = 65_536


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

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: "Connection",
        content_length: int | None = None,
    ) -> None:
        """Write the body, which the library would copy to join a large one to its head.

        The copy would stay until the target has read it all.
        """
        if count_body_bytes(self) > MAX_JOINED_BODY_BYTES:
            writer.send_headers()
        await super().write_bytes(writer, conn, content_length)


def count_body_bytes(request: ClientRequest) -> int:
    """Return the length of a request's body, 0 if that is not known."""
    body = request.body
    return (body.size or 0) if isinstance(body, Payload) else 0
