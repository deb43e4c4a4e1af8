"""Callers at a listener that can't read all of their calls in time."""

import asyncio
import socket
import time

import pytest

from sesameford.listener import (
    MAX_KEPT_WAITING,
    MAX_OPENED_PER_TURN,
    MAX_WAIT_SECONDS,
    make_accept_backlog,
    make_listener,
)
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk
from tests.raw_fixture import header_of

CALLS = 600
ANSWER = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class Reader(asyncio.Protocol):
    """Counts what it reads; each connection takes the loop some time."""

    def __init__(self, seen):
        self._seen = seen

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._seen.append(int(data))
        self._transport.close()


async def test_a_flood_that_never_ends_is_not_taken_for_callers_that_waited_so_long():
    """Guards against a share that is refused as unread for as long as a flood lasts."""
    backlog = make_accept_backlog(1024)
    waits = []

    class Waited(asyncio.Protocol):
        def connection_made(self, transport):
            transport.abort()

    def make_protocol():
        waits.append(backlog.opened_wait_seconds)
        # Opening takes as long as connections take to come.
        time.sleep(0.002)
        return Waited()

    listener = make_listener(
        make_protocol, "127.0.0.1", 0, None, 1024, backlog, lambda connection: False
    )
    address = listener.sockets[0].getsockname()
    callers = [open_caller(address) for _ in range(150)]
    until_seconds = time.monotonic() + 1.5
    while time.monotonic() < until_seconds:
        callers += [open_caller(address) for _ in range(40)]
        await asyncio.sleep(0)
    listener.close()
    for caller in callers:
        caller.close()
    newest = sorted(waits)[: len(waits) // 2]
    assert max(newest) < MAX_WAIT_SECONDS


def open_caller(address):
    caller = socket.socket()
    caller.setblocking(False)
    caller.connect_ex(address)
    return caller


async def test_the_newest_callers_are_read_first_and_the_others_answered():
    """Guards against a late router that reads only callers who have left."""
    seen, shed = [], []

    def shed_one(connection):
        shed.append(int(connection.recv(100)))
        connection.send(ANSWER)
        connection.close()
        return True

    listener = make_listener(
        lambda: Reader(seen), "127.0.0.1", 0, None, 1024, None, shed_one
    )
    address = listener.sockets[0].getsockname()
    callers = []
    for number in range(250):
        caller = socket.create_connection(address)
        caller.sendall(b"%d" % number)
        callers.append(caller)
    for _ in range(40):
        await asyncio.sleep(0.005)
    listener.close()
    for caller in callers:
        caller.close()
    assert sorted(seen + shed) == list(range(250))
    assert len(shed) == 250 - MAX_OPENED_PER_TURN - MAX_KEPT_WAITING
    assert max(shed) < min(set(range(250)) - set(shed))
    assert min(seen[:MAX_OPENED_PER_TURN]) >= 250 - MAX_OPENED_PER_TURN


BODY = b"notes"
REQUESTS = {
    "whole": (b"POST /unsafe/ HTTP/1.1\r\n%b\r\n\r\n" + BODY, True),
    "without a body": (b"GET /safe/ HTTP/1.1\r\n%b\r\n\r\n", True),
    "no end of the head": (b"POST /unsafe/ HTTP/1.1\r\n%b\r\n", False),
    "no end of the body": (b"POST /unsafe/ HTTP/1.1\r\n%b\r\n\r\nno", False),
    "more than one": (b"POST /unsafe/ HTTP/1.1\r\n%b\r\n\r\n" + 2 * BODY, False),
    "head": (b"HEAD /safe/ HTTP/1.1\r\n%b\r\n\r\n", False),
    "chunked": (
        b"POST /unsafe/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%b\r\n\r\n0\r\n\r\n",
        False,
    ),
    "nothing": (b"", False),
}


@pytest.mark.parametrize("case", REQUESTS, ids=str)
async def test_only_a_whole_request_is_shed_with_a_whole_answer(case):
    """Guards against a call that is answered before its caller has sent it."""
    request, is_whole = REQUESTS[case]
    headers = b"X-Sesameford-Attempt-Id: id-7"
    if "body" in case or case in ("whole", "more than one", "no end of the head"):
        length = 0 if case == "without a body" else len(BODY)
        headers += b"\r\ncontent-length: %d" % length
    async with open_desk(Fault.NONE) as desk:
        shed = desk.port.server._shed
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.sendall(request.replace(b"%b", headers))
        assert shed(ours) == is_whole
        if not is_whole:
            # Nothing of it is read, so the connection can be opened.
            assert case == "nothing" or ours.recv(10)
            return
        head, _, body = theirs.recv(4096).decode().partition("\r\n\r\n")
        assert head.startswith("HTTP/1.1 503 ")
        assert header_of(head, "X-Sesameford-Attempt-Id") == "id-7"
        assert header_of(head, "Connection") == "close"
        assert 0.0 < float(header_of(head, "Retry-After")) < 1.0
        assert len(body) == int(header_of(head, "Content-Length"))
        assert theirs.recv(10) == b""
        assert desk.runs == 0
