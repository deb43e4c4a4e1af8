"""One client can't hold all connections of a listener."""

import asyncio
from contextlib import asynccontextmanager, suppress

from aiohttp import web

from sesameford.connection_guard import GuardCounts, GuardLimits
from sesameford.http_ports import listen
from tests.test_instance import free_addresses

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@asynccontextmanager
async def serve_guarded(limits):
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


async def send_request(port, request=REQUEST):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        return await reader.readuntil(b"served")
    finally:
        writer.close()


async def test_an_endless_head_is_aborted():
    """A client opens a connection and never completes its first head.

    Without a timeout the connection stays open for ever, and many of them leave no
    socket for other callers.
    """
    async with serve_guarded(GuardLimits(first_head_timeout_seconds=0.05)) as (
        port,
        counts,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST[:-2])
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert counts.too_slow == 1
        assert b"served" in await send_request(port)


async def test_a_head_in_pieces_is_served():
    async with serve_guarded(GuardLimits(first_head_timeout_seconds=5.0)) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for byte in REQUEST:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert await reader.readuntil(b"served")
        writer.close()


async def test_connections_per_address_are_limited():
    """One client opens many connections and keeps them open."""
    limits = GuardLimits(connections=10, per_address=2)
    async with serve_guarded(limits) as (port, counts):
        open_connections = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(2)
        ]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert counts.refused == 1
        for _, open_writer in open_connections:
            open_writer.close()
            await open_writer.wait_closed()
        while counts.open:
            await asyncio.sleep(0.001)
        assert b"served" in await send_request(port)
        assert set(counts.by_address) <= {"127.0.0.1"}
