"""Servers that answer a call completely and crash just afterwards, at one router."""

import pytest

from standins.platform_server import CrashManner
from tests.crashing_fixture import (
    CRASHING_BODY,
    crashes,
    crashes_by_body,
    has_part,
    late_sends,
    play_crashing_request,
)
from tests.test_crashing_parts import (
    ALLOWED_CRASHES,
    CRASHING_PART,
    FIRST_PART,
    LAST_SHARED_PART,
    SERVERS,
    PartCaller,
    crashing_sender,
    innocent_senders,
    play_parts,
)
from tests.test_crashing_requests import (
    MAX_CRASHES,
    MAX_LATE_SENDS,
    MIN_SERVED_PART,
    asking,
    open_crashing_desk,
)

DELAYS_SECONDS = (0.0, 0.02, 0.3)


def delay_crashes(desk, seconds):
    for server in desk.servers:
        server.crash_delay_seconds = seconds


@pytest.mark.parametrize("seconds", DELAYS_SECONDS)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
async def test_a_request_whose_servers_crash_after_its_answer_is_held_back(
    path, seconds
):
    """Guards against an answer that clears its call although its server crashes."""
    async with open_crashing_desk(SERVERS, CrashManner.AFTER_ANSWER) as desk:
        delay_crashes(desk, seconds)
        play = await play_crashing_request(
            asking(desk, path, CRASHING_BODY), asking(desk, "/safe/other")
        )
        assert len(crashes(desk.servers)) >= 2
        late = late_sends(desk.servers, crashes_by_body, MAX_CRASHES)
        assert late <= MAX_LATE_SENDS
        assert play.served_at_the_end() >= MIN_SERVED_PART


@pytest.mark.parametrize("seconds", DELAYS_SECONDS)
@pytest.mark.parametrize("path", ["/safe/x", "/stream/resumed/x"])
async def test_a_part_whose_servers_crash_after_answers_is_held_back_alone(
    path, seconds
):
    """Guards against crashes that are blamed on whatever else is in flight then."""
    is_crashing = has_part(CRASHING_PART)
    parts = (FIRST_PART, CRASHING_PART, LAST_SHARED_PART)
    manner = CrashManner.AFTER_ANSWER
    async with open_crashing_desk(SERVERS, manner, is_crashing) as desk:
        delay_crashes(desk, seconds)
        caller = PartCaller(desk, path)
        senders = [crashing_sender(caller, *parts), *innocent_senders(caller)]
        play = await play_parts(senders)
        assert len(crashes(desk.servers)) >= 2
        late = late_sends(desk.servers, is_crashing, ALLOWED_CRASHES)
        assert late <= MAX_LATE_SENDS
        assert play.served_at_the_end() >= MIN_SERVED_PART
