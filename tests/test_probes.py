"""Probes of targets over real sockets."""

import asyncio
import socket
import threading
import time
from contextlib import contextmanager

import pytest

from sesameford.probes import CLOSE_WAIT_SECONDS, probe_target
from sesameford.silence import Probe


def accept_and_close(listener, close_after_seconds):
    """Close each connection soon, as a proxy in front of a dead target does."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        time.sleep(close_after_seconds)
        connection.close()


@contextmanager
def dead_target(close_after_seconds=0.05):
    """Listen as a proxy in front of a dead target, and return the URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(
        target=accept_and_close, args=(listener, close_after_seconds)
    )
    thread.start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


async def test_a_late_event_loop_does_not_take_a_dead_target_for_a_live_one():
    """The loop stands still while the probe waits for the connection to be closed.

    The crash of the target was not noticed, and a request that crashes targets was
    sent to a third one.
    """
    with dead_target() as url:
        probing = asyncio.create_task(probe_target(url))
        await asyncio.sleep(0.02)
        time.sleep(0.3)
        assert await probing is Probe.REFUSED


@pytest.mark.parametrize("late_seconds", [0.002, 0.01, 0.018])
async def test_a_loop_that_runs_again_when_the_wait_ends_reads_the_close(late_seconds):
    """The loop stands still until just after the wait for the close was due.

    The close has arrived, and the loop handles the end of the wait first.
    """
    with dead_target() as url:
        probing = asyncio.create_task(probe_target(url))
        started_at_seconds = time.monotonic()
        await asyncio.sleep(0.02)
        until_seconds = started_at_seconds + CLOSE_WAIT_SECONDS + late_seconds
        time.sleep(until_seconds - time.monotonic())
        assert await probing is Probe.REFUSED


async def test_a_close_after_the_wait_is_left_to_the_caller_of_the_probe():
    """A forwarder tries its dead target for longer than the probe waits."""
    with dead_target(close_after_seconds=0.3) as url:
        connections = []
        assert await probe_target(url, connections.append) is Probe.ALIVE
        assert await connections[0].is_closed_late()
        connections[0].close()


async def test_a_server_that_accepts_and_waits_is_alive():
    server = await asyncio.start_server(lambda *_: asyncio.sleep(1), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    assert await probe_target(f"http://127.0.0.1:{port}") is Probe.ALIVE
    server.close()


async def test_a_server_that_answers_before_it_closes_is_alive():
    """A server with too many connections answers 503 to each new one and closes it.

    It counted as crashed, and its running requests as suspects.
    """

    async def reject(_, writer):
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(reject, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connections = []
    url = f"http://127.0.0.1:{port}"
    assert await probe_target(url, connections.append) is Probe.ALIVE
    assert not await connections[0].is_closed_late()
    connections[0].close()
    server.close()
