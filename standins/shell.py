"""Shared parts of both stand-ins: arguments, serving, announcing, graceful stop."""

import asyncio
import logging
import os
import signal
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Callable

from aiohttp import ClientSession, web

from standins.announce import Announcement, Announcer

_STOP_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.05


def make_parser(description: str) -> ArgumentParser:
    """Return a parser with the arguments of both stand-ins."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target-id", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--capacity", type=int, default=8, help="requests at once")
    parser.add_argument("--announce", nargs="*", default=[], metavar="URL")
    parser.add_argument("--platform-key", default="")
    parser.add_argument("--lease-seconds", type=float, default=3.0)
    parser.add_argument("--announced-url", default="", help="where routers reach it")
    parser.add_argument("--journal", default="", help="file for the marks that started")
    return parser


def open_journal(options: Namespace) -> Callable[[str], None]:
    """Return a function that records a mark so that it survives a kill.

    The counts of a stand-in are lost when its process ends. A mark that was written to
    a file before the work started stays, so that a killed run is still counted.
    """
    name = getattr(options, "journal", "")
    if not name:
        return lambda mark: None
    descriptor = os.open(name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def record_start(mark: str) -> None:
        os.write(descriptor, f"{mark}\n".encode())

    return record_start


def run_target(
    options: Namespace,
    kind: str,
    serves: tuple[str, ...],
    app: web.Application,
    is_busy: Callable[[], bool],
) -> None:
    """Serve until SIGTERM, then leave, finish the running requests and return.

    Args:
        options: The parsed arguments of `make_parser`.
        kind: ``model`` or ``service``.
        serves: Names of the models or services.
        app: The HTTP application.
        is_busy: Returns whether a request still runs or waits.
    """
    import uvloop

    logging.basicConfig(level=logging.WARNING)
    uvloop.run(_serve(options, kind, serves, app, is_busy))


async def _serve(
    options: Namespace,
    kind: str,
    serves: tuple[str, ...],
    app: web.Application,
    is_busy: Callable[[], bool],
) -> None:
    """Serve, announce, and stop gracefully."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, options.host, options.port).start()
    announcement = Announcement(
        target_id=options.target_id,
        incarnation=time.time_ns() // 1_000_000,
        kind=kind,
        serves=serves,
        url=options.announced_url or f"http://{options.host}:{options.port}",
        data_centre=options.data_centre,
        capacity_slots=options.capacity,
        lease_seconds=options.lease_seconds,
        checks_fencing=getattr(options, "checks_fencing", False),
    )
    announcer = Announcer(announcement, options.announce, options.platform_key)
    async with ClientSession() as session:
        announce_task = asyncio.create_task(announcer.run(session))
        await stopping.wait()
        announce_task.cancel()
        await asyncio.gather(announce_task, return_exceptions=True)
        await announcer.leave(session)
    deadline_seconds = time.monotonic() + _STOP_TIMEOUT_SECONDS
    while is_busy() and time.monotonic() < deadline_seconds:
        await asyncio.sleep(_POLL_SECONDS)
    await runner.cleanup()
