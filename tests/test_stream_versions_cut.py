"""Streams that are resumed at a router which is cut off while another version joins."""

import asyncio

import pytest

from tests.test_platform_fleet import wait_until
from tests.versions_fixture import ROUTERS, open_version_fleet

STREAMS = 12
CUT_ROUTER = ROUTERS[0]


def ignore(*args):
    """Lose what is sent or received."""


def cut_off(node, way):
    """Cut a router off from all other instances; return what ends the cut."""
    links = node._links
    received, sent = links._on_message, links._send_envelope
    if way in ("both", "inwards"):
        links._on_message = ignore
    if way in ("both", "outwards"):
        links._send_envelope = ignore

    def heal():
        links._on_message, links._send_envelope = received, sent

    return heal


async def begin_until_version(world, version):
    """Begin streams at a router until a server of a version has begun some."""
    while True:
        firsts = await asyncio.gather(
            *(world.callers.begin(ROUTERS[1]) for _ in range(STREAMS))
        )
        if any(version in first.versions for first in firsts):
            return firsts


async def wait_until_resumed(world):
    """Wait until the router knows that one version alone has served for long enough."""

    async def is_resumed():
        first = await world.callers.begin(ROUTERS[1])
        rest = await world.callers.resume(CUT_ROUTER, first, Resumes=None)
        return rest.is_whole

    await wait_until(is_resumed)


@pytest.mark.parametrize(
    ("net", "way", "is_named"),
    [
        (201, "both", False),
        (202, "inwards", False),
        (203, "outwards", False),
        (204, "both", True),
        (205, "inwards", True),
        (206, "outwards", True),
    ],
)
async def test_no_stream_goes_on_at_another_version_at_a_cut_off_router(
    tmp_path, net, way, is_named
):
    """Guards against one version that is taken for the only one by an old table."""
    async with open_version_fleet(tmp_path, net, "v1", "v1") as world:
        await wait_until_resumed(world)
        heal = cut_off(world.fleet.nodes[CUT_ROUTER], way)
        await world.add_servers("v2", "v2")
        firsts = await begin_until_version(world, "v2")
        name = {} if is_named else {"Resumes": None}
        rests = await asyncio.gather(
            *(world.callers.resume(CUT_ROUTER, first, **name) for first in firsts)
        )
        heal()
    for first, rest in zip(firsts, rests, strict=True):
        assert set(first.versions) >= set(rest.versions)
        assert rest.status in (200, 503)
