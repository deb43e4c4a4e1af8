"""Bodies that never end, and the most that a router holds of answers."""

import asyncio

import pytest

from sesameford.held_answers import (
    MAX_HELD_BYTES,
    MIN_HELD_BYTES,
    make_held_bytes,
)
from sesameford.tree import effective_tree, parse_tree
from tests.endless_fixture import (
    CHUNK,
    CHUNKED,
    EVENT,
    EVENTS,
    MAX_GROWTH_BYTES,
    PATHS,
    X,
    check_many,
    never_ends,
    start,
    watch_process,
)
from tests.gateway_fixture import TREE
from tests.raw_fixture import (
    Close,
    Script,
    Seen,
    ask_raw,
    header_of,
    open_raw_desk,
)

pytestmark = pytest.mark.heavy

BODIES = {
    "without a length": never_ends(start(), X),
    "in chunks": never_ends(start(CHUNKED), CHUNK),
    "of a large length": never_ends(start("Content-Length: 9999999999"), X),
    "of a failure": never_ends(start(status=500), X),
    "of a failure in chunks": never_ends(start(CHUNKED, status=500), CHUNK),
    "of a rejection": never_ends(
        start("X-Sesameford-Not-Executed: 1", status=503), X, runs=False
    ),
    "an event": never_ends(start(EVENTS, body=b"data: "), X),
    "an event in chunks": never_ends(start(EVENTS, CHUNKED), CHUNK),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("answer", BODIES.values(), ids=BODIES.keys())
async def test_a_body_that_never_ends_fills_no_memory(answer, path):
    """Guards against a router that is ended for its memory, with every call at it."""
    await check_many(answer, path)


@pytest.mark.parametrize("path", PATHS)
async def test_events_that_never_end_fill_no_memory(path):
    """Guards against a stream without an end that is held, or counts as complete."""
    await check_many(never_ends(start(EVENTS), EVENT * 4000), path)


async def test_a_caller_that_reads_nothing_fills_no_memory():
    """Guards against what a router holds for callers that are slower than servers."""
    async with open_raw_desk(BODIES["in chunks"]) as desk, watch_process() as watch:
        host, port = desk.address.split(":")
        writers = []
        for _ in range(20):
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            fields = "".join(f"{k}: {v}\r\n" for k, v in desk.headers().items())
            head = f"POST /unsafe/permit HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            writers.append(writer)
        await asyncio.sleep(1.5)
        for writer in writers:
            writer.close()
    assert watch.growth_bytes < MAX_GROWTH_BYTES


LARGE = bytes(range(256)) * 12_000
LARGE_SCRIPTS = {
    "length": Script((f"Content-Length: {len(LARGE)}",), (LARGE,), Close.KEEP),
    "chunks": Script(
        (CHUNKED,), (b"%x\r\n%b\r\n0\r\n\r\n" % (len(LARGE), LARGE),), Close.KEEP
    ),
    "no length": Script((), (LARGE,), Close.IN_ORDER),
}


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("path", ["/unsafe/permit", "/safe/permit"])
@pytest.mark.parametrize("script", LARGE_SCRIPTS.values(), ids=LARGE_SCRIPTS.keys())
async def test_many_large_answers_at_once_pass_whole(script, path, version):
    """Guards against sound answers that are refused because others take the room."""
    async with open_raw_desk(script) as desk:
        answers = await asyncio.gather(
            *(ask_raw(desk, path, version=version) for _ in range(20))
        )
        assert desk.deps.held_answers.held_bytes == 0
    for one in answers:
        assert (one.status, one.seen) == (200, Seen.WHOLE)
        assert one.body == LARGE
    if script is LARGE_SCRIPTS["length"]:
        assert header_of(answers[0].head, "Content-Length") == str(len(LARGE))


LARGE_HEADS = {
    "many fields": tuple(f"X-Field-{number}: {number}" for number in range(1_000)),
    "a long line": (f"X-Field-0: {'v' * 40_000}",),
}


@pytest.mark.parametrize("path", ["/unsafe/permit", "/safe/permit"])
@pytest.mark.parametrize("fields", LARGE_HEADS.values(), ids=LARGE_HEADS.keys())
async def test_an_answer_with_a_large_head_passes_whole(fields, path):
    """Guards against work that has run and is reported as failed for a large head."""
    script = Script((*fields, "Content-Length: 5"), (b"whole",), Close.KEEP)
    async with open_raw_desk(script) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen, answer.body) == (200, Seen.WHOLE, b"whole")
    for field in fields:
        name, _, value = field.partition(": ")
        assert header_of(answer.head, name) == value


def limited_tree(**fleet):
    settings = ", ".join(f"{name}: {value}" for name, value in fleet.items())
    return effective_tree(parse_tree(f"fleet: {{{settings}}}\n{TREE}", "t"), 1)


@pytest.mark.parametrize("script", LARGE_SCRIPTS.values(), ids=LARGE_SCRIPTS.keys())
async def test_an_answer_over_the_limit_is_not_complete(script, caplog):
    """Guards against a limit that does not hold, or that nobody can see at work."""
    tree = limited_tree(answer_limit_bytes=len(LARGE) - 1)
    async with open_raw_desk(script, tree=tree) as desk:
        answer = await ask_raw(desk, "/unsafe/permit")
        counted = desk.deps.metrics.registry.get("sesameford_long_answers_total")
        assert counted.get({}) == 1
    assert answer.seen is Seen.CUT or answer.status == 502
    (line,) = [one for one in caplog.records if one.message == "sending failed"]
    assert line.fate == "answer-too-long"


async def test_an_answer_of_just_the_limit_is_complete():
    """Guards against a limit that is off by one."""
    tree = limited_tree(answer_limit_bytes=len(LARGE))
    async with open_raw_desk(LARGE_SCRIPTS["length"], tree=tree) as desk:
        answer = await ask_raw(desk, "/unsafe/permit")
    assert (answer.status, answer.seen, answer.body) == (200, Seen.WHOLE, LARGE)


async def test_answers_without_room_are_forwarded_as_they_come():
    """Guards against small answers that fail because nothing may be held."""
    tree = limited_tree(held_answers_limit_bytes=0)
    async with open_raw_desk(LARGE_SCRIPTS["length"], tree=tree) as desk:
        answer = await ask_raw(desk, "/safe/permit")
    assert (answer.status, answer.seen, answer.body) == (200, Seen.WHOLE, LARGE)


def test_answers_hold_no_more_than_the_limit_together():
    """Guards against a bound for one answer that many answers pass together."""
    account = make_held_bytes()
    with account.hold(2_000_000) as first, account.hold(2_000_000) as second:
        assert first.resize(900_000)
        assert not first.resize(MAX_HELD_BYTES + 1)
        assert second.resize(900_000)
        with account.hold(2_000_000) as third:
            assert third.resize(MIN_HELD_BYTES)
            assert not third.resize(300_000)
        assert second.resize(910_000)
    assert account.held_bytes == 0


def test_answers_hold_no_more_than_their_machine_has_room_for():
    """Guards against an operators' limit that is larger than the machine's memory."""
    account = make_held_bytes(lambda: 500_000)
    with account.hold(24_000_000) as first, account.hold(24_000_000) as second:
        assert first.resize(900_000)
        assert not second.resize(300_000)
        first.release()
        assert second.resize(300_000)
