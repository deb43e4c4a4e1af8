"""Streams go on only at the software version that began them."""

import asyncio
from time import monotonic

import pytest

from sesameford.settings import RetryBudgetSettings
from standins.platform_server import Fault
from tests.test_platform_fleet import wait_until
from tests.versions_fixture import ROUTERS, open_version_fleet

STREAMS = 20
# Each router may send each stream of a test once more, when it has counted a window.
AMPLE_BUDGET = RetryBudgetSettings(window_seconds=1.0, spare_requests=100)
MIXED = ("v1", "v1", "v1", "v2", "v2", "v2")


def mixed(pairs):
    """Return the streams whose events come from two versions."""
    return [
        (first, rest)
        for first, rest in pairs
        if len({*first.versions, *rest.versions}) > 1
    ]


def went_on(pairs):
    """Return the part of the streams that went on to their end."""
    return sum(rest.is_whole for _, rest in pairs) / len(pairs)


async def wait_for_spare_retries(world, router):
    async def may_use_spare_retries():
        return world.fleet.nodes[router].spare_part() > 0.0

    await wait_until(may_use_spare_retries)


async def begin_and_resume(world, next_router, pause_seconds=0.3):
    """Begin streams at all routers and resume each at another one."""

    async def one(number):
        router = ROUTERS[number % len(ROUTERS)]
        first = await world.callers.begin(router)
        await asyncio.sleep(pause_seconds)
        return first, await world.callers.resume(next_router(number), first)

    return await asyncio.gather(*(one(number) for number in range(STREAMS)))


async def test_a_stream_goes_on_in_one_answer_only_at_its_version(tmp_path):
    """Guards against an answer whose events come from two versions."""
    async with open_version_fleet(
        tmp_path, 181, *MIXED, retry_budget=AMPLE_BUDGET
    ) as world:
        await wait_for_spare_retries(world, ROUTERS[0])
        for server in world.servers[:4]:
            server.fault = Fault.CUT_UNFRAMED_STREAM
        parts = await asyncio.gather(
            *(world.callers.begin(ROUTERS[0], events=None) for _ in range(STREAMS))
        )
    assert all(len(set(part.versions)) == 1 for part in parts)
    assert {part.is_whole for part in parts if "v1" in part.versions} == {False}
    assert {part.is_whole for part in parts if "v2" in part.versions} == {True}


@pytest.mark.parametrize(("net", "pause_seconds"), [(182, 0.0), (188, 0.3)])
async def test_a_stream_goes_on_at_another_router_at_its_version(
    tmp_path, net, pause_seconds
):
    """Guards against a router that resumes a stream without knowing its version."""
    async with open_version_fleet(tmp_path, net, *MIXED) as world:
        pairs = await begin_and_resume(
            world, lambda number: ROUTERS[(number + 1) % len(ROUTERS)], pause_seconds
        )
    assert mixed(pairs) == []
    assert went_on(pairs) >= 0.9


async def test_a_stream_is_resumed_again_and_again_at_its_version(tmp_path):
    """Guards against a version that is lost over a chain of attempts."""
    async with open_version_fleet(tmp_path, 183, *MIXED) as world:

        async def one(number):
            first = await world.callers.begin(ROUTERS[number % 3])
            parts = [first]
            for step in (1, 2, 3):
                last = str(max(part.last_event_id for part in parts))
                parts.append(
                    await world.callers.resume(
                        ROUTERS[(number + step) % 3],
                        first,
                        events=1,
                        **{"Last-Event-Id": last},
                    )
                )
            return parts

        chains = await asyncio.gather(*(one(number) for number in range(STREAMS)))
    assert all(len({v for part in one for v in part.versions}) == 1 for one in chains)
    assert all(part.status == 200 for one in chains for part in one)


async def test_a_stream_of_unknown_version_is_refused_where_several_serve(tmp_path):
    """Guards against a stream that goes on at a guess."""
    async with open_version_fleet(tmp_path, 184, *MIXED, numbers=(1, 2, 3, 4)) as world:
        first = await world.callers.begin(4)
        for resumes in ("began-nothing", "", None, "x" * 5000):
            parts = [
                await world.callers.resume(4, first, Resumes=resumes) for _ in range(4)
            ]
            assert {part.status for part in parts} == {503}, resumes


async def test_another_customers_attempt_tells_nothing(tmp_path):
    """Guards against a caller who learns of, or resumes, what another one began."""
    async with open_version_fleet(tmp_path, 185, *MIXED, numbers=(1, 2, 3, 4)) as world:
        first = await world.callers.begin(4)
        stolen = await world.callers.resume(4, first, key="k2")
        unknown = await world.callers.resume(4, first, key="k2", Resumes="nothing")
    assert (stolen.status, stolen.retry_after) == (503, unknown.retry_after)
    assert unknown.status == 503


async def test_streams_of_a_version_that_is_gone_are_refused_at_once(tmp_path):
    """Guards against streams that go on at the version that is left."""
    async with open_version_fleet(tmp_path, 186, "v1", "v1", "v2", "v2") as world:
        firsts = [await world.callers.begin(ROUTERS[n % 3]) for n in range(STREAMS)]
        for server in [one for one in world.servers if one.software_version == "v1"]:
            await world.remove(server)
        await asyncio.sleep(0.2)
        started = monotonic()
        pairs = [
            (first, await world.callers.resume(ROUTERS[(n + 1) % 3], first))
            for n, first in enumerate(firsts)
        ]
        took_seconds = (monotonic() - started) / len(pairs)
    assert mixed(pairs) == []
    assert took_seconds < 1.0
    for first, rest in pairs:
        assert rest.status == (503 if first.versions == ("v1",) else 200)


@pytest.mark.known_red
async def test_streams_go_on_where_one_version_serves(tmp_path):
    """Guards against refusing what can't go wrong."""
    async with open_version_fleet(tmp_path, 187, "v2", "v2", "v2") as world:
        pairs = await begin_and_resume(
            world, lambda number: ROUTERS[(number + 1) % len(ROUTERS)]
        )
    assert went_on(pairs) == 1.0


async def test_streams_go_on_while_a_release_replaces_all_servers(tmp_path):
    """Guards against mixed or lost streams while two versions serve for seconds."""
    async with open_version_fleet(tmp_path, 189, *["v1"] * 6) as world:
        pairs, statuses = [], []
        is_over = asyncio.Event()

        async def call(number):
            while not is_over.is_set():
                first = await world.callers.begin(ROUTERS[number % 3])
                statuses.append(first.status)
                if first.versions:
                    router = ROUTERS[(number + 1) % 3]
                    pairs.append((first, await world.callers.resume(router, first)))
                await asyncio.sleep(0.02)

        calling = [asyncio.create_task(call(number)) for number in range(6)]
        for server in list(world.servers):
            await world.add_servers("v2")
            await asyncio.sleep(0.1)
            await world.beat(server, "draining")
            await asyncio.sleep(0.3)
            await world.remove(server)
        is_over.set()
        await asyncio.gather(*calling)
    assert len(pairs) > 50
    assert mixed(pairs) == []
    share_of_new = statuses.count(200) / len(statuses)
    assert went_on(pairs) >= 0.5 * share_of_new


async def test_streams_wait_for_no_other_version_while_their_servers_reject_calls(
    tmp_path,
):
    """Guards against a stream that goes to a free server of another version."""
    async with open_version_fleet(tmp_path, 190, "v1", "v2", "v3") as world:
        firsts = [await world.callers.begin(ROUTERS[n % 3]) for n in range(STREAMS)]
        full = world.servers[0]
        full.fault = Fault.SHED
        at_once = [
            (first, await world.callers.resume(ROUTERS[(n + 1) % 3], first))
            for n, first in enumerate(firsts)
        ]
        full.fault = Fault.NONE
        await asyncio.sleep(1.0)
        later = [
            (first, await world.callers.resume(ROUTERS[(n + 1) % 3], first))
            for n, first in enumerate(firsts)
        ]
    assert mixed(at_once + later) == []
    of_full = [rest for first, rest in at_once if first.versions == ("v1",)]
    assert {rest.status for rest in of_full} == {503}
    assert all(rest.retry_after is not None for rest in of_full)
    assert went_on(later) >= 0.9
