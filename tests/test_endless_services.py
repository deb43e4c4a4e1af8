"""The daemon's way: bytes of a service or an engine that never end."""

import asyncio

import pytest

from tests.endless_fixture import MAX_GROWTH_BYTES, X, watch_process
from tests.faults_fixture import GOOD_KEY, open_world

pytestmark = pytest.mark.heavy

CHUNK = b"%x\r\n%b\r\n" % (len(X), X)
OK = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "without a length": (OK + b"\r\n", X),
    "in chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "of a large length": (OK + b"Content-Length: 9999999999\r\n\r\n", X),
    "newlines": (b"", b"\r\n" * 9000),
    "100": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "the size of a chunk": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 9000),
}
CALLS_AT_ONCE = 8
# A router of the daemon may hold one answer of the longest kind for each call.
MAX_HELD_GROWTH_BYTES = MAX_GROWTH_BYTES + CALLS_AT_ONCE * 2 * 16_000_000


def never_ends(head, piece):
    async def handle(http):
        transport = http.transport
        transport.write(head)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < 1_000_000:
                transport.write(piece)
            await asyncio.sleep(0)
        raise ConnectionResetError

    return handle


@pytest.mark.parametrize(("head", "piece"), ENDLESS.values(), ids=ENDLESS.keys())
async def test_a_service_whose_bytes_never_end_fills_no_memory(head, piece):
    """Guards against a daemon that reads one service's answer until it is killed."""
    async with open_world() as world:
        await world.add_handler("endless", never_ends(head, piece))
        client = world.routers[0].client
        async with asyncio.timeout(8), watch_process() as watch:
            answers = await asyncio.gather(
                *(
                    client.post("/services/roster/permit", headers=GOOD_KEY)
                    for _ in range(CALLS_AT_ONCE)
                )
            )
        assert world.routers[0].relay.held_answers.held_bytes == 0
    assert {answer.headers["Sesameford-Outcome"] for answer in answers} == {"unknown"}
    assert watch.growth_bytes < MAX_HELD_GROWTH_BYTES
