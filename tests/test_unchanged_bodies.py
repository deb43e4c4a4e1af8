"""A target receives a body byte for byte as its caller sent it."""

import gzip
import zlib

import pytest

from standins.platform_server import Fault
from tests.gateway_fixture import open_desk
from tests.raw_fixture import Seen, ask_raw

BODIES = {
    "gzip": gzip.compress(b"notes for a club " * 50),
    "deflate": zlib.compress(b"notes for a club " * 50),
    "br": b"\x0b\x02\x80notes\x03",
    "zstd": b"\x28\xb5\x2f\xfdnotes",
    "x-own": b"anything",
}


@pytest.mark.parametrize("coding", BODIES)
async def test_an_encoded_body_reaches_its_target_unchanged(coding):
    """Guards against a decoded body beside a header that says it is encoded."""
    async with open_desk(Fault.NONE) as desk:
        answer = await ask_raw(
            desk, "/unsafe/permit", body=BODIES[coding], **{"Content-Encoding": coding}
        )
        (call,) = desk.servers[0].received_calls
    assert (answer.status, answer.seen) == (200, Seen.WHOLE)
    assert call.body == BODIES[coding]
    assert call.headers["content-encoding"] == coding
