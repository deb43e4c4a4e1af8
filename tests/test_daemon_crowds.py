"""Crowds of clients that don't behave, at a real daemon with little memory."""

import asyncio
import os
from dataclasses import replace

import pytest
from aiohttp import ClientError, ClientSession, TCPConnector, web
from aiohttp.test_utils import TestServer

from sesameford.operators_http import digest_of_key
from standins.announce import Announcement, Announcer
from tests.crowd_fixture import (
    START_SECONDS,
    Crowd,
    peak_resident_bytes,
    play_crowd_at,
)
from tests.daemon_crowd_fixture import CALLERS_KEY, open_daemon
from tests.test_crowds_processes import (
    CHUNK,
    CHUNKED,
    FIELDS,
    KILOBYTE,
    LARGE,
    LINK_HELLO,
    LONG_MESSAGE,
    TINY,
)
from tests.test_instance import OPERATOR_KEY

pytestmark = pytest.mark.crowd

# A daemon needs some 80 MB for itself.
MEMORY_MEGABYTES = 100
MAX_DESCRIPTORS = 1_000
PLATFORM_KEY = "the-platforms-key"
LARGE_ANSWER_BYTES = 3_000_000
LARGE_ANSWERS = 20
LEASE_SECONDS = 3.0
ANSWER_PAUSE_SECONDS = 1.0
CALL = b"POST /services/roster/x HTTP/1.1\r\nHost: x\r\n"
CALL += b"Authorization: Bearer %b\r\n" % CALLERS_KEY.encode()
CHANGE = b"POST /tree/changes HTTP/1.1\r\nHost: x\r\n"
CHANGE += b"Authorization: Bearer %b\r\n" % OPERATOR_KEY.encode()

MEMORY_CROWDS = {
    "6 KB in chunks of a byte": Crowd("callers", 300, CALL + CHUNKED, TINY, 6),
    "4 MB but a byte": Crowd("callers", 60, CALL + LARGE, b"x" * 40_000, 100),
    "4 MB in chunks to operators, no end": Crowd(
        "operators", 60, CHANGE + CHUNKED, CHUNK, 66
    ),
    "400 fields, no end": Crowd("callers", 1_000, CALL + FIELDS),
    "heads of 15 KB at operators": Crowd(
        "operators", 1_200, CHANGE + b"X: ", KILOBYTE, 15
    ),
    "long messages of peers": Crowd(
        "peers", 100, LINK_HELLO + LONG_MESSAGE, b"x" * 10_000, 90
    ),
}
CONNECTION_CROWDS = {
    "nothing at callers": Crowd("callers", 1_500, b""),
    "a byte at operators": Crowd("operators", 1_500, b"G"),
    "nothing at peers": Crowd("peers", 1_500, b""),
}


async def check_crowd(folder, net, crowd, has_tls, speaks_tls, **limits):
    async with open_daemon(folder, net, has_tls, **limits) as daemon:
        if speaks_tls:
            crowd = replace(crowd, context=daemon.context)
        address = daemon.address_of(crowd.port)
        play = await play_crowd_at(
            daemon, address, crowd, lambda: daemon.ask(crowd.port)
        )
    assert play.is_alive
    assert play.status_afterwards == 200
    return play


@pytest.mark.parametrize("has_tls", [False, True])
@pytest.mark.parametrize("name", MEMORY_CROWDS)
async def test_a_crowd_fills_no_memory_of_a_daemon(name, has_tls, tmp_path):
    """Guards against clients who end a daemon by what it holds for them."""
    net = 100 + 2 * list(MEMORY_CROWDS).index(name) + has_tls
    limits = {"memory_megabytes": MEMORY_MEGABYTES}
    crowd = MEMORY_CROWDS[name]
    play = await check_crowd(tmp_path, net, crowd, has_tls, has_tls, **limits)
    assert play.peak_bytes < MEMORY_MEGABYTES * 1_000_000
    assert 200 in play.statuses_meanwhile


@pytest.mark.parametrize("has_tls", [False, True])
@pytest.mark.parametrize("name", CONNECTION_CROWDS)
async def test_a_crowd_leaves_room_for_other_callers_of_a_daemon(
    name, has_tls, tmp_path
):
    """Guards against clients who take all connections, or begin no TLS handshake."""
    net = 112 + 2 * list(CONNECTION_CROWDS).index(name) + has_tls
    crowd = CONNECTION_CROWDS[name]
    limits = {"max_descriptors": MAX_DESCRIPTORS}
    play = await check_crowd(tmp_path, net, crowd, has_tls, False, **limits)
    assert play.peak_descriptors < MAX_DESCRIPTORS - 200
    assert set(play.statuses_meanwhile) == {200}


@pytest.mark.parametrize(("net", "has_tls"), [(120, False), (121, True)])
async def test_a_larger_crowd_fills_no_memory_of_a_daemon(net, has_tls, tmp_path):
    """Guards against a daemon that counts on more memory than it leaves to others."""
    crowd = replace(MEMORY_CROWDS["6 KB in chunks of a byte"], connections=1_500)
    limits = {"memory_megabytes": MEMORY_MEGABYTES}
    play = await check_crowd(tmp_path, net, crowd, has_tls, has_tls, **limits)
    assert play.peak_bytes < MEMORY_MEGABYTES * 1_000_000


async def answer_large(http):
    """Send a large answer, all but its last byte, and that one later."""
    answer = web.StreamResponse()
    answer.content_length = LARGE_ANSWER_BYTES
    await answer.prepare(http)
    await answer.write(bytes(LARGE_ANSWER_BYTES - 1))
    await asyncio.sleep(ANSWER_PAUSE_SECONDS)
    await answer.write(b"x")
    return answer


async def ask_for_large(daemon, session):
    """Return the status of a call whose answer is large, 0 for a cut one."""
    url = f"http://{daemon.address_of('callers')}/services/roster/x"
    headers = {"Authorization": f"Bearer {CALLERS_KEY}"}
    try:
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status
    except (ClientError, OSError, TimeoutError):
        # No answer is an outcome that the test counts.
        return 0


async def test_large_answers_fill_no_memory_of_a_daemon(tmp_path):
    """Guards against answers that are held to their end beyond a machine's memory."""
    limits = {
        "memory_megabytes": MEMORY_MEGABYTES,
        "platform_key_digest": digest_of_key(PLATFORM_KEY),
    }
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer_large)
    async with (
        open_daemon(tmp_path, 119, False, **limits) as daemon,
        TestServer(app) as server,
        ClientSession(connector=TCPConnector(limit=0)) as session,
    ):
        url = str(server.make_url("")).rstrip("/")
        announcement = Announcement(
            "t1", 1, "service", ("roster",), url, "a", LARGE_ANSWERS, LEASE_SECONDS
        )
        operators = [f"http://{daemon.address_of('operators')}"]
        announcer = Announcer(announcement, operators, PLATFORM_KEY)
        announcing = asyncio.create_task(announcer.run(session))
        async with asyncio.timeout(START_SECONDS):
            while await ask_for_large(daemon, session) != 200:
                await asyncio.sleep(0.1)
        calls = [ask_for_large(daemon, session) for _ in range(LARGE_ANSWERS)]
        statuses = await asyncio.gather(*calls)
        announcing.cancel()
        peak_bytes = peak_resident_bytes(daemon.process.pid)
        assert daemon.process.returncode is None
        assert await ask_for_large(daemon, session) == 200
    assert 200 in statuses
    assert peak_bytes < MEMORY_MEGABYTES * 1_000_000


async def test_a_daemon_whose_log_nobody_reads_answers(tmp_path):
    """Guards against clients whose errors fill a log until the daemon waits for it."""
    reader, writer = os.pipe()
    try:
        async with open_daemon(tmp_path, 118, False, writer) as daemon:
            crowd = Crowd("callers", 1_000, CALL + b"X: ", KILOBYTE, 40)
            address = daemon.address_of("callers")
            play = await play_crowd_at(
                daemon, address, crowd, lambda: daemon.ask("callers")
            )
    finally:
        os.close(reader)
        os.close(writer)
    assert play.is_alive
    assert play.status_afterwards == 200
