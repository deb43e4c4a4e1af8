"""What both stand-ins share: arguments, serving, announcing and a graceful stop."""

import asyncio
import logging
import os
import signal
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Callable

from aiohttp import ClientSession, web

from standins.announce import Announcement, Announcer

_STOP_SECONDS = 30.0
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
    """Return a function that notes a mark for good, also over a kill.

    The counts of a stand-in die with it. What it wrote to a file before it began to
    work stays, so that a run that was killed still counts as one.
    """
    name = getattr(options, "journal", "")
    if not name:
        return lambda mark: None
    file = os.open(name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def note(mark: str) -> None:
        os.write(file, f"{mark}\n".encode())

    return note


def run_target(
    options: Namespace,
    kind: str,
    serves: tuple[str, ...],
    app: web.Application,
    is_busy: Callable[[], bool],
) -> None:
    """Serve until SIGTERM, then leave, finish what runs and return.

    Args:
        options: The parsed arguments of `make_parser`.
        kind: ``model`` or ``service``.
        serves: Names of the models or services.
        app: The HTTP application.
        is_busy: Says whether something still runs.
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
        announcing = asyncio.create_task(announcer.run(session))
        await stopping.wait()
        announcing.cancel()
        await asyncio.gather(announcing, return_exceptions=True)
        await announcer.leave(session)
    give_up_at = time.monotonic() + _STOP_SECONDS
    while is_busy() and time.monotonic() < give_up_at:
        await asyncio.sleep(_POLL_SECONDS)
    await runner.cleanup()
