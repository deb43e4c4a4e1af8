"""Requests that crash their servers, sent through several routers of a deployment."""

import asyncio
import json
from contextlib import asynccontextmanager
from itertools import count, cycle

import pytest
from aiohttp import ClientError

from standins.platform_server import CrashManner, make_platform_server
from tests.crashing_fixture import (
    CRASHING_BODY,
    Keeper,
    crashes,
    crashes_by_body,
    late_sends,
    make_heartbeat,
    play_crashing_request,
)
from tests.test_crashing_requests import MAX_CRASHES, MAX_LATE_SENDS, MIN_SERVED_PART
from tests.test_platform_adapter import CONFIGURATION
from tests.test_platform_fleet import is_served, open_fleet, wait_until

ROUTERS = (4, 5, 6)
SERVERS = 5
PATH = "/a/stream/x"


async def put_heartbeat(fleet, row):
    """Send a server's heartbeat to one of the replicas."""
    body = json.dumps(make_heartbeat(row)).encode()
    replica = 1 + row.sequence % 3
    await fleet.control(replica, "PUT", f"/v1/instances/{row.target_id}", body)


async def start_servers(fleet, crashes_on):
    """Start servers of every crash manner and their heartbeats; return both."""
    servers = [make_platform_server(f"s{number}") for number in range(SERVERS)]
    for server, manner in zip(servers, cycle(CrashManner), strict=False):
        server.crash_manner = manner
        await server.start()
    keeper = Keeper(servers, lambda row: put_heartbeat(fleet, row))
    keeper.start(crashes_on=crashes_on)
    return servers, keeper


@asynccontextmanager
async def open_crashing_fleet(folder, net, crashes_on=crashes_by_body):
    """Start replicas, routers, and servers that crash under some calls."""
    async with open_fleet(folder, net, (1, 2, 3, *ROUTERS)) as fleet:

        async def is_declared():
            return await fleet.declare(2, CONFIGURATION) == 200

        await wait_until(is_declared)
        servers, keeper = await start_servers(fleet, crashes_on)
        for router in ROUTERS:
            await wait_until(lambda router=router: is_served(fleet, router))
        try:
            yield fleet, servers
        finally:
            keeper.stop()
            for server in servers:
                await server.stop()


@pytest.mark.known_red
async def test_routers_hold_a_crashing_request_back_until_an_operator_lifts_that(
    tmp_path,
):
    """A caller goes from router to router, one of which restarts and knows nothing."""
    async with open_crashing_fleet(tmp_path, 79) as (fleet, servers):
        turns, numbers = cycle(ROUTERS), count()

        async def send(body):
            try:
                return await fleet.send_request(next(turns), PATH, body=body)
            except ClientError:
                return 0

        play = await play_crashing_request(
            lambda: send(CRASHING_BODY), lambda: send(b"other %d" % next(numbers))
        )
        assert late_sends(servers) <= MAX_LATE_SENDS
        # Two more copies are under way until a server that fell silent is noticed.
        assert len(crashes(servers)) <= MAX_CRASHES + 2
        assert play.served_at_the_end() >= MIN_SERVED_PART
        await fleet.stop(4)
        await fleet.start(4)
        await wait_until(lambda: is_served(fleet, 4))
        crashed = len(crashes(servers))
        for router in ROUTERS:
            assert await fleet.send_request(router, PATH, body=CRASHING_BODY) == 429
        assert len(crashes(servers)) == crashed

        _, text = await fleet.control(3, "GET", "/v1/quarantines")
        (quarantine,) = json.loads(text)["quarantines"]
        assert quarantine["customer"] == "club"
        assert len(quarantine["crashes"]) == crashed
        path = f"/v1/quarantines/{quarantine['digest']}"
        assert (await fleet.control(3, "DELETE", path))[0] == 200
        assert (await fleet.control(1, "DELETE", "/v1/quarantines/none"))[0] == 404
        for server in servers:
            server.crashes = None
        await asyncio.sleep(0.5)
        for router in ROUTERS:
            status = await fleet.send_request(router, PATH, body=CRASHING_BODY)
            assert status == 200
