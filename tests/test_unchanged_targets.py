"""Targets of requests, the path with the query, reach servers byte for byte."""

import asyncio

import pytest

from sesameford.verbatim_request import VERBATIM_TARGET_HEADER
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk

TARGETS = (
    "/safe/proof/a?",
    "/safe/proof/a/?",
    "/safe/a?b?",
    "/safe/a?&&",
    "/safe/a;b?",
    "/safe//a/../b/./c",
    "/safe/%7e%2F%2f?x=%20+&y=a/b",
    "/safe/a?x=#",
    "/safe/a#b",
)


async def send(address, target, headers):
    """Send a request without a body over a connection of its own; return the status."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    named = [f"{name}: {value}" for name, value in headers.items()]
    lines = [f"GET {target} HTTP/1.1", *named, "Connection: close"]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    head = await reader.readline()
    await reader.read()
    writer.close()
    return int(head.split()[1])


@pytest.mark.parametrize("target", TARGETS)
async def test_a_target_reaches_its_server_as_it_came(target):
    """Guards against a URL library that drops an empty query or mends a path."""
    async with open_desk(Fault.NONE) as desk:
        assert await send(desk.address, target, desk.headers()) == 200
        (call,) = desk.servers[0].received_calls
        assert call.target == target
        assert VERBATIM_TARGET_HEADER.lower() not in call.headers


async def test_a_caller_cannot_name_another_target():
    """Guards against a header of a caller that changes what its server runs."""
    async with open_desk(Fault.NONE) as desk:
        headers = desk.headers(**{VERBATIM_TARGET_HEADER: "/unsafe/other"})
        assert await send(desk.address, "/safe/x?", headers) == 200
        (call,) = desk.servers[0].received_calls
        assert call.target == "/safe/x?"
