"""Answers whose heads are no heads of HTTP; no caller gets such an answer."""

import asyncio

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
STREAM = "Content-Type: text/event-stream"


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


async def check_a_safe_call_goes_on(behind):
    """Check that another server answers each call that gets this broken answer."""
    async with open_raw_desk(
        answer_bytes(behind), answer_bytes(with_status(200))
    ) as desk:
        answers = [await ask_raw(desk, "/safe/permit") for _ in range(6)]
        assert desk.raw_servers[0].calls
    for answer in answers:
        assert (answer.status, answer.body) == (200, EVENT_1)


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
    await check_a_safe_call_goes_on(behind=with_status(status))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("version", [b"HTTP/0.9", b"HTTP/2.0", b"RTSP/1.0", b"ICE/1.0"])
async def test_an_answer_of_another_protocol_is_no_answer(version, path):
    """Guards against bytes of another protocol that pass for an answer."""
    whole = with_status(200).replace(b"HTTP/1.1", version)
    async with open_raw_desk(answer_bytes(whole)) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen) == (502, Seen.WHOLE)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/unsafe/permit", "/stream/draft"])
async def test_each_status_passes_on(status, path):
    """Guards against a check that refuses what a server may answer."""
    async with open_raw_desk(answer_bytes(with_status(status))) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.body) == (int(status), EVENT_1)
    assert answer.seen is Seen.WHOLE


async def check_a_stream_is_cut_at(rest):
    """Break a stream off inside its second event, and answer its resumption so."""
    first = raw_head("ID", more=(STREAM,)) + EVENT_1 + EVENT_2[:9]

    async def breaks_off(server, request_id, writer):
        writer.write(first.replace(b"ID", request_id.encode()))
        return False

    async with open_raw_desk(breaks_off, answer_bytes(rest)) as desk:
        for _ in range(6):
            answer = await ask_raw(desk, "/stream/resumed/draft")
            if answer.body:
                break
    assert (answer.status, answer.body, answer.seen) == (200, EVENT_1, Seen.CUT)


async def test_a_stream_is_cut_if_its_rest_has_no_status():
    """Guards against a resumed answer that takes its end from a broken one."""
    await check_a_stream_is_cut_at(with_status("000"))


def answer_http(whole):
    """Return a handler of the daemon's stand-ins that sends the same bytes."""

    async def handle(http):
        http.transport.write(whole)
        http.transport.close()
        raise ConnectionResetError

    return handle


async def check_a_daemon_stores_nothing_of(whole):
    """Have a service send these bytes; neither the call nor its resend gets them."""
    headers = {**GOOD_KEY, "Idempotency-Key": "permit-1"}
    async with open_world() as world:
        await world.add_handler("broken", answer_http(whole))
        client = world.routers[0].client
        for expected_status in (502, 409):
            answer = await client.post("/services/roster/permit", headers=headers)
            assert answer.status == expected_status
            assert answer.headers["Sesameford-Outcome"] == "unknown"


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_a_daemon_stores_no_answer_without_a_status(status):
    """Guards against a broken answer that a resend of the call would get again."""
    await check_a_daemon_stores_nothing_of(with_status(status))


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


async def check_the_operators_tool_refuses(whole):
    async with (
        open_cutting_port(len(whole), whole) as url,
        open_client([url], "key", timeout_seconds=0.0, authority_file=None) as client,
    ):
        with pytest.raises(ControlError):
            await client.request("GET", "/")


@pytest.mark.parametrize("status", NO_STATUSES)
async def test_the_operators_tool_takes_no_number_that_is_no_status(status):
    """Guards against a change that an operator takes for answered."""
    whole = with_status(status, ("Content-Length: 2",))[: -len(EVENT_1)] + b"{}"
    await check_the_operators_tool_refuses(whole)


# The library's parser knows these names, and reads them by itself.
KNOWN_NAMES = (
    "Connection",
    "Content-Length",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Upgrade",
)
OTHER_NAMES = ("Content-Type", "X-Sesameford-Response-Signature", "X-Other")
VALUES = {"Content-Length": "4", "Transfer-Encoding": "chunked"}
NO_TOKENS = {
    "a blank behind": "{} ",
    "two blanks behind": "{}  ",
    "a tab behind": "{}\t",
    "a blank inside": "X {}",
    "a control byte": "X\x01{}",
    "NUL": "X\x00{}",
    "a byte above 127": "X\xe9{}",
    "a delimiter": "X({})",
}


def with_field(field, body=EVENT_1, length=LENGTH):
    """Return a whole answer that has this line in its head."""
    return raw_head("ID", more=(field, length)).decode().encode("latin-1") + body


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("pattern", NO_TOKENS.values(), ids=NO_TOKENS.keys())
@pytest.mark.parametrize("name", KNOWN_NAMES + OTHER_NAMES)
async def test_a_field_whose_name_is_no_token_is_no_answer(name, pattern, path):
    """Guards against a line that is passed on, or that frames another body."""
    field = f"{pattern.format(name)}: {VALUES.get(name, 'close')}"
    chunks = b"4\r\nevil\r\n0\r\n\r\n"
    body = chunks if name == "Transfer-Encoding" else EVENT_1
    for length in (LENGTH, "X-No-Length: 1"):
        whole = with_field(field, body, length)
        async with open_raw_desk(answer_bytes(whole)) as desk:
            answer = await ask_raw(desk, path)
        assert (answer.status, answer.seen) == (502, Seen.WHOLE)
        assert header_of(answer.head, "X-Sesameford-Response-Signature") is None


NO_FIELDS = {
    "no name": ": close",
    "no colon": "Connection",
    "a control byte in a value": "X-Other: a\x01b",
    "DEL in a value": "X-Other: a\x7fb",
    "NUL in a value": "X-Other: a\x00b",
    "a carriage return in a value": "X-Other: a\rb",
    "a control byte in a folded value": "X-Other: a\r\n b\x01",
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("field", NO_FIELDS.values(), ids=NO_FIELDS.keys())
async def test_a_line_that_is_no_field_is_no_answer(field, path):
    """Guards against a connection that ends without an answer for a broken line."""
    async with open_raw_desk(answer_bytes(with_field(field))) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen) == (502, Seen.WHOLE)


@pytest.mark.parametrize("path", PATHS)
async def test_a_blank_before_the_first_field_is_no_answer(path):
    """Guards against a first line that continues no field and is passed on as one."""
    whole = with_status(200).replace(b"X-Sesameford-Attempt", b" X-Sesameford-Attempt")
    async with open_raw_desk(answer_bytes(whole)) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen) == (502, Seen.WHOLE)


@pytest.mark.parametrize("path", PATHS)
async def test_an_interim_answer_is_checked_too(path):
    """Guards against a server in trouble that is found so only in its next answer."""
    interim = b"HTTP/1.1 103 Early Hints\r\nUpgrade : h2c\r\n\r\n"
    async with open_raw_desk(answer_bytes(interim + with_status(200))) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.seen) == (502, Seen.WHOLE)


async def test_a_safe_call_goes_on_behind_a_malformed_field():
    """Guards against a safe call that fails though another server would answer it."""
    await check_a_safe_call_goes_on(behind=with_field("Upgrade : h2c"))


async def test_a_stream_is_cut_if_the_head_of_its_rest_is_malformed():
    """Guards against events behind a head that no caller may get."""
    length = f"Content-Length : {len(EVENT_2)}"
    await check_a_stream_is_cut_at(raw_head("ID", more=(STREAM, length)) + EVENT_2)


OWN_LINE = b"X-Sesameford-Attempt-Id: ID\r\n"
OK_LINE = b"HTTP/1.1 200 OK\r\n"
LEGAL = {
    "no reason": (OK_LINE, b"HTTP/1.1 200 \r\n"),
    "no reason and no blank": (OK_LINE, b"HTTP/1.1 200\r\n"),
    "an odd reason": (OK_LINE, b"HTTP/1.1 200 \xe9\t~ :;\r\n"),
    "version 1.0": (OK_LINE, b"HTTP/1.0 200 OK\r\n"),
    "an empty line before": (OK_LINE, b"\r\n" + OK_LINE),
    "an interim answer": (OK_LINE, b"HTTP/1.1 103 A\r\nLink: a\r\n\r\n" + OK_LINE),
    "all bytes of a token": (OWN_LINE, OWN_LINE + b"x!#$%&'*+-.^_`|~9: v\r\n"),
    "a tab in a value": (OWN_LINE, OWN_LINE + b"X-Other: a\tb\r\n"),
    "an empty value": (OWN_LINE, OWN_LINE + b"X-Other:\r\n"),
    "blanks around a value": (OWN_LINE, OWN_LINE + b"X-Other: \t a \t \r\n"),
    "a value above 127": (OWN_LINE, OWN_LINE + b"X-Other: \xc3\xa9\r\n"),
    "a folded value": (OWN_LINE, OWN_LINE + b"X-Other: a\r\n b\r\n\tc\r\n"),
    "line feeds alone": (b"\r\n", b"\n"),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("part", "by"), LEGAL.values(), ids=LEGAL.keys())
async def test_a_legal_head_passes_on(part, by, path):
    """Guards against a check that refuses answers which HTTP allows."""
    whole = with_status(200).replace(part, by)
    async with open_raw_desk(answer_bytes(whole)) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.body) == (200, EVENT_1)
    assert answer.seen is Seen.WHOLE
    assert header_of(answer.head, "X-Sesameford-Response-Signature")


@pytest.mark.parametrize("path", PATHS)
async def test_a_head_that_comes_byte_by_byte_passes_on(path):
    """Guards against pieces of a head that are counted or checked as heads."""
    whole = with_status(200)

    async def answer_slowly(server, request_id, writer):
        for byte in whole.replace(b"ID", request_id.encode()):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0.002)
        return True

    async with open_raw_desk(answer_slowly) as desk:
        answer = await ask_raw(desk, path)
    assert (answer.status, answer.body) == (200, EVENT_1)


@pytest.mark.parametrize(
    ("field", "length"),
    [
        ("Content-Length : 4", "X-No-Length: 1"),
        ("Connection : close", LENGTH),
        ("X Other: a", LENGTH),
    ],
)
async def test_a_daemon_stores_no_answer_with_a_malformed_field(field, length):
    """Guards against a broken answer that a resend of the call would get again."""
    await check_a_daemon_stores_nothing_of(with_field(field, length=length))


@pytest.mark.parametrize("name", KNOWN_NAMES)
async def test_the_operators_tool_takes_no_malformed_field(name):
    """Guards against a change that an operator takes for answered."""
    whole = raw_head("a", more=(f"{name} : 2", "Content-Length: 2")) + b"{}"
    await check_the_operators_tool_refuses(whole)
