"""Replicas that know only seeds, in virtual time: they find each other and the log."""

from random import Random

from sesameford.discovery.roster import Roster, make_roster
from sesameford.log_succession import voters_by_health
from sesameford.settings import Peer
from tests.log_world import World

SEEDS = ("r0:1", "r1:1", "r2:1")
GREETING_TICKS = 5


class SeedWorld(World):
    """A world whose nodes are started one by one and greet each other.

    Greetings go over the same links as the log's messages, and are lost like them.
    """

    def __init__(self, size: int) -> None:
        self.rosters: dict[str, Roster] = {}
        self.links: dict[str, set[str]] = {}
        self.founds = dict.fromkeys((f"r{n}" for n in range(size)), True)
        self.started: set[str] = set()
        self.greeting_loss = 0.0
        self.ticks = 0
        self.chance = Random(size)
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
        if self.ticks % GREETING_TICKS == 0:
            for name in self.living():
                self._greet(name)
        for name in self.living():
            core = self.nodes[name].replica.core
            roster = self.rosters[name]
            known = roster.log_peer_ids(core.log.last_index == 0)
            core.peer_ids = tuple(one for one in known if one != name)
            core.may_found = roster.may_found()
            core.desired_voters = voters_by_health(core, self.clock(name))
        super().tick()

    def clusters(self) -> set[int]:
        """Return the logs that any running node belongs to."""
        cores = [self.nodes[name].replica.core for name in self.living()]
        return {core.cluster_id for core in cores if core.cluster_id}

    def _greet(self, name: str) -> None:
        greeting = self.rosters[name].greeting(self.clock(name))
        for receiver in sorted(self.links[name]):
            is_lost = self.chance.random() < self.greeting_loss
            if receiver in self.living() and not is_lost:
                if (name, receiver) in self.blocked:
                    continue
                found = self.rosters[receiver].greeted(
                    name, greeting, self.clock(receiver)
                )
                self.links[receiver].update(one.instance_id for one in found)
        self.links[name].discard(name)
