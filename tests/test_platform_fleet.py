"""Replicas and routers on loopback that start with seeds only, as on the platform."""

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from aiohttp import ClientSession, TCPConnector

from sesameford.connection_memory import make_connection_memory
from sesameford.gateway.gateway_node import make_gateway_node
from sesameford.gateway.serve import serve_call
from sesameford.http_ports import listen, listen_calls
from sesameford.settings import DaemonSettings, Listen, RetryBudgetSettings
from sesameford_platform.control import make_control_app
from sesameford_platform.wire_adapter import make_wire_adapter
from standins.platform_server import make_platform_server
from tests.test_platform_adapter import CONFIGURATION

LINKS_PORT = 17_400
CONTROL_PORT = 17_401
FRONT_PORT = 17_402
LIMIT_SECONDS = 20
DEFAULT_RETRY_BUDGET = RetryBudgetSettings()


class Fleet:
    """Three replicas and two routers, each with its own IP number."""

    def __init__(self, folder, session, net, retry_budget):
        self.retry_budget = retry_budget
        self.folder = folder
        self.net = net
        self.session = session
        self.nodes = {}
        self.stacks = {}
        self.founds = True

    def address(self, number, port):
        return f"127.0.{self.net}.{number}:{port}"

    async def start(self, number):
        is_replica = number <= 3
        settings = DaemonSettings(
            instance_id=f"i{number}",
            data_centre="a",
            listen=Listen(
                self.address(number, FRONT_PORT),
                self.address(number, CONTROL_PORT),
                self.address(number, LINKS_PORT),
            ),
            seeds=tuple(self.address(seed, LINKS_PORT) for seed in (1, 2, 3)),
            founds=self.founds,
            data_folder=str(self.folder / f"i{number}") if is_replica else None,
            retry_budget=self.retry_budget,
        )
        node = make_gateway_node(settings, "test", make_wire_adapter())
        stack = self.stacks[number] = AsyncExitStack()
        stack.push_async_callback(node.close)
        await node.start()
        if is_replica:
            app = make_control_app(node)
            stop = await listen(app, self.address(number, CONTROL_PORT), None)
            stack.push_async_callback(stop)
        else:
            handler = partial(
                serve_call, node.make_gateway(lambda: False, make_connection_memory())
            )
            port = await listen_calls(handler, self.address(number, FRONT_PORT))
            stack.push_async_callback(port.stop)
        self.nodes[number] = node

    async def stop(self, number):
        await self.stacks.pop(number).aclose()
        del self.nodes[number]

    async def control(self, number, method, path, body=None):
        url = f"http://{self.address(number, CONTROL_PORT)}{path}"
        async with self.session.request(method, url, data=body) as answer:
            return answer.status, await answer.read()

    async def declare(self, number, configuration):
        body = json.dumps(configuration).encode()
        return (await self.control(number, "PUT", "/v1/config", body))[0]

    async def send_request(self, number, path, key="k1", body=b"", **more):
        url = f"http://{self.address(number, FRONT_PORT)}{path}"
        headers = {
            "Host": "h.example",
            "X-Sesameford-Attempt-Id": "id",
            "Authorization": f"Bearer {key}",
            **more,
        }
        async with self.session.post(url, headers=headers, data=body) as answer:
            await answer.read()
            return answer.status


async def wait_until(condition):
    """Wait until a condition is true."""
    async with asyncio.timeout(LIMIT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.05)


@asynccontextmanager
async def open_fleet(
    folder, net, numbers=(1, 2, 3, 4, 5), retry_budget=DEFAULT_RETRY_BUDGET
):
    async with ClientSession(connector=TCPConnector(force_close=True)) as session:
        fleet = Fleet(folder, session, net, retry_budget)
        try:
            for number in numbers:
                await fleet.start(number)
            yield fleet
        finally:
            for number in list(fleet.nodes):
                await fleet.stop(number)


async def test_a_deployment_with_seeds_only_serves_and_keeps_accepted_configurations(
    tmp_path,
):
    """Runs from the first start to a replica that stops and restarts.

    Guards against accepted configurations that are lost, or that an older one replaces.
    """
    async with open_fleet(tmp_path, 77) as fleet:

        async def is_declared():
            return await fleet.declare(2, CONFIGURATION) == 200

        await wait_until(is_declared)
        server = make_platform_server("s1")
        await server.start()
        heartbeat = {
            "service": "pool",
            "address": server.address,
            "zone": "a",
            "slots": 32,
            "state": "ready",
            "sequence": 1,
        }
        body = json.dumps(heartbeat).encode()
        status, _ = await fleet.control(3, "PUT", "/v1/instances/s1", body)
        assert status == 200
        for router in (4, 5):
            await wait_until(lambda router=router: is_served(fleet, router))
        assert await fleet.send_request(4, "/elsewhere/") == 404
        assert await fleet.send_request(4, "/a/stream/x", key="nobody's") == 401

        # Every replica reads the newest version back, also after an older one arrives.
        older = {**CONFIGURATION, "version": 3, "routes": []}
        assert await fleet.declare(1, older) == 200
        for replica in (1, 2, 3):
            status, text = await fleet.control(replica, "GET", "/v1/config")
            assert (status, json.loads(text)) == (200, CONFIGURATION)
        assert await fleet.declare(1, {**CONFIGURATION, "routes": "none"}) == 400

        # One replica stops and restarts; changes are accepted meanwhile.
        await fleet.stop(1)
        fleet.founds = False
        newer = {**CONFIGURATION, "version": 9, "tenants": []}

        async def is_newer_declared():
            return await fleet.declare(2, newer) == 200

        await wait_until(is_newer_declared)
        await fleet.start(1)

        async def is_newer_read_back():
            status, text = await fleet.control(1, "GET", "/v1/config")
            return status == 200 and json.loads(text)["version"] == 9

        await wait_until(is_newer_read_back)

        # A target that has left gets no more requests.
        status, _ = await fleet.control(2, "DELETE", "/v1/instances/s1")
        assert status == 200

        async def is_refused():
            return await fleet.send_request(4, "/a/stream/x") == 503

        await wait_until(is_refused)
        await server.stop()


async def is_served(fleet, router):
    return await fleet.send_request(router, "/a/stream/x") == 200


async def test_a_lone_replica_does_not_return_a_configuration(tmp_path):
    """Two of three replicas are down; the third can't know what they accepted.

    If it returned an old configuration as the newest, an operator would build on it.
    """
    async with open_fleet(tmp_path, 78, (1, 2, 3)) as fleet:

        async def is_declared():
            return await fleet.declare(1, CONFIGURATION) == 200

        await wait_until(is_declared)
        await fleet.stop(2)
        await fleet.stop(3)
        async with asyncio.timeout(LIMIT_SECONDS):
            status, _ = await fleet.control(1, "GET", "/v1/config")
        assert status == 503
