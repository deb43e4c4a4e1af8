"""The table of targets at several instances, over messages that fail."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState


def row(name, sequence, state=TargetState.READY):
    return HeartbeatRow(name, sequence, "pool", f"{name}:1", "a", 8, state)


def test_a_late_heartbeat_does_not_bring_a_leaving_target_back():
    """A heartbeat is held up on its way and arrives after the target said it leaves.

    Taken as news, requests would go to where nobody listens any more.
    """
    table = make_heartbeat_table()
    table.handle_heartbeat(row("t", 4, TargetState.DRAINING), 0.0)
    table.handle_heartbeat(row("t", 3), 1.0)
    assert table.entries["t"].row.state is TargetState.DRAINING
    table.handle_leave("t", 2.0)
    table.handle_heartbeat(row("t", 9), 3.0)
    assert table.entries["t"].row.state is TargetState.GONE


def test_a_leave_before_any_heartbeat_is_remembered():
    table = make_heartbeat_table()
    table.handle_leave("t", 0.0)
    table.handle_heartbeat(row("t", 1), 1.0)
    assert table.entries["t"].row.state is TargetState.GONE


def test_a_target_that_starts_again_under_its_id_counts_anew():
    """It said that it ends, or crashed, and is back with its numbers from the start.

    Judged by the numbers of before it would get nothing for good.
    """
    table = make_heartbeat_table()
    table.handle_heartbeat(replace(row("t", 40), incarnation=1_000), 0.0)
    table.handle_leave("t", 1.0)
    assert table.handle_heartbeat(replace(row("t", 1), incarnation=2_000), 2.0)
    assert table.entries["t"].row.state is TargetState.READY
    late = replace(row("t", 41, TargetState.DRAINING), incarnation=1_000)
    assert not table.handle_heartbeat(late, 3.0)
    assert table.entries["t"].row.state is TargetState.READY


def test_the_same_again_is_told_to_nobody():
    table = make_heartbeat_table()
    assert table.handle_heartbeat(row("t", 1), 0.0)
    assert not table.handle_heartbeat(row("t", 2), 1.0)


class BeatTables(RuleBasedStateMachine):
    """Two replicas and a router; beats and leaves go to any replica.

    Messages are lost, doubled and late. The oracle knows the last thing that each
    target said. When all is delivered, every table says the same.
    """

    def __init__(self):
        super().__init__()
        self.tables = {name: self._empty(name) for name in ("c1", "c2", "r1")}
        self.links = []
        self.said = {}
        self.unanswered = set()
        self.now_seconds = 0.0

    def _empty(self, name):
        return make_heartbeat_table(has_disk=name != "r1")

    def _send(self, sender, outgoing):
        for one in outgoing:
            for receiver in self.tables:
                if receiver == sender or one.receiver_id not in (None, receiver):
                    continue
                if "c" in sender + receiver:
                    self.links.append((sender, receiver, one.message))

    def _deliver(self, position):
        sender, receiver, message = self.links[position]
        answer = self.tables[receiver].handle_message(sender, message, self.now_seconds)
        self._send(receiver, answer)

    @rule(name=st.sampled_from("tuv"), at=st.sampled_from(["c1", "c2"]))
    def beat(self, name, at):
        sequence, state = self.said.get(name, (0, TargetState.READY))
        if state is not TargetState.GONE:
            self.said[name] = (sequence + 1, state)
            beat = row(name, sequence + 1, state)
            self._send(at, self.tables[at].handle_heartbeat(beat, self.now_seconds))

    @rule(
        name=st.sampled_from("tuv"),
        at=st.sampled_from(["c1", "c2"]),
        state=st.sampled_from([TargetState.DRAINING, TargetState.GONE]),
        reaches=st.booleans(),
    )
    def leave(self, name, at, state, reaches):
        """A target says that it leaves, and is answered once two replicas know it.

        Without an answer it may be forgotten with the one replica that heard it.
        """
        sequence, before = self.said.get(name, (0, TargetState.READY))
        if before is not TargetState.READY:
            return
        sequence += 1
        beat = row(name, sequence, state)
        outgoing = self.tables[at].handle_heartbeat(beat, self.now_seconds, token=7)
        self._send(at, outgoing)
        self.said[name] = (sequence, state)
        other = "c2" if at == "c1" else "c1"
        taken = ()
        if reaches:
            for one in outgoing:
                taken = self.tables[other].handle_message(
                    at, one.message, self.now_seconds
                )
        if not taken:
            self.unanswered.add(name)

    @rule(position=st.integers(0, 30), fate=st.sampled_from(["take", "lose", "double"]))
    def message(self, position, fate):
        if not self.links:
            return
        position %= len(self.links)
        if fate != "lose":
            self._deliver(position)
        if fate != "double":
            del self.links[position]

    @rule(name=st.sampled_from(["c2", "r1"]))
    def restart_empty(self, name):
        self.tables[name] = self._empty(name)

    @rule(name=st.sampled_from("tuv"), at=st.sampled_from(["c1", "c2"]))
    def late_beat(self, name, at):
        if name in self.said and self.said[name][0] > 0:
            self._send(
                at, self.tables[at].handle_heartbeat(row(name, 1), self.now_seconds)
            )

    @rule(seed=st.integers(0, 99))
    def settle(self, seed):
        """Mend the network: all tables agree after a few rounds."""
        random = Random(seed)
        for _ in range(6):
            self.now_seconds += 1.0
            for name, (sequence, state) in list(self.said.items()):
                if state is not TargetState.GONE:
                    self.said[name] = (sequence + 1, state)
                    beat = row(name, sequence + 1, state)
                    self._send(
                        "c1", self.tables["c1"].handle_heartbeat(beat, self.now_seconds)
                    )
            for name, table in self.tables.items():
                if name != "r1":
                    heard = table.make_recent_heartbeats()
                    for receiver in self.tables:
                        if receiver != name:
                            self.links.append((name, receiver, heard))
            while self.links:
                position = random.randrange(len(self.links))
                self._deliver(position)
                del self.links[position]
        for table in self.tables.values():
            for name, (_, state) in self.said.items():
                if name in self.unanswered:
                    continue
                known = table.entries.get(name)
                if state is TargetState.GONE:
                    assert known is None or known.row.state is TargetState.GONE
                else:
                    assert known.row.state is state


TestBeatTables = BeatTables.TestCase
TestBeatTables.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
