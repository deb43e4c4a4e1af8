"""Crowds of clients that don't behave, before the real programs on loopback."""

import asyncio
import os
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from ssl import SSLContext

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from standins.platform_fleet import (
    LINKS_PORT,
    METRICS_PORT,
    make_platform_fleet,
    request_headers,
)

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_SECONDS = 0.02
START_SECONDS = 30.0
# For how long a crowd sends at most before it is asked whether others are served.
SEND_SECONDS = 4.0
CALL_SECONDS = 10.0
OPENED_AT_ONCE = 100
RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class Crowd:
    """How many clients send what to one port: pieces, so many times, and no end.

    They use TLS if there is a ``context``.
    """

    port: str
    connections: int
    head: bytes
    piece: bytes = b""
    pieces: int = 0
    context: SSLContext | None = None


@dataclass
class CrowdPlay:
    """What was seen of the program that a crowd called, at most, and of its callers."""

    peak_bytes: int = 0
    peak_descriptors: int = 0
    connected: int = 0
    statuses_meanwhile: tuple = ()
    status_afterwards: int = 0
    is_alive: bool = False


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def peak_resident_bytes(pid):
    """Return the most memory that a process has had."""
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def unread_bytes(ip):
    """Return what has arrived at the sockets of an address and was not read yet."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total_bytes = 0
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            # A listening socket has the length of its backlog in this column.
            if fields[1].startswith(local) and fields[3] != "0A":
                total_bytes += int(fields[4].split(":")[1], 16)
    return total_bytes


def count_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


@asynccontextmanager
async def open_fleet(folder, net, limits):
    """Start replicas, two routers and a server, with lowered limits."""
    connector = TCPConnector(limit=0, force_close=True)
    async with ClientSession(connector=connector) as session:
        fleet = make_platform_fleet(folder, net, session)
        fleet.limits = limits
        fleet.add_programs(2)
        try:
            await fleet.add_server()
            await fleet.found(fleet.programs)
            async with asyncio.timeout(START_SECONDS):
                await fleet.wait_until_ready()
            yield fleet
        finally:
            await fleet.close()


async def ask(fleet, request_id, data=b"notes"):
    """Send an ordinary request to the first router on a new connection."""
    try:
        async with fleet.session.post(
            f"http://{fleet.routers[0].front}/safe/x",
            data=data,
            headers=request_headers(request_id, CALL_SECONDS),
            timeout=ClientTimeout(total=CALL_SECONDS),
        ) as answer:
            await answer.read()
            return answer.status
    except (ClientError, OSError, TimeoutError):
        # No answer is an outcome that the tests count.
        return 0


async def ask_port(fleet, port):
    """Send an ordinary request to a port on a new connection; return its status."""
    replica, router = fleet.replicas[0], fleet.routers[0]
    if port in ("front", "links"):
        return await ask(fleet, "ordinary")
    paths = {
        "ready": (router.ready, "/v1/readiness"),
        "control": (replica.control, "/v1/config"),
        "metrics": (f"{router.ip}:{METRICS_PORT}", "/metrics"),
    }
    address, path = paths[port]
    return (await fleet.call(address, "GET", path))[0]


async def ask_again(ask_once, tries):
    """Send an ordinary request that comes again after refusals, as callers do."""
    status = await ask_once()
    for _ in range(tries - 1):
        if status != 503:
            break
        await asyncio.sleep(RETRY_SECONDS)
        status = await ask_once()
    return status


def program_of(fleet, port):
    return fleet.replicas[0] if port == "control" else fleet.routers[0]


def address_of(fleet, port):
    program = program_of(fleet, port)
    ports = {"front": program.front, "ready": program.ready}
    ports |= {"control": program.control, "metrics": f"{program.ip}:{METRICS_PORT}"}
    ports["links"] = f"{program.ip}:{LINKS_PORT}"
    return ports[port]


async def _send_and_stay(address, crowd, gate, play, leave):
    """Send a client's bytes, and keep the connection open without reading."""
    host, port = address.split(":")
    writer = None
    try:
        async with gate:
            _, writer = await asyncio.open_connection(
                host, int(port), limit=1, ssl=crowd.context
            )
            play.connected += 1
        writer.write(crowd.head)
        for _ in range(crowd.pieces):
            writer.write(crowd.piece)
            await writer.drain()
        await leave.wait()
    except OSError:
        # The program has closed the connection, as it may.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


async def _sample(program, play):
    while True:
        with suppress(FileNotFoundError, ProcessLookupError):
            pid = program.process.pid
            held_bytes = resident_bytes(pid) + unread_bytes(program.ip)
            play.peak_bytes = max(play.peak_bytes, held_bytes)
            descriptors = count_descriptors(pid)
            play.peak_descriptors = max(play.peak_descriptors, descriptors)
        await asyncio.sleep(SAMPLE_SECONDS)


async def play_crowd(fleet, crowd, asked=3, tries=1):
    """Play a crowd, ask some ordinary requests meanwhile, and one afterwards.

    The last one comes again after refusals, with so many tries in all.
    """

    async def ask_once():
        return await ask_port(fleet, crowd.port)

    program, address = program_of(fleet, crowd.port), address_of(fleet, crowd.port)
    return await play_crowd_at(program, address, crowd, ask_once, asked, tries)


async def play_crowd_at(program, address, crowd, ask_once, asked=3, tries=1):
    """Play a crowd at an address of a program; a function asks ordinary requests."""
    play = CrowdPlay()
    leave, gate = asyncio.Event(), asyncio.Semaphore(OPENED_AT_ONCE)
    sampling = asyncio.create_task(_sample(program, play))
    clients = [
        asyncio.create_task(_send_and_stay(address, crowd, gate, play, leave))
        for _ in range(crowd.connections)
    ]
    await asyncio.wait(clients, timeout=SEND_SECONDS)
    play.statuses_meanwhile = tuple([await ask_once() for _ in range(asked)])
    leave.set()
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    play.status_afterwards = await ask_again(ask_once, tries)
    sampling.cancel()
    play.is_alive = program.process.returncode is None
    if play.is_alive:
        peak_bytes = peak_resident_bytes(program.process.pid)
        play.peak_bytes = max(play.peak_bytes, peak_bytes)
    return play
