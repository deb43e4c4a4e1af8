"""A part of prompts that crashes servers, over real programs that are killed."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count, cycle

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from standins.platform_fleet import (
    KEY,
    make_platform_fleet,
    prompt_headers,
    request_headers,
)
from standins.platform_server import CrashManner, make_platform_server
from tests.crashing_fixture import (
    CRASHING_BODY,
    Keeper,
    crashes,
    crashes_by_body,
    has_part,
    late_sends,
    make_heartbeat,
)
from tests.test_crashing_parts import (
    ALLOWED_CRASHES,
    CRASHING_PART,
    FIRST_PART,
    MAX_LATE_SENDS,
    MIN_SERVED_PART,
    play_parts,
)
from tests.test_crashing_requests import MAX_CRASHES

pytestmark = pytest.mark.heavy

logger = logging.getLogger(__name__)

ROUTERS = 4
SERVERS = 10
CUSTOMERS = 12
CRASHING_SECONDS = 0.45
INNOCENT_SECONDS = 0.05
TROUBLE_AT_SECONDS = 7.0
START_SECONDS = 20.0
PATHS = ("/stream/resumed/", "/safe/", "/unsafe/")


@asynccontextmanager
async def open_programs(folder, net, crashes_on):
    """Start replicas, routers, and servers that crash in each manner and come back."""
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        fleet = make_platform_fleet(folder, net, session)
        fleet.keys = {f"c{number}": f"{KEY}-{number}" for number in range(CUSTOMERS)}
        fleet.add_programs(ROUTERS)
        servers = [make_platform_server(f"s{number}") for number in range(SERVERS)]
        for server, manner in zip(servers, cycle(CrashManner), strict=False):
            server.crash_manner = manner
            await server.start()
        keeper = Keeper(servers, lambda row: put_heartbeat(fleet, row))
        try:
            await fleet.found(fleet.programs)
            keeper.start(crashes_on=crashes_on)
            async with asyncio.timeout(START_SECONDS):
                await fleet.wait_until_ready()
            yield fleet, servers
        finally:
            keeper.stop()
            for server in servers:
                await server.stop()
            await fleet.close()


async def put_heartbeat(fleet, row):
    """Send a server's heartbeat to the first replica that takes it."""
    first = row.sequence % len(fleet.replicas)
    for replica in fleet.replicas[first:] + fleet.replicas[:first]:
        path = f"/v1/instances/{row.target_id}"
        if (await fleet.call(replica.control, "PUT", path, make_heartbeat(row)))[
            0
        ] == 200:
            return


def asking(fleet, customer, parts, body=None):
    """Return a function that sends a call of a customer to the next router.

    Args:
        fleet: The programs.
        customer: The customer's number.
        parts: The shared parts of the prompt, none for a call without one.
        body: The body of all calls, None for calls of which no two are alike.
    """
    routers, paths, numbers = cycle(fleet.routers), cycle(PATHS), count()

    async def ask():
        number = next(numbers)
        path = f"{next(paths)}{number}" if body is None else "/safe/x"
        request_id = f"{customer}-{parts}-{number}"
        router = next(routers)
        headers = request_headers(request_id, 4.0, fleet.keys[f"c{customer}"])
        if parts:
            headers |= prompt_headers(parts, number)
        try:
            async with fleet.session.post(
                f"http://{router.front}{path}",
                headers=headers,
                data=body or b"call %d" % number,
                timeout=ClientTimeout(total=5.0),
            ) as answer:
                text = await answer.read()
                if answer.status != 200:
                    logger.warning(
                        "%s at %s: %d %r",
                        request_id,
                        router.name,
                        answer.status,
                        text,
                    )
                return answer.status
        except (ClientError, OSError, TimeoutError) as error:
            logger.warning("%s at %s: %r", request_id, router.name, error)
            return 0

    return ask


def crashing_senders(fleet, customers, apart_seconds=0.0):
    """Return senders of calls with the crashing part, for some customers."""
    return [
        (
            asking(fleet, customer, (FIRST_PART, CRASHING_PART)),
            "crashing",
            CRASHING_SECONDS,
            customer * apart_seconds,
        )
        for customer in range(customers)
    ]


def innocent_sender(fleet):
    """Return a sender of calls that share the caller and the other part."""
    return asking(fleet, 0, (FIRST_PART,)), "other", INNOCENT_SECONDS, 0.0


async def nothing(fleet):
    """Leave the programs alone."""


async def all_at_once(fleet):
    await asyncio.sleep(TROUBLE_AT_SECONDS)
    await fleet.kill_and_start(fleet.programs)


async def all_at_once_twice(fleet):
    await all_at_once(fleet)
    await all_at_once(fleet)


async def all_and_one_disk_lost(fleet):
    await asyncio.sleep(TROUBLE_AT_SECONDS)
    for number, program in enumerate(fleet.programs):
        await fleet.kill(program, lose_disk=number == 0)
    for program in fleet.programs:
        await fleet.start(program)


@dataclass(frozen=True)
class Case:
    """Customers that send the part, and what happens to the programs meanwhile."""

    customers: int
    apart_seconds: float
    trouble: Callable
    seconds: float = 18.0


CASES = {
    "in-turn": Case(4, 4.0, nothing, 20.0),
    "at-once": Case(6, 0.0, nothing, 12.0),
    "at-once-killed": Case(6, 0.0, all_at_once),
    "in-turn-killed": Case(4, 4.0, all_at_once, 20.0),
    "killed-twice": Case(1, 0.0, all_at_once_twice, 22.0),
    "disk-lost": Case(1, 0.0, all_and_one_disk_lost),
}


@pytest.mark.parametrize("name", CASES)
async def test_a_crashing_part_is_held_back_over_customers_and_starts(tmp_path, name):
    """Guards against a part that each customer, or each process, learns anew."""
    case = CASES[name]
    is_crashing = has_part(CRASHING_PART)
    net = 171 + list(CASES).index(name)
    async with open_programs(tmp_path, net, is_crashing) as (fleet, servers):
        senders = crashing_senders(fleet, case.customers, case.apart_seconds)
        trouble = asyncio.create_task(case.trouble(fleet))
        play = await play_parts([*senders, innocent_sender(fleet)], case.seconds)
        await trouble
    assert len(crashes(servers)) > 0
    assert late_sends(servers, is_crashing, ALLOWED_CRASHES) <= MAX_LATE_SENDS
    assert play.served_at_the_end() >= MIN_SERVED_PART


async def test_a_crashing_request_is_held_back_after_all_programs_start(tmp_path):
    """Guards against quarantines that end as all processes are killed at once."""
    async with open_programs(tmp_path, 179, crashes_by_body) as (fleet, servers):
        ask = asking(fleet, 0, (), CRASHING_BODY)
        trouble = asyncio.create_task(all_at_once_twice(fleet))
        senders = [(ask, "crashing", CRASHING_SECONDS, 0.0), innocent_sender(fleet)]
        play = await play_parts(senders, 20.0)
        await trouble
    assert late_sends(servers, crashes_by_body, MAX_CRASHES) <= MAX_LATE_SENDS
    assert play.served_at_the_end() >= MIN_SERVED_PART
