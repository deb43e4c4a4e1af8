"""Accepting many connections on loopback."""

import asyncio
import fcntl
import os
import socket
import sys
import termios
from contextlib import suppress
from pathlib import Path

import pytest
import uvloop

from sesameford.listener import (
    MAX_ACCEPTS_PER_TURN,
    MAX_FREE_PLACES,
    make_accept_backlog,
    make_listener,
)

CALLERS = 200
PIECE = b"x" * 60_000
SMALL_BUFFER_BYTES = 16_384


class CountingProtocol(asyncio.Protocol):
    made = 0

    def connection_made(self, transport):
        CountingProtocol.made += 1


def count_sockets():
    folder = Path("/proc/self/fd")
    files = [os.readlink(one) for one in folder.iterdir() if one.is_symlink()]
    return sum(file.startswith("socket:") for file in files)


def count_accepted(turns):
    """Return how many of the pending connections are accepted in some loop turns."""

    async def run():
        CountingProtocol.made = 0
        listener = make_listener(CountingProtocol, "127.0.0.1", 0, None, 1024)
        address = listener.sockets[0].getsockname()
        callers = [socket.create_connection(address) for _ in range(CALLERS)]
        try:
            for _ in range(turns):
                await asyncio.sleep(0)
            return CountingProtocol.made
        finally:
            listener.close()
            for caller in callers:
                caller.close()

    return uvloop.run(run())


def test_a_burst_of_connections_is_accepted_at_once():
    """Two hundred callers open connections while the loop does other work.

    With one accept per loop turn, most of them would wait unread until they time out,
    and the instance would not detect its overload.
    """
    assert count_accepted(8) == CALLERS


def send_until_full(connection):
    """Return how many bytes were sent until the other side takes no more."""
    connection.setblocking(False)
    sent_bytes = 0
    with suppress(BlockingIOError):
        while True:
            sent_bytes += connection.send(PIECE)
    return sent_bytes


def read_all(connection, size_bytes):
    while size_bytes:
        size_bytes -= len(connection.recv(65_536))


async def test_little_waits_at_a_connection_until_it_is_read():
    """Guards against a kernel that keeps for a late program what peers send it."""
    listener = make_listener(
        CountingProtocol, "127.0.0.1", 0, None, 16, may_buffers_grow=True
    )
    address = listener.sockets[0].getsockname()
    with (
        socket.create_connection(address) as sender,
        listener.sockets[0].dup() as listening,
    ):
        connection, _ = listening.accept()
        with connection:
            sent_bytes = send_until_full(sender)
            unread = fcntl.ioctl(connection, termios.FIONREAD, b"\0" * 4)
            assert int.from_bytes(unread, sys.byteorder) <= SMALL_BUFFER_BYTES
            connection.setblocking(True)
            await asyncio.to_thread(read_all, connection, sent_bytes)
            grown = connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            assert grown > SMALL_BUFFER_BYTES
    listener.close()


async def test_nothing_is_accepted_after_the_close():
    listener = make_listener(CountingProtocol, "127.0.0.1", 0, None, 16)
    address = listener.sockets[0].getsockname()
    listener.close()
    listener.close()
    assert listener.sockets == ()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


def test_connections_have_waited_since_the_backlog_was_last_empty():
    """Guards against calls that are sent on after their callers have left.

    A flood fills the backlog for seconds while each turn of the loop is short.
    """
    backlog = make_accept_backlog(1024)
    backlog.record_turn(True, 1.0)
    assert backlog.wait_seconds(9.0) == 0.0
    backlog.record_turn(False, 9.0)
    backlog.record_turn(False, 10.0)
    assert backlog.wait_seconds(10.5) == 1.5


def test_connections_have_waited_for_no_more_than_the_backlog_holds():
    """Guards against a wait that grows for as long as a flood lasts."""
    backlog = make_accept_backlog(1024)
    backlog.record_turn(True, 0.0)
    for turn in range(1, 101):
        backlog.record_turn(False, 0.1 * turn, 256)
        assert backlog.wait_seconds(0.1 * turn) <= 0.4 + 1e-9
    backlog.record_turn(True, 11.0)
    assert backlog.wait_seconds(12.0) == 0.0


@pytest.mark.parametrize("places", [MAX_FREE_PLACES, 2_400])
def test_the_backlog_counts_as_empty_once_all_connections_are_accepted(places):
    backlog = make_accept_backlog(1024)

    async def run():
        listener = make_listener(
            CountingProtocol,
            "127.0.0.1",
            0,
            None,
            1024,
            backlog,
            free_places=lambda: places,
        )
        address = listener.sockets[0].getsockname()
        many = 2 * MAX_ACCEPTS_PER_TURN
        callers = [socket.create_connection(address) for _ in range(many)]
        seen = []
        for _ in range(8):
            await asyncio.sleep(0.001)
            seen.append(backlog.wait_seconds(asyncio.get_running_loop().time()))
        listener.close()
        for caller in callers:
            caller.close()
        return seen

    seen = uvloop.run(run())
    assert max(seen) > 0.0
    assert seen[-1] == 0.0


async def test_connections_that_are_being_opened_leave_descriptors_to_others():
    """Guards against a burst that takes the descriptors that targets need."""
    places, max_waiting = 100, 50
    CountingProtocol.made = 0

    def free_places():
        return places - CountingProtocol.made

    listener = make_listener(
        CountingProtocol,
        "127.0.0.1",
        0,
        None,
        1024,
        max_waiting=max_waiting,
        free_places=free_places,
    )
    address = listener.sockets[0].getsockname()
    sockets_before = count_sockets()
    callers = [socket.create_connection(address) for _ in range(CALLERS)]
    for _ in range(50):
        await asyncio.sleep(0)
        accepted = count_sockets() - sockets_before - CALLERS
        assert accepted <= max(places, CountingProtocol.made) + max_waiting
    assert CountingProtocol.made >= places
    listener.close()
    for caller in callers:
        caller.close()
