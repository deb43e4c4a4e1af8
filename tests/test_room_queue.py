"""Whose turn it is once there is room."""

import asyncio

from sesameford.room_queue import MAX_REFUSED_PER_RETRY, make_room_queue

CONNECTIONS = 100
WAIT_SECONDS = 5.0


async def play(room, asked_at_least):
    """Let many connections wait, of which so many find room; return who was asked."""
    queue = make_room_queue()
    asked = []

    def ask(connection):
        asked.append(connection)
        if connection < room:
            return True
        queue.wait(lambda: ask(connection))
        return False

    for connection in range(CONNECTIONS):
        queue.wait(lambda connection=connection: ask(connection))
    async with asyncio.timeout(WAIT_SECONDS):
        while len(asked) < asked_at_least:
            await asyncio.sleep(0)
    return asked


async def test_all_that_find_room_go_on_at_once():
    """Guards against connections that wait while there is room for all."""
    assert await play(CONNECTIONS, 1) == list(range(CONNECTIONS))


async def test_few_of_those_without_room_are_asked_at_a_time():
    """Guards against a crowd whose looking for room takes all of the loop's time."""
    assert await play(0, 1) == list(range(MAX_REFUSED_PER_RETRY))


async def test_one_without_room_holds_nobody_up():
    """Guards against a large request that keeps small ones from the room they find."""
    asked = await play(MAX_REFUSED_PER_RETRY, CONNECTIONS)
    assert set(asked) == set(range(CONNECTIONS))


async def test_an_error_at_one_holds_nobody_up():
    """Guards against one faulty connection that leaves all others waiting for good."""
    queue = make_room_queue()
    went_on = asyncio.Event()

    def fail():
        raise ValueError("faulty")

    def go_on():
        went_on.set()
        return True

    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    queue.wait(fail)
    queue.wait(go_on)
    async with asyncio.timeout(WAIT_SECONDS):
        await went_on.wait()
    assert len(errors) == 1
