"""The way back from a log whose majority is lost, as the docs on operations tell it."""

import asyncio
import shutil

import pytest

from standins.platform_fleet import request_headers
from tests.crowd_fixture import open_fleet

pytestmark = pytest.mark.heavy

WAIT_SECONDS = 20.0


async def until(condition):
    async with asyncio.timeout(WAIT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.1)


async def ask(fleet, router, path):
    """Send a call to a router, and return its status."""
    headers = request_headers(path, 5.0)
    async with fleet.session.post(
        f"http://{router.front}{path}", data=b"notes", headers=headers
    ) as answer:
        await answer.read()
        return answer.status


async def is_served(fleet, router, path):
    return await ask(fleet, router, path) == 200


async def lose_the_majority(fleet):
    """Lose two of three disks, and check that nothing is accepted any more."""
    for replica in fleet.replicas[1:]:
        await fleet.kill(replica, lose_disk=True)
    for replica in fleet.replicas[1:]:
        await fleet.start(replica)
    assert await fleet.declare(fleet.replicas[0], 9, added=True) != 200


async def found_again(fleet):
    """Start the replicas anew with empty disks, and declare the configuration."""
    for replica in fleet.replicas:
        await fleet.stop(replica)
        shutil.rmtree(replica.folder / "data")
    fleet.is_new = True
    await fleet.found(fleet.replicas)

    async def is_declared():
        return await fleet.declare(fleet.replicas[0], 9, added=True) == 200

    await until(is_declared)


async def test_a_log_that_lost_its_majority_is_founded_again(tmp_path):
    """Guards against a deployment that accepts no change ever after two lost disks."""
    async with open_fleet(tmp_path, 181, {}) as fleet:
        await lose_the_majority(fleet)
        for router in fleet.routers:
            await until(lambda router=router: is_served(fleet, router, "/safe/x"))
        for router in fleet.routers:
            await fleet.stop(router)
        await found_again(fleet)
        for router in fleet.routers:
            await fleet.start(router)
            await until(lambda router=router: fleet.is_ready(router))
        assert [await ask(fleet, one, "/new/x") for one in fleet.routers] == [200, 200]
        versions = [await fleet.declared_version(one) for one in fleet.replicas]
        assert versions == [9, 9, 9]
        assert fleet.unplanned_exits == []
