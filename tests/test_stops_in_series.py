"""Planned stops of all routers, one after another, while bodies are on their way."""

import asyncio
from itertools import count, cycle

import pytest
from aiohttp import ClientConnectorError, ClientError, ClientTimeout

from standins.platform_fleet import request_headers
from tests.crowd_fixture import open_fleet

pytestmark = pytest.mark.heavy

GRACE_SECONDS = 8.0
ROUNDS = 2
CALL_SECONDS = 0.1
PIECES = 6
PIECE_SECONDS = 0.1
PIECE = b"x" * 2_000
DEADLINE_SECONDS = 6.0
READY_SECONDS = 20.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def slow_body(name):
    yield name.encode()
    for _ in range(PIECES):
        await asyncio.sleep(PIECE_SECONDS)
        yield PIECE


async def upload(fleet, router, name, has_length):
    """Send a body in pieces; return the status, None if no connection was open."""
    headers = request_headers(name, DEADLINE_SECONDS)
    if has_length:
        headers["Content-Length"] = str(len(name) + PIECES * len(PIECE))
    try:
        async with fleet.session.post(
            f"http://{router.front}/unsafe/{name}",
            data=slow_body(name),
            headers=headers,
            timeout=ClientTimeout(total=DEADLINE_SECONDS + 1.0),
        ) as answer:
            await answer.read()
            return answer.status
    except ClientConnectorError:
        return None
    except (ClientError, OSError, TimeoutError):
        return 0


async def upload_regularly(fleet, statuses, is_over):
    """Send bodies to all routers in turn, also to those that stop."""
    tasks, routers, lengths = (
        [],
        cycle(fleet.routers),
        cycle((True, True, False, False)),
    )
    for number in count():
        if is_over.is_set():
            break
        name = f"call-{number}"
        sending = upload(fleet, next(routers), name, next(lengths))
        task = asyncio.create_task(sending)
        task.add_done_callback(
            lambda task, name=name: statuses.update({name: task.result()})
        )
        tasks.append(task)
        await asyncio.sleep(CALL_SECONDS)
    await asyncio.gather(*tasks)


async def stop_in_series(fleet):
    """Stop each router and start it again; return the exit codes."""
    codes = []
    for router in fleet.routers * ROUNDS:
        codes.append(await fleet.stop(router))
        await fleet.start(router)
        async with asyncio.timeout(READY_SECONDS):
            while not await fleet.is_ready(router):
                await asyncio.sleep(0.05)
    return codes


async def test_stops_in_series_drop_no_body_on_its_way(tmp_path):
    """Guards against bodies that a stop has taken and leaves without an answer."""
    statuses, is_over = {}, asyncio.Event()
    async with open_fleet(tmp_path, 182, {}) as fleet:
        fleet.bounds = {"grace_s": GRACE_SECONDS}
        uploading = asyncio.create_task(upload_regularly(fleet, statuses, is_over))
        codes = await stop_in_series(fleet)
        is_over.set()
        await uploading
        ran = {name for one in fleet.servers for name in one.server.runs}
        assert fleet.unplanned_exits == []
    assert codes == [0] * len(codes)
    assert {name for name, status in statuses.items() if status == 0} == set()
    refused = {name for name, one in statuses.items() if one in NOT_RUN_STATUSES}
    assert refused & ran == set()
    served = {name for name, status in statuses.items() if status == 200}
    assert served <= ran
    assert len(served) > len(statuses) / 2
