"""Requests that are decided on before aiohttp handles them."""

import asyncio
from contextlib import suppress
from time import monotonic

import pytest

from sesameford.early_answers import EarlyHandler
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk


async def open_connection(desk):
    host, port = desk.address.split(":")
    return await asyncio.open_connection(host, int(port))


def request_bytes(desk, path, length=5, method="POST", **more):
    lines = [f"{method} {path} HTTP/1.1"]
    headers = {**desk.headers(), "Content-Length": str(length), **more}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader):
    """Return status and body of the next answer on a connection."""
    async with asyncio.timeout(2):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
        return int(head.split()[1]), await reader.readexactly(length)


async def test_a_new_connection_is_closed_after_a_refusal():
    """Open connections of refused callers would use up the connection limit."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        writer.write(request_bytes(desk, "/nowhere/") + b"notes")
        assert await read_answer(reader) == (404, b"no-route\n")
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()


async def test_a_persistent_connection_serves_after_a_refusal():
    """A refusal must not close a connection that its caller continues to use."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        for path, status in (("/safe/", 200), ("/nowhere/", 404), ("/safe/", 200)):
            writer.write(request_bytes(desk, path) + b"notes")
            assert (await read_answer(reader))[0] == status
        assert desk.runs == 2
        writer.close()


async def test_an_answer_to_head_has_no_body():
    """The body of a refused HEAD would be read as the answer to the next request."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        for method, path in (("POST", "/safe/"), ("HEAD", "/nowhere/")):
            writer.write(request_bytes(desk, path, method=method) + b"notes")
            if method == "POST":
                assert (await read_answer(reader))[0] == 200
        async with asyncio.timeout(2):
            assert b" 404 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(request_bytes(desk, "/safe/") + b"notes")
        assert (await read_answer(reader))[0] == 200
        writer.close()


async def test_a_refusal_of_a_request_with_connection_close_closes_it():
    """A caller sends ``Connection: close`` and waits until it is closed."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        writer.write(request_bytes(desk, "/safe/") + b"notes")
        assert (await read_answer(reader))[0] == 200
        last = request_bytes(desk, "/nowhere/", Connection="close")
        writer.write(last + b"notes")
        assert (await read_answer(reader))[0] == 404
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()


async def test_a_refusal_reaches_a_caller_that_still_sends():
    """The body arrives after the answer; a reset would lose the answer."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        writer.write(request_bytes(desk, "/nowhere/", 300_000))
        await writer.drain()
        writer.write(b"x" * 300_000)
        assert (await read_answer(reader))[0] == 404
        await writer.drain()
        writer.close()


async def test_a_head_in_parts_is_one_request():
    """The second half of a head must not be answered as a request of its own."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        head = request_bytes(desk, "/safe/")
        middle = head.index(b"X-Sesameford")
        hidden = b"X-Hidden: a\r\n"
        for part in (head[:middle], hidden, head[middle:], b"no", b"tes"):
            writer.write(part)
            await asyncio.sleep(0.02)
        assert (await read_answer(reader))[0] == 200
        writer.write(request_bytes(desk, "/nowhere/") + b"notes")
        assert (await read_answer(reader))[0] == 404
        assert desk.runs == 1
        writer.close()


async def test_the_rest_of_a_head_is_not_read_as_a_request():
    """The second half of a head is a valid request, which alone would be refused."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        writer.write(b"POST /safe/ HTTP/1.1\r\nX-Part: ")
        await asyncio.sleep(0.05)
        writer.write(request_bytes(desk, "/nowhere/") + b"notes")
        assert (await read_answer(reader))[0] == 200
        assert desk.runs == 1
        writer.close()


async def test_two_pipelined_requests_get_two_answers():
    """The refusal of the first of two requests must not drop the second."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        writer.write(
            request_bytes(desk, "/nowhere/")
            + b"notes"
            + request_bytes(desk, "/safe/")
            + b"notes"
        )
        assert (await read_answer(reader))[0] == 404
        assert (await read_answer(reader))[0] == 200
        writer.close()


async def test_a_request_of_a_disconnected_caller_is_not_run():
    """A caller disconnects while the loop is busy; its request must not run."""
    async with open_desk(Fault.NONE) as desk:
        for _ in range(20):
            _, writer = await open_connection(desk)
            await asyncio.sleep(0.01)
            writer.write(request_bytes(desk, "/unsafe/") + b"notes")
            writer.close()
            busy_until_seconds = monotonic() + 0.02
            while monotonic() < busy_until_seconds:
                pass
        await asyncio.sleep(0.1)
        assert desk.runs == 0


async def test_connections_lost_before_their_handlers_leave_room(monkeypatch):
    """Guards against clients who leave at once and block all others of a customer."""
    async with open_desk(Fault.NONE) as desk:
        parse_whole_head = EarlyHandler.parse_whole_head

        def parse_and_lose(handler, head):
            parse_whole_head(handler, head)
            handler.transport.abort()

        monkeypatch.setattr(EarlyHandler, "parse_whole_head", parse_and_lose)
        for _ in range(40):
            reader, writer = await open_connection(desk)
            writer.write(request_bytes(desk, "/safe/", length=9) + b"notes")
            with suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        monkeypatch.undo()
        assert desk.deps.dispatch_limit.waiting_calls == 0
        assert (await desk.ask("/safe/"))[0] == 200


async def test_a_planned_stop_closes_idle_connections():
    """A request on an idle connection that stays open would never be read."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        await asyncio.sleep(0.05)
        desk.port.stop_accepting()
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()


@pytest.mark.parametrize("is_persistent", [False, True])
async def test_a_planned_stop_answers_a_request_that_has_just_arrived(
    is_persistent, monkeypatch
):
    """A stop between the head of a request and its handler must not cut it off."""
    async with open_desk(Fault.NONE) as desk:
        reader, writer = await open_connection(desk)
        if is_persistent:
            writer.write(request_bytes(desk, "/safe/") + b"notes")
            assert (await read_answer(reader))[0] == 200
        parse_whole_head = EarlyHandler.parse_whole_head

        def parse_and_stop(handler, head):
            parse_whole_head(handler, head)
            asyncio.get_running_loop().call_soon(desk.port.stop_accepting)

        monkeypatch.setattr(EarlyHandler, "parse_whole_head", parse_and_stop)
        writer.write(request_bytes(desk, "/unsafe/") + b"notes")
        assert (await read_answer(reader))[0] == 200
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()
