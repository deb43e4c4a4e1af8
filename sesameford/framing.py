"""How the end of an HTTP answer's body is marked, and what framing a message may have.

Only a length or a last chunk is stated by the target. The end of a connection is not:
a target that crashes may also close its connections in order.
"""

from enum import StrEnum

from aiohttp import ClientResponse

BODILESS_STATUSES = frozenset({204, 304})
# So many bytes of heads and framing are parsed before they are counted: short fields
# take many times as much memory as bytes.
MAX_PART_BYTES = 16_384
# Each byte of a body pays for itself and one of framing, as in chunks of five bytes.
RECEIVED_BYTES_PER_BODY_BYTE = 2


class Framing(StrEnum):
    """What marks the end of an answer's body."""

    NO_BODY = "no-body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


def framing_of(response: ClientResponse) -> Framing:
    """Return how the body of an answer is framed."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return Framing.NO_BODY
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKED
    if response.content_length is None:
        return Framing.CONNECTION
    return Framing.LENGTH
