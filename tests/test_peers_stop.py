"""The links of an instance stop on request, and keep up with their peers."""

import asyncio
import time
from contextlib import asynccontextmanager

from pynng import Push0

from sesameford.peers import PeerLinks
from sesameford.settings import parse_settings

ADDRESS = "127.0.0.1:17983"
SETTINGS = f"""
instance_id: e1
data_centre: a
listen: {{callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "{ADDRESS}"}}
"""
MESSAGES = 50
# Turns of a late loop.
TURNS = 5
TURN_SECONDS = 0.05


@asynccontextmanager
async def open_links():
    """Start links, and a socket that sends to them."""
    links = PeerLinks(
        parse_settings(SETTINGS, "e1.yaml"),
        1,
        b"key",
        lambda *_: None,
        time.monotonic,
    )
    await links.start()
    with Push0(send_buffer_size=2 * MESSAGES) as sender:
        # The loop accepts the connection.
        sender.dial(f"tcp://{ADDRESS}", block=False)
        sender.send(b"no envelope")
        while not links.refused_messages:
            await asyncio.sleep(0.01)
        yield links, sender


async def test_a_message_during_the_stop_does_not_block_it():
    """Guards against a process that never exits, as messages come while it stops."""
    async with open_links() as (links, sender):
        stopping = asyncio.create_task(links.stop())
        sender.send(b"no envelope")
        await asyncio.sleep(0)
        sender.send(b"no envelope")
        await asyncio.wait_for(stopping, timeout=2.0)
        await links.stop()


async def test_waiting_messages_are_read_in_few_turns_of_the_loop():
    """Guards against work for targets that left, at a router whose turns take long."""
    async with open_links() as (links, sender):
        for _ in range(MESSAGES):
            sender.send(b"no envelope")
        for _ in range(TURNS):
            time.sleep(TURN_SECONDS)
            await asyncio.sleep(0)
        assert links.refused_messages == MESSAGES + 1
        await links.stop()
