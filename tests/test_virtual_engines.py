"""Placement under load, on engines in virtual time; no network.

The loads are those of newsletter drafting: long prompts that share most of their tokens
with others about the same subject, short replies, and labels. Engines read 75,000
tokens a second, which is what the answers of real ones under load showed.
"""

from random import Random

import pytest

from sesameford.gateway.calls import Prompt, PromptPart
from standins.virtual_engines import Arrival, EngineFigures, make_virtual_engines
from tools.experiment import Fleet, hot_subject, make_row, play, steady

MANY_ROUTERS = Fleet("many", 75, 30, 18.0)
FEW_ROUTERS = Fleet("few", 8, 9, 18.0)


def one_engine(**figures):
    return make_virtual_engines(1, 1, EngineFigures(**figures), 0.05)


def arrival(at_seconds, subject, shared=5_000, own=1_000, output_tokens=27):
    own_part = PromptPart(10_000 + int(at_seconds * 1_000), own)
    parts = (PromptPart(subject, shared), own_part)
    prompt = Prompt("m", shared + own, output_tokens, parts)
    return Arrival(at_seconds, 0, prompt, output_tokens, 0.25)


def test_a_part_is_read_once_until_memory_runs_out():
    engines = one_engine(cache_tokens=13_000)
    arrivals = [arrival(0.0, 1), arrival(1.0, 1), arrival(2.0, 2), arrival(3.0, 1)]
    reads = [one.read_tokens for one in engines.play(arrivals)]
    assert reads == [6_000, 1_000, 6_000, 1_000]
    engines = one_engine(cache_tokens=11_000)
    assert [one.read_tokens for one in engines.play(arrivals)][-1] == 6_000


def test_a_request_waits_for_a_place():
    engines = one_engine(slots=1)
    arrivals = [arrival(0.0, 1, output_tokens=540), arrival(0.1, 1)]
    first, second = engines.play(arrivals)
    assert first.first_event_seconds < 0.2
    assert second.first_event_seconds > 1.8


@pytest.mark.parametrize("pattern", [steady, hot_subject])
def test_routers_with_late_news_don_t_all_choose_the_same_engine(pattern):
    """Seventy-five routers hear each other's loads some tenths of a second late.

    All see the same engine idle and send there at once, so that one after the other is
    flooded, most first events are late, and shared parts are read everywhere.
    """
    by_lot = make_row("", "", play(MANY_ROUTERS, pattern, "home and two by lot"))
    all_seen = make_row("", "", play(MANY_ROUTERS, pattern, "all engines"))
    assert by_lot.in_time > 0.92
    assert by_lot.in_time > all_seen.in_time
    assert by_lot.busiest_ratio < 1.15
    assert by_lot.reread_fraction < 0.041


def test_a_hot_subject_does_not_stay_at_its_home():
    """Three in ten requests are about one subject for six seconds.

    At its home alone they would wait for seconds; elsewhere the part is copied.
    """
    home = make_row("", "", play(FEW_ROUTERS, hot_subject, "home only"))
    by_lot = make_row("", "", play(FEW_ROUTERS, hot_subject, "home and two by lot"))
    assert by_lot.in_time > home.in_time + 0.15
    assert by_lot.busiest_ratio < 1.25


def test_plays_are_the_same_again():
    arrivals = list(steady(FEW_ROUTERS, Random(3)))[:400]
    plays = [
        make_virtual_engines(8, 9, EngineFigures(), 0.05).play(arrivals)
        for _ in range(2)
    ]
    assert [one.first_event_seconds for one in plays[0]] == [
        one.first_event_seconds for one in plays[1]
    ]


@pytest.mark.parametrize(
    ("failing_engines", "requests_per_second"),
    [(8, 8.0), (24, 8.0), (8, 14.0), (24, 14.0)],
)
def test_work_goes_to_engines_that_don_t_fail(failing_engines, requests_per_second):
    """Some of thirty engines fail nearly half of what they are sent, for seconds.

    What fails is over at once, so they look idle, and their heartbeats are sound: they
    got more work than the others. Each of seventy-five routers sees too few of the
    failures to pass them over by itself.
    """
    fleet = Fleet("grey", 75, 30, requests_per_second)
    engines = make_virtual_engines(75, 30, EngineFigures(slots=16), 0.08)
    failing = [f"e{number}" for number in range(failing_engines)]
    engines.failing = dict.fromkeys(failing, 0.45)
    outcomes = engines.play(list(steady(fleet, Random(1))))
    settled = [one for one in outcomes if one.arrival.at_seconds > 2.0]
    failed_part = sum(one.is_failed for one in settled) / len(settled)
    assert failed_part < 0.45 * failing_engines / 30


def test_few_failing_engines_cost_their_callers_little():
    """Eight of thirty engines fail nearly half; the others have places left."""
    engines = make_virtual_engines(75, 30, EngineFigures(slots=16), 0.08)
    engines.failing = dict.fromkeys([f"e{number}" for number in range(8)], 0.45)
    outcomes = engines.play(list(steady(Fleet("grey", 75, 30, 8.0), Random(1))))
    settled = [one for one in outcomes if one.arrival.at_seconds > 2.0]
    assert sum(one.is_in_time for one in settled) / len(settled) > 0.9
