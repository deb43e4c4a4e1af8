"""State machine of routers that crash servers under one call, with lossy links."""

from dataclasses import dataclass, field
from itertools import count
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.crash_attribution import CRASHES_TO_QUARANTINE
from sesameford.gateway.recent_answers import SURVIVAL_SECONDS
from sesameford.gateway.suspect_exchange import make_suspect_exchange
from sesameford.gateway.target_crashes import CrashEvidence, ObservedCrash
from sesameford.in_flight_attempts import TargetCrash
from sesameford.request_digest import (
    CUSTOMER_BYTES,
    digest_customer,
    digest_part,
    digest_request,
)
from sesameford.suspect_completions import MAX_COMPLETIONS_TO_CLEAR
from sesameford.suspect_rows import make_updates
from sesameford.suspects import (
    SuspectTreatment,
)

ROUTERS = ("r1", "r2", "r3", "r4")
REPLICAS = ("a1", "a2", "a3")
CULPRIT = b"customer" + b"culprit"
INNOCENT = b"customer" + b"innocent"
CONTACT_SECONDS = 3.0
MAX_LATE_SENDS = 3
STEP_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.5
LINK_SECONDS = 0.01
LOSS_PART = 0.1
# Begins the ids of targets that the culprit crashes.
CULPRIT_TARGET = "culprit-"
# What a replica was sent for so long is on its disk.
FLUSH_SECONDS = 0.2
MOST_REPLICAS = len(REPLICAS) // 2 + 1
CUSTOMERS = ("customer", "rival", "third", "fourth")

routers = st.sampled_from(ROUTERS)
nodes = st.sampled_from(ROUTERS + REPLICAS)


@dataclass
class Node:
    """One instance; ``disturbed_at_seconds`` is when it last was out of touch."""

    name: str
    incarnation: int
    exchange: object
    disturbed_at_seconds: float = float("-inf")
    cut_until_seconds: float = 0.0
    trial: bool = False
    waiting: list = field(default_factory=list)


class Disk:
    """The rows on one replica's disk, in place of ``SuspectFiles``."""

    def __init__(self):
        self.pending = []
        self.stored = {}

    def open(self, suspects, now):
        """Return the files of a process that starts."""
        self.flush(now)
        self.pending = []
        self.suspects, self.now = suspects, now
        return self

    def read(self):
        for row in self.stored.values():
            updates = [(update, self.now) for update in make_updates(row)]
            self.suspects.restore(updates, self.now)
        return len(self.stored)

    def append(self, rows):
        self.pending += [(self.now + FLUSH_SECONDS, row) for row in rows]

    def tick(self, now):
        self.now = now
        self.flush(now)

    def flush(self, now):
        due = [row for at, row in self.pending if at <= now]
        self.pending = [one for one in self.pending if one[0] > now]
        self.stored |= {row.request_digest: row for row in due}


class CrashingCalls(RuleBasedStateMachine):
    """A send crashes its server, perhaps after a whole answer, or completes at once.

    A router sends as ``SuspectCalls`` does: refused in quarantine, one trial at a time,
    with a replica's grant from the second crash on.
    """

    def __init__(self):
        super().__init__()
        self.senders = count()
        self.paths = count()
        self.customers = 1
        self.answers_first = False
        self.random = Random(1)
        self.now = 100.0
        self.nodes = {}
        self.disks = {name: Disk() for name in REPLICAS}
        self.incarnations = 0
        self.messages = []
        self.observations = []
        self.survivals = []
        self.crashes = []
        self.late_sends = 0
        self.unknown_crashes = 0
        self.proven = []
        self.innocent_quarantined = False
        for name in REPLICAS + ROUTERS:
            self.start(name)

    def start(self, name):
        self.unknown_crashes += sum(
            one[1] == name and one[2] == self.nodes[name].incarnation
            for one in self.observations
            if name in self.nodes and one[3].crash.target_id.startswith(CULPRIT_TARGET)
        )
        self.incarnations += 1
        exchange = make_suspect_exchange(
            name,
            300.0,
            name in REPLICAS,
            lambda now: [
                one for one in REPLICAS if one != name and self.reaches(name, one)
            ],
            lambda outgoing: self.send_message(name, outgoing),
            0 if name in REPLICAS else MOST_REPLICAS,
        )
        if name in REPLICAS:
            exchange.open_files(self.disks[name].open(exchange.suspects, self.now))
        self.nodes[name] = Node(name, self.incarnations, exchange, self.now)

    def reaches(self, name, other):
        if name not in self.nodes or other not in self.nodes:
            return False
        pair = (self.nodes[name], self.nodes[other])
        has_link = name in REPLICAS or other in REPLICAS
        return has_link and all(self.now >= one.cut_until_seconds for one in pair)

    def send_message(self, name, outgoing):
        receivers = [outgoing.receiver_id] if outgoing.receiver_id else list(self.nodes)
        for other in receivers:
            is_lost = self.random.random() < LOSS_PART
            if other != name and self.reaches(name, other) and not is_lost:
                self.messages.append(
                    (self.now + LINK_SECONDS, name, other, outgoing.message)
                )

    def is_in_touch(self, node):
        since = max(node.disturbed_at_seconds, node.cut_until_seconds)
        return self.now - since > CONTACT_SECONDS

    # --- what happens -----------------------------------------------------------

    @rule(
        bursts=st.lists(
            st.tuples(
                st.lists(routers, min_size=1, max_size=6),
                st.sampled_from((0.0, 0.1, 0.3, 1.0, 3.5)),
                st.floats(0.0, 1.0),
            ),
            min_size=4,
            max_size=10,
        ),
    )
    def resend_culprit(self, bursts):
        """Copies are sent at once, and again after a pause."""
        for senders, pause_seconds, evidence_seconds in bursts:
            for router in senders:
                node = self.nodes[router]
                node.waiting.append((self.now, CULPRIT, evidence_seconds))
                self.run_waiting(node)
            self.wait(pause_seconds)

    @rule(router=routers)
    def send_innocent(self, router):
        self.nodes[router].waiting.append((self.now, INNOCENT, 0.0))
        self.run_waiting(self.nodes[router])

    @rule(router=routers, evidence_seconds=st.floats(0.0, 1.0))
    def server_ends_by_itself(self, router, evidence_seconds):
        """A server ends while a copy of the innocent call is in flight there."""
        node = self.nodes[router]
        if self.treatment(node, INNOCENT) is not SuspectTreatment.QUARANTINED:
            digest, parts = self.digests_of(INNOCENT)
            digests = (digest, *parts)
            self.crash(node, INNOCENT, digests, evidence_seconds, is_trial=False)

    @rule(router=routers)
    def restart_router(self, router):
        self.start(router)

    @rule(replica=st.sampled_from(REPLICAS))
    def replace_replica(self, replica):
        others = [self.nodes[one] for one in REPLICAS if one != replica]
        if all(self.is_in_touch(one) for one in others):
            self.start(replica)

    def may_lose_disk(self):
        """Return whether all replicas have had time to send each other their rows."""
        return all(self.is_in_touch(self.nodes[one]) for one in REPLICAS)

    @rule(lost=st.sampled_from((None, *REPLICAS)))
    def kill_all(self, lost):
        """All processes start at once; one replica may have lost its disk."""
        if lost is not None and self.may_lose_disk():
            self.disks[lost] = Disk()
        self.messages = []
        self.unknown_crashes += sum(
            at > self.now - FLUSH_SECONDS - LINK_SECONDS for at in self.proven
        )
        for name in REPLICAS + ROUTERS:
            self.start(name)

    @rule(name=nodes, seconds=st.floats(0.5, 4.0))
    def cut(self, name, seconds):
        is_replica_cut = any(
            self.now < self.nodes[one].cut_until_seconds + CONTACT_SECONDS
            for one in REPLICAS
        )
        if name in ROUTERS or not is_replica_cut:
            self.nodes[name].cut_until_seconds = self.now + seconds

    @rule(seconds=st.floats(0.05, 4.0))
    def pass_time(self, seconds):
        self.wait(seconds)

    def wait(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()

    # --- the world --------------------------------------------------------------

    def step(self):
        is_beat = int(self.now / HEARTBEAT_SECONDS) != int(
            (self.now + STEP_SECONDS) / HEARTBEAT_SECONDS
        )
        self.now += STEP_SECONDS
        due = [one for one in self.observations if one[0] <= self.now]
        self.observations = [one for one in self.observations if one[0] > self.now]
        for _, name, incarnation, observed in due:
            if self.nodes[name].incarnation == incarnation:
                if observed.crash.target_id.startswith(CULPRIT_TARGET):
                    self.proven.append(self.now)
                self.nodes[name].exchange.record_crash(observed, self.now)
                self.nodes[name].trial = False
        self.record_survivals()
        self.deliver()
        for node in self.nodes.values():
            node.exchange.tick(self.now)
            self.run_waiting(node)
        if is_beat:
            for name in self.nodes:
                for other in self.nodes:
                    if name != other and self.reaches(name, other):
                        self.nodes[other].exchange.handle_heartbeat(
                            name, self.nodes[name].incarnation, self.now
                        )
        self.deliver()

    def record_survivals(self):
        """Tell routers that targets have lived on after they answered."""
        due = [one for one in self.survivals if one[0] <= self.now]
        self.survivals = [one for one in self.survivals if one[0] > self.now]
        for _, node, digests in due:
            if self.nodes[node.name] is node:
                for one in digests:
                    node.exchange.record_completion(one, self.now, has_survived=True)

    def deliver(self):
        due = [one for one in self.messages if one[0] <= self.now]
        self.messages = [one for one in self.messages if one[0] > self.now]
        for _, sender, receiver, message in due:
            if self.reaches(sender, receiver):
                exchange = self.nodes[receiver].exchange
                exchange.handle_update(sender, message, self.now)

    def allowed_crashes(self):
        return 3

    def completions_to_clear(self):
        """Return how often a router runs the innocent call until it is clear."""
        return 1

    def digests_of(self, kind):
        """Return the digest of a call, and those of what others have in common."""
        if kind == CULPRIT:
            return digest_customer(self.next_customer()) + kind[CUSTOMER_BYTES:], ()
        return kind, ()

    def next_customer(self):
        """Return the customer who sends the culprit next."""
        return CUSTOMERS[next(self.senders) % self.customers]

    @rule(customers=st.integers(1, len(CUSTOMERS)))
    def begin_customers(self, customers):
        """From now on so many customers send the culprit in turn."""
        self.customers = customers

    @rule(answers_first=st.booleans())
    def begin_manner(self, answers_first):
        """From now on servers answer the culprit whole before they crash, or do not."""
        self.answers_first = answers_first

    def treatment(self, node, kind):
        digest, parts = self.digests_of(kind)
        return node.exchange.suspects.treatment(digest, self.now, parts)

    def run_waiting(self, node):
        waiting, node.waiting = node.waiting, []
        for since, kind, evidence_seconds in waiting:
            if not node.exchange.has_table(self.now):
                if self.now - since < 0.5:
                    node.waiting.append((since, kind, evidence_seconds))
                continue
            digest, parts = self.digests_of(kind)
            suspects = node.exchange.suspects
            parts += suspects.pairs_of(parts)
            treatment = suspects.treatment(digest, self.now, parts)
            if treatment is SuspectTreatment.QUARANTINED:
                continue
            is_trial = treatment is SuspectTreatment.SUSPECT
            if is_trial and not self.may_try(node, kind, digest, parts):
                if self.now - since < 0.5:
                    node.waiting.append((since, kind, evidence_seconds))
                continue
            if kind == CULPRIT:
                self.crash(node, kind, (digest, *parts), evidence_seconds, is_trial)
            else:
                for one in (digest, *parts):
                    node.exchange.record_completion(one, self.now)
                survived_at = self.now + SURVIVAL_SECONDS
                self.survivals.append((survived_at, node, (digest, *parts)))

    def may_try(self, node, kind, digest, parts):
        grants = node.exchange.grants
        if kind == CULPRIT and node.trial:
            return False
        suspects = node.exchange.suspects
        part = suspects.common_part(digest, parts)
        if part is not None:
            digest = part
        elif not suspects.suspected((digest,)):
            return True
        key = suspects.trial_key(digest)
        if grants.is_elsewhere(key, self.now):
            return False
        if len(suspects.uncleared_crashes(digest)) < CRASHES_TO_QUARANTINE:
            return True
        if grants.is_granted(key, self.now):
            return True
        return not grants.request(key, self.now)

    def crash(self, node, kind, digests, evidence_seconds, is_trial):
        answered = ()
        trials = node.exchange.suspects.suspected(digests) if is_trial else frozenset()
        if kind == CULPRIT:
            answered = digests if self.answers_first else ()
            for one in answered:
                node.exchange.record_completion(one, self.now)
            allowed = self.allowed_crashes()
            if len(self.crashes) >= allowed and self.is_in_touch(node):
                late_seconds = self.crashes[allowed - 1] + CONTACT_SECONDS
                self.late_sends += self.now > late_seconds
            self.crashes.append(self.now)
            node.trial = is_trial and self.is_undecided(node, digests, answered)
        prefix = CULPRIT_TARGET if kind == CULPRIT else "i"
        name = f"{prefix}{len(self.crashes)}-{len(self.observations)}-{self.now}"
        crash = TargetCrash(name, 0, digests, trials, frozenset(answered))
        observed = ObservedCrash(crash, CrashEvidence.REFUSED, evidence_seconds)
        self.observations.append(
            (self.now + evidence_seconds, node.name, node.incarnation, observed)
        )

    def is_undecided(self, node, digests, answered):
        """Return whether others may not try the culprit until its target survived."""
        suspects = node.exchange.suspects
        keys = map(suspects.trial_key, digests)
        return not answered or any(map(suspects.needs_survival, keys))

    # --- what must hold ---------------------------------------------------------

    @invariant()
    def few_late_sends(self):
        # Nobody can know a crash that the process which saw it had not proven yet, or
        # that no replica had written yet, as all were killed.
        allowed = MAX_LATE_SENDS + self.unknown_crashes
        assert self.late_sends <= allowed, self.crashes

    @invariant()
    def the_innocent_is_not_quarantined(self):
        for node in self.nodes.values():
            treatment = self.treatment(node, INNOCENT)
            assert treatment is not SuspectTreatment.QUARANTINED

    def teardown(self):
        """The innocent call is served by all routers once nothing happens any more."""
        for _ in range(200):
            self.step()
        for name in ROUTERS * self.completions_to_clear():
            self.send_innocent(name)
            for _ in range(60):
                self.step()
        for name in ROUTERS:
            treatment = self.treatment(self.nodes[name], INNOCENT)
            assert treatment is SuspectTreatment.CLEAR


class CrashingParts(CrashingCalls):
    """No two calls of the culprit are alike, and all have a part that crashes servers.

    The innocent calls share the other part of their prompts.
    """

    def allowed_crashes(self):
        return 5

    def completions_to_clear(self):
        return MAX_COMPLETIONS_TO_CLEAR

    def digests_of(self, kind):
        if kind == CULPRIT:
            customer = self.next_customer()
            path = f"/{next(self.paths)}"
            return digest_request(customer, "POST", "h", path, b""), (
                digest_part(customer, 1),
                digest_part(customer, 2),
            )
        return INNOCENT, (digest_part(CUSTOMERS[0], 1),)


TestCrashingCalls = CrashingCalls.TestCase
TestCrashingCalls.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestCrashingParts = CrashingParts.TestCase
TestCrashingParts.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
