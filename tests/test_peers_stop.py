"""The links of an instance stop on request, and keep up with their peers."""

import asyncio

from pynng import TryAgain

from sesameford.peers import PeerLinks
from sesameford.settings import parse_settings

TURNS_PER_MESSAGE = 3
SETTINGS = """
instance_id: e1
data_centre: a
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
"""


class _ListenerWithMessageAtCancel:
    """A socket on which a message arrives in the turn of the first cancellation."""

    def __init__(self) -> None:
        self._has_message = True

    async def arecv(self) -> bytes:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if not self._has_message:
                raise
            self._has_message = False
            return b"no envelope"
        raise AssertionError("nothing sets the event")

    def recv(self, block: bool) -> bytes:
        raise TryAgain("nothing waits", 8)

    def close(self) -> None:
        pass


class _ListenerWithWaitingMessages:
    """A socket with waiting messages; an await for one takes some turns of the loop."""

    def __init__(self, waiting: int) -> None:
        self._waiting = waiting

    async def arecv(self) -> bytes:
        for _ in range(TURNS_PER_MESSAGE):
            await asyncio.sleep(0)
        return self.recv(block=False)

    def recv(self, block: bool) -> bytes:
        if not self._waiting:
            raise TryAgain("nothing waits", 8)
        self._waiting -= 1
        return b"no envelope"


async def test_a_message_during_the_cancellation_does_not_block_the_stop():
    """An instance is stopped just as a peer's message arrives.

    The library returns the message and drops the cancellation, so the receiving task
    continues. The process has finished all its requests and never exits.
    """
    links = PeerLinks(
        parse_settings(SETTINGS, "e1.yaml"), 1, b"key", lambda *_: None, lambda: 0.0
    )
    links._listener = _ListenerWithMessageAtCancel()
    links._tasks = [asyncio.create_task(links._receive())]
    await asyncio.sleep(0)
    await asyncio.wait_for(links.stop(), timeout=2.0)


async def test_waiting_messages_are_read_in_one_turn_of_the_loop():
    """A caller overloads an instance, so that each turn of its loop takes long.

    Read one at a time, with some turns for each, the messages of peers would wait for
    seconds, and requests would be sent to targets that have already left.
    """
    links = PeerLinks(
        parse_settings(SETTINGS, "e1.yaml"), 1, b"key", lambda *_: None, lambda: 0.0
    )
    links._listener = _ListenerWithWaitingMessages(50)
    receiving = asyncio.create_task(links._receive())
    for _ in range(TURNS_PER_MESSAGE + 2):
        await asyncio.sleep(0)
    receiving.cancel()
    links._is_stopping = True
    await asyncio.gather(receiving, return_exceptions=True)
    assert links.refused_messages == 50
