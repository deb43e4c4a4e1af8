"""Which instances there are, found by a few seeds.

Every instance greets the seeds, and each greeting tells the instances with disks
that its sender knows. An instance with a disk keeps a link to everybody who greets
it; one without keeps links to those with disks alone. So a router's links don't grow
with the number of routers.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sesameford.discovery.hello_peer import peer_from_hello
from sesameford.messages import Hello, ReplicaRow
from sesameford.settings import Peer

# A replica that nobody has heard for so long is named to nobody any more. Longer than
# a restart, and short beside the seconds in which a lost machine is replaced.
NAMED_SECONDS = 6.0
# After so long the link to a silent instance is ended; it greets a seed when it lives.
FORGOTTEN_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class KnownInstance:
    """An instance that greeted, or that a greeting named."""

    peer: Peer
    founds: bool
    last_seen_at_seconds: float


class Roster:
    """The instances that one of them knows.

    Args:
        own: This instance, with the address of its links.
        seeds: Addresses of links of a few instances with disks.
        founds: Whether the deployment starts for the first time.
    """

    def __init__(self, own: Peer, seeds: Sequence[str], founds: bool) -> None:
        self._own = own
        self._founds = founds
        self._known: dict[str, KnownInstance] = {}
        self.seeds = tuple(seeds)

    def handle_hello(
        self, sender_id: str, greeting: Hello, now_seconds: float
    ) -> Sequence[Peer]:
        """Take a greeting.

        Args:
            sender_id: Who sent it.
            greeting: What it says.
            now_seconds: The present time.

        Returns:
            The instances that this one should have links to by it.
        """
        peer = peer_from_hello(sender_id, greeting)
        self._known[sender_id] = KnownInstance(peer, greeting.founds, now_seconds)
        found = [peer]
        for row in greeting.replicas:
            if row.instance_id in self._known or row.instance_id == self._own_id:
                continue
            # Known from hearsay alone: a link is begun, and its greeting decides.
            found.append(Peer(row.instance_id, row.data_centre, row.address, True))
        return found

    def make_hello(self, now_seconds: float) -> Hello:
        """Return what this instance tells of itself and of those with disks."""
        replicas = [
            ReplicaRow(one.peer.instance_id, one.peer.data_centre, one.peer.peers)
            for one in self._known.values()
            if one.peer.has_disk
            and now_seconds - one.last_seen_at_seconds < NAMED_SECONDS
        ]
        return Hello(
            self._own.peers,
            self._own.data_centre,
            self._own.has_disk,
            self._founds,
            tuple(replicas),
        )

    def replica_ids(self) -> tuple[str, ...]:
        """Return the known instances with disks, this one among them if it has one."""
        known = {one.peer.instance_id for one in self._known.values() if _disk(one)}
        if self._own.has_disk:
            known.add(self._own_id)
        return tuple(sorted(known))

    def log_peer_ids(self, log_is_empty: bool) -> tuple[str, ...]:
        """Return the instances that keep the log together, as far as they are known.

        Until there is a log, those are the seeds of the first start alone.
        """
        if self._founds and log_is_empty:
            return self.founder_ids()
        return self.replica_ids()

    def may_found(self) -> bool:
        """Return whether this instance and all it knows with disks are the founders.

        The log is founded once, by the seeds of the first start. A replica that
        restarts with an empty disk, or one that knows only some of the seeds, would
        else found a second log, and accepted changes would revert.
        """
        if not self._founds or self._own.peers not in self.seeds:
            return False
        founders = {
            one.peer.peers: one.peer.instance_id
            for one in self._known.values()
            if _disk(one) and one.founds
        }
        founders[self._own.peers] = self._own_id
        return all(seed in founders for seed in self.seeds)

    def founder_ids(self) -> tuple[str, ...]:
        """Return the ids of the seeds, as far as they are known."""
        everybody = [one.peer for one in self._known.values()] + [self._own]
        return tuple(
            sorted(one.instance_id for one in everybody if one.peers in self.seeds)
        )

    def has_address(self, address: str) -> bool:
        """Return whether an instance with this address of links has greeted."""
        return any(one.peer.peers == address for one in self._known.values())

    def remove_silent(self, now_seconds: float) -> Sequence[str]:
        """Take out and return the instances that have been silent for long."""
        old = [
            instance_id
            for instance_id, one in self._known.items()
            if now_seconds - one.last_seen_at_seconds > FORGOTTEN_SECONDS
        ]
        for instance_id in old:
            del self._known[instance_id]
        return old

    def live_replicas(self, now_seconds: float, within_seconds: float) -> list[str]:
        """Return the instances with disks that were heard of late."""
        return [
            one.peer.instance_id
            for one in self._known.values()
            if _disk(one) and now_seconds - one.last_seen_at_seconds < within_seconds
        ]

    def near_replicas(self, now_seconds: float, within_seconds: float) -> list[str]:
        """Return those of ``live_replicas`` in the own data centre."""
        return [
            one
            for one in self.live_replicas(now_seconds, within_seconds)
            if self._known[one].peer.data_centre == self._own.data_centre
        ]

    def is_first_of_data_centre(self) -> bool:
        """Return whether no replica of the own data centre has a lower id."""
        return all(
            one.peer.instance_id > self._own_id
            for one in self._known.values()
            if _disk(one) and one.peer.data_centre == self._own.data_centre
        )

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of all known instances."""
        known = {one.peer.data_centre for one in self._known.values()}
        return frozenset(known | {self._own.data_centre})

    def live_routers(self, now_seconds: float, within_seconds: float) -> int:
        """Return how many instances without disks were heard of late."""
        return sum(
            not _disk(one) and now_seconds - one.last_seen_at_seconds < within_seconds
            for one in self._known.values()
        )

    def record_heartbeat(self, sender_id: str, now_seconds: float) -> None:
        """Note a sign of life."""
        known = self._known.get(sender_id)
        if known is not None:
            self._known[sender_id] = KnownInstance(
                known.peer, known.founds, now_seconds
            )

    @property
    def _own_id(self) -> str:
        return self._own.instance_id


def _disk(known: KnownInstance) -> bool:
    return known.peer.has_disk


def make_roster(own: Peer, seeds: Sequence[str], founds: bool) -> Roster:
    """Return the roster of an instance that knows only seeds; see ``Roster``."""
    return Roster(own, seeds, founds)
