"""Callers, a router and servers that misbehave, over real sockets."""

import asyncio
import logging
from time import monotonic

import pytest
from aiohttp import ClientPayloadError

from sesameford.connection_guard import GuardLimits
from sesameford.gateway.admit import ELSEWHERE_RETRY_SECONDS, OVERLOADED_RETRY_SECONDS
from sesameford.load_messages import ShareRow
from sesameford.operators_http import digest_of_key
from sesameford.tree import effective_tree, parse_tree
from standins.platform_server import Fault
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


async def test_what_only_the_system_may_set_is_not_taken_from_a_caller():
    """A caller claims to be another customer and to hold another request's memory.

    Passed on, the rival would be charged for the work.
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


async def test_an_answer_that_comes_twice_reaches_nobody_else():
    """A server answers a call twice on one connection.

    Without care the next caller on that connection gets the second answer, which
    belongs to somebody else.
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


async def test_an_answer_without_a_length_that_is_reset_is_not_whole():
    """A server breaks off in an answer that has no length.

    The caller would get half of it, framed as if it were complete. The call may have
    run, so it is not sent again and not said not to have run.
    """
    async with open_desk(Fault.UNFRAMED_RESET) as desk:
        assert (await desk.ask("/unsafe/"))[0] == 502
        assert desk.runs == 1


@pytest.mark.parametrize("fault", [Fault.CLOSE, Fault.SILENT])
async def test_a_call_that_may_have_run_is_not_sent_again(fault):
    """A server takes a call that may run once, and its answer is lost.

    Sent to a second server it would run twice, and told "not run" the caller would
    send it again himself: two mailings.
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


async def test_a_failure_of_a_repeatable_call_is_tried_once_more_and_then_told():
    async with open_desk(Fault.ERROR, Fault.ERROR) as desk:
        status, _, headers = await desk.ask("/safe/")
        assert status == 500
        assert headers["X-Sesameford-Response-Signature"] == "signed-id-1"
        assert desk.runs == 2


async def test_a_call_that_a_server_did_not_run_is_said_not_to_have_run():
    """All servers are full and say so; the caller may send the call again."""
    async with open_desk(Fault.SHED) as desk:
        status, _, headers = await desk.ask("/unsafe/")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert desk.runs == 0


async def test_a_port_that_nobody_listens_on_is_passed_over():
    """A server died without a word. Nothing was sent, so the call goes elsewhere."""
    async with open_desk(Fault.NONE, Fault.NONE) as desk:
        await desk.servers[0].stop()
        for _ in range(4):
            assert (await desk.ask("/open/"))[0] in (200, 503)
        assert desk.servers[1].runs.total() > 0


async def test_a_call_that_never_left_has_had_none_of_its_attempts():
    """Two of three servers died, and the call may be sent to one server only.

    Given up after the first port without a listener, the call would be refused
    although a server is well.
    """
    async with open_desk(Fault.NONE, Fault.NONE, Fault.NONE) as desk:
        await desk.servers[0].stop()
        await desk.servers[1].stop()
        for _ in range(4):
            assert (await desk.ask("/unsafe/"))[0] == 200
        assert desk.servers[2].runs.total() == 4


async def test_idle_connections_of_callers_end_with_the_setting():
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


async def test_another_server_at_the_address_runs_nothing():
    """An address was given to another server; it says so and the call is not run."""
    async with open_desk(Fault.NONE) as desk:
        desk.servers[0].target_id = "another"
        assert (await desk.ask("/unsafe/"))[0] == 503
        assert desk.runs == 0


async def test_a_stream_is_passed_on_whole():
    async with open_desk(Fault.NONE) as desk:
        status, body, _ = await desk.ask("/stream/")
        assert status == 200
        assert body.count(b"id: ") == 3


async def test_a_resumable_stream_goes_on_at_another_server():
    """A server dies in the middle of an event.

    The caller reads each event once and in order, and no half of one.
    """
    async with open_desk(Fault.CUT_STREAM, Fault.NONE) as desk:
        for _ in range(2):
            _, body, _ = await desk.ask("/stream/resumed/")
            assert body == b"".join(b"id: %d\ndata: word\n\n" % n for n in (1, 2, 3))


async def test_a_stream_that_breaks_off_does_not_look_complete(caplog):
    """A server dies inside a stream that can't be resumed.

    Ended in order, the half of a letter would be printed as the whole of it.
    """
    async with open_desk(Fault.CUT_STREAM) as desk:
        with pytest.raises(ClientPayloadError):
            await desk.ask("/stream/")
        assert desk.runs == 1
        line = next(one for one in caplog.records if one.message == "cut")
        assert (line.request, line.status, line.levelname) == ("id-1", 200, "WARNING")


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


async def test_a_route_s_time_ends_a_call():
    """A server never answers; the caller hears so when the route's time is over."""
    async with open_desk(Fault.SILENT) as desk:
        started = asyncio.get_running_loop().time()
        assert (await desk.ask("/short/"))[0] == 504
        assert asyncio.get_running_loop().time() - started < 1.0


async def test_connections_to_servers_are_kept():
    async with open_desk(Fault.NONE) as desk:
        for _ in range(5):
            await desk.ask("/unsafe/")
        assert desk.servers[0].connections == 1


async def test_a_planned_stop_ends_idle_connections():
    """A router stops while a client keeps a connection open and sends again on it.

    A request on a connection that nobody reads any more would wait until the process
    ends and then be cut. Closed at once, the client sends it to another router.
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


async def test_a_loop_that_is_far_behind_passes_nothing_on():
    """One caller floods an instance, whose loop turns once in half a second.

    Requests lie unread until their callers have left. Passed on, they make servers
    work for nobody, and all other callers of the instance wait for that as well.
    """
    async with open_desk(Fault.NONE) as desk:
        desk.deps.lag.ran(0.0, monotonic() - 1.0)
        desk.deps.lag.ran(60.0, monotonic())
        status, _, headers = await desk.ask("/safe/")
        assert status == 503
        assert 0.5 < float(headers["Retry-After"]) < 2.0
        assert desk.runs == 0
        for _ in range(5):
            desk.deps.lag.due_at_seconds = monotonic()
            desk.deps.lag.ran(60.0, monotonic())
        assert (await desk.ask("/safe/"))[0] == 200


FLOOD_KEY = "the-floods-key"
FLOODED_TREE = TREE.replace(
    "{children: {club:",
    f"{{children: {{flood: {{key_digests: [{digest_of_key(FLOOD_KEY)}]}}, club:",
)


async def test_a_flood_of_one_customer_sends_the_others_to_other_instances(caplog):
    """All callers of one customer come to one instance and keep it busy.

    The others whose callers come there too were turned away with it for a second,
    which is longer than most can wait, while two hundred instances had room.
    """
    caplog.set_level(logging.WARNING)
    tree = effective_tree(parse_tree(FLOODED_TREE, "t"), 1)
    async with open_desk(Fault.NONE, tree=tree) as desk:
        flood = tree.customer_ids_by_digest[digest_of_key(FLOOD_KEY)]
        desk.deps.gate.set_fractions((ShareRow(flood, 0.1),))
        desk.deps.lag.ran(0.0, monotonic() - 1.0)
        desk.deps.lag.ran(60.0, monotonic())
        status, _, headers = await desk.ask("/safe/")
        assert (status, float(headers["Retry-After"])) == (503, ELSEWHERE_RETRY_SECONDS)
        key = {"Authorization": f"Bearer {FLOOD_KEY}"}
        status, _, headers = await desk.ask("/safe/", **key)
        assert (status, float(headers["Retry-After"])) == (
            503,
            OVERLOADED_RETRY_SECONDS,
        )
        assert desk.runs == 0
    customers = [one.customer for one in caplog.records if one.message == "refused"]
    assert customers == [tree.customer_ids_by_digest[digest_of_key(KEY)], flood]


@pytest.mark.parametrize(("late_seconds", "served"), [(0.06, 10), (0.5, 10), (0.8, 0)])
async def test_a_flooded_router_serves_the_flood_s_own_share(late_seconds, served):
    """All callers of one customer come to one instance, whose loop they keep late.

    Its rivals' callers come by seventy instances. Turned away whole for as long as the
    flood lasted, the customer got less than half of what each of its rivals got.
    """
    tree = effective_tree(
        parse_tree(FLOODED_TREE.replace("pool: {}", "pool: {batch_slots: 8}"), "t"), 1
    )
    async with open_desk(Fault.NONE, tree=tree) as desk:
        flood = tree.customer_ids_by_digest[digest_of_key(FLOOD_KEY)]
        desk.deps.gate.set_fractions((ShareRow(flood, 0.25),))
        desk.deps.lag.late_seconds = late_seconds
        prompt = {
            "X-Sesameford-Model": "m",
            "X-Sesameford-Token-Usage": "1460,80",
            "Authorization": f"Bearer {FLOOD_KEY}",
        }
        answers = [await desk.ask("/stream/", **prompt) for _ in range(40)]
    statuses = [status for status, _, _ in answers]
    assert abs(statuses.count(200) - served) <= 1
    assert statuses.count(503) == 40 - statuses.count(200)


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
async def test_what_a_server_fails_is_counted_once(fault, path, failed):
    """A server runs calls and fails them, or its answers are lost on the way.

    Counted by no router it looks idle, and gets more calls than the others. One that
    says that it did not run a call is only full.
    """
    async with open_desk(fault) as desk:
        await desk.ask(path)
        outcomes = desk.deps.placement.flush_outcomes()
    assert sum(one.failed for one in outcomes) == failed
    assert sum(one.answered for one in outcomes) == (fault is Fault.NONE)


async def test_a_call_without_time_left_takes_no_place_at_its_server():
    """A caller's patience ends while its call waits to be sent.

    Its server was chosen, and the place counted there for ever: after some days of
    such calls the server would look full, and its silence would not be noticed.
    """
    async with open_desk(Fault.NONE) as desk:
        status, _, _ = await desk.ask("/unsafe/", **{"X-Sesameford-Deadline-Ms": "5"})
        assert status == 504
        assert desk.runs == 0
        assert desk.deps.placement.loads(monotonic()) == ()


async def ask_on_a_new_connection(desk, path):
    """Ask as a caller that opens a connection for each try and leaves it open."""
    host, port = desk.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"GET {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in desk.headers().items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return await reader.read(300), writer


async def test_callers_who_are_turned_away_don_t_use_up_all_connections():
    """A flooding caller comes back on a new connection each time, and keeps the others.

    Once all that the router may have are open, everybody is cut off without an answer,
    though the router has nothing to do.
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
