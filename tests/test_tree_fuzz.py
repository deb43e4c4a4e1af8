"""Fuzzes tree changes and replication against a model: a list of accepted trees.

The log is assumed to agree: a list of commands that replicas apply at different
times. Instances exchange real messages through a network that loses, duplicates and
reorders them.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sesameford.messages import TreeRequest
from sesameford.tables import InstanceRow, InstanceState
from sesameford.tree import difference, effective_tree, parse_tree
from sesameford.tree_changes import (
    TreeMachine,
    decode_answer,
    decode_history,
    encode_command,
    make_tree_change,
)
from sesameford.tree_replication import (
    REQUEST_INTERVAL_SECONDS,
    SNAPSHOT_INTERVAL_SECONDS,
    TreeReplication,
)

ONE, OTHER = "a1" * 32, "b2" * 32
TEXTS = (
    f"customers: {{children: {{a: {{key_digests: [{ONE}, {OTHER}]}}, b: {{}}}}}}",
    f"customers: {{children: {{b: {{key_digests: [{ONE}]}}, a: {{}}}}}}",
    f"customers: {{children: {{a: {{key_digests: [{OTHER}]}}, c: {{}}}}}}",
    "{}",
    "customers: {children: {a: {}, b: {share: 3}}}",
    "customers: {share: 2, children: {a: {}, b: {share: 3}}}",
    "customers: {share: 2, children: {a: {children: {c: {}, d: {share: 5}}}}}",
    "customers: {share: 2, children: {a: {share: 7, children: {c: {}, d: {}}}}}",
    "customers: {share: 3, children: {a: {children: {c: {}, d: {}}}}}",
    "customers: {share: 4, children: {a: {children: {c: {suspended: true}}}}}",
    "fleet: {scheduler: independent}\nmodels: {children: {m: {}}}",
)
TREES = tuple(parse_tree(text, "t") for text in TEXTS)
EMPTY = parse_tree("{}", "t")
DATA_CENTRES = {"e0": "a", "e1": "b", "e2": "a", "e3": "b", "e4": "b"}
REPLICAS = ("e0", "e1")

ids = st.sampled_from(sorted(DATA_CENTRES))
replicas = st.sampled_from(REPLICAS)


class TreeAndSpread(RuleBasedStateMachine):
    """Five instances, two of them replicas."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        # The model: accepted trees by revision, and the first answer to each id.
        self.accepted = [EMPTY]
        self.answers = {}
        self.expected = []
        self.ids = []
        self.in_flight = []
        self.late = []
        self.machines = {}
        self.applied = dict.fromkeys(REPLICAS, 0)
        self.replications = {}
        self.peers = {}
        self.lowest = {}
        self.lowest_stored = {}

    @initialize(direct=st.sampled_from([2, 16]), leader=replicas)
    def start(self, direct, leader):
        self.direct = direct
        self.leader = leader
        for one in DATA_CENTRES:
            self._start_empty(one)
        for one in REPLICAS:
            self.machines[one] = self._machine(one)

    def _start_empty(self, one):
        self.replications[one] = TreeReplication(
            one, DATA_CENTRES[one], len(DATA_CENTRES) - 1, self.now, self.direct
        )
        self.peers[one] = {}
        self.lowest[one] = self.lowest_stored[one] = 0

    def _machine(self, one):
        return TreeMachine(lambda machine: self._committed(one, machine))

    def _committed(self, one, machine):
        is_leader = one == self.leader
        sent = self.replications[one].handle_commit(
            machine.store, is_leader, self.peers[one]
        )
        self._enqueue(one, sent)

    def _enqueue(self, sender, outgoing):
        self.in_flight.extend(
            (sender, one.receiver_id, one.message) for one in outgoing
        )

    # --- operators ------------------------------------------------------------

    @rule(entry=ids, tree=st.sampled_from(TREES), back=st.integers(-1, 2))
    def change(self, entry, tree, back):
        base = max(0, self.replications[entry].store.revision - back)
        change_id = f"c{len(self.ids)}"
        self.ids.append((change_id, base, tree))
        self._propose(entry, change_id, base, tree)

    @precondition(lambda self: self.ids)
    @rule(data=st.data(), entry=ids)
    def resend(self, data, entry):
        change_id, base, tree = data.draw(st.sampled_from(self.ids))
        self._propose(entry, change_id, base, tree)

    @rule(entries=st.tuples(ids, ids), trees=st.permutations(TREES))
    def race(self, entries, trees):
        base = len(self.accepted) - 1
        for entry, tree in zip(entries, trees, strict=False):
            change_id = f"c{len(self.ids)}"
            self.ids.append((change_id, base, tree))
            self._propose(entry, change_id, base, tree)

    @rule(one=replicas, tree=st.sampled_from(TREES))
    def change_and_agree(self, one, tree):
        self.apply(one, len(self.log))
        self.change(one, tree, 0)
        self.apply(one, len(self.log))

    def _propose(self, entry, change_id, base, tree):
        store = self.replications[entry].store
        command = make_tree_change(
            store,
            difference(store.declared, tree),
            change_id=change_id,
            base_revision=base,
            operator="meera",
            at_seconds=self.now,
        )
        self.log.append(encode_command(command))
        self.expected.append(self._model_answer(change_id, base, tree, store.revision))

    def _model_answer(self, change_id, base, tree, entry_revision):
        """Return the model's answer: status and revision."""
        present = len(self.accepted) - 1
        if change_id in self.answers:
            return self.answers[change_id]
        if tree == self.accepted[present]:
            answer = ("unchanged", present)
        elif base != present:
            answer = ("conflict", present)
        elif entry_revision != base:
            return ("behind", present)
        else:
            self.accepted.append(tree)
            answer = ("accepted", present + 1)
        self.answers[change_id] = answer
        return answer

    # --- replicas -------------------------------------------------------------

    @rule(one=replicas, count=st.integers(1, 4))
    def apply(self, one, count):
        for _ in range(min(count, len(self.log) - self.applied[one])):
            index = self.applied[one]
            self.applied[one] += 1
            answer = decode_answer(self.machines[one].apply(index, self.log[index]))
            assert (answer.status, answer.revision) == self.expected[index]

    @rule(one=replicas, loses_memory=st.booleans())
    def restart_replica(self, one, loses_memory):
        snapshot = self.machines[one].snapshot()
        if loses_memory:
            self._start_empty(one)
        self.machines[one] = self._machine(one)
        self.machines[one].restore(snapshot)
        assert self.machines[one].snapshot() == snapshot

    @rule(leader=replicas)
    def lead(self, leader):
        self.leader = leader

    # --- instances ------------------------------------------------------------

    @rule(one=st.sampled_from(["e2", "e3", "e4"]))
    def restart_empty(self, one):
        self._start_empty(one)

    @rule(sender=ids, receiver=ids)
    def beat(self, sender, receiver):
        if sender != receiver:
            revision = self.replications[sender].in_force.tree.revision
            self.peers[receiver][sender] = InstanceRow(
                sender, 1, DATA_CENTRES[sender], InstanceState.READY, revision, self.now
            )

    @rule(one=ids, seconds=st.sampled_from([0.05, REQUEST_INTERVAL_SECONDS]))
    def tick(self, one, seconds):
        self.now += seconds
        self._enqueue(
            one, self.replications[one].collect_requests(self.peers[one], self.now)
        )

    @precondition(lambda self: self.in_flight)
    @rule(
        data=st.data(), fate=st.sampled_from(["deliver", "deliver", "double", "lose"])
    )
    def message(self, data, fate):
        position = data.draw(st.integers(0, len(self.in_flight) - 1))
        envelope = (
            self.in_flight[position]
            if fate == "double"
            else self.in_flight.pop(position)
        )
        if fate != "lose":
            self._deliver(*envelope)

    def _deliver(self, sender, receiver, message):
        replication = self.replications[receiver]
        answer = replication.handle_message(
            sender, message, self.peers[receiver], self.now
        )
        self._enqueue(receiver, answer)

    @rule(sender=ids, receiver=ids, whole=st.booleans(), revision=st.integers(0, 5))
    def stray_question(self, sender, receiver, whole, revision):
        self.in_flight.append((sender, receiver, TreeRequest(revision, whole)))

    @rule(one=ids, limit=st.sampled_from([1, 2, 100, 100]))
    def work(self, one, limit):
        self.replications[one].in_force.recompute_slice(limit)

    @rule(one=ids)
    def readiness(self, one):
        replication = self.replications[one]
        if replication.is_ready(self.peers[one], self.now):
            assert replication.in_force.tree.revision > 0

    @rule()
    def quiet_round(self):
        """All messages arrive and all instances recompute their trees."""
        self.now += SNAPSHOT_INTERVAL_SECONDS
        for one in DATA_CENTRES:
            for other in DATA_CENTRES:
                self.beat(one, other)
        for one in DATA_CENTRES:
            self.tick(one, REQUEST_INTERVAL_SECONDS)
        while self.in_flight:
            self._deliver(*self.in_flight.pop())
        for replication in self.replications.values():
            while not replication.in_force.is_current:
                replication.in_force.recompute_slice()

    # --- what must hold -------------------------------------------------------

    @invariant()
    def every_tree_is_an_accepted_one_and_none_goes_back(self):
        for one, replication in self.replications.items():
            assert replication.store.revision >= self.lowest_stored[one]
            self.lowest_stored[one] = replication.store.revision
            assert (
                replication.store.declared == self.accepted[replication.store.revision]
            )
            tree = replication.in_force.tree
            if tree.revision != self.lowest[one]:
                assert tree.revision > self.lowest[one]
                expected = effective_tree(self.accepted[tree.revision], tree.revision)
                assert tree == expected
                self.lowest[one] = tree.revision

    @invariant()
    def the_history_is_the_list(self):
        for machine in self.machines.values():
            history = machine.history(1 << 60)
            assert len(history) == machine.store.revision
            assert [entry.revision for entry in history] == list(
                range(machine.store.revision, 0, -1)
            )

    def teardown(self):
        """Once messages arrive, all instances reach the newest tree in a few rounds."""
        if not self.machines:
            return
        for one in REPLICAS:
            self.apply(one, len(self.log))
        for _ in range(4):
            self.quiet_round()
            self.every_tree_is_an_accepted_one_and_none_goes_back()
        for replication in self.replications.values():
            assert replication.store.revision == len(self.accepted) - 1
            is_ready = replication.is_ready(
                self.peers[next(iter(DATA_CENTRES))],
                self.now + SNAPSHOT_INTERVAL_SECONDS,
            )
            assert is_ready or len(self.accepted) == 1


TestTreeAndSpread = TreeAndSpread.TestCase
TestTreeAndSpread.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)


def test_the_history_is_read_through_the_log():
    from sesameford.tree_changes import HistoryQuery

    machine = TreeMachine(lambda _: None)
    read = machine.apply(1, encode_command(HistoryQuery(5)))
    assert decode_history(read) == ()
