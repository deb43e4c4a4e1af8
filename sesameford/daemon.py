"""``sesamefordd``, the daemon: one instance on one event loop in one thread."""

import asyncio
import signal
import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path

import uvloop
from aiomisc import Service, entrypoint

from sesameford import __version__, relay
from sesameford.bounded_log import make_bounded_handler
from sesameford.errors import PeerError, SettingsError, StorageError
from sesameford.freed_memory import give_freed_memory_back
from sesameford.instance import Instance
from sesameford.logs import configure_logging
from sesameford.settings import DaemonSettings, load_settings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_BAD_STORAGE = 3
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class InstanceService(Service):
    """Runs an instance under aiomisc's entry point until its planned stop ends."""

    settings: DaemonSettings
    source: str

    async def start(self) -> None:
        """Create and start the instance, and install its signal handlers."""
        self.instance = Instance(self.settings, self.source)
        for number in STOP_SIGNALS:
            self.loop.add_signal_handler(number, self.instance.request_stop)
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the instance."""
        await self.instance.close()

    async def finished(self) -> None:
        """Wait until the planned stop has ended, after all running requests."""
        await self.instance.stopped.wait()


def make_parser() -> ArgumentParser:
    """Return the command line's parser."""
    parser = ArgumentParser(
        prog="sesamefordd",
        description="Run one instance of sesameford.",
        epilog="Exit status: 0 after a planned stop, 2 for bad settings, "
        "3 for a data folder that can't be trusted.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="the instance's YAML file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit status."""
    options = make_parser().parse_args(arguments)
    try:
        settings = load_settings(options.settings)
        if not options.check:
            _run(settings, str(options.settings))
    except (SettingsError, PeerError) as error:
        print(f"sesamefordd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except StorageError as error:
        print(f"sesamefordd: {error}", file=sys.stderr)
        return EXIT_BAD_STORAGE
    return EXIT_OK


def _run(settings: DaemonSettings, source: str) -> None:
    """Run an instance until its planned stop ends."""
    handler = make_bounded_handler(sys.stderr.fileno(), relay.__name__)
    configure_logging(settings, handler)
    give_freed_memory_back()
    service = InstanceService(settings=settings, source=source)
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    # aiomisc would stop the services at the first signal and abort running requests
    # after a minute. The instance handles the signals itself instead.
    with entrypoint(service, log_config=False, catch_signals=(), pool_size=1) as loop:
        loop.run_until_complete(service.finished())


if __name__ == "__main__":
    sys.exit(main())
