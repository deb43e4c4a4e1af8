"""The overlay network of an instance: messages go over direct links or by hubs."""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from sesameford.codec import decode_message, encode_message
from sesameford.errors import PeerError
from sesameford.members import Members
from sesameford.messages import (
    BroadcastMessage,
    MembersRequest,
    MembersUpdate,
    Message,
    Outgoing,
    RelayedMessage,
    SuspectUpdate,
)
from sesameford.settings import DaemonSettings

logger = logging.getLogger(__name__)

# The own hub, the receiver's hub, and a spare one for a change of hubs meanwhile.
MAX_HOPS = 3
# Broadcasts that must also reach instances without a link. The other broadcasts are
# about the link itself, or the module that handles them forwards them.
_BROADCAST_TYPES = (SuspectUpdate,)


@dataclass(frozen=True, slots=True)
class Topology:
    """The links of one instance.

    ``peers`` maps each instance that it has a link to, to its data centre. ``hubs``
    are those of them that relay messages, in the order in which they are tried.
    """

    instance_id: str
    incarnation: int
    data_centre: str
    is_hub: bool
    peers: Mapping[str, str]
    hubs: tuple[str, ...]


def make_topology(settings: DaemonSettings, incarnation: int) -> Topology:
    """Return the links named in an instance's settings."""
    return Topology(
        settings.instance_id,
        incarnation,
        settings.data_centre,
        settings.is_hub,
        {peer.instance_id: peer.data_centre for peer in settings.peers},
        tuple(peer.instance_id for peer in settings.peers if peer.is_hub),
    )


class Overlay:
    """Sends messages to any instance, and relays those of others.

    Args:
        topology: The links of this instance.
        members: The data centres of instances, and the live hubs.
        send: Sends a message on a link.
        deliver: Handles a message for this instance, with its origin's id and
            incarnation.
    """

    def __init__(
        self,
        topology: Topology,
        members: Members,
        send: Callable[[Outgoing], None],
        deliver: Callable[[str, int, Message], None],
    ) -> None:
        self._topology = topology
        self._members = members
        self._send = send
        self._deliver = deliver
        self.unroutable_messages = 0

    def send(self, outgoing: Outgoing, now_seconds: float) -> None:
        """Send a message to one instance, or to all if it names no receiver."""
        topology = self._topology
        receiver_id = outgoing.receiver_id
        if (
            receiver_id is None
            and topology.hubs
            and isinstance(outgoing.message, _BROADCAST_TYPES)
        ):
            payload = encode_message(outgoing.message)
            broadcast = BroadcastMessage(
                topology.instance_id, topology.incarnation, payload
            )
            for peer_id in self._broadcast_receivers(None):
                self._send(Outgoing(peer_id, broadcast, outgoing.urgent))
        elif receiver_id is None or receiver_id in topology.peers:
            self._send(outgoing)
        else:
            payload = encode_message(outgoing.message)
            relayed = RelayedMessage(
                topology.instance_id,
                topology.incarnation,
                receiver_id,
                MAX_HOPS,
                payload,
            )
            self._route(relayed, now_seconds)

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Handle a message that arrived on a link."""
        match message:
            case RelayedMessage():
                self._handle_relayed(message, now_seconds)
            case BroadcastMessage():
                for peer_id in self._broadcast_receivers(sender_id):
                    self._send(Outgoing(peer_id, message, urgent=True))
                self._unpack(
                    message.origin_id, message.origin_incarnation, message.payload
                )
            case MembersUpdate():
                self._members.handle_update(sender_id, message, now_seconds)
            case MembersRequest():
                self._members.handle_request(sender_id)
            case _:
                self._deliver(sender_id, incarnation, message)

    def tick(self, now_seconds: float) -> None:
        """Propagate changes of the members."""
        for outgoing in self._members.collect_outgoing(
            self._topology.peers, now_seconds
        ):
            self._send(outgoing)

    def live_hub(self, now_seconds: float) -> str | None:
        """Return the hub that this instance uses, None on a hub or in a mesh."""
        topology = self._topology
        if topology.is_hub:
            return None
        return self._members.live_hub(topology.data_centre, topology.hubs, now_seconds)

    def _handle_relayed(self, message: RelayedMessage, now_seconds: float) -> None:
        topology = self._topology
        if message.receiver_id == topology.instance_id:
            self._unpack(message.origin_id, message.origin_incarnation, message.payload)
        elif topology.is_hub and message.hops_left > 1:
            onward = RelayedMessage(
                message.origin_id,
                message.origin_incarnation,
                message.receiver_id,
                message.hops_left - 1,
                message.payload,
            )
            self._route(onward, now_seconds)
        else:
            self.unroutable_messages += 1

    def _route(self, message: RelayedMessage, now_seconds: float) -> None:
        """Forward a message towards its receiver; without a route it is dropped."""
        hop_id = self._next_hop(message.receiver_id, now_seconds)
        if hop_id is None:
            self.unroutable_messages += 1
        else:
            self._send(Outgoing(hop_id, message, urgent=True))

    def _next_hop(self, receiver_id: str, now_seconds: float) -> str | None:
        topology = self._topology
        if receiver_id in topology.peers:
            return receiver_id
        if not topology.is_hub:
            return self.live_hub(now_seconds)
        location = self._members.data_centre_of(receiver_id)
        if location is None or location == topology.data_centre:
            return None
        return self._members.live_hub(location, topology.hubs, now_seconds)

    def _broadcast_receivers(self, sender_id: str | None) -> Sequence[str]:
        """Return the peers to which to send or forward a broadcast.

        Hubs have links to all hubs, so a broadcast from a hub goes only to the other
        instances with a link. Otherwise it would circulate between hubs for ever.
        """
        topology = self._topology
        if sender_id is not None and not topology.is_hub:
            return ()
        from_hub = sender_id in topology.hubs
        return [
            peer_id
            for peer_id in topology.peers
            if peer_id != sender_id and not (from_hub and peer_id in topology.hubs)
        ]

    def _unpack(self, origin_id: str, incarnation: int, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except PeerError as error:
            logger.warning(
                "message of %s relayed by hubs refused: %s", origin_id, error
            )
            return
        if isinstance(message, RelayedMessage | BroadcastMessage):
            # Instances never nest relayed messages. Unpacking nested ones could keep
            # this instance busy for ever.
            self.unroutable_messages += 1
            return
        self._deliver(origin_id, incarnation, message)


def make_overlay(
    topology: Topology,
    members: Members,
    send: Callable[[Outgoing], None],
    deliver: Callable[[str, int, Message], None],
) -> Overlay:
    """Return the overlay of one instance; see ``Overlay``."""
    return Overlay(topology, members, send, deliver)
