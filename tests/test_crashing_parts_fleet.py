"""Prompt parts that crash servers, sent through several routers of a deployment."""

import asyncio
import json
from itertools import count, cycle
from time import monotonic

from aiohttp import ClientError

from standins.platform_fleet import prompt_headers
from tests.crashing_fixture import (
    Play,
    crashes,
    has_part,
    late_sends,
    send_regularly,
)
from tests.test_crashing_parts import (
    ALLOWED_CRASHES,
    CRASHING_PART,
    FIRST_PART,
    LAST_SHARED_PART,
    MAX_LATE_SENDS,
    MIN_SERVED_PART,
    play_parts,
)
from tests.test_crashing_requests_fleet import PATH, ROUTERS, open_crashing_fleet
from tests.test_platform_fleet import is_served, wait_until

CRASHING_PROMPT = (FIRST_PART, CRASHING_PART, LAST_SHARED_PART)
INNOCENT_PROMPT = (FIRST_PART, LAST_SHARED_PART)


def asking(fleet, parts):
    """Return a function that sends a call of its own to the next router."""
    turns, numbers = cycle(ROUTERS), count()

    async def ask():
        number = next(numbers)
        headers = prompt_headers(parts, number)
        body = b"%r %d" % (parts, number)
        try:
            return await fleet.send_request(next(turns), PATH, body=body, **headers)
        except ClientError:
            return 0

    return ask


async def test_routers_hold_a_crashing_part_back_until_an_operator_lifts_that(
    tmp_path,
):
    """Calls of which no two are alike come at any router, one of which restarts."""
    is_crashing = has_part(CRASHING_PART)
    async with open_crashing_fleet(tmp_path, 83, is_crashing) as (fleet, servers):
        ask_crashing = asking(fleet, CRASHING_PROMPT)
        ask_innocent = asking(fleet, INNOCENT_PROMPT)
        play = await play_parts(
            [(ask_crashing, "crashing", 0.3, 0.0), (ask_innocent, "other", 0.05, 0.0)]
        )
        assert late_sends(servers, is_crashing, ALLOWED_CRASHES) <= MAX_LATE_SENDS
        # Two more calls are under way until a server that fell silent is noticed.
        assert len(crashes(servers)) <= ALLOWED_CRASHES + 2
        assert play.served_at_the_end() >= MIN_SERVED_PART
        await fleet.stop(4)
        await fleet.start(4)
        await wait_until(lambda: is_served(fleet, 4))
        crashed = len(crashes(servers))
        for _ in ROUTERS:
            assert await ask_crashing() == 429
        assert len(crashes(servers)) == crashed

        _, text = await fleet.control(3, "GET", "/v1/quarantines")
        quarantines = json.loads(text)["quarantines"]
        assert {one["customer"] for one in quarantines} == {"club"}
        for one in quarantines:
            path = f"/v1/quarantines/{one['digest']}"
            assert (await fleet.control(3, "DELETE", path))[0] == 200
        for server in servers:
            server.crashes = None
        await asyncio.sleep(0.5)
        for _ in ROUTERS:
            assert await ask_crashing() == 200


async def test_routers_that_restart_know_a_crashing_part_before_its_next_call(
    tmp_path,
):
    """All routers restart one after another while calls with the part go on."""
    is_crashing = has_part(CRASHING_PART)
    async with open_crashing_fleet(tmp_path, 84, is_crashing) as (fleet, servers):
        ask_crashing = asking(fleet, CRASHING_PROMPT)
        play = Play()

        sending = asyncio.create_task(
            send_regularly(play, ask_crashing, "crashing", 0.2, monotonic() + 12.0)
        )
        await asyncio.sleep(4.0)
        for router in ROUTERS:
            await fleet.stop(router)
            await fleet.start(router)
            await wait_until(lambda router=router: is_served(fleet, router))
        await sending
        # A router that has just started is sent what the others know within a second.
        assert len(crashes(servers)) <= ALLOWED_CRASHES + len(ROUTERS)
