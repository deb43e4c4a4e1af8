"""An answer to another request, in the place of the answer that a call waits for.

A server sends an extra answer late: where the answer to the next request on that
connection is expected. The id in its head shows whose it is.
"""

import asyncio
from collections import Counter
from random import Random

import pytest

from tests.raw_fixture import Seen, ask_raw, header_of, open_raw_desk, raw_head

NOT_RUN = "X-Sesameford-Not-Executed: 1"
EMPTY = "Content-Length: 0"
WORK_SECONDS = 0.1
PROMISES = (408, 421, 429, 503)
LAST_CHUNK = b"0\r\n\r\n"


def plain(request_id, body, status=200, *more):
    head = raw_head(request_id, status, (f"Content-Length: {len(body)}", *more))
    return head + body


def own_answer(request_id):
    return plain(request_id, f"answer to {request_id}".encode())


def own_stream(request_id):
    body = f"id: 1\ndata: {request_id}\n\n".encode()
    return plain(request_id, body, 200, "Content-Type: text/event-stream")


def answers_late(late, at=2, make_own=own_answer):
    """Return a server's answers: before the one to call ``at`` comes ``late``."""

    async def answer(server, request_id, writer):
        if len(server.calls) == at:
            writer.write(late)
            await writer.drain()
        server.runs[request_id] += 1
        await asyncio.sleep(WORK_SECONDS if len(server.calls) == at else 0)
        writer.write(make_own(request_id))
        return True

    return answer


REJECTIONS = {
    "503": raw_head("other", 503, (NOT_RUN, EMPTY)),
    "503 without an id": raw_head(None, 503, (NOT_RUN, EMPTY)),
    "503 to the call before": raw_head("id-1", 503, (NOT_RUN, EMPTY)),
    "503 with a time": raw_head("other", 503, (NOT_RUN, EMPTY, "Retry-After: 3")),
    "503 of one that leaves": raw_head(
        "other", 503, (NOT_RUN, EMPTY, "Server-Leaving: 1")
    ),
    "503 that has run": raw_head("other", 503, (EMPTY,)),
    "503 twice": raw_head("other", 503, (NOT_RUN, EMPTY)) * 2,
    "503 with a body": plain("other", b"full" * 9, 503, NOT_RUN),
    "429": raw_head("other", 429, (NOT_RUN, EMPTY)),
    "421": raw_head("other", 421, (NOT_RUN, EMPTY)),
    "421 that has run": raw_head("other", 421, (EMPTY,)),
    "408": raw_head("other", 408, (EMPTY,)),
    "400 without an id": raw_head(None, 400, (NOT_RUN, EMPTY)),
}
ANSWERS = {
    "200": plain("other", b"of another caller"),
    "200 to the call before": own_answer("id-1"),
    "200 in chunks": raw_head("other", 200, ("Transfer-Encoding: chunked",))
    + b"5\r\nother\r\n"
    + LAST_CHUNK,
    "204": raw_head("other", 204),
    "304": raw_head("other", 304),
    "500": plain("other", b"failed", 500),
    "of 3 MB": plain("other", b"x" * 3_000_000),
}
LATE = {**REJECTIONS, **ANSWERS}
# Nothing shows where these end, or nothing comes after them.
LAST_ON_CONNECTION = {
    "503 that closes": raw_head("other", 503, (NOT_RUN, EMPTY, "Connection: close")),
    "503 without a length": raw_head("other", 503, (NOT_RUN,)) + b"full",
    "421 without a length": raw_head("other", 421, (NOT_RUN,)) + b"gone",
    "200 without a length": raw_head("other", 200) + b"of another caller",
}


@pytest.mark.parametrize("path", ["/unsafe/permit", "/stream/draft"])
@pytest.mark.parametrize(
    "late",
    [*LATE.values(), *LAST_ON_CONNECTION.values()],
    ids=[*LATE, *LAST_ON_CONNECTION],
)
async def test_a_late_answer_never_says_that_a_call_which_runs_has_not_run(path, late):
    """Guards against a promise that was made to another caller."""
    make_own = own_stream if path.startswith("/stream") else own_answer
    async with open_raw_desk(answers_late(late, make_own=make_own)) as desk:
        await desk.ask(path)
        status, _, _ = await desk.ask(path)
        runs = desk.raw_servers[0].runs["id-2"]
    assert runs == 1
    assert status not in PROMISES


@pytest.mark.parametrize("late", LATE.values(), ids=LATE.keys())
async def test_a_late_answer_says_nothing_of_its_server(late):
    """Guards against a server that gets no calls for what it told another caller."""
    async with open_raw_desk(answers_late(late)) as desk:
        for _ in range(3):
            await desk.ask("/unsafe/permit")
        assert desk.raw_servers[0].runs["id-3"] == 1


@pytest.mark.parametrize("path", ["/unsafe/permit", "/safe/permit"])
@pytest.mark.parametrize("late", LATE.values(), ids=LATE.keys())
async def test_a_late_answer_costs_no_call(path, late):
    """Guards against a connection on which each call gets the answer before its own."""
    async with open_raw_desk(answers_late(late)) as desk:
        answers = [await desk.ask(path) for _ in range(4)]
    assert [status for status, _, _ in answers] == [200] * 4
    assert [body for _, body, _ in answers] == [
        f"answer to id-{number}".encode() for number in range(1, 5)
    ]
    assert desk.raw_servers[0].connections == 2


@pytest.mark.parametrize(
    "late", LAST_ON_CONNECTION.values(), ids=LAST_ON_CONNECTION.keys()
)
async def test_a_late_answer_that_ends_its_connection_costs_one_call(late):
    """Guards against waiting for an answer that can't come, and against a promise."""
    async with open_raw_desk(answers_late(late)) as desk:
        answers = [await desk.ask("/unsafe/permit") for _ in range(4)]
    assert [status for status, _, _ in answers] == [200, 502, 200, 200]


async def test_a_late_answer_in_place_of_a_stream_costs_no_call():
    """Guards against a stream that fails, or runs at two servers, for a late answer."""
    late = answers_late(REJECTIONS["503"], make_own=own_stream)
    async with open_raw_desk(late, answers_late(b"", make_own=own_stream)) as desk:
        answers = [await desk.ask("/stream/resumed/draft") for _ in range(6)]
        runs = sum((server.runs for server in desk.raw_servers), Counter())
    assert [status for status, _, _ in answers] == [200] * 6
    assert [body.split(b"data: ")[1] for _, body, _ in answers] == [
        f"id-{number}\n\n".encode() for number in range(1, 7)
    ]
    assert set(runs.values()) == {1}


async def test_a_late_answer_in_place_of_the_rest_of_a_stream_is_skipped():
    """Guards against another caller's rejection that ends a resumed stream."""

    async def broken(server, request_id, writer):
        event = b"id: 1\ndata: one\n\n"
        writer.write(raw_head(request_id, 200, ("Content-Length: 99",)) + event)
        return False

    async def rest(server, request_id, writer):
        if header_of(server.calls[-1], "Last-Event-Id") != "1":
            return await broken(server, request_id, writer)
        writer.write(REJECTIONS["503"])
        await asyncio.sleep(WORK_SECONDS)
        writer.write(plain(request_id, b"id: 2\ndata: two\n\n"))
        return True

    async with open_raw_desk(rest, rest) as desk:
        answer = await ask_raw(desk, "/stream/resumed/draft")
    assert answer.seen is Seen.WHOLE
    assert answer.body == b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


@pytest.mark.parametrize("interim", [100, 102, 103])
async def test_interim_answers_belong_to_no_request(interim):
    """Guards against an interim answer, which has no id, taken for another caller's."""
    late = f"HTTP/1.1 {interim} Wait\r\n\r\n".encode()
    async with open_raw_desk(answers_late(late + REJECTIONS["503"] + late)) as desk:
        answers = [await desk.ask("/unsafe/permit") for _ in range(3)]
        assert desk.raw_servers[0].connections == 2
    assert [status for status, _, _ in answers] == [200] * 3


async def test_a_late_answer_before_the_body_is_written_is_skipped():
    """Guards against cutting off a request because an answer came before its end."""

    async def send_late(server, writer):
        if len(server.calls) == 2:
            writer.write(REJECTIONS["503"])
            await writer.drain()
            await asyncio.sleep(WORK_SECONDS)

    async with open_raw_desk(answers_late(b"")) as desk:
        desk.raw_servers[0].before_body = send_late
        answers = [
            await desk.ask("/unsafe/permit", body=b"x" * 3_000_000) for _ in range(3)
        ]
        assert set(desk.raw_servers[0].runs.values()) == {1}
    assert [status for status, _, _ in answers] == [200] * 3


@pytest.mark.parametrize(
    "late", [REJECTIONS["503 to the call before"], own_answer("id-1")]
)
async def test_a_late_answer_to_the_same_id_is_not_taken_for_this_one(late):
    """Guards against a caller that uses an id twice and gets the first answer again."""

    async def answer(server, request_id, writer):
        writer.write(getattr(writer, "late", b""))
        if len(server.calls) == 1:
            writer.write(late)
            writer.late = late
        else:
            await asyncio.sleep(WORK_SECONDS)
            writer.write(plain(request_id, b"the second answer"))
        return True

    async with open_raw_desk(answer) as desk:
        await desk.ask("/unsafe/permit")
        desk.asked = 0
        status, body, _ = await desk.ask("/unsafe/permit")
    assert (status, body) == (200, b"the second answer")


async def test_a_head_request_leaves_no_length_behind():
    """Guards against a late answer to HEAD whose length swallows the next answer."""

    async def answer(server, request_id, writer):
        if server.calls[-1].startswith("HEAD"):
            writer.late = raw_head(request_id, 200, ("Content-Length: 800",))
            writer.write(writer.late)
        else:
            writer.write(getattr(writer, "late", b"") + own_answer(request_id))
        return True

    async with open_raw_desk(answer) as desk:
        head_status, _, _ = await desk.ask("/safe/permit", method="HEAD", body=None)
        status, body, _ = await desk.ask("/safe/permit")
    assert (head_status, status, body) == (200, 200, b"answer to id-2")


async def test_many_callers_get_their_own_answers_beside_many_late_ones():
    """Guards against answers of other callers, false promises and lost calls."""
    random = Random(7)

    async def answer(server, request_id, writer):
        writer.write(getattr(writer, "late", b""))
        if random.random() < 0.3:
            rejection = raw_head(request_id, 503, (NOT_RUN, EMPTY))
            writer.write(rejection)
            writer.late = rejection if random.random() < 0.5 else b""
            return True
        server.runs[request_id] += 1
        await asyncio.sleep(0.02 * random.random())
        own = own_answer(request_id)
        writer.write(own)
        writer.late = own if random.random() < 0.3 else b""
        return True

    async with open_raw_desk(answer, answer, answer) as desk:
        for _ in range(20):
            asked = desk.asked
            answers = await asyncio.gather(
                *(desk.ask("/unsafe/permit") for _ in range(20))
            )
            runs = sum((server.runs for server in desk.raw_servers), Counter())
            for number, (status, body, _) in enumerate(answers, asked + 1):
                request_id = f"id-{number}"
                assert status in (200, 503)
                assert runs[request_id] == (status == 200)
                if status == 200:
                    assert body == f"answer to {request_id}".encode()
