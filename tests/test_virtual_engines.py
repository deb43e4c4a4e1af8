"""Placement under load on simulated engines in virtual time, without a network.

The load is newsletter drafting: long prompts that share most of their tokens with other
prompts about the same subject, short replies, and labels. Engines read 75,000 tokens a
second, the rate of real engines under load.
"""

from random import Random

import pytest

from sesameford.gateway.calls import Prompt, PromptPart
from standins.virtual_engines import Arrival, EngineFigures, make_virtual_engines
from tools.experiment import Fleet, hot_subject, make_row, play, steady

MANY_ROUTERS = Fleet("many", 75, 30, 18.0)
FEW_ROUTERS = Fleet("few", 8, 9, 18.0)


def make_one_engine(**figures):
    return make_virtual_engines(1, 1, EngineFigures(**figures), 0.05)


def arrival(at_seconds, subject, shared=5_000, own=1_000, output_tokens=27):
    own_part = PromptPart(10_000 + int(at_seconds * 1_000), own)
    parts = (PromptPart(subject, shared), own_part)
    prompt = Prompt("m", shared + own, output_tokens, parts)
    return Arrival(at_seconds, 0, prompt, output_tokens, 0.25)


def test_a_prompt_part_is_read_once_until_it_is_evicted():
    engines = make_one_engine(cache_tokens=13_000)
    arrivals = [arrival(0.0, 1), arrival(1.0, 1), arrival(2.0, 2), arrival(3.0, 1)]
    reads = [outcome.read_tokens for outcome in engines.play(arrivals)]
    assert reads == [6_000, 1_000, 6_000, 1_000]
    engines = make_one_engine(cache_tokens=11_000)
    assert [outcome.read_tokens for outcome in engines.play(arrivals)][-1] == 6_000


def test_a_request_waits_for_a_free_slot():
    engines = make_one_engine(slots=1)
    arrivals = [arrival(0.0, 1, output_tokens=540), arrival(0.1, 1)]
    first, second = engines.play(arrivals)
    assert first.first_event_seconds < 0.2
    assert second.first_event_seconds > 1.8


@pytest.mark.parametrize("pattern", [steady, hot_subject])
def test_routers_with_delayed_loads_don_t_all_choose_the_same_engine(pattern):
    """75 routers receive each other's loads some tenths of a second late.

    If each of them considers all engines, all see the same one idle and send to it at
    once. One engine after the other is overloaded, most first events are late, and
    shared parts are read on all engines.
    """
    with_random = make_row("", "", play(MANY_ROUTERS, pattern, "home and two by lot"))
    with_all = make_row("", "", play(MANY_ROUTERS, pattern, "all engines"))
    assert with_random.in_time > 0.92
    assert with_random.in_time > with_all.in_time
    assert with_random.busiest_ratio < 1.15
    assert with_random.reread_fraction < 0.041


def test_a_hot_subject_is_served_by_more_engines_than_its_home():
    """3 in 10 requests are about one subject for six seconds.

    They would wait for seconds on the subject's home engine alone. Other engines copy
    the shared part.
    """
    home = make_row("", "", play(FEW_ROUTERS, hot_subject, "home only"))
    with_random = make_row(
        "", "", play(FEW_ROUTERS, hot_subject, "home and two by lot")
    )
    assert with_random.in_time > home.in_time + 0.15
    assert with_random.busiest_ratio < 1.25


def test_simulations_are_repeatable():
    arrivals = list(steady(FEW_ROUTERS, Random(3)))[:400]
    plays = [
        make_virtual_engines(8, 9, EngineFigures(), 0.05).play(arrivals)
        for _ in range(2)
    ]
    assert [outcome.first_event_seconds for outcome in plays[0]] == [
        outcome.first_event_seconds for outcome in plays[1]
    ]


@pytest.mark.parametrize(
    ("failing_engines", "requests_per_second"),
    [(8, 8.0), (24, 8.0), (8, 14.0), (24, 14.0)],
)
def test_fewer_requests_go_to_engines_that_fail(failing_engines, requests_per_second):
    """Some of 30 engines fail nearly half of their requests for seconds.

    Failed requests end at once, so these engines look idle, and their heartbeats are
    healthy: they got more requests than the others. Each of 75 routers observes too few
    failures to exclude the engines by itself.
    """
    fleet = Fleet("grey", 75, 30, requests_per_second)
    engines = make_virtual_engines(75, 30, EngineFigures(slots=16), 0.08)
    failing = [f"e{number}" for number in range(failing_engines)]
    engines.failing = dict.fromkeys(failing, 0.45)
    outcomes = engines.play(list(steady(fleet, Random(1))))
    settled = [outcome for outcome in outcomes if outcome.arrival.at_seconds > 2.0]
    failed_part = sum(outcome.is_failed for outcome in settled) / len(settled)
    assert failed_part < 0.45 * failing_engines / 30


def test_few_failing_engines_hardly_delay_callers():
    """8 of 30 engines fail nearly half of their requests; others have free slots."""
    engines = make_virtual_engines(75, 30, EngineFigures(slots=16), 0.08)
    engines.failing = dict.fromkeys([f"e{number}" for number in range(8)], 0.45)
    outcomes = engines.play(list(steady(Fleet("grey", 75, 30, 8.0), Random(1))))
    settled = [outcome for outcome in outcomes if outcome.arrival.at_seconds > 2.0]
    assert sum(outcome.is_in_time for outcome in settled) / len(settled) > 0.9
