"""What a planned stop takes and when it ends calls, by the grace before the kill."""

import asyncio

import pytest

from sesameford.stop_bound import (
    DURATION_FACTOR,
    MIN_RECENT_CALLS,
    MIN_RESERVED_SECONDS,
    RESERVED_PART,
    StopEndedError,
    make_stop_bound,
)

GRACE_SECONDS = 8.0
USABLE_SECONDS = (1.0 - RESERVED_PART) * GRACE_SECONDS


def make_stopping(grace_seconds=GRACE_SECONDS, durations_seconds=()):
    """Return the bound of a router whose stop began at 100 s."""
    bound = make_stop_bound(grace_seconds)
    for seconds in durations_seconds:
        bound.record_duration("r", seconds)
    bound.start(100.0)
    return bound


def test_any_call_is_taken_without_a_stop_or_a_grace():
    assert make_stop_bound(GRACE_SECONDS).may_take("r", 60.0, 100.0)
    assert make_stopping(grace_seconds=None).may_take("r", 60.0, 200.0)


def test_a_call_of_an_unknown_route_is_taken_if_its_longest_time_is_left():
    """Guards against calls that a router takes in a stop and can't answer."""
    bound = make_stopping()
    assert bound.may_take("r", USABLE_SECONDS, 100.0)
    assert not bound.may_take("r", USABLE_SECONDS, 100.1)


def test_a_call_is_taken_as_long_as_such_calls_have_time():
    """Guards against a stop that refuses short calls because of their long timeouts."""
    short = make_stopping(durations_seconds=[0.2] * MIN_RECENT_CALLS)
    assert short.may_take("r", 60.0, 100.0 + USABLE_SECONDS - 0.2 * DURATION_FACTOR)
    assert not short.may_take("r", 60.0, 100.0 + USABLE_SECONDS - 0.2)
    assert not short.may_take("other", 60.0, 100.0)


def test_one_long_call_among_short_ones_counts():
    """Guards against an average that hides the calls which a stop would cut."""
    seconds = [0.2] * MIN_RECENT_CALLS + [USABLE_SECONDS]
    assert not make_stopping(durations_seconds=seconds).may_take("r", 60.0, 100.0)


def test_few_calls_show_too_little():
    seconds = [0.2] * (MIN_RECENT_CALLS - 1)
    assert not make_stopping(durations_seconds=seconds).may_take("r", 60.0, 100.0)


async def run_until_ended(bound):
    """Return how long a call that never ends runs."""
    loop = asyncio.get_running_loop()
    started_at_seconds = loop.time()
    with pytest.raises(StopEndedError):
        async with bound.limit():
            await asyncio.sleep(60.0)
    return loop.time() - started_at_seconds


async def test_open_calls_end_before_the_kill_and_a_second_signal_changes_nothing():
    """Guards against a process that is killed while it waits for its calls."""
    loop = asyncio.get_running_loop()
    bound = make_stop_bound(MIN_RESERVED_SECONDS + 0.4)
    before = asyncio.create_task(run_until_ended(bound))
    await asyncio.sleep(0.1)
    bound.start(loop.time())
    await asyncio.sleep(0.3)
    bound.start(loop.time())
    during = asyncio.create_task(run_until_ended(bound))
    assert 0.4 < await before < 0.7
    assert await during < 0.3


async def test_a_grace_that_changes_in_a_stop_holds_for_open_calls():
    """Guards against a stop that goes by settings that are not in force any more."""
    bound = make_stop_bound(60.0)
    call = asyncio.create_task(run_until_ended(bound))
    await asyncio.sleep(0)
    bound.start(asyncio.get_running_loop().time())
    bound.configure(MIN_RESERVED_SECONDS + 0.2)
    assert await call < 0.4


async def test_a_timeout_of_the_call_itself_is_no_end_of_the_stop():
    """Guards against an answer that blames a stop for a target's silence."""
    bound = make_stop_bound(GRACE_SECONDS)
    bound.start(asyncio.get_running_loop().time())
    with pytest.raises(TimeoutError):
        async with bound.limit():
            raise TimeoutError


def test_a_short_grace_shortens_how_long_a_balancer_is_waited_for():
    """Guards against a process that is killed as it still waits for a balancer."""
    assert make_stop_bound(None).shorten(2.6) == 2.6
    assert make_stop_bound(8.0).shorten(2.6) == 2.6
    assert make_stop_bound(2.0).shorten(2.6) == 2.0 - MIN_RESERVED_SECONDS
    assert make_stop_bound(0.5).shorten(2.6) == 0.0
