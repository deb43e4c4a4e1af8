"""How an instance introduces itself to the others, and gets its links to them."""

import logging
from collections.abc import Callable, Iterable, Sequence

from sesameford.discovery.roster import Roster
from sesameford.messages import Heartbeat, Hello, Outgoing
from sesameford.peers import PeerLinks, seed_peer_id
from sesameford.settings import Peer

logger = logging.getLogger(__name__)


class Introductions:
    """Sends hellos, and adds and removes links; made by ``make_introductions``.

    Args:
        own: This instance, with the address of its links.
        roster: The instances that it knows.
        links: The links to them.
        make_heartbeat: Returns the heartbeat of a time in seconds.
        on_started: Called with the id of a process that has just started, and a time.
    """

    def __init__(
        self,
        own: Peer,
        roster: Roster,
        links: PeerLinks,
        make_heartbeat: Callable[[float], Heartbeat],
        on_started: Callable[[str, float], None],
    ) -> None:
        self._own = own
        self._roster = roster
        self._links = links
        self._make_heartbeat = make_heartbeat
        self._on_started = on_started
        self._answered_incarnations: dict[str, int] = {}

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add a link to each seed that is not this instance.

        Args:
            addresses: The addresses of their links.
        """
        for address in addresses:
            if address != self._own.peers:
                self._links.add(Peer(seed_peer_id(address), "", address, True))

    def add_new_seeds(self, addresses: Iterable[str]) -> None:
        """Add a link to each seed that is not known yet."""
        self.add_seeds(
            one
            for one in addresses
            if one not in self._roster.seeds and not self._roster.has_address(one)
        )

    def broadcast_hello(self, now_seconds: float) -> None:
        """Send a hello over all links."""
        self._links.send(Outgoing(None, self._roster.make_hello(now_seconds)))

    def send_hello(self, peer_id: str, now_seconds: float) -> None:
        """Send one peer a hello and a heartbeat at once."""
        hello = self._roster.make_hello(now_seconds)
        self._links.send(Outgoing(peer_id, hello, urgent=True))
        self._links.send(Outgoing(peer_id, self._make_heartbeat(now_seconds)))

    def handle_hello(
        self, sender_id: str, incarnation: int, hello: Hello, now_seconds: float
    ) -> None:
        """Add the links that a hello shows to be missing, and answer a new process.

        Only links of which either end has a disk are added.
        """
        for peer in self._roster.handle_hello(sender_id, hello, now_seconds):
            if peer.has_disk or self._own.has_disk:
                self._links.add(peer)
        self._answer_started_peer(sender_id, incarnation, now_seconds)

    def remove_silent(self, now_seconds: float) -> Sequence[str]:
        """Remove and return the instances that have been silent for long."""
        silent = self._roster.remove_silent(now_seconds)
        for peer_id in silent:
            self._links.remove(peer_id)
            self._answered_incarnations.pop(peer_id, None)
        return silent

    def raise_incarnation(self, highest: int) -> None:
        """Count from above the incarnation that a peer knows of an earlier process."""
        if self._links.raise_incarnation(highest):
            logger.warning(
                "an earlier process had a higher incarnation", extra={"of": highest}
            )

    def _answer_started_peer(
        self, sender_id: str, incarnation: int, now_seconds: float
    ) -> None:
        """Send a process that has just started the regular messages at once.

        After a loss of all power, all instances would otherwise wait for each other's
        next hello, half a second for each step: which instances there are, which
        settings are the newest, what they are. Callers are refused until then.
        """
        if self._answered_incarnations.get(sender_id) == incarnation:
            return
        self._answered_incarnations[sender_id] = incarnation
        self._links.redial_if_silent(sender_id)
        self.send_hello(sender_id, now_seconds)
        self._on_started(sender_id, now_seconds)


def make_introductions(
    own: Peer,
    roster: Roster,
    links: PeerLinks,
    make_heartbeat: Callable[[float], Heartbeat],
    on_started: Callable[[str, float], None],
) -> Introductions:
    """Return the introductions of an instance; see ``Introductions``."""
    return Introductions(own, roster, links, make_heartbeat, on_started)
