"""Links that begin with the address of a seed, over real sockets."""

import asyncio
from time import monotonic

from sesameford.messages import Heartbeat, Hello, Outgoing, StaleIncarnation
from sesameford.peers import PeerLinks, seed_peer_id
from sesameford.settings import DaemonSettings, Listen, Peer
from sesameford.tables import InstanceState

KEY = b"k" * 32
A, B = "127.0.81.1:17500", "127.0.81.2:17500"
BEAT = Heartbeat("a", InstanceState.READY, 7)
LIMIT_SECONDS = 10


class End:
    """One end of a link and what it has heard."""

    def __init__(self, name, address, incarnation):
        settings = DaemonSettings(
            name, "a", Listen(address, address, address), seeds=(A,)
        )
        self.heard = []
        self.greeting = Hello(address, "a", True, False, ())
        self.links = PeerLinks(
            settings, incarnation, KEY, self._take, monotonic, redial_after_seconds=1.0
        )

    def _take(self, sender_id, incarnation, message):
        self.heard.append((sender_id, message))
        if isinstance(message, StaleIncarnation):
            self.links.raise_incarnation(message.highest_incarnation)

    async def say_until(self, message, condition, others=()):
        """Say something again and again until it has worked; all greet meanwhile."""
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition():
                for end in (self, *others):
                    end.links.send(Outgoing(None, end.greeting))
                self.links.send(Outgoing(None, message, urgent=True))
                await asyncio.sleep(0.05)


async def test_a_link_begins_with_a_seed_s_address():
    a, b = End("a1", A, 1), End("b1", B, 1)
    await a.links.start()
    await b.links.start()
    try:
        b.links.add(Peer(seed_peer_id(A), "", A, True))
        await b.say_until(BEAT, lambda: ("b1", BEAT) in a.heard)
        # The seed greets back, and its link goes on under its id.
        await a.say_until(BEAT, lambda: ("a1", BEAT) in b.heard)
        b.links.add(Peer("a1", "a", A, True))
        assert b.links.peer_ids() == ["a1"]
    finally:
        await a.links.stop()
        await b.links.stop()


async def test_a_process_that_starts_after_the_clock_went_back_is_heard():
    """The time of day goes back by some seconds and a process is restarted.

    Its number is lower than its predecessor's, so that all that it says looks older
    than what is known; to its peers it would be dead for as long as the step.
    """
    a, b = End("a1", A, 1), End("b1", B, 9_000)
    await a.links.start()
    await b.links.start()
    b.links.add(Peer(seed_peer_id(A), "", A, True))
    await b.say_until(BEAT, lambda: ("b1", BEAT) in a.heard)
    await b.links.stop()
    a.heard.clear()

    later = Heartbeat("a", InstanceState.READY, 8)
    b = End("b1", B, 4_000)
    await b.links.start()
    try:
        b.links.add(Peer(seed_peer_id(A), "", A, True))
        await b.say_until(later, lambda: ("b1", later) in a.heard, [a])
    finally:
        await a.links.stop()
        await b.links.stop()


async def test_one_that_does_not_greet_is_not_listened_to():
    a, b = End("a1", A, 1), End("b1", B, 1)
    await a.links.start()
    await b.links.start()
    try:
        b.links.add(Peer(seed_peer_id(A), "", A, True))
        for _ in range(5):
            b.links.send(Outgoing(None, BEAT, urgent=True))
            await asyncio.sleep(0.05)
        assert a.heard == []
    finally:
        await a.links.stop()
        await b.links.stop()
