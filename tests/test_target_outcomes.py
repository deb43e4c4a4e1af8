"""Which targets fail part of what they are sent, without a network."""

from sesameford.gateway.target_outcomes import (
    DECAY_SECONDS,
    MIN_FAILED_PART,
    make_target_outcome_table,
)
from sesameford.load_messages import TargetOutcomes


def failing(table, now_seconds):
    return {row.name: row.failed_part for row in table.failing_targets(now_seconds)}


def test_reports_of_many_routers_show_a_target_that_fails_half():
    """Each router sees one request a second at a target that fails every other one.

    Its heartbeats are sound and it looks idle, since what fails is over at once, so it
    gets more than the others until somebody adds the failures up.
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


def test_one_failure_among_few_answers_says_little():
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 20, 1),))
    assert failing(table, 0.0) == {}


def test_a_target_that_answers_again_is_trusted_again():
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 0, 30),))
    assert failing(table, 0.0)[1] > 0.8
    now_seconds = 0.0
    while now_seconds < 3 * DECAY_SECONDS:
        now_seconds += 0.1
        table.record_outcomes((TargetOutcomes(1, 2, 0),))
        parts = failing(table, now_seconds)
    assert parts.get(1, 0.0) < 2 * MIN_FAILED_PART


def test_a_target_that_gets_nothing_more_is_forgotten():
    """Nobody sends to it, so nothing could show that it has recovered."""
    table = make_target_outcome_table()
    table.record_outcomes((TargetOutcomes(1, 0, 30),))
    now_seconds = 0.0
    while failing(table, now_seconds):
        now_seconds += 0.1
    assert now_seconds < 6 * DECAY_SECONDS
