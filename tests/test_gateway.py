"""Callers, a router and faulty servers, over real sockets."""

import asyncio
import logging
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic, sleep

import pytest
from aiohttp import ClientPayloadError

from sesameford.effective import HttpRouteSettings
from sesameford.gateway.dispatch_limit import MAX_WAITING_CALLS
from sesameford.gateway.overload_checks import (
    OTHER_INSTANCE_RETRY_PART,
    OTHER_INSTANCE_RETRY_SECONDS,
)
from sesameford.guard_limits import GuardLimits
from sesameford.load_messages import ShareRow
from sesameford.operators_http import digest_of_key
from sesameford.tree import effective_tree, parse_tree
from standins.platform_server import Fault, make_event
from tests.gateway_fixture import KEY, TREE, open_desk


async def test_a_call_reaches_a_server_as_it_was_sent():
    async with open_desk(Fault.NONE) as desk:
        path = "/unsafe/a%2Fb/?q=%20x&y"
        status, body, headers = await desk.ask(path, Accept="text/plain")
        assert (status, body) == (200, b"answer to notes")
        assert headers["X-Sesameford-Response-Signature"] == "signed-id-1"
        seen = desk.servers[0].received_calls[0]
        assert (seen.method, seen.target, seen.body) == ("POST", path, b"notes")
        assert seen.headers["accept"] == "text/plain"
        assert seen.headers["x-sesameford-tenant"] == "club"
        assert "authorization" not in seen.headers
        assert 0 < int(seen.headers["x-sesameford-deadline-ms"]) <= 2000


async def test_headers_reserved_for_the_system_are_not_forwarded():
    """A caller's headers name another customer and another request's cache.

    If they were forwarded, the other customer would be charged for the work.
    """
    async with open_desk(Fault.NONE) as desk:
        forged = {
            "X-Sesameford-Tenant": "rival",
            "Kv-From": "10.0.0.1:1/h",
            "Kv-Fetch": "10.0.0.1:1",
        }
        await desk.ask("/unsafe/", **forged, **{"X-Sesameford-Hold": "h"})
        headers = desk.servers[0].received_calls[0].headers
        assert headers["x-sesameford-tenant"] == "club"
        assert "kv-from" not in headers
        assert "kv-fetch" not in headers
        assert "x-sesameford-hold" not in headers


async def test_unknown_routes_and_keys_are_refused():
    async with open_desk(Fault.NONE) as desk:
        assert (await desk.ask("/nowhere/"))[0] == 404
        assert (await desk.ask("/unsafe/", Authorization="Bearer other"))[0] == 401
        assert (await desk.ask("/open/", Authorization="Bearer other"))[0] == 200
        assert desk.runs == 1


async def test_a_duplicate_answer_does_not_reach_the_next_caller():
    """A server answers a call twice on one connection.

    The next call on that connection must not get the second answer, which belongs to
    another caller.
    """
    async with open_desk(Fault.TWICE) as desk:
        for number in range(6):
            body = b"notes %d" % number
            status, answer, headers = await desk.ask("/unsafe/", body=body)
            assert (status, answer) == (200, b"answer to " + body)
            assert headers["X-Sesameford-Attempt-Id"] == f"id-{number + 1}"
            await asyncio.sleep(0.05)


async def test_an_answer_without_a_length_ends_with_its_connection():
    async with open_desk(Fault.UNFRAMED) as desk:
        assert (await desk.ask("/unsafe/"))[:2] == (200, b"answer to notes")


async def test_an_answer_without_a_length_that_is_reset_counts_as_lost():
    """A server resets the connection inside an answer that has no length.

    The caller must not get half of it, framed as if it were complete. The call may have
    run, so it is neither sent again nor reported as not run.
    """
    async with open_desk(Fault.UNFRAMED_RESET) as desk:
        assert (await desk.ask("/unsafe/"))[0] == 502
        assert desk.runs == 1


@pytest.mark.parametrize("fault", [Fault.CLOSE, Fault.SILENT])
async def test_a_call_that_may_have_run_is_not_sent_again(fault):
    """A server accepts a call that may run only once, and its answer is lost.

    Sent to a second server the call would run twice. If it were reported as not run,
    the caller would send it again, which means two mailings.
    """
    async with open_desk(fault, fault) as desk:
        status = (await desk.ask("/unsafe/"))[0]
        assert status in (502, 504)
        assert desk.runs == 1


async def test_a_repeatable_call_goes_to_a_second_server():
    """A server closes without an answer; the caller of a lookup notices nothing."""
    async with open_desk(Fault.CLOSE, Fault.NONE) as desk:
        for _ in range(4):
            assert (await desk.ask("/safe/"))[0] == 200


async def test_a_failed_repeatable_call_is_retried_once_and_then_reported():
    async with open_desk(Fault.ERROR, Fault.ERROR) as desk:
        status, _, headers = await desk.ask("/safe/")
        assert status == 500
        assert headers["X-Sesameford-Response-Signature"] == "signed-id-1"
        assert desk.runs == 2


async def test_a_call_that_no_server_ran_is_reported_as_not_run():
    """All servers answer that they are full; the caller may send the call again."""
    async with open_desk(Fault.SHED) as desk:
        status, _, headers = await desk.ask("/unsafe/")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert desk.runs == 0


async def test_a_server_whose_port_is_closed_is_skipped():
    """A server died. Nothing was sent, so the call goes to another one."""
    async with open_desk(Fault.NONE, Fault.NONE) as desk:
        await desk.servers[0].stop()
        for _ in range(4):
            assert (await desk.ask("/open/"))[0] in (200, 503)
        assert desk.servers[1].runs.total() > 0


async def test_a_failed_connect_uses_up_no_attempt():
    """Two of three servers died, and the call may be sent to one server only.

    If the router gave up after the first closed port, the call would be refused
    although one server is healthy.
    """
    async with open_desk(Fault.NONE, Fault.NONE, Fault.NONE) as desk:
        await desk.servers[0].stop()
        await desk.servers[1].stop()
        for _ in range(4):
            assert (await desk.ask("/unsafe/"))[0] == 200
        assert desk.servers[2].runs.total() == 4


async def test_idle_connections_of_callers_are_closed_after_the_set_time():
    """Callers leave connections open; each holds a descriptor and its buffers."""
    async with open_desk(Fault.NONE) as desk:
        desk.port.set_idle_seconds(0.1)
        host, port = desk.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /safe/ HTTP/1.1\r\nHost: desk.example\r\n"
            b"X-Sesameford-Attempt-Id: x\r\nAuthorization: Bearer the-clubs-key\r\n\r\n"
        )
        async with asyncio.timeout(2):
            assert (await reader.read()).endswith(b"answer to ")
        writer.close()


async def test_another_server_at_an_address_runs_no_call():
    """An address now belongs to another server, which rejects the call."""
    async with open_desk(Fault.NONE) as desk:
        desk.servers[0].target_id = "another"
        assert (await desk.ask("/unsafe/"))[0] == 503
        assert desk.runs == 0


async def test_a_stream_is_forwarded_completely():
    async with open_desk(Fault.NONE) as desk:
        status, body, _ = await desk.ask("/stream/")
        assert status == 200
        assert body.count(b"id: ") == 3


async def test_a_resumable_stream_continues_at_another_server():
    """A server dies in the middle of an event.

    The caller must read each event once, in order and complete.
    """
    async with open_desk(Fault.CUT_STREAM, Fault.NONE) as desk:
        for _ in range(2):
            _, body, _ = await desk.ask("/stream/resumed/")
            assert body == b"".join(make_event(number, "v1") for number in (1, 2, 3))


async def test_a_stream_that_breaks_off_does_not_look_complete(caplog):
    """A server dies inside a stream that can't be resumed.

    If the stream ended normally, the caller would use half of a letter as the whole.
    """
    async with open_desk(Fault.CUT_STREAM) as desk:
        with pytest.raises(ClientPayloadError):
            await desk.ask("/stream/")
        assert desk.runs == 1
        line = next(one for one in caplog.records if one.message == "cut")
        assert (line.request, line.status, line.levelname) == ("id-1", 200, "WARNING")


async def test_a_stream_without_a_second_target_breaks_off():
    """A server dies inside a resumable stream, and there is no other.

    An error answer after the first events would be read as a part of the stream.
    """
    async with open_desk(Fault.CUT_STREAM) as desk:
        host, port = desk.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["POST /stream/resumed/ HTTP/1.1", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in desk.headers().items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        answer = b""
        async with asyncio.timeout(2):
            while data := await reader.read(1000):
                answer += data
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"HTTP/1.1") == 1
        assert make_event(1, "v1") in answer
        assert not answer.endswith(b"0\r\n\r\n")
        writer.close()


async def test_a_caller_who_leaves_frees_the_server():
    """A caller gives up before the answer; the server's connection is closed."""
    async with open_desk(Fault.SILENT) as desk:
        asking = asyncio.create_task(desk.ask("/unsafe/"))
        async with asyncio.timeout(2):
            while not desk.runs:
                await asyncio.sleep(0.01)
            asking.cancel()
            while not desk.servers[0].peer_disconnects:
                await asyncio.sleep(0.01)


async def test_the_timeout_of_a_route_ends_a_call():
    """A server never answers; the caller gets an error after the route's timeout."""
    async with open_desk(Fault.SILENT) as desk:
        started = asyncio.get_running_loop().time()
        assert (await desk.ask("/short/"))[0] == 504
        assert asyncio.get_running_loop().time() - started < 1.0


async def test_connections_to_servers_are_reused():
    async with open_desk(Fault.NONE) as desk:
        for _ in range(5):
            await desk.ask("/unsafe/")
        assert desk.servers[0].connections == 1


async def test_a_planned_stop_ends_idle_connections():
    """A router stops while a client keeps a connection open to send again on it.

    A request on a connection that is no longer read would wait until the process ends
    and then be lost. If the connection is closed at once, the client uses another
    router.
    """
    async with open_desk(Fault.NONE) as desk:
        host, port = desk.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /safe/ HTTP/1.1\r\nHost: desk.example\r\n"
            b"X-Sesameford-Attempt-Id: x\r\nAuthorization: Bearer the-clubs-key\r\n\r\n"
        )
        assert b"200" in await reader.readuntil(b"\r\n\r\n")
        desk.port.stop_accepting()
        async with asyncio.timeout(1):
            rest = await reader.read()
        assert rest == b"answer to "
        writer.close()


def is_retry_elsewhere(headers):
    """Return whether a caller is to try another router within its objective."""
    spread_seconds = (
        OTHER_INSTANCE_RETRY_PART * HttpRouteSettings("r").objective_seconds
    )
    retry_seconds = float(headers["Retry-After"]) - OTHER_INSTANCE_RETRY_SECONDS
    return 0.0 <= retry_seconds <= spread_seconds


async def test_a_router_whose_loop_is_late_forwards_no_call():
    """One caller overloads an instance, whose loop takes half a second for a turn.

    Requests lie unread until their callers have left. If they were forwarded, servers
    would work for callers that have left, and all others would wait for that too.
    """
    async with open_desk(Fault.NONE) as desk:
        desk.deps.lag.record_run(0.0, monotonic() - 1.0)
        desk.deps.lag.record_run(60.0, monotonic())
        status, _, headers = await desk.ask("/safe/")
        assert status == 503
        assert is_retry_elsewhere(headers)
        assert desk.runs == 0
        for _ in range(5):
            desk.deps.lag.due_at_seconds = monotonic()
            desk.deps.lag.record_run(60.0, monotonic())
        assert (await desk.ask("/safe/"))[0] == 200


FLOOD_KEY = "the-floods-key"
FLOODED_TREE = TREE.replace(
    "{children: {club:",
    f"{{children: {{flood: {{key_digests: [{digest_of_key(FLOOD_KEY)}]}}, club:",
)


async def test_overload_by_one_customer_refuses_others_with_a_short_delay(caplog):
    """All callers of one customer use one instance and keep it busy.

    Other customers' callers there were refused with a Retry-After of a second, which is
    longer than most can wait, while two hundred instances had spare capacity.
    """
    caplog.set_level(logging.WARNING)
    tree = effective_tree(parse_tree(FLOODED_TREE, "t"), 1)
    async with open_desk(Fault.NONE, tree=tree) as desk:
        flood = tree.customer_ids_by_digest[digest_of_key(FLOOD_KEY)]
        desk.deps.gate.set_fractions((ShareRow(flood, 0.1),))
        desk.deps.lag.record_run(0.0, monotonic() - 1.0)
        desk.deps.lag.record_run(60.0, monotonic())
        status, _, headers = await desk.ask("/safe/")
        assert status == 503
        assert is_retry_elsewhere(headers)
        key = {"Authorization": f"Bearer {FLOOD_KEY}"}
        status, _, headers = await desk.ask("/safe/", **key)
        assert status == 503
        assert is_retry_elsewhere(headers)
        assert desk.runs == 0
    customers = [one.customer for one in caplog.records if one.message == "refused"]
    assert customers == [tree.customer_ids_by_digest[digest_of_key(KEY)], flood]


FLOOD_PROMPT = {
    "X-Sesameford-Model": "m",
    "X-Sesameford-Token-Usage": "1460,80",
    "Authorization": f"Bearer {FLOOD_KEY}",
}


@asynccontextmanager
async def open_flooded_desk(fraction, late_seconds):
    """Open a desk before engines whose loop one limited customer keeps late."""
    tree = effective_tree(
        parse_tree(FLOODED_TREE.replace("pool: {}", "pool: {batch_slots: 8}"), "t"), 1
    )
    async with open_desk(Fault.NONE, tree=tree) as desk:
        flood = tree.customer_ids_by_digest[digest_of_key(FLOOD_KEY)]
        desk.deps.gate.set_fractions((ShareRow(flood, fraction),))
        desk.deps.lag.late_seconds = late_seconds
        yield desk


@pytest.mark.parametrize(("late_seconds", "served"), [(0.06, 10), (0.5, 10), (0.8, 0)])
async def test_an_overloaded_router_serves_the_share_of_the_overloading_customer(
    late_seconds, served
):
    """All callers of one customer use one instance and keep its loop late.

    The callers of other customers use seventy instances. When the customer was refused
    completely during the overload, it got less than half of what each other one got.
    """
    async with open_flooded_desk(0.25, late_seconds) as desk:
        answers = [await desk.ask("/stream/", **FLOOD_PROMPT) for _ in range(40)]
    statuses = [status for status, _, _ in answers]
    assert abs(statuses.count(200) - served) <= 1
    assert statuses.count(503) == 40 - statuses.count(200)


@pytest.mark.parametrize(("late_seconds", "unread_seconds"), [(0.0, 0.0), (0.3, 0.6)])
async def test_the_time_that_a_call_lay_unread_counts_against_its_deadline(
    late_seconds, unread_seconds
):
    """A call waits to be read while its router's loop is late, and its caller waits.

    Calls were sent on after their callers had left, and targets worked for nobody.
    """
    async with open_flooded_desk(1.0, late_seconds) as desk:
        deadline = {"X-Sesameford-Deadline-Ms": "2000"}
        assert (await desk.ask("/stream/", **FLOOD_PROMPT, **deadline))[0] == 200
        headers = desk.servers[0].received_calls[0].headers
    left_seconds = int(headers["x-sesameford-deadline-ms"]) / 1000
    assert 1.9 - unread_seconds < left_seconds <= 2.0 - unread_seconds


async def test_answers_late_because_of_a_refusal_do_not_count_as_late():
    """Guards against refusals that make answers late, and so cause more refusals.

    The caller was refused 1.2 s before, and its objective is one second.
    """
    async with open_flooded_desk(1.0, 0.0) as desk:
        timeliness = desk.deps.gate.timeliness
        for timeout_milliseconds in (3_000, 1_800):
            timeliness.late_answers(monotonic())
            deadline = {"X-Sesameford-Deadline-Ms": str(timeout_milliseconds)}
            assert (await desk.ask("/stream/", **FLOOD_PROMPT, **deadline))[0] == 200
        assert timeliness.late_answers(monotonic()) == 0.0


async def test_what_a_caller_waited_before_it_returned_is_logged(caplog):
    caplog.set_level(logging.INFO)
    async with open_flooded_desk(1.0, 0.0) as desk:
        for timeout_milliseconds in (3_000, 1_800):
            deadline = {"X-Sesameford-Deadline-Ms": str(timeout_milliseconds)}
            assert (await desk.ask("/stream/", **FLOOD_PROMPT, **deadline))[0] == 200
    ends = [one for one in caplog.records if one.message == "answered"]
    assert [one.waited_seconds for one in ends] == [0.0, 1.2]


@pytest.mark.parametrize("is_limited", [True, False])
async def test_a_clump_of_one_customer_leaves_room_for_others(is_limited):
    """Guards against a flood at one router that delays all of its callers.

    A hundred calls of one customer arrive within one turn of the loop, and then one of
    another customer.
    """
    settings = f"fleet: {{dispatch_limit: {str(is_limited).lower()}}}\n"
    tree = effective_tree(parse_tree(settings + FLOODED_TREE, "t"), 1)
    async with open_desk(Fault.NONE, tree=tree) as desk:
        flood_key = {"Authorization": f"Bearer {FLOOD_KEY}"}
        flood = [desk.ask("/unsafe/", **flood_key) for _ in range(100)]
        *statuses, other = await asyncio.gather(*flood, desk.ask("/unsafe/"))
        served = sum(status == 200 for status, _, _ in statuses)
        assert other[0] == 200
        assert served >= (MAX_WAITING_CALLS / 2 if is_limited else len(flood))
        assert desk.runs == served + 1
        assert all(
            is_retry_elsewhere(headers)
            for status, _, headers in statuses
            if status == 503
        )


@pytest.mark.parametrize(
    ("fault", "path", "failed"),
    [
        (Fault.NONE, "/unsafe/", 0),
        (Fault.ERROR, "/unsafe/", 1),
        (Fault.CLOSE, "/unsafe/", 1),
        (Fault.SILENT, "/unsafe/", 1),
        (Fault.SHED, "/unsafe/", 0),
    ],
)
async def test_a_failure_of_a_server_is_counted_once(fault, path, failed):
    """A server fails calls that it ran, or its answers are lost.

    If routers did not count that, it would look idle and get more calls than others. A
    server that reports a call as not run is only full.
    """
    async with open_desk(fault) as desk:
        await desk.ask(path)
        outcomes = desk.deps.placement.reports.flush_outcomes()
    assert sum(one.failed for one in outcomes) == failed
    assert sum(one.answered for one in outcomes) == (fault is Fault.NONE)


async def test_a_call_is_withheld_if_its_time_ends_before_it_is_written():
    """Guards against work for a caller that left while its router was late."""
    async with open_desk(Fault.NONE) as desk:
        assert (await desk.ask("/unsafe/"))[0] == 200
        adapter = desk.deps.wire_adapter

        def block_loop(call, attempt):
            sleep(0.15)
            return adapter.sent_headers(call, attempt)

        slow_adapter = replace(adapter, sent_headers=block_loop)
        sender = replace(desk.deps.sender, wire_adapter=slow_adapter)
        object.__setattr__(desk.deps, "sender", sender)
        deadline = {"X-Sesameford-Deadline-Ms": "100"}
        assert (await desk.ask("/unsafe/", **deadline))[0] == 504
        assert desk.runs == 1


async def test_a_target_gets_the_time_that_is_left_as_a_call_is_written():
    """Guards against work for callers that have left, after slow connects."""
    async with open_desk(Fault.NONE) as desk:
        adapter = desk.deps.wire_adapter

        def block_loop(call, attempt):
            headers = adapter.sent_headers(call, attempt)
            sleep(0.7)
            return headers

        slow_adapter = replace(adapter, sent_headers=block_loop)
        sender = replace(desk.deps.sender, wire_adapter=slow_adapter)
        object.__setattr__(desk.deps, "sender", sender)
        deadline = {"X-Sesameford-Deadline-Ms": "2000"}
        assert (await desk.ask("/unsafe/", **deadline))[0] == 200
        (seen,) = desk.servers[0].received_calls
    assert 0 < int(seen.headers["x-sesameford-deadline-ms"]) <= 1300


async def test_a_call_without_time_left_releases_its_reservation():
    """A caller's timeout ends while its call waits to be sent.

    The reservation at the chosen server was never released: after some days of such
    calls the server would look full, and its silence would not be noticed.
    """
    async with open_desk(Fault.NONE) as desk:
        status, _, _ = await desk.ask("/unsafe/", **{"X-Sesameford-Deadline-Ms": "5"})
        assert status == 504
        assert desk.runs == 0
        assert desk.deps.placement.reports.loads(monotonic()) == ()


async def ask_on_a_new_connection(desk, path):
    """Send a request on a new connection, and leave the connection open."""
    host, port = desk.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"GET {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in desk.headers().items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return await reader.read(300), writer


async def test_refused_callers_do_not_use_up_all_connections():
    """A caller retries on a new connection each time and keeps the old ones open.

    Once the router's connection limit is reached, all callers would be disconnected
    without an answer, though the router is idle.
    """
    limits = GuardLimits(connections=20, per_address=20)
    async with open_desk(Fault.NONE, limits=limits) as desk:
        writers = []
        for _ in range(60):
            answer, writer = await ask_on_a_new_connection(desk, "/nowhere/")
            assert answer.startswith(b"HTTP/1.1 404")
            writers.append(writer)
        assert (await desk.ask("/unsafe/"))[0] == 200
        for writer in writers:
            writer.close()


@pytest.mark.parametrize(
    ("fault", "path", "reason"),
    [
        (Fault.CLOSE, "/unsafe/x", "lost"),
        (Fault.ERROR, "/unsafe/x", "status-500"),
        (Fault.SILENT, "/short/x", "timeout"),
        (Fault.SHED, "/unsafe/x", "not-run"),
    ],
)
async def test_an_admitted_call_that_no_engine_began_is_counted_with_its_reason(
    fault, path, reason
):
    """A customer is let in by its share, and its calls fail before they begin."""
    async with open_desk(fault) as desk:
        await desk.ask(path, **{"X-Sesameford-Token-Usage": "900,100"})
        account = desk.deps.gate.account
        assert account.lost.format_sums() == f"club/{reason}:1:1.0"
        assert account.refused.format_sums() == ""
