"""Simulated replicas that know only seeds and discover each other, in virtual time."""

from random import Random

from sesameford.discovery.roster import Roster, make_roster
from sesameford.log_succession import voters_by_health
from sesameford.settings import Peer
from tests.log_world import World

SEEDS = ("r0:1", "r1:1", "r2:1")
HELLO_TICKS = 5


class SeedWorld(World):
    """A world whose nodes are started one by one and send each other hellos.

    Hellos use the same links as the log's messages, and are lost like them.
    """

    def __init__(self, size: int) -> None:
        self.rosters: dict[str, Roster] = {}
        self.links: dict[str, set[str]] = {}
        self.founds = dict.fromkeys((f"r{n}" for n in range(size)), True)
        self.started: set[str] = set()
        self.hello_loss = 0.0
        self.ticks = 0
        self.hello_random = Random(size)
        self.is_built = False
        super().__init__(size)
        self.is_built = True

    def start(self, name: str) -> None:
        if not self.is_built:
            return
        super().start(name)
        self.started.add(name)
        core = self.nodes[name].replica.core
        core.peer_ids = ()
        core.may_found = False
        own = Peer(name, "a", f"{name}:1", True)
        self.rosters[name] = make_roster(own, SEEDS, self.founds[name])
        self.links[name] = {seed.partition(":")[0] for seed in SEEDS} - {name}

    def empty_disk(self, name: str) -> None:
        super().empty_disk(name)
        # The mark of the first start was on the disk.
        self.founds[name] = False

    def tick(self) -> None:
        self.ticks += 1
        if self.ticks % HELLO_TICKS == 0:
            for name in self.living():
                self._send_hellos(name)
        for name in self.living():
            core = self.nodes[name].replica.core
            roster = self.rosters[name]
            peer_ids = roster.log_peer_ids(core.log.last_index == 0)
            core.peer_ids = tuple(one for one in peer_ids if one != name)
            core.may_found = roster.may_found()
            core.desired_voters = voters_by_health(core, self.clock(name))
        super().tick()

    def clusters(self) -> set[int]:
        """Return the cluster ids of the logs that running nodes belong to."""
        cores = [self.nodes[name].replica.core for name in self.living()]
        return {core.cluster_id for core in cores if core.cluster_id}

    def _send_hellos(self, name: str) -> None:
        hello = self.rosters[name].make_hello(self.clock(name))
        for receiver in sorted(self.links[name]):
            is_lost = self.hello_random.random() < self.hello_loss
            if receiver in self.living() and not is_lost:
                if (name, receiver) in self.blocked:
                    continue
                found = self.rosters[receiver].handle_hello(
                    name, hello, self.clock(receiver)
                )
                self.links[receiver].update(one.instance_id for one in found)
        self.links[name].discard(name)
