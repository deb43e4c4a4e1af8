"""Which request a crash is attributed to: innocent ones are not quarantined."""

import asyncio

from aiohttp import web

from tests.faults_fixture import GOOD_KEY, open_world

TARGETS = 3


async def test_a_popular_request_is_served_after_a_rack_failed():
    """Copies of one request run on all targets of a rack when it loses power.

    Each copy counted as a trial, so the request was refused for minutes.
    """
    async with open_world() as world:
        router = world.routers[0]
        running, rack_failed = [], asyncio.Event()

        async def run(http):
            running.append(http.url.port)
            await rack_failed.wait()
            return web.Response(text="done")

        def send():
            return router.client.get(
                "/services/roster/x?mark=popular", headers=GOOD_KEY
            )

        for number in range(TARGETS):
            await world.add_handler(f"s{number}", run)
        copies = [asyncio.create_task(send()) for _ in range(TARGETS)]
        async with asyncio.timeout(5):
            while len(set(running)) < TARGETS:
                await asyncio.sleep(0.01)
        rack = list(world.targets)
        await world.add_handler("elsewhere", run)
        rack_failed.set()
        for target in rack:
            await target.proxy.crash()
        for copy in copies:
            answer = await copy
            assert answer.headers["Sesameford-Outcome"] == "ran"
        assert (await send()).headers["Sesameford-Outcome"] == "ran"
