"""The links of an instance end when they are told to, and keep up with their peers."""

import asyncio

from pynng import TryAgain

from sesameford.peers import PeerLinks
from sesameford.settings import parse_settings

TURNS_A_MESSAGE = 3
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
    """A socket on which messages wait; waiting for one takes some turns of the loop."""

    def __init__(self, waiting: int) -> None:
        self._waiting = waiting

    async def arecv(self) -> bytes:
        for _ in range(TURNS_A_MESSAGE):
            await asyncio.sleep(0)
        return self.recv(block=False)

    def recv(self, block: bool) -> bytes:
        if not self._waiting:
            raise TryAgain("nothing waits", 8)
        self._waiting -= 1
        return b"no envelope"


async def test_a_message_at_the_moment_of_the_stop_does_not_hold_it_up():
    """An instance is stopped just as a peer's message arrives.

    The library hands the message out and drops the cancellation, so the receiving
    task goes on. The operator sees a process that has finished all its requests and
    never ends.
    """
    links = PeerLinks(
        parse_settings(SETTINGS, "e1.yaml"), 1, b"key", lambda *_: None, lambda: 0.0
    )
    links._listener = _ListenerWithMessageAtCancel()
    links._tasks = [asyncio.create_task(links._receive())]
    await asyncio.sleep(0)
    await asyncio.wait_for(links.stop(), timeout=2.0)


async def test_messages_are_read_as_fast_as_they_come_while_the_loop_is_slow():
    """One caller floods an instance, so that each turn of its loop takes long.

    Read one at a time, with some turns for each, its peers' messages would wait for
    seconds; requests would go on to targets that had said that they leave.
    """
    links = PeerLinks(
        parse_settings(SETTINGS, "e1.yaml"), 1, b"key", lambda *_: None, lambda: 0.0
    )
    links._listener = _ListenerWithWaitingMessages(50)
    receiving = asyncio.create_task(links._receive())
    for _ in range(TURNS_A_MESSAGE + 2):
        await asyncio.sleep(0)
    receiving.cancel()
    links._is_stopping = True
    await asyncio.gather(receiving, return_exceptions=True)
    assert links.refused_messages == 50
