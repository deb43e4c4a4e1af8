"""The way of messages over the links that there are: directly, or by hubs."""

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

# Own hub, the receiver's hub, and one spare for a change of hubs on the way.
MAX_HOPS = 3
# Messages to all that must reach instances without a link; the other messages to
# all speak of the link itself or are told on by the module that they are for.
_FLOODED = (SuspectUpdate,)


@dataclass(frozen=True, slots=True)
class Topology:
    """The links of one instance.

    ``peers`` gives the data centre of each instance that it has a link to, and
    ``hubs`` those of them that pass on, in the order in which they are tried.
    """

    instance_id: str
    incarnation: int
    data_centre: str
    is_hub: bool
    peers: Mapping[str, str]
    hubs: tuple[str, ...]


def make_topology(settings: DaemonSettings, incarnation: int) -> Topology:
    """Return the links that an instance's settings name."""
    return Topology(
        settings.instance_id,
        incarnation,
        settings.data_centre,
        settings.is_hub,
        {peer.instance_id: peer.data_centre for peer in settings.peers},
        tuple(peer.instance_id for peer in settings.peers if peer.is_hub),
    )


class Overlay:
    """Sends to any instance, and passes on what goes by way of this one.

    Args:
        topology: The links that there are.
        members: Says where instances stand and which hubs live.
        send: Puts a message on a link.
        deliver: Takes a message for this instance, with its origin.
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
        """Send a message to one instance, or to all where none is named."""
        here = self._topology
        receiver_id = outgoing.receiver_id
        if receiver_id is None and here.hubs and isinstance(outgoing.message, _FLOODED):
            payload = encode_message(outgoing.message)
            flooded = BroadcastMessage(here.instance_id, here.incarnation, payload)
            for peer_id in self._flood_to(None):
                self._send(Outgoing(peer_id, flooded, outgoing.urgent))
        elif receiver_id is None or receiver_id in here.peers:
            self._send(outgoing)
        else:
            payload = encode_message(outgoing.message)
            routed = RelayedMessage(
                here.instance_id, here.incarnation, receiver_id, MAX_HOPS, payload
            )
            self._route(routed, now_seconds)

    def received(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Take a message from a link."""
        match message:
            case RelayedMessage():
                self._take_routed(message, now_seconds)
            case BroadcastMessage():
                for peer_id in self._flood_to(sender_id):
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
        """Tell on what changed among the members."""
        for outgoing in self._members.collect_outgoing(
            self._topology.peers, now_seconds
        ):
            self._send(outgoing)

    def live_hub(self, now_seconds: float) -> str | None:
        """Return the hub that this instance leans on, None for a hub or a mesh."""
        here = self._topology
        if here.is_hub:
            return None
        return self._members.live_hub(here.data_centre, here.hubs, now_seconds)

    def _take_routed(self, message: RelayedMessage, now_seconds: float) -> None:
        here = self._topology
        if message.receiver_id == here.instance_id:
            self._unpack(message.origin_id, message.origin_incarnation, message.payload)
        elif here.is_hub and message.hops_left > 1:
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
        """Send a message on towards its receiver; without a way it is lost."""
        hop_id = self._next_hop(message.receiver_id, now_seconds)
        if hop_id is None:
            self.unroutable_messages += 1
        else:
            self._send(Outgoing(hop_id, message, urgent=True))

    def _next_hop(self, receiver_id: str, now_seconds: float) -> str | None:
        here = self._topology
        if receiver_id in here.peers:
            return receiver_id
        if not here.is_hub:
            return self.live_hub(now_seconds)
        place = self._members.data_centre_of(receiver_id)
        if place is None or place == here.data_centre:
            return None
        return self._members.live_hub(place, here.hubs, now_seconds)

    def _flood_to(self, sender_id: str | None) -> Sequence[str]:
        """Return whom to pass a message to all on to.

        Hubs have links to all hubs, so what came from a hub goes to own instances
        alone. Else it would go round for ever.
        """
        here = self._topology
        if sender_id is not None and not here.is_hub:
            return ()
        from_hub = sender_id in here.hubs
        return [
            peer_id
            for peer_id in here.peers
            if peer_id != sender_id and not (from_hub and peer_id in here.hubs)
        ]

    def _unpack(self, origin_id: str, incarnation: int, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except PeerError as error:
            logger.warning("from %s by way of hubs: %s", origin_id, error)
            return
        if isinstance(message, RelayedMessage | BroadcastMessage):
            # Unpacked again and again, one message could keep this instance busy
            # for ever; no instance of ours packs one into another.
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
