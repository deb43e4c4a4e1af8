"""A planned stop of a router while the bodies of requests are on their way."""

import asyncio

import pytest

from standins.platform_server import Fault
from tests.gateway_fixture import open_desk

PIECES = (b"some ", b"notes ", b"for ", b"a club")
PAUSE_SECONDS = 0.05


def chunk(piece):
    return b"%x\r\n%b\r\n" % (len(piece), piece)


async def open_call(desk, framing):
    """Open a connection and send the head of a call."""
    host, port = desk.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {**desk.headers(), **framing}
    lines = ["POST /unsafe/permit HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer


@pytest.mark.parametrize("pieces_before", range(4))
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
async def test_a_body_that_arrives_during_a_stop_is_served(is_chunked, pieces_before):
    """Guards against a request that is read whole and never answered."""
    framing = {"Content-Length": str(sum(map(len, PIECES)))}
    parts = list(PIECES)
    if is_chunked:
        framing = {"Transfer-Encoding": "chunked"}
        parts = [*map(chunk, PIECES[:-1]), chunk(PIECES[-1]) + b"0\r\n\r\n"]
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_call(desk, framing)
        for number, part in enumerate(parts):
            if number == pieces_before:
                desk.is_leaving = True
                await asyncio.sleep(PAUSE_SECONDS)
                desk.port.stop_accepting()
                assert desk.deps.metrics.open_calls == 1
            writer.write(part)
            await asyncio.sleep(PAUSE_SECONDS)
        async with asyncio.timeout(2):
            answer = await reader.read()
        writer.close()
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert answer.endswith(b"answer to " + b"".join(PIECES))
