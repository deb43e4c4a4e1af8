"""One outsider can't hold a listener's connections."""

import asyncio
from contextlib import asynccontextmanager, suppress

from aiohttp import web

from sesameford.connection_guard import GuardCounts, GuardLimits
from sesameford.http_ports import listen
from tests.test_instance import free_addresses

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@asynccontextmanager
async def guarded(limits):
    async def answer(http):
        return web.Response(text="served")

    app = web.Application()
    app.router.add_get("/", answer)
    counts = GuardCounts()
    (address,) = free_addresses(1)
    stop = await listen(app, address, None, limits, counts)
    try:
        yield int(address.split(":")[1]), counts
    finally:
        await stop()


async def ask(port, request=REQUEST):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        return await reader.readuntil(b"served")
    finally:
        writer.close()


async def test_a_head_that_never_ends_is_cut():
    """A sender opens a connection and dribbles a head that never ends.

    Without a bound the connection stays for ever, and many of them leave no socket
    for callers.
    """
    async with guarded(GuardLimits(first_head_timeout_seconds=0.05)) as (port, counts):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST[:-2])
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert counts.too_slow == 1
        assert b"served" in await ask(port)


async def test_a_head_in_pieces_is_served():
    async with guarded(GuardLimits(first_head_timeout_seconds=5.0)) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for byte in REQUEST:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert await reader.readuntil(b"served")
        writer.close()


async def test_one_address_gets_no_more_than_its_connections():
    """One customer opens connection after connection and leaves them open."""
    limits = GuardLimits(connections=10, per_address=2)
    async with guarded(limits) as (port, counts):
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert counts.refused == 1
        for _, one in held:
            one.close()
            await one.wait_closed()
        while counts.open:
            await asyncio.sleep(0.001)
        assert b"served" in await ask(port)
        assert set(counts.by_address) <= {"127.0.0.1"}
