"""Accepting many connections, on loopback."""

import asyncio
import socket

import pytest
import uvloop

from sesameford.listener import make_listener

CALLERS = 200


class Counting(asyncio.Protocol):
    made = 0

    def connection_made(self, transport):
        Counting.made += 1


def accepted_in_turns(turns):
    """Return how many of many waiting connections are made in some loop turns."""

    async def run():
        Counting.made = 0
        listener = make_listener(Counting, "127.0.0.1", 0, None, 1024)
        address = listener.sockets[0].getsockname()
        callers = [socket.create_connection(address) for _ in range(CALLERS)]
        try:
            for _ in range(turns):
                await asyncio.sleep(0)
            return Counting.made
        finally:
            listener.close()
            for caller in callers:
                caller.close()

    return uvloop.run(run())


def test_a_flood_of_connections_is_seen_at_once():
    """Two hundred callers open connections while the loop does other work.

    Accepted one each time the loop turns, most of them would wait unread until they
    give up, and nothing would tell that the instance is overloaded.
    """
    assert accepted_in_turns(8) == CALLERS


async def test_nothing_is_accepted_after_the_close():
    listener = make_listener(Counting, "127.0.0.1", 0, None, 16)
    address = listener.sockets[0].getsockname()
    listener.close()
    listener.close()
    assert listener.sockets == ()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
