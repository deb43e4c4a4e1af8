"""Sockets of links that are replaced: closed when that can't end the process."""

import asyncio
import socket
import threading
import time
from types import SimpleNamespace

from pynng import Push0

from sesameford.peers import RECONNECT_MAX_MS, RECONNECT_MIN_MS
from sesameford.retired_sockets import (
    CLOSE_DELAY_SECONDS,
    RetiredSockets,
    left_open,
)


def make_socket(pipes):
    closed = []
    dialer = SimpleNamespace(
        reconnect_time_min=RECONNECT_MIN_MS, reconnect_time_max=RECONNECT_MAX_MS
    )
    return SimpleNamespace(
        pipes=pipes, dialers=[dialer], closed=closed, close=lambda: closed.append(1)
    )


def test_a_socket_that_tries_to_connect_is_closed_after_its_last_attempt():
    """A link to a silent peer is dialled again while nng looks up its address.

    The process ended with a panic of nng when the old socket was closed then.
    """
    retired = RetiredSockets()
    old = make_socket(pipes=())
    retired.add(old, 10.0)
    retired.close_due(10.0 + CLOSE_DELAY_SECONDS / 2)
    assert not old.closed
    assert old.dialers[0].reconnect_time_min > 1000 * CLOSE_DELAY_SECONDS
    assert old.dialers[0].reconnect_time_max > 1000 * CLOSE_DELAY_SECONDS
    retired.close_due(10.0 + CLOSE_DELAY_SECONDS)
    assert old.closed == [1]
    assert not retired
    assert 1000 * CLOSE_DELAY_SECONDS > RECONNECT_MAX_MS


def test_a_connected_socket_is_closed_at_once():
    retired = RetiredSockets()
    old = make_socket(pipes=("pipe",))
    retired.add(old, 10.0)
    assert old.closed == [1]


async def test_a_process_that_ends_does_not_wait_for_its_sockets():
    """Guards against planned stops that are killed as they wait for a peer's socket."""
    retired = RetiredSockets()
    old = make_socket(pipes=())
    retired.add(old, 10.0)
    retired.leave_open()
    async with asyncio.timeout(CLOSE_DELAY_SECONDS / 2):
        await retired.close_all()
    assert not old.closed
    left_open.remove(old)


def test_a_retired_socket_makes_no_further_attempts():
    """The attempts of a real socket end within the time before it is closed."""
    attempts = []
    listener = socket.create_server(("127.0.0.1", 0))

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            attempts.append(time.monotonic())
            connection.close()

    thread = threading.Thread(target=accept)
    thread.start()
    push = Push0(
        reconnect_time_min=RECONNECT_MIN_MS, reconnect_time_max=RECONNECT_MAX_MS
    )
    push.dial(f"tcp://127.0.0.1:{listener.getsockname()[1]}", block=False)
    time.sleep(0.5)
    retired = RetiredSockets()
    retired.add(push, 0.0)
    time.sleep(CLOSE_DELAY_SECONDS)
    count = len(attempts)
    time.sleep(0.5)
    assert count >= 2
    assert len(attempts) == count
    retired.close_due(CLOSE_DELAY_SECONDS)
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()
