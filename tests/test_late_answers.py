"""An answer to another request, in the place of the answer that a call waits for.

A server sends an extra answer late: where the answer to the next request on that
connection is expected. The id in its head shows whose it is.
"""

import asyncio

import pytest

from tests.raw_fixture import open_raw_desk, raw_head

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
