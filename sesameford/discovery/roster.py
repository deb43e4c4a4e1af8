"""Discovery of the instances from a few seeds.

Every instance sends hellos to the seeds, and each hello lists the instances with disks
that its sender knows. An instance with a disk keeps a link to every sender of a hello;
one without a disk keeps links only to those with disks. So a router's links don't grow
with the number of routers.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum, auto

from sesameford.discovery.hello_peer import peer_from_hello
from sesameford.messages import Hello, ReplicaRow
from sesameford.settings import Peer

# Hellos stop listing a replica after this silence. Longer than a restart, and short
# beside the seconds in which a lost machine is replaced.
LISTED_SECONDS = 6.0
# After this silence the link to an instance is closed; if it is alive, it sends a
# hello to a seed.
FORGOTTEN_SECONDS = 30.0


class Contact(Enum):
    """With how many of the known replicas an instance is in touch."""

    FEW = auto()
    MOST = auto()
    ALL = auto()


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """An instance that sent a hello, and when it last sent a sign of life."""

    peer: Peer
    founds: bool
    last_seen_at_seconds: float
    reads_origins: bool = False


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
        self._entries: dict[str, RosterEntry] = {}
        self._listed_at_seconds: dict[str, float] = {}
        self.seeds = tuple(seeds)

    def handle_hello(
        self, sender_id: str, hello: Hello, now_seconds: float
    ) -> Sequence[Peer]:
        """Handle a hello.

        Args:
            sender_id: Its sender.
            hello: Its content.
            now_seconds: The present time.

        Returns:
            The instances to which this one should have links because of it.
        """
        peer = peer_from_hello(sender_id, hello)
        self._entries[sender_id] = RosterEntry(
            peer, hello.founds, now_seconds, hello.reads_origins
        )
        found = [peer]
        for row in hello.replicas:
            self._listed_at_seconds[row.instance_id] = now_seconds
            if row.instance_id in self._entries or row.instance_id == self._own_id:
                continue
            # Only listed by another: open a link, and add an entry with its own hello.
            found.append(Peer(row.instance_id, row.data_centre, row.address, True))
        return found

    def make_hello(self, now_seconds: float) -> Hello:
        """Return this instance's hello, which lists the instances with disks."""
        replicas = [
            ReplicaRow(one.peer.instance_id, one.peer.data_centre, one.peer.peers)
            for one in self._entries.values()
            if one.peer.has_disk
            and now_seconds - one.last_seen_at_seconds < LISTED_SECONDS
        ]
        return Hello(
            self._own.peers,
            self._own.data_centre,
            self._own.has_disk,
            self._founds,
            tuple(replicas),
            reads_origins=True,
        )

    def replica_ids(self) -> tuple[str, ...]:
        """Return the known instances with disks, this one among them if it has one."""
        ids = {one.peer.instance_id for one in self._entries.values() if _has_disk(one)}
        if self._own.has_disk:
            ids.add(self._own_id)
        return tuple(sorted(ids))

    def known_replicas(self, now_seconds: float) -> int:
        """Return how many replicas there are, as far as this instance knows.

        Those count too that others listed lately, and as many as the settings name: an
        instance that starts behind a cut sees few of them.
        """
        listed = self._recently_listed(now_seconds)
        return max(len({*listed, *self.replica_ids()}), len(self.seeds))

    def log_peer_ids(self, log_is_empty: bool) -> tuple[str, ...]:
        """Return the known instances that replicate the log.

        Until there is a log, those are the seeds of the first start alone.
        """
        if self._founds and log_is_empty:
            return self.founder_ids()
        return self.replica_ids()

    def may_found(self) -> bool:
        """Return whether this instance may found the log: it knows all the founders.

        The log is founded once, by the seeds of the first start. Otherwise a replica
        that restarts with an empty disk, or one that knows only some of the seeds,
        would found a second log, and accepted changes would revert.
        """
        if not self._founds or self._own.peers not in self.seeds:
            return False
        founders = {
            one.peer.peers: one.peer.instance_id
            for one in self._entries.values()
            if _has_disk(one) and one.founds
        }
        founders[self._own.peers] = self._own_id
        return all(seed in founders for seed in self.seeds)

    def founder_ids(self) -> tuple[str, ...]:
        """Return the ids of the seeds, as far as they are known."""
        peers = [one.peer for one in self._entries.values()] + [self._own]
        return tuple(
            sorted(one.instance_id for one in peers if one.peers in self.seeds)
        )

    def has_address(self, address: str) -> bool:
        """Return whether an instance with this address of links has sent a hello."""
        return any(one.peer.peers == address for one in self._entries.values())

    def remove_silent(self, now_seconds: float) -> Sequence[str]:
        """Remove and return the instances that have been silent for long."""
        silent = [
            instance_id
            for instance_id, one in self._entries.items()
            if now_seconds - one.last_seen_at_seconds > FORGOTTEN_SECONDS
        ]
        for instance_id in silent:
            del self._entries[instance_id]
        self._listed_at_seconds = self._recently_listed(now_seconds)
        return silent

    def live_replicas(self, now_seconds: float, within_seconds: float) -> list[str]:
        """Return the instances with disks that were last seen within this time."""
        return [
            one.peer.instance_id
            for one in self._entries.values()
            if _has_disk(one)
            and now_seconds - one.last_seen_at_seconds < within_seconds
        ]

    def near_replicas(self, now_seconds: float, within_seconds: float) -> list[str]:
        """Return those of ``live_replicas`` in the own data centre."""
        return [
            one
            for one in self.live_replicas(now_seconds, within_seconds)
            if self._entries[one].peer.data_centre == self._own.data_centre
        ]

    def replicas_by_distance(
        self, now_seconds: float, within_seconds: float
    ) -> list[str]:
        """Return those of ``live_replicas``, of the own data centre first."""
        near = self.near_replicas(now_seconds, within_seconds)
        live = self.live_replicas(now_seconds, within_seconds)
        return near + [one for one in live if one not in near]

    def origin_replicas(self, now_seconds: float, within_seconds: float) -> list[Peer]:
        """Return those of ``live_replicas`` that keep origins of streams."""
        return [
            self._entries[one].peer
            for one in self.live_replicas(now_seconds, within_seconds)
            if self._entries[one].reads_origins
        ]

    def keeps_origins(self, instance_id: str) -> bool:
        """Return whether an instance keeps origins of streams for others."""
        entry = self._entries.get(instance_id)
        return entry is not None and _has_disk(entry) and entry.reads_origins

    def contact(self, now_seconds: float, within_seconds: float) -> Contact:
        """Return how many of the known replicas were last seen within this time."""
        known = self.known_replicas(now_seconds)
        live = len(self.live_replicas(now_seconds, within_seconds))
        if 2 * live <= known:
            return Contact.FEW
        return Contact.ALL if live == known else Contact.MOST

    def is_first_of_data_centre(self) -> bool:
        """Return whether no replica of the own data centre has a lower id."""
        return all(
            one.peer.instance_id > self._own_id
            for one in self._entries.values()
            if _has_disk(one) and one.peer.data_centre == self._own.data_centre
        )

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of all known instances."""
        names = {one.peer.data_centre for one in self._entries.values()}
        return frozenset(names | {self._own.data_centre})

    def live_routers(self, now_seconds: float, within_seconds: float) -> int:
        """Return how many instances without disks were last seen within this time."""
        return sum(
            not _has_disk(one)
            and now_seconds - one.last_seen_at_seconds < within_seconds
            for one in self._entries.values()
        )

    def record_heartbeat(self, sender_id: str, now_seconds: float) -> None:
        """Record that a heartbeat of a known instance arrived."""
        entry = self._entries.get(sender_id)
        if entry is not None:
            self._entries[sender_id] = replace(entry, last_seen_at_seconds=now_seconds)

    def _recently_listed(self, now_seconds: float) -> dict[str, float]:
        """Return when the replicas that others listed lately were last listed."""
        return {
            instance_id: at_seconds
            for instance_id, at_seconds in self._listed_at_seconds.items()
            if now_seconds - at_seconds < FORGOTTEN_SECONDS
        }

    @property
    def _own_id(self) -> str:
        return self._own.instance_id


def _has_disk(entry: RosterEntry) -> bool:
    return entry.peer.has_disk


def make_roster(own: Peer, seeds: Sequence[str], founds: bool) -> Roster:
    """Return the roster of an instance that knows only seeds; see ``Roster``."""
    return Roster(own, seeds, founds)
