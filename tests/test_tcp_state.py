"""What the kernel reports about connections to peers that read late, leave or reset."""

import asyncio
import socket
import struct

import pytest

from sesameford.tcp_state import (
    TCP_CLOSE,
    TCP_ESTABLISHED,
    count_unacknowledged_bytes,
    read_state,
)

WINDOW_BYTES = 8_192
SENT_BYTES = 100_000


@pytest.fixture
async def connected():
    """Yield a transport, whose buffer stays empty, and its peer's socket."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        transport, _ = await loop.create_connection(
            asyncio.Protocol, *listening.getsockname()
        )
        peer, _ = listening.accept()
    with peer:
        yield transport, peer
    transport.abort()


async def wait_until(condition):
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.005)


async def test_bytes_that_the_peer_has_no_room_for_are_counted(connected):
    """Guards against an upload that counts as delivered while it waits here."""
    transport, peer = connected
    assert count_unacknowledged_bytes(transport) == 0
    transport.write(b"x" * SENT_BYTES)
    await wait_until(lambda: transport.get_write_buffer_size() == 0)
    left_bytes = count_unacknowledged_bytes(transport)
    assert 0 < left_bytes < SENT_BYTES
    peer.setblocking(False)
    loop = asyncio.get_running_loop()
    received_bytes = 0
    while received_bytes < SENT_BYTES:
        received_bytes += len(await loop.sock_recv(peer, SENT_BYTES))
    await wait_until(lambda: count_unacknowledged_bytes(transport) == 0)


async def test_a_reset_differs_from_an_orderly_end(connected):
    """Guards against a reset that looks like a peer that has sent its last byte."""
    transport, peer = connected
    assert read_state(transport) == TCP_ESTABLISHED
    transport.pause_reading()
    peer.shutdown(socket.SHUT_WR)
    await wait_until(lambda: read_state(transport) != TCP_ESTABLISHED)
    assert read_state(transport) != TCP_CLOSE
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    await wait_until(lambda: read_state(transport) == TCP_CLOSE)
