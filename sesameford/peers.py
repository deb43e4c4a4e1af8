"""Links between instances: pynng over TCP, one pushing socket a peer.

Every link is treated as one that loses, doubles and reorders. Messages that are
not urgent leave together a few times a second, because a send costs far more
processor time than the bytes in it.
"""

import asyncio
import hmac
import logging
from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256

from pynng import Pull0, Push0
from pynng.exceptions import NNGException, TryAgain

from sesameford.codec import MAX_ENVELOPE_BYTES, decode_envelope, encode_envelope
from sesameford.discovery.hello_peer import peer_from_hello
from sesameford.errors import PeerError
from sesameford.messages import Envelope, Hello, Message, Outgoing, StaleIncarnation
from sesameford.peer_state import (
    REDIAL_AFTER_SECONDS,
    PeerState,
    should_redial,
    take_envelope,
)
from sesameford.settings import DaemonSettings, Peer
from sesameford.tls import TlsFiles, make_dialler_config, make_listener_config

logger = logging.getLogger(__name__)

FLUSH_SECONDS = 0.25
URGENT_FLUSH_SECONDS = 0.005
SEND_BUFFER_MESSAGES = 64
# A link on which nothing was acknowledged for so long may not be connected. Peers speak
# some ten times a second while there is anything to say.
SILENT_LINK_SECONDS = 0.3
# Who has not answered at all is dialled anew this often for so long after the start:
# more than a machine takes longer to start than the first one.
FIRST_REDIAL_SECONDS = 0.15
HURRY_SECONDS = 3.0
# A link is tried again after so long, at first and at most. After a loss of all power
# the last machine to start is found within the latter.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 200
# Messages that are read in one turn of the loop: what the replica of 75 routers gets in
# a tenth of a second.
RECEIVED_AT_ONCE = 64
# What the network carries around one message: the length that nng puts before it,
# the headers of IP and TCP with its time stamps, and the segment that acknowledges.
WIRE_HEADER_BYTES = 8 + 52 + 52
# A keyed digest cut to 128 bits is as hard to forge as needed, and half as long.
MAC_BYTES = 16

OnMessage = Callable[[str, int, Message], None]


def seed_peer_id(address: str) -> str:
    """Return what a link is called while only the address of its end is known."""
    return f"seed@{address}"


def seal(key: bytes, payload: bytes) -> bytes:
    """Return a payload behind its keyed digest."""
    return hmac.digest(key, payload, sha256)[:MAC_BYTES] + payload


def unseal(key: bytes, sealed: bytes) -> bytes:
    """Return the payload of sealed bytes.

    Raises:
        PeerError: The digest is not of this key; the sender is no peer.
    """
    digest, payload = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
    expected = hmac.digest(key, payload, sha256)[:MAC_BYTES]
    if not hmac.compare_digest(digest, expected):
        raise PeerError("a message without the deployment's key was refused")
    return payload


class PeerLinks:
    """The sockets to and from all peers of one instance."""

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: int,
        key: bytes,
        on_message: OnMessage,
        now: Callable[[], float],
        tls: TlsFiles | None = None,
        redial_after_seconds: float = REDIAL_AFTER_SECONDS,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._key = key
        self._on_message = on_message
        self._now = now
        self._tls = tls
        self._redial_after_seconds = redial_after_seconds
        self._scheme = "tls+tcp" if tls else "tcp"
        self._peers = {peer.instance_id: peer for peer in settings.peers}
        self._states = {peer_id: PeerState(now()) for peer_id in self._peers}
        self._sockets: dict[str, Push0] = {}
        self._pending: dict[str, list[Message]] = {peer: [] for peer in self._peers}
        self._listener: Pull0 | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._urgent: asyncio.TimerHandle | None = None
        self._is_stopping = False
        self._hurries_until_seconds = now() + HURRY_SECONDS
        self.sent_bytes = 0
        self.received_bytes = 0
        self.refused_messages = 0

    def peer_ids(self) -> list[str]:
        """Return whom there are links to, seeds without a known id among them."""
        return list(self._peers)

    def add(self, peer: Peer) -> None:
        """Begin a link to an instance that became known, or to its new address.

        A seed is known by its address before it has told its id; the link that was
        begun under the address goes on under the id.
        """
        known = self._peers.get(peer.instance_id)
        if known is not None and known.peers == peer.peers:
            self._peers[peer.instance_id] = peer
            return
        seed_id = seed_peer_id(peer.peers)
        if known is None and seed_id in self._peers:
            self._rename(seed_id, peer)
            return
        self._peers[peer.instance_id] = peer
        self._states.setdefault(peer.instance_id, PeerState(self._now()))
        self._pending.setdefault(peer.instance_id, [])
        if self._listener is not None:
            self._dial(peer)

    def redial_if_silent(self, peer_id: str) -> None:
        """Dial a peer anew that has just shown that it runs.

        A machine without power answers no attempt to connect, and the attempt is
        repeated only after a second. One that was begun before the machine came back
        would keep silent for so long, while a new one succeeds at once.
        """
        state = self._states.get(peer_id)
        if state is None or self._listener is None:
            return
        last_sign_seconds = state.acknowledged_at_seconds or float("-inf")
        if self._now() - last_sign_seconds > SILENT_LINK_SECONDS:
            self._dial(self._peers[peer_id])

    def redial_silent_peers(self, now_seconds: float) -> list[str]:
        """Dial anew, soon after the start, who has not answered yet; return whom.

        After a loss of all power the machines come back one after another, and this
        one can't know when; see ``redial_if_silent``.
        """
        if self._listener is None or now_seconds > self._hurries_until_seconds:
            return []
        unheard = [
            peer_id
            for peer_id, state in self._states.items()
            if state.acknowledged_at_seconds is None
            and now_seconds - state.dialled_at_seconds > FIRST_REDIAL_SECONDS
        ]
        for peer_id in unheard:
            self._dial(self._peers[peer_id])
        return unheard

    def remove(self, peer_id: str) -> None:
        """End the link to an instance that is gone."""
        self._peers.pop(peer_id, None)
        self._states.pop(peer_id, None)
        self._pending.pop(peer_id, None)
        socket = self._sockets.pop(peer_id, None)
        if socket is not None:
            socket.close()

    def raise_incarnation(self, above: int) -> bool:
        """Count as newer than an earlier process of this instance.

        The time of day may have been set back between the two starts. Peers would
        then take all that this process sends as said before its predecessor's end,
        and it would be dead to them; so they tell it the number that they know.
        """
        if above <= self._incarnation:
            return False
        self._incarnation = above + 1
        return True

    def _rename(self, seed_id: str, peer: Peer) -> None:
        del self._peers[seed_id]
        self._peers[peer.instance_id] = peer
        self._states[peer.instance_id] = self._states.pop(seed_id)
        self._pending[peer.instance_id] = self._pending.pop(seed_id)
        if seed_id in self._sockets:
            self._sockets[peer.instance_id] = self._sockets.pop(seed_id)

    async def start(self) -> None:
        """Listen, dial every peer and begin to send batches.

        Raises:
            PeerError: The address can't be listened on.
        """
        self._listener = self._listen()
        for peer in self._peers.values():
            self._dial(peer)
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._flush_regularly()),
        ]

    async def stop(self) -> None:
        """Send what is pending and close all sockets."""
        self.flush()
        await asyncio.sleep(URGENT_FLUSH_SECONDS)
        self._is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for socket in self._sockets.values():
            socket.close()
        if self._listener is not None:
            self._listener.close()

    def send(self, outgoing: Outgoing) -> None:
        """Put a message into the next batch, or send at once if it is urgent."""
        receivers = (
            list(self._peers)
            if outgoing.receiver_id is None
            else [outgoing.receiver_id]
        )
        for receiver_id in receivers:
            if receiver_id in self._pending:
                self._pending[receiver_id].append(outgoing.message)
        if outgoing.urgent and self._urgent is None:
            loop = asyncio.get_running_loop()
            self._urgent = loop.call_later(URGENT_FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Send every pending message now."""
        if self._urgent is not None:
            self._urgent.cancel()
            self._urgent = None
        for peer_id, messages in list(self._pending.items()):
            if messages:
                self._pending[peer_id] = []
                self._send_envelope(peer_id, tuple(messages))

    def _send_envelope(self, peer_id: str, messages: tuple[Message, ...]) -> None:
        state = self._states[peer_id]
        envelope = Envelope(
            sender_id=self._settings.instance_id,
            incarnation=self._incarnation,
            sequence=state.next_sequence,
            acknowledged=state.heard,
            messages=messages,
        )
        self._states[peer_id] = replace(state, next_sequence=state.next_sequence + 1)
        try:
            sealed = seal(self._key, encode_envelope(envelope))
            self._sockets[peer_id].send(sealed, block=False)
            self.sent_bytes += len(sealed) + WIRE_HEADER_BYTES
        except TryAgain:
            # The peer reads nothing: it is down or cut off. What waits for it is
            # dropped, since totals of a later time will say all of it again.
            logger.debug("peer %s takes no messages", peer_id)
        except (NNGException, PeerError) as error:
            logger.warning("could not send to peer %s: %s", peer_id, error)

    def _listen(self) -> Pull0:
        address = f"{self._scheme}://{self._settings.listen.peers}"
        listener = Pull0(
            recv_max_size=MAX_ENVELOPE_BYTES + MAC_BYTES,
            tls_config=make_listener_config(self._tls) if self._tls else None,
        )
        try:
            listener.listen(address)
        except NNGException as error:
            raise PeerError(f"can't listen on {address}: {error}") from error
        return listener

    def reload_tls(self, files: TlsFiles) -> None:
        """Listen and dial anew under a new identity; messages between are lost."""
        self._tls = files
        old, self._listener = self._listener, None
        if old is not None:
            old.close()
        self._listener = self._listen()
        for peer in self._peers.values():
            self._dial(peer)

    async def _flush_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
            now_seconds = self._now()
            for peer_id, peer in list(self._peers.items()):
                if should_redial(
                    self._states[peer_id], now_seconds, self._redial_after_seconds
                ):
                    self._dial(peer)

    def _dial(self, peer: Peer) -> None:
        old = self._sockets.pop(peer.instance_id, None)
        if old is not None:
            old.close()
        socket = Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            tls_config=(
                make_dialler_config(self._tls, peer.instance_id) if self._tls else None
            ),
        )
        socket.dial(f"{self._scheme}://{peer.peers}", block=False)
        self._sockets[peer.instance_id] = socket
        state = self._states[peer.instance_id]
        self._states[peer.instance_id] = replace(state, dialled_at_seconds=self._now())

    async def _receive(self) -> None:
        # A message that arrives in the turn of the cancellation makes the library
        # return it and forget the cancellation. The stop would wait for this task
        # for ever, and an instance that has finished all its work never end.
        while not self._is_stopping:
            assert self._listener is not None
            try:
                sealed = await self._listener.arecv()
            except NNGException as error:
                logger.warning("receiving from peers was broken off: %s", error)
                await asyncio.sleep(URGENT_FLUSH_SECONDS)
                continue
            self._open(sealed)
            self._receive_waiting()

    def _receive_waiting(self) -> None:
        """Take what else has come, without another turn of the loop for each.

        Waiting for a message takes some turns. At an instance that a flood keeps busy
        a turn takes tens of milliseconds, so that messages would come in faster than
        they are read, and it would hear of targets that leave seconds too late.
        """
        for _ in range(RECEIVED_AT_ONCE):
            assert self._listener is not None
            try:
                sealed = self._listener.recv(block=False)
            except TryAgain:
                return
            except NNGException as error:
                logger.warning("receiving from peers was broken off: %s", error)
                return
            self._open(sealed)

    def _open(self, sealed: bytes) -> None:
        self.received_bytes += len(sealed) + WIRE_HEADER_BYTES
        try:
            self._take(decode_envelope(unseal(self._key, sealed)))
        except PeerError as error:
            self.refused_messages += 1
            logger.warning("%s", error)

    def _greeted(self, envelope: Envelope) -> PeerState:
        """Begin a link back to an instance that found this one by a seed.

        Raises:
            PeerError: It does not say who it is, or nobody may come unasked.
        """
        for message in envelope.messages:
            if isinstance(message, Hello) and self._settings.seeds:
                self.add(peer_from_hello(envelope.sender_id, message))
                return self._states[envelope.sender_id]
        raise PeerError(f"{envelope.sender_id!r} is no peer of this instance")

    def _take(self, envelope: Envelope) -> None:
        state = self._states.get(envelope.sender_id)
        if state is None:
            state = self._greeted(envelope)
        if envelope.incarnation < state.heard[0]:
            behind = StaleIncarnation(state.heard[0])
            self.send(Outgoing(envelope.sender_id, behind, urgent=True))
            return
        new_state = take_envelope(state, envelope, self._incarnation, self._now())
        if new_state is None:
            return
        self._states[envelope.sender_id] = new_state
        for message in envelope.messages:
            try:
                self._on_message(envelope.sender_id, envelope.incarnation, message)
            except Exception:
                logger.exception("a message of %s failed", envelope.sender_id)
