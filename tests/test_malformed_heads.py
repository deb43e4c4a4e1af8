"""Answers whose heads are no heads of HTTP; no caller gets such an answer."""

import pytest

from sesameford.control_client import ControlError, open_client
from sesameford.errors import TargetLostError
from sesameford.http_ports import make_session
from sesameford.model_adapter import send_request
from tests.faults_fixture import GOOD_KEY, open_world
from tests.raw_fixture import (
    Seen,
    ask_raw,
    header_of,
    open_raw_desk,
    raw_head,
)
from tests.test_broken_answers import EVENT_1, EVENT_2
from tests.test_cut_heads import open_cutting_port

PATHS = ("/unsafe/permit", "/safe/permit", "/stream/draft", "/stream/resumed/draft")
LENGTH = f"Content-Length: {len(EVENT_1)}"


def answer_bytes(whole):
    """Return the answer function that sends the same bytes, with the call's id."""

    async def answer(server, request_id, writer):
        writer.write(whole.replace(b"ID", request_id.encode()))
        return True

    return answer


def with_status(status, fields=(LENGTH,)):
    """Return a whole answer, framed by its length, whose status is this text."""
    head = raw_head("ID", more=fields).replace(b" 200 ", f" {status} ".encode())
    return head + EVENT_1


# 101 would be the end of HTTP on a connection, and no router asks for that.
NO_STATUSES = ("000", "001", "099", "101", "600", "999")
STATUSES = ("200", "203", "299", "404", "500", "599")


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", NO_STATUSES)
async def test_a_number_that_is_no_status_is_no_answer(status, path):
    """Guards against a server in trouble whose 000 reaches a caller as a status."""
    async with open_raw_desk(answer_bytes(with_status(status))) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen) == (502, Seen.WHOLE)
    assert header_of(answer.head, "X-Sesameford-Response-Signature") is None


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_a_safe_call_goes_on_behind_a_number_that_is_no_status(status):
    """Guards against a safe call that fails though another server would answer it."""
    async with open_raw_desk(
        answer_bytes(with_status(status)), answer_bytes(with_status(200))
    ) as desk:
        answers = [await ask_raw(desk, "/safe/permit") for _ in range(6)]
        assert desk.raw_servers[0].calls
    for answer in answers:
        assert (answer.status, answer.body) == (200, EVENT_1)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/unsafe/permit", "/stream/draft"])
async def test_each_status_passes_on(status, path):
    """Guards against a check that refuses what a server may answer."""
    async with open_raw_desk(answer_bytes(with_status(status))) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.body) == (int(status), EVENT_1)
    assert answer.seen is Seen.WHOLE


async def test_a_stream_is_cut_if_its_rest_has_no_status():
    """Guards against a resumed answer that takes its end from a broken one."""
    first = raw_head("ID", more=("Content-Type: text/event-stream",)) + EVENT_1

    async def breaks_off(server, request_id, writer):
        writer.write(first.replace(b"ID", request_id.encode()) + EVENT_2[:9])
        return False

    broken = answer_bytes(with_status("000"))
    async with open_raw_desk(breaks_off, broken) as desk:
        for _ in range(6):
            answer = await ask_raw(desk, "/stream/resumed/draft")
            if answer.body:
                break
    assert (answer.status, answer.body, answer.seen) == (200, EVENT_1, Seen.CUT)


def answer_http(whole):
    """Return a handler of the daemon's stand-ins that sends the same bytes."""

    async def handle(http):
        http.transport.write(whole)
        http.transport.close()
        raise ConnectionResetError

    return handle


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_a_daemon_stores_no_answer_without_a_status(status):
    """Guards against a broken answer that a resend of the call would get again."""
    handler = answer_http(with_status(status))
    headers = {**GOOD_KEY, "Idempotency-Key": "permit-1"}
    async with open_world() as world:
        await world.add_handler("broken", handler)
        client = world.routers[0].client
        for expected_status in (502, 409):
            answer = await client.post("/services/roster/permit", headers=headers)
            assert answer.status == expected_status
            assert answer.headers["Sesameford-Outcome"] == "unknown"


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_adapters_of_the_daemon_take_no_number_that_is_no_status(status):
    """Guards against an attempt that counts as answered by a server in trouble."""
    whole = with_status(status)
    async with (
        make_session(None) as session,
        open_cutting_port(len(whole), whole) as url,
    ):
        with pytest.raises(TargetLostError):
            await send_request(session, "POST", url, b"notes", {})


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_the_operators_tool_takes_no_number_that_is_no_status(status):
    """Guards against a change that an operator takes for answered."""
    whole = with_status(status, ("Content-Length: 2",))[: -len(EVENT_1)] + b"{}"
    async with (
        open_cutting_port(len(whole), whole) as url,
        open_client([url], "key", timeout_seconds=0.0, authority_file=None) as client,
    ):
        with pytest.raises(ControlError):
            await client.request("GET", "/")
