"""Planned stops of a router whose callers go on, until the platform kills it."""

import asyncio
import signal
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from time import monotonic

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from standins.platform_fleet import make_platform_fleet, request_headers

pytestmark = pytest.mark.heavy

GRACE_SECONDS = 8.0
# The platform doesn't count a call that a server works on in this part of the grace if
# it came before the stop.
LAST_PART = 1 / 6
DEADLINE_SECONDS = 11.0
ROUTE_TIMEOUT_SECONDS = 12.0
WARM_SECONDS = 2.0
CALL_SECONDS = 0.15
NOT_RUN_STATUSES = (408, 421, 429, 503)
START_SECONDS = 20.0
# A stream of two events lasts twice as long: nearly as long as the grace.
LONG_EVENT_SECONDS = 3.5


@dataclass
class Call:
    """A call as its caller saw it; times are seconds after the stop began."""

    request_id: str
    sent_at_seconds: float
    status: int | None = None
    is_complete: bool = False
    ended_at_seconds: float = 0.0


@dataclass
class StopPlay:
    """What callers and servers saw of a stop, and how the process ended."""

    calls: list = field(default_factory=list)
    ran: set = field(default_factory=set)
    exit_code: int | None = None
    ended_after_seconds: float = 0.0

    def cut(self, calls):
        """Return those of some calls that ran and have no complete answer."""
        return [
            one for one in calls if one.request_id in self.ran and not one.is_complete
        ]


@asynccontextmanager
async def open_fleet(folder, net, work_seconds):
    """Start replicas, two routers, and servers that work for so long on each call."""
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        fleet = make_platform_fleet(folder, net, session)
        fleet.bounds = {"grace_s": GRACE_SECONDS}
        fleet.route_timeout_seconds = ROUTE_TIMEOUT_SECONDS
        fleet.add_programs(2)
        try:
            for _ in range(4):
                server = (await fleet.add_server()).server
                server.events = 2
                server.pause_seconds = work_seconds
            await fleet.found(fleet.programs)
            async with asyncio.timeout(START_SECONDS):
                await fleet.wait_until_ready()
            yield fleet
        finally:
            await fleet.close()


async def send(fleet, play, call, path, started_at_seconds):
    play.calls.append(call)
    try:
        async with fleet.session.post(
            f"http://{fleet.routers[0].front}{path}",
            headers=request_headers(call.request_id, DEADLINE_SECONDS),
            data=call.request_id.encode(),
            timeout=ClientTimeout(total=DEADLINE_SECONDS + 1.0),
        ) as answer:
            call.status = answer.status
            await answer.read()
            call.is_complete = True
    except (ClientError, OSError, TimeoutError):
        # No complete answer is what the play counts.
        pass
    finally:
        call.ended_at_seconds = monotonic() - started_at_seconds


async def play_stop(fleet, path, stop=None):
    """Send calls at regular times, stop the first router, and kill it at the end.

    Args:
        fleet: The programs.
        path: The path of the calls.
        stop: Stops the router, by SIGTERM if None.
    """
    play, tasks = StopPlay(), []
    router = fleet.routers[0]
    router.is_end_requested = True
    stop_at_seconds = monotonic() + WARM_SECONDS
    number = 0
    stopping = asyncio.create_task(_stop(play, router, stop_at_seconds, stop))
    while monotonic() < stop_at_seconds + GRACE_SECONDS:
        sent_at_seconds = monotonic() - stop_at_seconds
        call = Call(f"call-{number}", sent_at_seconds)
        number += 1
        task = send(fleet, play, call, f"{path}{number}", stop_at_seconds)
        tasks.append(asyncio.create_task(task))
        await asyncio.sleep(CALL_SECONDS)
    await stopping
    await asyncio.gather(*tasks)
    play.ran = {name for one in fleet.servers for name in one.server.runs}
    return play


async def _stop(play, router, stop_at_seconds, stop):
    await asyncio.sleep(stop_at_seconds - monotonic())
    if stop is None:
        router.signal(signal.SIGTERM)
    else:
        await stop(router)
    with suppress(TimeoutError):
        async with asyncio.timeout_at(
            asyncio.get_running_loop().time()
            + stop_at_seconds
            + GRACE_SECONDS
            - monotonic()
        ):
            play.exit_code = await router.process.wait()
    play.ended_after_seconds = monotonic() - stop_at_seconds
    router.signal(signal.SIGKILL)
    await router.process.wait()


def check(play, is_stream):
    """Check that the stop cut nothing that it took, and that answers are true."""
    after = [one for one in play.calls if one.sent_at_seconds > 0.0]
    before = [one for one in play.calls if one.sent_at_seconds <= 0.0]
    assert play.cut(after) == []
    last_seconds = GRACE_SECONDS * (1.0 - LAST_PART)
    for one in play.cut(before):
        assert is_stream
        assert one.ended_at_seconds >= last_seconds
    for one in play.calls:
        if one.status in NOT_RUN_STATUSES:
            assert one.request_id not in play.ran
    assert play.exit_code == 0
    assert play.ended_after_seconds < GRACE_SECONDS


CASES = [
    ("/unsafe/", 0.3),
    ("/unsafe/", 3.0),
    ("/unsafe/", 6.5),
    ("/unsafe/", 9.0),
    ("/safe/", 6.5),
    ("/stream/", 3.0),
    ("/stream/", 4.5),
    ("/stream/resumed/", 4.5),
]


@pytest.mark.parametrize("number", range(len(CASES)))
async def test_a_planned_stop_cuts_no_call_that_it_took(tmp_path, number):
    """Guards against calls that are taken in a stop and cut as it ends."""
    path, work_seconds = CASES[number]
    async with open_fleet(tmp_path, 191 + number, work_seconds) as fleet:
        play = await play_stop(fleet, path)
    check(play, "/stream/" in path)


@pytest.mark.parametrize("path", ["/stream/", "/stream/resumed/"])
async def test_a_planned_stop_cuts_no_stream_that_lasts_longer_than_others(
    tmp_path, path
):
    """Guards against streams that are taken in a stop as those before were short."""
    net = 201 + ("resumed" in path)
    async with open_fleet(tmp_path, net, 0.05) as fleet:

        def work_longer(router):
            for one in fleet.servers:
                one.server.pause_seconds = LONG_EVENT_SECONDS
            router.signal(signal.SIGTERM)
            return asyncio.sleep(0)

        play = await play_stop(fleet, path, work_longer)
    check(play, is_stream=True)


async def test_short_calls_are_served_while_the_balancer_sends_callers(tmp_path):
    """Guards against a stop that refuses calls that it could serve."""
    async with open_fleet(tmp_path, 199, 0.3) as fleet:
        play = await play_stop(fleet, "/safe/")
    check(play, is_stream=False)
    early = [one for one in play.calls if 0.0 < one.sent_at_seconds < 2.0]
    assert len(early) >= 10
    assert all(one.status == 200 for one in early)


async def test_a_stop_goes_by_the_grace_that_was_set_last(tmp_path):
    """Guards against a stop that outlasts a grace which was made shorter before it."""
    grace_seconds = 5.0

    async def stop(router):
        fleet.bounds = {"grace_s": grace_seconds}
        fleet.write_settings(router)
        router.signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        router.signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        router.signal(signal.SIGTERM)

    async with open_fleet(tmp_path, 200, 9.0) as fleet:
        play = await play_stop(fleet, "/unsafe/", stop)
    assert play.exit_code == 0
    assert play.ended_after_seconds < 0.5 + grace_seconds
    assert all(one.status is not None for one in play.cut(play.calls))
    for one in play.calls:
        if one.status in NOT_RUN_STATUSES:
            assert one.request_id not in play.ran
