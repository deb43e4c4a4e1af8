"""What a turn of the loop receives of answers, and whose turn is next."""

import asyncio
import threading
import time
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from aiohttp import ClientSession

from sesameford.answer_turns import MAX_TURN_BYTES, SMALL_READ_BYTES, make_answer_turns
from sesameford.target_connections import make_connector
from sesameford.tls import make_client_context, make_server_context
from tests.authority import Authority

CONNECTIONS = 6
ROUNDS = 3
WAIT_SECONDS = 5.0
# What the event loop reads of a socket at once, at most.
READ_BYTES = 262_144
ANSWERS = 60
ANSWER_BYTES = 400_000
# In this time all servers have sent what the sockets take.
LATE_SECONDS = 0.3
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES


class FakeConnection:
    """A connection that always has a part to read, unless it is paused."""

    def __init__(self, turns, part_bytes):
        self._turns = turns
        self._part_bytes = part_bytes
        self.is_paused = False
        self.parts = 0
        turns.add(self)

    def pause_for_turn(self):
        was_paused, self.is_paused = self.is_paused, True
        return not was_paused

    def resume_for_turn(self):
        self.is_paused = False

    def receive(self):
        self.parts += 1
        self._turns.record_received(self, self._part_bytes)


async def play(part_bytes, rounds=ROUNDS, connections=CONNECTIONS):
    """Let all read that may, turn by turn, in the same order; return who read when."""
    turns = make_answer_turns()
    opened = [FakeConnection(turns, part_bytes) for _ in range(connections)]
    order = []
    async with asyncio.timeout(WAIT_SECONDS):
        while min(one.parts for one in opened) < rounds:
            order.append([])
            for number, one in enumerate(opened):
                if not one.is_paused:
                    one.receive()
                    order[-1].append(number)
            await asyncio.sleep(0)
    return [turn for turn in order if turn]


async def test_a_turn_receives_no_more_than_its_bytes():
    """Guards against parts of all answers at once that nobody has taken."""
    part_bytes = MAX_TURN_BYTES // 2
    for turn in await play(part_bytes):
        assert len(turn) * part_bytes <= MAX_TURN_BYTES


async def test_connections_take_turns():
    """Guards against answers that always come first and leave no turn to others."""
    order = await play(MAX_TURN_BYTES)
    assert order == [[number] for number in range(CONNECTIONS)] * ROUNDS


async def test_small_answers_wait_for_nobody():
    """Guards against a bound that holds up streams of short events."""
    order = await play(SMALL_READ_BYTES - 1)
    assert order == [list(range(CONNECTIONS))] * ROUNDS


async def test_a_closed_connection_is_not_paused():
    """Guards against turns that keep each connection that there ever was."""
    turns = make_answer_turns()
    closed, other = (FakeConnection(turns, MAX_TURN_BYTES) for _ in range(2))
    turns.discard(closed)
    other.receive()
    assert other.is_paused
    assert not closed.is_paused


class LateServers(threading.Thread):
    """Servers that send the bodies of all answers at once, in a loop of their own."""

    def __init__(self, context):
        super().__init__()
        self._context = context
        self._loop = asyncio.new_event_loop()
        self._writers = []
        self._listeners = []
        self.started = threading.Event()

    def run(self):
        self._loop.run_until_complete(self._listen())
        self.started.set()
        self._loop.run_forever()
        self._loop.close()

    async def _listen(self):
        for _ in range(ANSWERS):
            server = await asyncio.start_server(
                self._answer, "127.0.0.1", 0, ssl=self._context
            )
            self._listeners.append(server)

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER_HEAD)
        self._writers.append(writer)

    @property
    def urls(self):
        ports = [one.sockets[0].getsockname()[1] for one in self._listeners]
        scheme = "http" if self._context is None else "https"
        return [f"{scheme}://127.0.0.1:{port}/" for port in ports]

    def send_bodies(self):
        for writer in self._writers:
            self._loop.call_soon_threadsafe(writer.write, bytes(ANSWER_BYTES))

    def stop(self):
        async def close():
            for writer in self._writers:
                writer.transport.abort()
            for listener in self._listeners:
                listener.close()
                await listener.wait_closed()
            self._loop.stop()

        asyncio.run_coroutine_threadsafe(close(), self._loop)
        self.join()


@asynccontextmanager
async def open_answers(tls):
    """Yield the servers, and the responses whose heads have come and no body."""
    servers = LateServers(tls and make_server_context(tls))
    servers.start()
    servers.started.wait(WAIT_SECONDS)
    try:
        async with AsyncExitStack() as stack:
            connector = make_connector(make_client_context(tls) if tls else True, None)
            session = await stack.enter_async_context(
                ClientSession(connector=connector)
            )
            calls = [session.get(url) for url in servers.urls]
            yield (
                servers,
                [await stack.enter_async_context(call) for call in calls],
            )
    finally:
        servers.stop()


@pytest.mark.parametrize("has_tls", [False, True])
async def test_a_late_loop_holds_little_that_nobody_has_taken(has_tls, tmp_path):
    """Guards against a router that passes its memory by answers it finds at once."""
    tls = Authority(tmp_path, "ours").identity("e0") if has_tls else None
    async with open_answers(tls) as (servers, responses):
        taken_bytes = dict.fromkeys(range(ANSWERS), 0)
        peak_bytes = 0

        async def read(number):
            nonlocal peak_bytes
            while data := await responses[number].content.readany():
                taken_bytes[number] += len(data)
                received_bytes = sum(one.content.total_bytes for one in responses)
                left_bytes = received_bytes - sum(taken_bytes.values()) + len(data)
                peak_bytes = max(peak_bytes, left_bytes)

        async with asyncio.timeout(WAIT_SECONDS), asyncio.TaskGroup() as readers:
            for number in range(ANSWERS):
                readers.create_task(read(number))
            await asyncio.sleep(0)
            servers.send_bodies()
            # The loop is late.
            time.sleep(LATE_SECONDS)
    assert set(taken_bytes.values()) == {ANSWER_BYTES}
    assert peak_bytes <= MAX_TURN_BYTES + READ_BYTES
