"""The benchmark's measures are right on histories calculated by hand."""

import pytest

from benchmarks.measure import (
    Sample,
    count_mistakes,
    service_gap,
    starved_customers,
    utilisation_while_backlogged,
)
from tools.client import Answer
from tools.load import Sent


def _make_sample(at, service, backlogged, busy=0.0):
    return Sample(at, "steady", service, frozenset(backlogged), busy, 10)


def test_a_gap_counts_only_while_both_are_backlogged():
    samples = [
        _make_sample(0, {"a": 0, "b": 0}, ""),
        _make_sample(1, {"a": 50, "b": 0}, "a"),
        _make_sample(2, {"a": 60, "b": 10}, "ab"),
        _make_sample(3, {"a": 90, "b": 10}, "ab"),
        _make_sample(4, {"a": 90, "b": 40}, "ab"),
    ]
    gap = service_gap(samples, {"a": 2.0, "b": 1.0})
    assert gap.maximum == pytest.approx(30.0)
    assert gap.pair == ("a", "b")


def test_utilisation_counts_only_time_with_waiting_requests():
    samples = [
        _make_sample(0, {}, "", busy=0.0),
        _make_sample(1, {}, "", busy=1.0),
        _make_sample(2, {}, "a", busy=10.0),
        _make_sample(3, {}, "a", busy=19.0),
    ]
    assert utilisation_while_backlogged(samples) == pytest.approx(0.9)


def test_a_customer_without_service_for_long_is_starved():
    samples = [_make_sample(at, {"a": at, "b": min(at, 3)}, "ab") for at in range(12)]
    assert starved_customers(samples) == ["b"]


def _make_sent(mark, outcome, complete, crossed=False):
    answer = Answer(200, outcome, complete, crossed, 0.1, 0.2)
    return Sent(mark, "c", "r1", "steady", 0.0, 5, answer)


def test_mistakes_are_counted_by_kind():
    sent = [
        _make_sent("good", "ran", True),
        _make_sent("cut", "ran", False),
        _make_sent("excused", "", False),
        _make_sent("lie", "not-run", False),
        _make_sent("swapped", "ran", False, crossed=True),
        _make_sent("unsure", "unknown", False),
    ]
    counts = [{"marks": {"good": {"started": 1}, "lie": {"started": 1}}}]
    counts.append({"marks": {"good": {"started": 1}}})
    mistakes = count_mistakes(sent, counts, frozenset({"excused"}))
    assert mistakes.lost == 2
    assert mistakes.doubled == 1
    assert mistakes.crossed == 1
    assert mistakes.false_not_run == 1
    assert mistakes.unknown == 1
