"""Links between instances: pynng over TCP, one push socket for each peer.

What peers send is received by ``peer_listener``, which bounds what is not sealed.

Every link may lose, duplicate and reorder messages. Messages that are not urgent are
sent in batches a few times a second, because a send costs far more processor time than
the bytes in it.
"""

import asyncio
import hmac
import logging
from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256

from pynng import Push0
from pynng.exceptions import NNGException, TryAgain

from sesameford.codec import MAX_ENVELOPE_BYTES, decode_envelope, encode_envelope
from sesameford.discovery.hello_peer import peer_from_hello
from sesameford.errors import PeerError
from sesameford.messages import Envelope, Hello, Message, Outgoing, StaleIncarnation
from sesameford.peer_listener import PeerListener, make_peer_listener
from sesameford.peer_state import (
    REDIAL_AFTER_SECONDS,
    PeerState,
    record_envelope,
    should_redial,
)
from sesameford.retired_sockets import RetiredSockets
from sesameford.settings import DaemonSettings, Peer, split_address
from sesameford.tls import TlsFiles, make_dialler_config

logger = logging.getLogger(__name__)

FLUSH_SECONDS = 0.25
URGENT_FLUSH_SECONDS = 0.005
SEND_BUFFER_MESSAGES = 64
# A link without an acknowledgement for this long may not be connected. Peers send some
# ten envelopes a second while there is anything to send.
SILENT_LINK_SECONDS = 0.3
# Interval and period after the start in which peers without any answer are redialled.
# The period is longer than the difference between the start times of machines.
START_REDIAL_INTERVAL_SECONDS = 0.15
START_REDIAL_PERIOD_SECONDS = 3.0
# The minimum and maximum delay before a link is connected again. After a power loss of
# all machines the last one to start is found within the maximum.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 200
# The network's overhead for one message: nng's length prefix, the headers of IP and of
# TCP with time stamps, and the segment of the acknowledgement.
WIRE_HEADER_BYTES = 8 + 52 + 52
# A keyed digest truncated to 128 bits is hard enough to forge, at half the length.
MAC_BYTES = 16

OnMessage = Callable[[str, int, Message], None]


def seed_peer_id(address: str) -> str:
    """Return the id of a link to a seed whose instance id is still unknown."""
    return f"seed@{address}"


def seal(key: bytes, payload: bytes) -> bytes:
    """Return a payload with its keyed digest as a prefix."""
    return hmac.digest(key, payload, sha256)[:MAC_BYTES] + payload


def unseal(key: bytes, sealed: bytes) -> bytes:
    """Return the payload of sealed bytes.

    Raises:
        PeerError: The digest doesn't match this key; the sender is no peer.
    """
    digest, payload = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
    expected = hmac.digest(key, payload, sha256)[:MAC_BYTES]
    if not hmac.compare_digest(digest, expected):
        raise PeerError(
            "refused a message that is not sealed with the deployment's key"
        )
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
        self._retired = RetiredSockets()
        self._pending: dict[str, list[Message]] = {peer: [] for peer in self._peers}
        self._listener: PeerListener | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._urgent: asyncio.TimerHandle | None = None
        self._start_redial_until_seconds = now() + START_REDIAL_PERIOD_SECONDS
        self.sent_bytes = 0
        self.received_bytes = 0
        self.refused_messages = 0

    def peer_ids(self) -> list[str]:
        """Return the ids of all links, including seeds whose instance id is unknown."""
        return list(self._peers)

    def add(self, peer: Peer) -> None:
        """Open a link to a discovered instance, or to its new address.

        A seed is identified by its address until it has sent its id. The link that was
        opened under the address continues under the id.
        """
        old_peer = self._peers.get(peer.instance_id)
        if old_peer is not None and old_peer.peers == peer.peers:
            self._peers[peer.instance_id] = peer
            return
        seed_id = seed_peer_id(peer.peers)
        if old_peer is None and seed_id in self._peers:
            self._rename(seed_id, peer)
            return
        self._peers[peer.instance_id] = peer
        self._states.setdefault(peer.instance_id, PeerState(self._now()))
        self._pending.setdefault(peer.instance_id, [])
        if self._listener is not None:
            self._dial(peer)

    def redial_if_silent(self, peer_id: str) -> None:
        """Redial a peer that has just shown that it runs, if its link is silent.

        A machine without power answers no connection attempt, and the attempt is
        repeated only after a second. An attempt from before the machine came back would
        stay silent for that long, while a new one succeeds at once.
        """
        state = self._states.get(peer_id)
        if state is None or self._listener is None:
            return
        acknowledged_at_seconds = state.acknowledged_at_seconds or float("-inf")
        if self._now() - acknowledged_at_seconds > SILENT_LINK_SECONDS:
            self._dial(self._peers[peer_id])

    def redial_silent_peers(self, now_seconds: float) -> list[str]:
        """Redial, soon after the start, peers without any answer; return their ids.

        After a power loss the machines come back one after another, at times that this
        instance can't know; see ``redial_if_silent``.
        """
        if self._listener is None or now_seconds > self._start_redial_until_seconds:
            return []
        silent_peers = [
            peer_id
            for peer_id, state in self._states.items()
            if state.acknowledged_at_seconds is None
            and now_seconds - state.dialled_at_seconds > START_REDIAL_INTERVAL_SECONDS
        ]
        for peer_id in silent_peers:
            self._dial(self._peers[peer_id])
        return silent_peers

    def remove(self, peer_id: str) -> None:
        """Close the link to an instance that is gone."""
        self._peers.pop(peer_id, None)
        self._states.pop(peer_id, None)
        self._pending.pop(peer_id, None)
        socket = self._sockets.pop(peer_id, None)
        if socket is not None:
            self._retired.add(socket, self._now())

    def raise_incarnation(self, above: int) -> bool:
        """Raise the incarnation above that of an earlier process of this instance.

        The time of day may have been set back between the two starts. Peers would then
        discard all messages of this process as older than its predecessor's and treat
        it as dead. So they send it the highest incarnation that they have received.

        Returns:
            Whether the incarnation was raised.
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
        """Listen, dial every peer and start to send batches.

        Raises:
            PeerError: The address can't be listened on.
        """
        self._listener = self._listen()
        for peer in self._peers.values():
            self._dial(peer)
        self._tasks = [asyncio.create_task(self._flush_regularly())]

    async def stop(self, ends_process: bool = False) -> None:
        """Send pending messages and close all sockets.

        Args:
            ends_process: Whether the process ends right away, without finalizers. Then
                sockets that may be connecting are left open.
        """
        self.flush()
        await asyncio.sleep(URGENT_FLUSH_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for socket in self._sockets.values():
            self._retired.add(socket, self._now())
        if ends_process:
            self._retired.leave_open()
        await self._retired.close_all()
        self._close_listener()

    def _close_listener(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()

    def send(self, outgoing: Outgoing) -> None:
        """Add a message to the next batch, or send it at once if it is urgent."""
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
            acknowledged=state.received_stamp,
            messages=messages,
        )
        self._states[peer_id] = replace(state, next_sequence=state.next_sequence + 1)
        try:
            sealed = seal(self._key, encode_envelope(envelope))
            self._sockets[peer_id].send(sealed, block=False)
            self.sent_bytes += len(sealed) + WIRE_HEADER_BYTES
        except TryAgain:
            # The peer is down or isolated. The messages are dropped, since later
            # messages carry the newer totals.
            logger.debug("send buffer of peer %s is full", peer_id)
        except (NNGException, PeerError) as error:
            logger.warning("could not send to peer %s: %s", peer_id, error)

    def _listen(self) -> PeerListener:
        listener = make_peer_listener(
            self._handle_sealed,
            MAX_ENVELOPE_BYTES + MAC_BYTES,
            lambda: len(self._peers),
        )
        address = self._settings.listen.peers
        host, port = split_address(address)
        context = self._tls.peers_context if self._tls else None
        try:
            listener.listen(host, port, context)
        except OSError as error:
            raise PeerError(f"can't listen on {address}: {error}") from error
        return listener

    def reload_tls(self, files: TlsFiles) -> None:
        """Listen and redial under a new identity; messages in between are lost."""
        self._tls = files
        self._close_listener()
        self._listener = self._listen()
        for peer in self._peers.values():
            self._dial(peer)

    async def _flush_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
            now_seconds = self._now()
            self._retired.close_due(now_seconds)
            for peer_id, peer in list(self._peers.items()):
                if should_redial(
                    self._states[peer_id], now_seconds, self._redial_after_seconds
                ):
                    self._dial(peer)

    def _dial(self, peer: Peer) -> None:
        old = self._sockets.pop(peer.instance_id, None)
        if old is not None:
            self._retired.add(old, self._now())
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

    def _handle_sealed(self, sealed: bytes) -> bool:
        """Handle what a connection has sent, and return whether its seal is right."""
        self.received_bytes += len(sealed) + WIRE_HEADER_BYTES
        has_key = False
        try:
            payload = unseal(self._key, sealed)
            has_key = True
            self._handle_envelope(decode_envelope(payload))
        except PeerError as error:
            self.refused_messages += 1
            logger.warning("%s", error)
        return has_key

    def _add_peer_from_hello(self, envelope: Envelope) -> PeerState:
        """Open a link back to an instance that found this one by a seed.

        Raises:
            PeerError: The envelope has no hello, or this instance has no seeds and so
                accepts only configured peers.
        """
        for message in envelope.messages:
            if isinstance(message, Hello) and self._settings.seeds:
                self.add(peer_from_hello(envelope.sender_id, message))
                return self._states[envelope.sender_id]
        raise PeerError(f"{envelope.sender_id!r} is not a peer of this instance")

    def _handle_envelope(self, envelope: Envelope) -> None:
        state = self._states.get(envelope.sender_id)
        if state is None:
            state = self._add_peer_from_hello(envelope)
        if envelope.incarnation < state.received_stamp[0]:
            stale = StaleIncarnation(state.received_stamp[0])
            self.send(Outgoing(envelope.sender_id, stale, urgent=True))
            return
        new_state = record_envelope(state, envelope, self._incarnation, self._now())
        if new_state is None:
            return
        self._states[envelope.sender_id] = new_state
        for message in envelope.messages:
            try:
                self._on_message(envelope.sender_id, envelope.incarnation, message)
            except Exception:
                logger.exception("handling a message of %s failed", envelope.sender_id)
