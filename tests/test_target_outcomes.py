"""Detection of targets that fail a part of their requests, without a network."""

from sesameford.gateway.target_outcomes import (
    DECAY_SECONDS,
    MIN_FAILED_PART,
    make_target_outcome_table,
)
from sesameford.load_messages import TargetOutcomes


def failing(table, now_seconds):
    return {row.name: row.failed_part for row in table.failing_targets(now_seconds)}


def test_reports_of_many_routers_show_a_target_that_fails_half():
    """Each router sends one request a second to a target that fails every other one.

    Its heartbeats are normal and it looks idle, since failed requests end at once, so
    it gets more than others until the failures of all routers are summed.
    """
    table = make_target_outcome_table()
    for number in range(40):
        is_bad = number % 2
        table.record_outcomes(
            (TargetOutcomes(1, 1 - is_bad, is_bad), TargetOutcomes(2, 1, 0))
        )
    parts = failing(table, 0.0)
    assert set(parts) == {1}
    assert 0.4 < parts[1] <= 0.5


def test_one_failure_among_few_answers_does_not_count():
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 20, 1),))
    assert failing(table, 0.0) == {}


def test_a_target_that_answers_again_counts_as_healthy_again():
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 0, 30),))
    assert failing(table, 0.0)[1] > 0.8
    now_seconds = 0.0
    while now_seconds < 3 * DECAY_SECONDS:
        now_seconds += 0.1
        table.record_outcomes((TargetOutcomes(1, 2, 0),))
        parts = failing(table, now_seconds)
    assert parts.get(1, 0.0) < 2 * MIN_FAILED_PART


def test_a_target_without_requests_stops_counting_as_failing():
    """Without requests nothing could show that it has recovered."""
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 0, 30),))
    now_seconds = 0.0
    while failing(table, now_seconds):
        now_seconds += 0.1
    assert now_seconds < 6 * DECAY_SECONDS
