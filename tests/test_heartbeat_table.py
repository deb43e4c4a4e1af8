"""The heartbeat table at several instances, with lost, doubled and late messages."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow, HeartbeatRowsRequest
from sesameford.tables import TargetState


def row(name, sequence, state=TargetState.READY):
    return HeartbeatRow(name, sequence, "pool", f"{name}:1", "a", 8, state)


def test_a_late_heartbeat_does_not_bring_a_leaving_target_back():
    """A heartbeat is delayed and arrives after the target announced its leave.

    Stored as a newer row, it would send requests to an address without a listener.
    """
    table = make_heartbeat_table()
    table.handle_heartbeat(row("t", 4, TargetState.DRAINING), 0.0)
    table.handle_heartbeat(row("t", 3), 1.0)
    assert table.entries["t"].row.state is TargetState.DRAINING
    table.handle_leave("t", 2.0)
    table.handle_heartbeat(row("t", 9), 3.0)
    assert table.entries["t"].row.state is TargetState.GONE


def test_a_leave_before_any_heartbeat_is_stored():
    table = make_heartbeat_table()
    table.handle_leave("t", 0.0)
    table.handle_heartbeat(row("t", 1), 1.0)
    assert table.entries["t"].row.state is TargetState.GONE


def test_a_target_that_restarts_under_its_id_is_ready():
    """It left or crashed, and is back with a new incarnation and its first sequence.

    Compared with the sequence of the old incarnation it would never get work again.
    """
    table = make_heartbeat_table()
    table.handle_heartbeat(replace(row("t", 40), incarnation=1_000), 0.0)
    table.handle_leave("t", 1.0)
    assert table.handle_heartbeat(replace(row("t", 1), incarnation=2_000), 2.0)
    assert table.entries["t"].row.state is TargetState.READY
    late = replace(row("t", 41, TargetState.DRAINING), incarnation=1_000)
    assert not table.handle_heartbeat(late, 3.0)
    assert table.entries["t"].row.state is TargetState.READY


def test_an_unchanged_heartbeat_is_not_sent_on():
    table = make_heartbeat_table()
    assert table.handle_heartbeat(row("t", 1), 0.0)
    assert not table.handle_heartbeat(row("t", 2), 1.0)


def test_a_router_that_starts_sends_nothing_to_targets_that_crashed_before():
    """Guards against calls to what now has the addresses of crashed targets."""
    replica, router = make_heartbeat_table(has_disk=True), make_heartbeat_table()
    rows = [row(f"t{number}", 1) for number in range(3)]
    for one in rows:
        replica.handle_heartbeat(one, 0.0)
    for number in range(1, 20):
        replica.handle_heartbeat(replace(rows[0], sequence=1 + number), float(number))
    (reply,) = replica.handle_message("r1", HeartbeatRowsRequest(), 20.0)
    router.handle_message("a1", reply.message, 20.0)
    placement = make_placement(router, "a", 1.0, Random(1))
    for _ in range(6):
        chosen = placement.choose("pool", None, None, 0.25, frozenset(), 20.0)
        assert chosen.target_id == "t0"


class BeatTables(RuleBasedStateMachine):
    """Two replicas and a router; heartbeats and leaves go to any replica.

    Messages are lost, doubled and late. The model holds the last announcement of each
    target. When all messages are delivered, every table agrees with it.
    """

    def __init__(self):
        super().__init__()
        self.tables = {name: self._empty(name) for name in ("c1", "c2", "r1")}
        self.in_transit = []
        self.announced = {}
        self.unacknowledged = set()
        self.now_seconds = 0.0

    def _empty(self, name):
        return make_heartbeat_table(has_disk=name != "r1")

    def _send(self, sender, outgoing):
        for one in outgoing:
            for receiver in self.tables:
                if receiver == sender or one.receiver_id not in (None, receiver):
                    continue
                if "c" in sender + receiver:
                    self.in_transit.append((sender, receiver, one.message))

    def _deliver(self, position):
        sender, receiver, message = self.in_transit[position]
        answer = self.tables[receiver].handle_message(sender, message, self.now_seconds)
        self._send(receiver, answer)

    @rule(name=st.sampled_from("tuv"), at=st.sampled_from(["c1", "c2"]))
    def beat(self, name, at):
        sequence, state = self.announced.get(name, (0, TargetState.READY))
        if state is not TargetState.GONE:
            self.announced[name] = (sequence + 1, state)
            heartbeat = row(name, sequence + 1, state)
            self._send(
                at, self.tables[at].handle_heartbeat(heartbeat, self.now_seconds)
            )

    @rule(
        name=st.sampled_from("tuv"),
        at=st.sampled_from(["c1", "c2"]),
        state=st.sampled_from([TargetState.DRAINING, TargetState.GONE]),
        reaches=st.booleans(),
    )
    def leave(self, name, at, state, reaches):
        """A target announces its leave, acknowledged once two replicas have it.

        Without the acknowledgement it may be lost with the replica that received it.
        """
        sequence, before = self.announced.get(name, (0, TargetState.READY))
        if before is not TargetState.READY:
            return
        sequence += 1
        heartbeat = row(name, sequence, state)
        outgoing = self.tables[at].handle_heartbeat(
            heartbeat, self.now_seconds, token=7
        )
        self._send(at, outgoing)
        self.announced[name] = (sequence, state)
        other = "c2" if at == "c1" else "c1"
        acks = ()
        if reaches:
            for one in outgoing:
                acks = self.tables[other].handle_message(
                    at, one.message, self.now_seconds
                )
        if not acks:
            self.unacknowledged.add(name)

    @rule(position=st.integers(0, 30), fate=st.sampled_from(["take", "lose", "double"]))
    def message(self, position, fate):
        if not self.in_transit:
            return
        position %= len(self.in_transit)
        if fate != "lose":
            self._deliver(position)
        if fate != "double":
            del self.in_transit[position]

    @rule(name=st.sampled_from(["c2", "r1"]))
    def restart_empty(self, name):
        self.tables[name] = self._empty(name)

    @rule(name=st.sampled_from("tuv"), at=st.sampled_from(["c1", "c2"]))
    def late_beat(self, name, at):
        if name in self.announced and self.announced[name][0] > 0:
            self._send(
                at, self.tables[at].handle_heartbeat(row(name, 1), self.now_seconds)
            )

    @rule(seed=st.integers(0, 99))
    def settle(self, seed):
        """Deliver all messages: all tables agree after a few rounds."""
        random = Random(seed)
        for _ in range(6):
            self.now_seconds += 1.0
            for name, (sequence, state) in list(self.announced.items()):
                if state is not TargetState.GONE:
                    self.announced[name] = (sequence + 1, state)
                    heartbeat = row(name, sequence + 1, state)
                    self._send(
                        "c1",
                        self.tables["c1"].handle_heartbeat(heartbeat, self.now_seconds),
                    )
            for name, table in self.tables.items():
                if name != "r1":
                    recent = table.make_recent_heartbeats(self.now_seconds)
                    for receiver in self.tables:
                        if receiver != name:
                            self.in_transit.append((name, receiver, recent))
            while self.in_transit:
                position = random.randrange(len(self.in_transit))
                self._deliver(position)
                del self.in_transit[position]
        for table in self.tables.values():
            for name, (_, state) in self.announced.items():
                if name in self.unacknowledged:
                    continue
                entry = table.entries.get(name)
                if state is TargetState.GONE:
                    assert entry is None or entry.row.state is TargetState.GONE
                else:
                    assert entry.row.state is state


TestBeatTables = BeatTables.TestCase
TestBeatTables.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
