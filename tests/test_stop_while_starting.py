"""A planned stop of a process that does not serve yet."""

import asyncio
import os
import signal
import sys

import pytest

from standins.platform_fleet import ROOT

LIMIT_SECONDS = 20.0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_process_that_is_stopped_while_it_starts_ends_without_an_error(
    tmp_path, number
):
    """Guards against a planned stop that counts as a crash of its process."""
    settings = tmp_path / "boot.toml"
    # The process waits for its settings until somebody writes them.
    os.mkfifo(settings)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "platform" / "start.py"),
        "router",
        env={"PATH": os.environ["PATH"], "SESAMEFORD_CONFIG": str(settings)},
    )
    async with asyncio.timeout(LIMIT_SECONDS):
        writer = await wait_for_reader(settings)
        process.send_signal(number)
        assert await process.wait() == 0
    os.close(writer)


async def wait_for_reader(fifo):
    """Return a descriptor for writing once a process reads a FIFO."""
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            # Nobody reads it yet.
            await asyncio.sleep(0.05)
