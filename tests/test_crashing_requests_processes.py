"""One whole request of several customers that crashes servers, over real programs."""

import asyncio

import pytest

from tests.crashing_fixture import (
    CRASHING_BODY,
    crashes,
    crashes_by_body,
    late_sends,
)
from tests.test_crashing_parts import MAX_LATE_SENDS, MIN_SERVED_PART, play_parts
from tests.test_crashing_parts_processes import (
    CRASHING_SECONDS,
    Case,
    all_at_once,
    asking,
    innocent_sender,
    nothing,
    open_programs,
)
from tests.test_crashing_requests import MAX_CRASHES

pytestmark = pytest.mark.heavy

CASES = {
    "in-turn": Case(4, 4.0, nothing, 20.0),
    "at-once": Case(6, 0.0, nothing, 12.0),
    "in-turn-killed": Case(4, 4.0, all_at_once, 20.0),
}


@pytest.mark.parametrize(
    "name",
    [
        "in-turn",
        "at-once",
        pytest.param("in-turn-killed", marks=pytest.mark.known_red),
    ],
)
async def test_a_crashing_request_is_held_back_over_customers(tmp_path, name):
    """Guards against a request that servers crash under again for each customer."""
    case = CASES[name]
    net = 181 + list(CASES).index(name)
    async with open_programs(tmp_path, net, crashes_by_body) as (fleet, servers):
        senders = [
            (
                asking(fleet, customer, (), CRASHING_BODY),
                "crashing",
                CRASHING_SECONDS,
                customer * case.apart_seconds,
            )
            for customer in range(case.customers)
        ]
        trouble = asyncio.create_task(case.trouble(fleet))
        play = await play_parts([*senders, innocent_sender(fleet)], case.seconds)
        await trouble
    assert len(crashes(servers)) > 0
    assert late_sends(servers, crashes_by_body, MAX_CRASHES) <= MAX_LATE_SENDS
    assert play.served_at_the_end() >= MIN_SERVED_PART
