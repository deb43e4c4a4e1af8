"""Targets that request backoff of a router or announce a drain, over real sockets."""

import asyncio
import logging
from time import monotonic

import pytest

from sesameford.gateway.send_failures import EXCLUDED_TARGET_RETRY_SECONDS
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState
from standins.platform_server import Fault
from tests.gateway_fixture import open_desk
from tools.notice_checks import (
    DRAIN_LIMIT_SECONDS,
    MAX_CALLS_DURING_BACKOFF,
    calls_after_drain,
    calls_during_backoff,
)

CALL_INTERVAL_SECONDS = 0.04


async def ask_regularly(desk, path, seconds):
    """Send 25 calls a second; return their answers, each with the time it came."""

    async def ask():
        answer = await desk.ask(path)
        return monotonic(), answer

    asked = []
    end_seconds = monotonic() + seconds
    while monotonic() < end_seconds:
        asked.append(asyncio.create_task(ask()))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    return await asyncio.gather(*asked)


def row_of(server, **fields):
    return HeartbeatRow(
        server.target_id,
        fields.pop("sequence", 2),
        "pool",
        server.address,
        "a",
        8,
        TargetState.READY,
        **fields,
    )


async def test_a_target_that_requests_backoff_gets_none_of_the_next_calls():
    """The only target is overloaded; each further call would keep it so."""
    async with open_desk(Fault.SHED) as desk:
        server = desk.servers[0]
        server.retry_after = "1.5"
        answers = await ask_regularly(desk, "/unsafe/", 1.4)
        assert calls_during_backoff(server.received_calls) <= MAX_CALLS_DURING_BACKOFF
        end_seconds = server.received_calls[0].answered_at_seconds + 1.5
        server.fault = Fault.NONE
        for at_seconds, (status, _, headers) in answers[2:]:
            assert status == 503
            assert at_seconds + float(headers["Retry-After"]) > end_seconds - 0.1
        await asyncio.sleep(end_seconds - monotonic() + 0.1)
        assert (await desk.ask("/unsafe/"))[0] == 200


@pytest.mark.parametrize("fault", [Fault.SHED, Fault.BUSY])
async def test_other_targets_serve_while_one_is_in_backoff(fault):
    """Callers were refused although another target was idle."""
    async with open_desk(fault, Fault.NONE) as desk:
        desk.servers[0].retry_after = "1.2"
        answers = await ask_regularly(desk, "/unsafe/", 1.2)
        calls = desk.servers[0].received_calls
        assert calls_during_backoff(calls) <= MAX_CALLS_DURING_BACKOFF
        statuses = [status for _, (status, _, _) in answers]
        assert statuses.count(200) >= len(statuses) - 3


async def test_a_caller_rejected_by_one_target_may_return_to_another_at_once():
    """A call may go to one target only, which rejects it and is excluded from then on.

    The caller waited for half a second although another target was idle.
    """
    async with open_desk(Fault.SHED, Fault.NONE) as desk:
        desk.servers[0].retry_after = "1.2"
        status, _, headers = await desk.ask("/unsafe/")
        assert (status, float(headers["Retry-After"])) == (
            503,
            EXCLUDED_TARGET_RETRY_SECONDS,
        )
        assert (await desk.ask("/unsafe/"))[0] == 200


async def test_a_shorter_backoff_does_not_end_a_longer_one():
    """Two calls are in progress when a target requests backoff for different times."""
    async with open_desk(Fault.SHED) as desk:
        server = desk.servers[0]
        server.retry_after = "1.5"
        await desk.ask("/unsafe/")
        server.retry_after = "0.2"
        await ask_regularly(desk, "/unsafe/", 1.4)
        assert calls_during_backoff(server.received_calls) <= MAX_CALLS_DURING_BACKOFF


async def test_a_backoff_outlasts_a_gap_in_the_table_of_targets():
    """A target is unknown for a moment and comes back as the same process."""
    async with open_desk(Fault.SHED) as desk:
        server = desk.servers[0]
        server.retry_after = "1.5"
        await ask_regularly(desk, "/unsafe/", 0.2)
        entry = desk.table.entries.pop(server.target_id)
        desk.table.changes += 1
        desk.deps.placement.forget(monotonic())
        await ask_regularly(desk, "/unsafe/", 0.2)
        desk.table.handle_heartbeat(entry.row, monotonic())
        await ask_regularly(desk, "/unsafe/", 1.0)
        assert calls_during_backoff(server.received_calls) <= MAX_CALLS_DURING_BACKOFF


async def test_a_restarted_target_gets_calls_at_once():
    """The notices of a process do not hold for the one that replaces it."""
    async with open_desk(Fault.SHED) as desk:
        server = desk.servers[0]
        server.retry_after, server.is_draining = "30", True
        await desk.ask("/unsafe/")
        server.fault, server.is_draining = Fault.NONE, False
        desk.table.handle_heartbeat(row_of(server, incarnation=1), monotonic())
        assert (await desk.ask("/unsafe/"))[0] == 200


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.SHED])
async def test_a_target_that_announces_its_drain_gets_no_new_calls(fault):
    """Its heartbeats reach no replica, or the router reaches none.

    The target exits after its drain period, which cuts the calls that still run.
    """
    async with open_desk(fault, Fault.NONE) as desk:
        server = desk.servers[0]
        server.is_draining = True
        answers = await ask_regularly(desk, "/unsafe/", DRAIN_LIMIT_SECONDS + 0.5)
        desk.table.handle_heartbeat(row_of(server), monotonic())
        await ask_regularly(desk, "/unsafe/", 0.2)
        assert server.received_calls
        assert calls_after_drain(server.received_calls) == []
        statuses = [status for _, (status, _, _) in answers]
        assert statuses.count(200) >= len(statuses) - 3


async def test_calls_are_refused_at_once_if_all_targets_drain():
    async with open_desk(Fault.NONE) as desk:
        desk.servers[0].is_draining = True
        answers = await ask_regularly(desk, "/unsafe/", DRAIN_LIMIT_SECONDS + 0.5)
        assert calls_after_drain(desk.servers[0].received_calls) == []
        status, _, headers = answers[-1][1]
        assert status == 503
        assert 0 < float(headers["Retry-After"]) <= 5


async def test_a_call_that_waits_for_a_connection_is_not_sent_to_a_target_in_backoff():
    """The target requests backoff while a call to it waits for a new connection.

    With a late event loop such calls were written after the half second that is
    allowed, one for each connection.
    """
    async with open_desk(Fault.SHED, Fault.NONE) as desk:
        server = desk.servers[0]
        server.retry_after = "2"
        connector = desk.deps.sender.session.connector
        create_connection = connector._create_connection
        waiting_for_connection = []

        async def create_slowly(request, *arguments):
            waiting_for_connection.append(request)
            is_first = len(waiting_for_connection) == 1
            connection = await create_connection(request, *arguments)
            await asyncio.sleep(0.0 if is_first else 0.2)
            return connection

        connector._create_connection = create_slowly
        answers = await asyncio.gather(*(desk.ask("/unsafe/") for _ in range(8)))
        backoff_at_seconds = server.received_calls[0].answered_at_seconds
        late = [
            call
            for call in server.received_calls
            if call.arrived_at_seconds > backoff_at_seconds + 0.05
        ]
        assert late == []
        assert [status for status, _, _ in answers].count(200) == 7


@pytest.mark.parametrize("text", ["soon", "-1", "nan", "inf", "9" * 400, "0"])
async def test_an_odd_retry_after_stops_nothing(text, caplog):
    """A faulty server sends a Retry-After that is no length of time."""
    caplog.set_level(logging.WARNING)
    async with open_desk(Fault.SHED) as desk:
        server = desk.servers[0]
        server.retry_after = text
        status, _, headers = await desk.ask("/unsafe/")
        assert (status, float(headers["Retry-After"]) > 0) == (503, True)
        server.fault = Fault.NONE
        assert (await desk.ask("/unsafe/"))[0] == 200
    lines = [one for one in caplog.records if one.message == "unreadable Retry-After"]
    assert len(lines) == (text != "0")
    assert all(len(one.detail) <= 40 for one in lines)
