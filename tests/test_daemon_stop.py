"""A planned stop of a daemon that is killed after a grace."""

import asyncio

import pytest
from aiohttp import web

from sesameford.outcomes import Outcomes
from tests.faults_fixture import GOOD_KEY, open_world
from tests.test_faults import complete, started, until
from tests.test_instance import make_settings, running

GRACE_SECONDS = 2.0
KEYED = {**GOOD_KEY, "Idempotency-Key": "once"}


def begin_stop(router):
    """Begin a planned stop of a router."""
    router.relay.stop_bound.configure(GRACE_SECONDS)
    router.relay.stop_bound.start(asyncio.get_running_loop().time())


async def add_slow_service(world):
    """Add a service whose answers outlast the grace; return the calls that it got."""
    received = []

    async def answer(http):
        received.append(http.path)
        await asyncio.sleep(2 * GRACE_SECONDS)
        return web.Response(text="late")

    await world.add_handler("slow", answer)
    return received


async def call(router, method, path, headers=GOOD_KEY):
    """Return the status, reason and outcome of a call."""
    url = f"/services/roster/{path}"
    async with router.client.request(method, url, headers=headers) as answer:
        problem = await answer.json()
        return answer.status, problem["reason"], answer.headers["Sesameford-Outcome"]


@pytest.mark.parametrize(
    ("method", "headers"), [("GET", GOOD_KEY), ("POST", GOOD_KEY), ("POST", KEYED)]
)
async def test_an_open_call_is_answered_truly_before_the_kill(method, headers):
    """Guards against calls that a stop waits for until the process is killed."""
    async with open_world() as world:
        received = await add_slow_service(world)
        (router,) = world.routers
        opened = asyncio.create_task(call(router, method, "x", headers))
        await until(lambda: received)
        begin_stop(router)
        async with asyncio.timeout(GRACE_SECONDS):
            answer = await opened
    assert answer == (502, "stopping", "unknown")


async def test_a_call_that_cannot_end_before_the_kill_is_not_run():
    """Guards against calls that come after the request to stop and are cut."""
    async with open_world() as world:
        received = await add_slow_service(world)
        (router,) = world.routers
        begin_stop(router)
        answer = await call(router, "POST", "x")
    assert answer == (503, "stopping", "not-run")
    assert not received


async def test_short_calls_are_served_while_a_stop_has_time_for_them():
    """Guards against a stop that refuses callers who find no other instance."""
    async with open_world() as world:
        await world.add_service()
        (router,) = world.routers
        url = "/services/roster/teams"
        for _ in range(8):
            assert (await router.client.get(url, headers=GOOD_KEY)).status == 200
        begin_stop(router)
        assert (await router.client.get(url, headers=GOOD_KEY)).status == 200


async def test_an_open_stream_does_not_look_complete_at_the_end_of_a_stop():
    """Guards against streams that end with the process as if they were whole."""
    async with open_world() as world:
        engine, _ = await world.add_engine(tokens_per_second=20.0)
        (router,) = world.routers
        opened = asyncio.create_task(complete(router, "m1", 200, stream=True))
        await until(lambda: started(engine, "m1"))
        await asyncio.sleep(0.3)
        begin_stop(router)
        async with asyncio.timeout(GRACE_SECONDS):
            answer, body = await opened
    assert answer.status == 200
    assert b"event: error" in body
    assert b"[DONE]" not in body


async def test_a_stop_ends_in_time_though_claims_were_reported_to_nobody(
    tmp_path, monkeypatch
):
    """Guards against a stop that waits for other instances until it is killed."""
    unreported = property(lambda outcomes: 1)
    monkeypatch.setattr(Outcomes, "unreported_claims", unreported)
    settings = make_settings(tmp_path, 1, 1, stop_grace_seconds=GRACE_SECONDS)
    async with running(settings) as (instance,):
        instance.request_stop()
        async with asyncio.timeout(GRACE_SECONDS):
            await instance.stopped.wait()
