"""What a turn of the loop parses, and whose turn is next."""

import asyncio

from sesameford.receive_turns import MAX_TURN_BYTES, make_receive_turns

CONNECTIONS = 6
PARTS = 3
WAIT_SECONDS = 5.0


async def play(part_bytes):
    """Parse parts of some connections; return the order, one list for each turn."""
    turns = make_receive_turns()
    order, left = [[]], dict.fromkeys(range(CONNECTIONS), PARTS)

    def parse(connection):
        left[connection] -= 1
        order[-1].append(connection)
        turns.record_parsed(part_bytes)
        if left[connection]:
            turns.wait(lambda: parse(connection))

    for connection in range(CONNECTIONS):
        turns.wait(lambda connection=connection: parse(connection))
    async with asyncio.timeout(WAIT_SECONDS):
        while any(left.values()):
            await asyncio.sleep(0)
            order.append([])
    return [turn for turn in order if turn]


async def test_a_turn_parses_no_more_than_its_bytes():
    """Guards against a turn that lasts for seconds, and answers nobody else."""
    part_bytes = MAX_TURN_BYTES // 2
    for turn in await play(part_bytes):
        assert len(turn) * part_bytes <= MAX_TURN_BYTES


async def test_connections_take_turns():
    """Guards against a client of tiny chunks that is parsed before all others."""
    order = [connection for turn in await play(MAX_TURN_BYTES) for connection in turn]
    assert order == list(range(CONNECTIONS)) * PARTS


async def test_one_that_waits_again_gets_no_second_part_in_a_turn():
    """Guards against small parts of one connection that fill a turn."""
    for turn in await play(1):
        assert len(turn) == len(set(turn))


async def test_an_error_at_one_holds_nobody_up():
    """Guards against one faulty connection that leaves all others waiting for good."""
    turns = make_receive_turns()
    went_on = asyncio.Event()

    def fail():
        raise ValueError("faulty")

    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    turns.wait(fail)
    turns.wait(went_on.set)
    async with asyncio.timeout(WAIT_SECONDS):
        await went_on.wait()
    assert len(errors) == 1
