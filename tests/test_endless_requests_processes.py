"""Faulty peers that send requests without end to the ports of real programs."""

import asyncio
from dataclasses import dataclass
from time import monotonic

import pytest
from aiohttp import ClientSession, TCPConnector

from sesameford.held_answers import make_held_bytes
from sesameford_platform.control import (
    BODY_LIMIT_BYTES,
    HEARTBEAT_LIMIT_BYTES,
    HELD_BODIES_LIMIT_BYTES,
    BodyRefusedError,
    read_body,
)
from standins.platform_fleet import METRICS_PORT, make_platform_fleet

pytestmark = pytest.mark.heavy

CONNECTIONS = 40
SEND_SECONDS = 1.5
SAMPLE_SECONDS = 0.05
START_SECONDS = 20.0
# As much as a program may grow by all of them; a replica has 296 MB on a small site.
MAX_GROWTH_MB = 64
ANSWER_SECONDS = 0.5

HEARTBEAT = b"PUT /v1/instances/i-1 HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 65_536
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
FIELDS = b"".join(b"X-%d: y\r\n" % number for number in range(5_000))


@dataclass(frozen=True)
class Case:
    """What a peer sends: a port, how it begins, and what then never ends."""

    port: str
    head: bytes
    piece: bytes


CASES = {
    "a heartbeat with a length": Case(
        "control", HEARTBEAT + b"Content-Length: 99999999999\r\n\r\n", CHUNK
    ),
    "a heartbeat in chunks": Case("control", HEARTBEAT + CHUNKED, CHUNK),
    "chunks of one byte": Case("control", HEARTBEAT + CHUNKED, b"1\r\nx\r\n" * 4_000),
    "the size of a chunk": Case("control", HEARTBEAT + CHUNKED, b"0" * PIECE_BYTES),
    "trailers": Case("control", HEARTBEAT + CHUNKED + b"0\r\n", FIELDS),
    "fields": Case("control", HEARTBEAT, FIELDS),
    "a first line": Case("control", b"PUT /", b"x" * PIECE_BYTES),
    "empty lines": Case("control", b"", b"\r\n" * 32_000),
    "fields at the metrics": Case("metrics", b"GET /metrics HTTP/1.1\r\n", FIELDS),
    "fields at the readiness": Case("ready", b"GET /v1/readiness HTTP/1.1\r\n", FIELDS),
    "a body at the readiness": Case(
        "ready", b"GET /v1/readiness HTTP/1.1\r\n" + CHUNKED, CHUNK
    ),
    "fields of a call": Case("front", b"GET /safe/ HTTP/1.1\r\n", FIELDS),
}


def memory_megabytes(program):
    """Return how much memory a process has."""
    with open(f"/proc/{program.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) // 1024


async def send_without_end(address, case):
    host, port = address.split(":")
    until_seconds = monotonic() + SEND_SECONDS
    try:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(case.head)
        while monotonic() < until_seconds:
            writer.write(case.piece)
            await writer.drain()
        writer.close()
    except OSError:
        # The program has closed the connection, as it should.
        return


async def play(fleet, case):
    """Play a case; return how much the program grew, and how long it then answers."""
    replica, router = fleet.replicas[0], fleet.routers[0]
    program = router if case.port in ("ready", "front") else replica
    addresses = {"metrics": f"{replica.ip}:{METRICS_PORT}", "control": replica.control}
    addresses |= {"ready": router.ready, "front": router.front}
    before = peak = memory_megabytes(program)
    senders = [
        asyncio.create_task(send_without_end(addresses[case.port], case))
        for _ in range(CONNECTIONS)
    ]
    while not all(one.done() for one in senders):
        await asyncio.sleep(SAMPLE_SECONDS)
        peak = max(peak, memory_megabytes(program))
        if peak - before > 10 * MAX_GROWTH_MB:
            break
    for one in senders:
        one.cancel()
    await asyncio.gather(*senders, return_exceptions=True)
    started_at_seconds = monotonic()
    status, _ = await fleet.call(replica.control, "GET", "/v1/config")
    answered_after_seconds = monotonic() - started_at_seconds
    return peak - before, status, answered_after_seconds


async def test_requests_that_never_end_fill_no_memory(tmp_path):
    """Guards against one faulty peer that ends a program, and all calls open there."""
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        fleet = make_platform_fleet(tmp_path, 211, session)
        fleet.add_programs(1)
        try:
            await fleet.found(fleet.programs)
            async with asyncio.timeout(START_SECONDS):
                await fleet.wait_until_ready()
            seen = {name: await play(fleet, case) for name, case in CASES.items()}
            assert fleet.unplanned_exits == []
        finally:
            await fleet.close()
    for name, (growth, status, seconds) in seen.items():
        assert growth < MAX_GROWTH_MB, name
        assert (status, seconds < ANSWER_SECONDS) == (200, True), name


class FakeRequest:
    """A call whose body arrives in pieces, and who waits at its end."""

    def __init__(self, pieces, waits=None):
        self._pieces = pieces
        self._waits = waits
        self.content = self

    def is_eof(self):
        return False

    async def iter_any(self):
        for piece in self._pieces:
            yield piece
        if self._waits is not None:
            await self._waits.wait()


async def test_a_configuration_that_finds_no_room_may_come_again():
    """Guards against a valid configuration that is refused for good beside a flood."""
    held_bodies, waits = make_held_bytes(), asyncio.Event()
    large = FakeRequest([bytes(BODY_LIMIT_BYTES)], waits)
    first = asyncio.create_task(read_body(large, held_bodies, BODY_LIMIT_BYTES))
    await asyncio.sleep(0)
    small = [b"x" * (HELD_BODIES_LIMIT_BYTES - BODY_LIMIT_BYTES + 1)]
    with pytest.raises(BodyRefusedError) as refused:
        await read_body(FakeRequest(small), held_bodies, BODY_LIMIT_BYTES)
    assert refused.value.status == 503
    heartbeat = [b"x" * HEARTBEAT_LIMIT_BYTES]
    body = await read_body(FakeRequest(heartbeat), held_bodies, HEARTBEAT_LIMIT_BYTES)
    assert len(body) == HEARTBEAT_LIMIT_BYTES
    with pytest.raises(BodyRefusedError) as refused:
        await read_body(FakeRequest([*heartbeat, b"x"]), held_bodies, len(body))
    assert refused.value.status == 413
    waits.set()
    assert len(await first) == BODY_LIMIT_BYTES
    await read_body(FakeRequest(small), held_bodies, BODY_LIMIT_BYTES)
