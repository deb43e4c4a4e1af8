"""The links of an instance end when they are told to."""

import asyncio

from sesameford.peers import PeerLinks
from sesameford.settings import parse_settings

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

    def close(self) -> None:
        pass


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
