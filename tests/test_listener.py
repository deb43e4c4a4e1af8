"""Accepting many connections on loopback."""

import asyncio
import socket

import pytest
import uvloop

from sesameford.listener import make_listener

CALLERS = 200


class CountingProtocol(asyncio.Protocol):
    made = 0

    def connection_made(self, transport):
        CountingProtocol.made += 1


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


async def test_nothing_is_accepted_after_the_close():
    listener = make_listener(CountingProtocol, "127.0.0.1", 0, None, 16)
    address = listener.sockets[0].getsockname()
    listener.close()
    listener.close()
    assert listener.sockets == ()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
