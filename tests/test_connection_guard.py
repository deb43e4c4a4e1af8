"""One client can't hold all connections of a listener."""

import asyncio
from contextlib import asynccontextmanager, suppress
from resource import RLIM_INFINITY

import pytest
from aiohttp import web

from sesameford.guard_limits import MIN_CONNECTIONS, GuardLimits, limits_of_descriptors
from sesameford.guarded_connection import GuardCounts, Stage
from sesameford.http_ports import listen, listen_calls
from tests.test_instance import free_addresses

LARGE_ANSWER = 2_000_000
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
    async with serve_guarded(GuardLimits(head_timeout_seconds=0.05)) as (
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
    async with serve_guarded(GuardLimits(head_timeout_seconds=5.0)) as (port, _):
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


async def test_a_connection_without_a_request_is_evicted():
    """Guards against clients who take all connections and do nothing with them."""
    limits = GuardLimits(connections=2, per_address=2)
    async with serve_guarded(limits) as (port, counts):
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        while counts.open < 2:
            await asyncio.sleep(0.001)
        silent[0][1].write(REQUEST[:-2])
        assert b"served" in await send_request(port)
        assert counts.evicted == 1
        with suppress(ConnectionResetError):
            assert await silent[1][0].read() == b""
        silent[0][1].write(REQUEST[-2:])
        assert await silent[0][0].readuntil(b"served")
        for _, writer in silent:
            writer.close()


async def test_a_connection_whose_caller_does_not_read_is_evicted():
    """Guards against clients who take all connections with answers they don't read."""

    async def answer(http):
        return web.Response(text="served" * LARGE_ANSWER)

    (address,) = free_addresses(1)
    counts = GuardCounts()
    port = await listen_calls(answer, address, GuardLimits(2, 2), counts)
    number = int(address.split(":")[1])
    silent = []
    async with asyncio.timeout(5):
        for _ in range(2):
            _, writer = await asyncio.open_connection("127.0.0.1", number, limit=1)
            writer.write(REQUEST)
            silent.append(writer)
        while len(counts.by_stage[Stage.UNREAD]) < 2:
            await asyncio.sleep(0.01)
        assert b"served" in await send_request(number)
    assert counts.evicted == 1
    for writer in silent:
        writer.transport.abort()
    await port.stop()


async def test_a_closed_connection_is_in_no_stage():
    """Guards against places that are given up by connections that are gone."""
    records = []

    async def answer(http):
        records.append(http.protocol._connection)
        return web.Response(text="served")

    (address,) = free_addresses(1)
    port = await listen_calls(answer, address)
    assert b"served" in await send_request(int(address.split(":")[1]))
    async with asyncio.timeout(5):
        while port.guard.counts.open:
            await asyncio.sleep(0.01)
    # As one does whose turn of the loop comes late.
    records[0].set_stage(Stage.BODY)
    assert not any(port.guard.counts.by_stage.values())
    await port.stop()


async def test_a_later_head_has_a_timeout_too():
    """Guards against clients who take connections with a part of a second head."""
    async with serve_guarded(GuardLimits(head_timeout_seconds=0.3)) as (port, counts):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        assert await reader.readuntil(b"served")
        await asyncio.sleep(0.5)
        writer.write(REQUEST[:-2])
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert counts.too_slow == 1


async def test_an_idle_timeout_cuts_no_head_that_has_begun():
    """Guards against callers cut off inside the time that their heads may take."""

    async def answer(http):
        return web.Response(text="served")

    limits = GuardLimits(head_timeout_seconds=5.0)
    port = await listen_calls(answer, "127.0.0.1:0", limits)
    port.set_idle_seconds(0.3)
    try:
        number = port.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", number)
        for _ in range(2):
            writer.write(REQUEST[:-2])
            await asyncio.sleep(0.5)
            writer.write(REQUEST[-2:])
            assert await reader.readuntil(b"served")
        writer.close()
    finally:
        await port.stop()


@pytest.mark.parametrize(
    ("max_descriptors", "ports", "connections"),
    [
        (4_100, 1, 2_866),
        (4_100, 2, 1_433),
        (100, 1, MIN_CONNECTIONS),
        (10_000_000, 1, GuardLimits().connections),
        (RLIM_INFINITY, 2, GuardLimits().connections),
    ],
)
def test_connections_leave_descriptors_for_all_other_sockets(
    max_descriptors, ports, connections
):
    """Guards against a process that can't open a connection to a target any more."""
    limits = limits_of_descriptors(max_descriptors, ports)
    assert limits.connections == limits.per_address == connections
