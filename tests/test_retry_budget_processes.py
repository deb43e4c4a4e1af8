"""The retry budget of a service over real programs that are killed and start again."""

import asyncio
from contextlib import asynccontextmanager
from itertools import count
from signal import Signals
from time import monotonic

import pytest
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from sesameford.settings import RetryBudgetSettings
from standins.platform_fleet import make_platform_fleet, request_headers
from standins.platform_server import Fault
from tools.retry_checks import retry_times, worst_window

pytestmark = pytest.mark.heavy

BUDGET = RetryBudgetSettings(fraction=0.2, window_seconds=10.0, spare_requests=52)
ROUTERS = 6
SERVERS = 4
REQUESTS_PER_SECOND = 40.0
RUN_SECONDS = 14.0
FAILING_AT_SECONDS = 2.5
START_SECONDS = 20.0


@asynccontextmanager
async def open_programs(folder, net):
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        fleet = make_platform_fleet(folder, net, session)
        fleet.set_retry_budget(BUDGET)
        fleet.add_programs(ROUTERS)
        try:
            await fleet.found(fleet.programs)
            for _ in range(SERVERS):
                await fleet.add_server()
            async with asyncio.timeout(START_SECONDS):
                await fleet.wait_until_ready()
            yield fleet
        finally:
            await fleet.close()


class Load:
    """Callers who send requests to all routers in turn; ``sent`` are their times."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = count(1)
        self.sent = []
        self.served = 0

    async def run(self):
        tasks = set()
        begin = monotonic()
        for number in range(int(RUN_SECONDS * REQUESTS_PER_SECOND)):
            due = begin + number / REQUESTS_PER_SECOND
            await asyncio.sleep(max(due - monotonic(), 0.0))
            router = self._fleet.routers[number % ROUTERS]
            tasks.add(asyncio.create_task(self._send(router)))
        await asyncio.gather(*tasks)

    async def _send(self, router):
        request_id = f"request-{next(self._numbers)}"
        url = f"http://{router.front}/safe/{request_id}"
        sent_at = monotonic()
        try:
            async with self._fleet.session.get(
                url,
                headers=request_headers(request_id, 4.0),
                timeout=ClientTimeout(total=5.0),
            ) as answer:
                await answer.read()
                self.served += answer.status == 200
        except ClientConnectorError:
            # Nothing was sent, so it counts for no service.
            return
        except (ClientError, OSError, TimeoutError):
            # Its router was killed; whether it had the request, the targets know.
            pass
        self.sent.append(sent_at)


async def all_at_once(fleet):
    for _ in range(3):
        await fleet.kill_and_start(fleet.routers)
        await asyncio.sleep(2.2)


async def one_after_the_other(fleet):
    for router in fleet.routers * 2:
        await fleet.kill_and_start([router])
        await asyncio.sleep(0.7)


async def with_replicas(fleet):
    for _ in range(2):
        await fleet.kill_and_start(fleet.programs)
        await asyncio.sleep(4.0)


async def others_stay_away(fleet):
    gone = fleet.routers[:4]
    for router in gone:
        await fleet.kill(router)
    await asyncio.sleep(6.0)
    for router in gone:
        await fleet.start(router)


async def replicas_stand_still(fleet):
    for replica in fleet.replicas:
        replica.signal(Signals.SIGSTOP)
    await fleet.kill_and_start(fleet.routers)
    await asyncio.sleep(4.0)
    for replica in fleet.replicas:
        replica.signal(Signals.SIGCONT)
    await fleet.kill_and_start(fleet.routers)


TROUBLES = (
    all_at_once,
    one_after_the_other,
    with_replicas,
    others_stay_away,
    replicas_stand_still,
)


@pytest.mark.parametrize("fault", [Fault.SHED, Fault.CLOSE])
@pytest.mark.parametrize("trouble", TROUBLES)
async def test_routers_that_start_again_stay_within_the_budget(
    tmp_path, trouble, fault
):
    """Guards against a budget that starts anew, or grows, with each router's process.

    All servers fail every request while routers are killed and start again, and each
    new process repeats requests as if its predecessor had repeated none.
    """
    net = 201 + 2 * TROUBLES.index(trouble) + (fault is Fault.CLOSE)
    async with open_programs(tmp_path, net) as fleet:
        load = Load(fleet)
        running = asyncio.create_task(load.run())
        await asyncio.sleep(FAILING_AT_SECONDS)
        for one in fleet.servers:
            one.server.fault = fault
        await asyncio.sleep(0.5)
        await trouble(fleet)
        await running
        worst = worst_window(load.sent, retry_times(fleet.servers), BUDGET)
    assert worst.retries <= worst.allowed
    assert worst.retries > 0
