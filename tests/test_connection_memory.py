"""Which connections are evicted when what they hold together is too much."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.connection_memory import (
    DEFAULT_LIMIT_BYTES,
    MIN_LIMIT_BYTES,
    RUNNING_FRACTION,
    RUNNING_REQUEST_BYTES,
    SMALL_REQUEST_BYTES,
    HeldConnection,
    limit_of_memory,
    make_connection_memory,
)

LIMIT_BYTES = 1_000_000
OBJECT_BYTES = 10_000


class World:
    """Connections of one account; evicted ones close at once, or later."""

    def __init__(self, limit_bytes=LIMIT_BYTES, closes_at_once=True):
        self.memory = make_connection_memory(limit_bytes)
        self.closes_at_once = closes_at_once
        self.open = []
        self.evicting = []
        self.evicted = []
        self.now_seconds = 0.0

    def connect(self):
        connection = HeldConnection(lambda: self.give_way(connection))
        self.memory.hold_objects(connection, OBJECT_BYTES, self.now_seconds)
        self.open.append(connection)
        return connection

    def receive(self, connection, received_bytes):
        self.memory.hold_received(connection, received_bytes, self.now_seconds)

    def give_way(self, connection):
        self.evicted.append(connection)
        self.evicting.append(connection)
        if self.closes_at_once:
            self.close_evicted_late()

    def close_evicted_late(self):
        for connection in self.evicting:
            self.close(connection)
        self.evicting.clear()

    def close(self, connection):
        self.memory.close(connection)
        self.open.remove(connection)


class ConnectionsOfACrowd(RuleBasedStateMachine):
    """Connections hold, run, leave, and are evicted late, as a loop gets to it."""

    def __init__(self):
        super().__init__()
        self.world = World(closes_at_once=False)

    def some(self, number, running=False):
        chosen = [
            one
            for one in self.world.open
            if (one.running_bytes > 0) is running and one not in self.world.evicting
        ]
        return chosen[number % len(chosen)] if chosen else None

    @rule()
    def connect(self):
        self.world.connect()

    @rule(seconds=st.floats(0.001, 10.0))
    def wait(self, seconds):
        self.world.now_seconds += seconds

    @rule(number=st.integers(0, 99), received_bytes=st.integers(0, 700_000))
    def receive(self, number, received_bytes):
        connection = self.some(number)
        if connection is not None:
            self.world.receive(connection, received_bytes)

    @rule(number=st.integers(0, 99))
    def run(self, number):
        connection = self.some(number)
        if connection is None or not connection.received_bytes:
            return
        request_bytes = connection.received_bytes
        runs = self.world.memory.start_running(connection, request_bytes)
        assert runs or request_bytes > SMALL_REQUEST_BYTES

    @rule(number=st.integers(0, 99), unsent_bytes=st.integers(0, 300_000))
    def answer(self, number, unsent_bytes):
        connection = self.some(number, running=True)
        if connection is not None:
            now_seconds = self.world.now_seconds
            self.world.memory.hold_unsent(connection, unsent_bytes, now_seconds)

    @rule(number=st.integers(0, 99))
    def end(self, number):
        connection = self.some(number, running=True)
        if connection is not None:
            self.world.memory.end_request(connection)

    @rule()
    def close_evicted_late(self):
        self.world.close_evicted_late()

    @rule(number=st.integers(0, 99))
    def leave(self, number):
        connection = self.some(number)
        if connection is not None:
            self.world.close(connection)

    @invariant()
    def sums_are_right(self):
        held_bytes = sum(one.held_bytes for one in self.world.open)
        assert self.world.memory.held_bytes == held_bytes

    @invariant()
    def only_running_requests_hold_more_than_the_limit(self):
        kept = [one for one in self.world.open if one not in self.world.evicting]
        if sum(one.held_bytes for one in kept) > LIMIT_BYTES:
            assert not any(one.is_evictable for one in kept)

    @invariant()
    def no_running_request_is_cut_but_for_its_answer(self):
        for connection in self.world.evicting:
            assert connection.running_bytes == 0 or connection.unsent_bytes > 0


TestConnectionsOfACrowd = ConnectionsOfACrowd.TestCase


def test_who_holds_most_for_longest_is_evicted_first():
    """Guards against a crowd that stays, while those who come next are refused."""
    world = World()
    stays = [world.connect() for _ in range(8)]
    idle = world.connect()
    for connection in stays:
        world.receive(connection, 110_000)
    world.now_seconds = 1.0
    comes = world.connect()
    world.receive(comes, 110_000)
    assert world.evicted
    assert set(world.evicted) < set(stays)
    assert idle in world.open
    assert comes in world.open


def test_idle_connections_are_evicted_if_nobody_else_can_be():
    """Guards against idle connections that fill a small machine by themselves."""
    world = World()
    connections = [world.connect() for _ in range(LIMIT_BYTES // OBJECT_BYTES)]
    world.now_seconds = 1.0
    newest = world.connect()
    assert set(world.evicted) < set(connections)
    assert newest in world.open
    assert world.memory.held_bytes <= LIMIT_BYTES


def test_running_requests_leave_room_for_others():
    """Guards against large requests at slow targets that keep all others out."""
    world = World()
    large_bytes = int(RUNNING_FRACTION * LIMIT_BYTES) - RUNNING_REQUEST_BYTES
    first, second, small = (world.connect() for _ in range(3))
    assert world.memory.start_running(first, large_bytes)
    assert world.memory.has_room_to_run()
    assert not world.memory.start_running(second, SMALL_REQUEST_BYTES + 1)
    assert world.memory.start_running(small, 1)
    assert not world.memory.has_room_to_run()


def test_the_limit_follows_from_the_memory_of_the_machine():
    """Guards against a bound that is larger than a small machine."""
    assert limit_of_memory(88) < 28_000_000
    assert limit_of_memory(300) > 100_000_000
    assert limit_of_memory(10) == MIN_LIMIT_BYTES
    assert limit_of_memory(None) == DEFAULT_LIMIT_BYTES
