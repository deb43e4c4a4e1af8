"""Connections of peers, and of others, at the links' port."""

import asyncio
from contextlib import asynccontextmanager

from sesameford.link_framing import RECEIVER_GREETING, SENDER_GREETING
from sesameford.peer_listener import (
    MAX_UNSEALED_MESSAGE_BYTES,
    SPARE_UNSEALED_CONNECTIONS,
    make_peer_listener,
)
from tests.test_instance import free_addresses
from tests.test_link_framing import framed
from tests.test_tls import until

SEALED = b"sealed"
MAX_MESSAGE_BYTES = 4 * MAX_UNSEALED_MESSAGE_BYTES
LONG = b"x" * (2 * MAX_UNSEALED_MESSAGE_BYTES)
PEERS = 2
MAX_UNSEALED = SPARE_UNSEALED_CONNECTIONS + PEERS


@asynccontextmanager
async def open_listener():
    """Listen; yield what was received, and a function that connects and greets."""
    received: list[bytes] = []

    def on_message(message):
        received.append(message)
        return message == SEALED

    (address,) = free_addresses(1)
    host, port = address.split(":")
    listener = make_peer_listener(on_message, MAX_MESSAGE_BYTES, lambda: PEERS)
    listener.listen(host, int(port), None)
    writers = []

    async def connect(greeting=SENDER_GREETING):
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        writer.write(greeting)
        assert await reader.readexactly(8) == RECEIVER_GREETING
        return reader, writer

    try:
        yield received, connect
    finally:
        listener.close()
        for writer in writers:
            writer.close()


async def is_closed(reader):
    async with asyncio.timeout(10):
        try:
            return await reader.read(1) == b""
        except ConnectionError:
            return True


async def test_no_long_message_comes_without_a_sealed_one():
    """Guards against memory that processes without the deployment's key fill."""
    async with open_listener() as (received, connect):
        reader, writer = await connect()
        writer.write(framed(b"no seal") + framed(LONG))
        assert await is_closed(reader)
        assert received == [b"no seal"]


async def test_a_peer_sends_long_messages():
    """Guards against a large configuration that never reaches the other replicas."""
    async with open_listener() as (received, connect):
        _, writer = await connect()
        writer.write(framed(SEALED) + framed(LONG) + framed(LONG))
        await until(lambda: len(received) == 3)
        assert received == [SEALED, LONG, LONG]


async def test_new_connections_take_the_places_of_those_that_do_not_greet_first():
    """Guards against silent connections that take all descriptors of a process."""
    async with open_listener() as (received, connect):
        peer_reader, peer_writer = await connect()
        peer_writer.write(framed(SEALED))
        await until(lambda: received == [SEALED])
        greeted_reader, _ = await connect()
        readers = [(await connect(b""))[0] for _ in range(2 * MAX_UNSEALED)]
        for reader in readers[: MAX_UNSEALED + 1]:
            assert await is_closed(reader)
        open_readers = [greeted_reader, *readers[MAX_UNSEALED + 1 :]]
        assert len(open_readers) == MAX_UNSEALED
        assert not any(reader.at_eof() for reader in [peer_reader, *open_readers])
        peer_writer.write(framed(SEALED))
        await until(lambda: len(received) == 2)


async def test_new_connections_take_the_place_of_the_oldest_without_a_seal():
    """Guards against a crowd that greets and stays, and keeps new peers out."""
    async with open_listener() as (received, connect):
        readers = [(await connect())[0] for _ in range(MAX_UNSEALED)]
        _, writer = await connect()
        writer.write(framed(SEALED))
        assert await is_closed(readers[0])
        await until(lambda: received == [SEALED])
        assert not any(reader.at_eof() for reader in readers[1:])
