"""Admission follows the timeliness of answers and not the estimated wait alone.

The failure: engines read faster than routers estimate, or answers start sooner than the
estimate says, and callers are refused while engines idle.
"""

import pytest

from sesameford.gateway.shares import make_share_table
from sesameford.gateway.timeliness import (
    LATE_PART,
    MIN_WAIT_FACTOR,
    OVERLOAD_RATIO,
    make_timeliness,
    wait_factor,
)
from sesameford.load_messages import CustomerRates, PartialLoad

BASE_WAIT_SECONDS = 0.0875
TICK_SECONDS = 0.02


def test_without_answers_the_wait_limit_is_the_usual_one():
    assert wait_factor(0.0, 0.0, 0.0, 0.0, 0.0) == 1.0


def test_the_wait_limit_falls_with_late_answers():
    factors = [wait_factor(1_000.0, 10.0 * late, 0.0, 1.0, 1.0) for late in range(40)]
    assert factors == sorted(factors, reverse=True)
    assert factors[0] > 2.0
    assert wait_factor(1_000.0, 1_000.0 * LATE_PART * 1.3, 0.0, 1.0, 1.0) == 1.0


@pytest.mark.parametrize("is_paused", [False, True])
def test_the_wait_limit_falls_below_the_usual_one_during_overload(is_paused):
    """Guards against engines so full that a third of all answers is late."""
    factors = []
    for part in (0.5 * LATE_PART, LATE_PART, 1.5 * LATE_PART, 2.1 * LATE_PART):
        late, paused = (0.0, 1_000.0 * part) if is_paused else (1_000.0 * part, 0.0)
        in_time = 1_000.0 - late
        factors.append(wait_factor(in_time, late, paused, OVERLOAD_RATIO, 1.0))
    assert factors[:2] == [1.0, 1.0]
    assert factors[1] > factors[2] > factors[3] == pytest.approx(MIN_WAIT_FACTOR)


def test_the_wait_limit_is_not_lowered_without_overload():
    """Guards against refusals while engines could serve all that is requested."""
    assert wait_factor(100.0, 100.0, 0.0, 1.0, 1.0) == 1.0


def test_the_wait_limit_is_the_usual_one_during_overload():
    """A few customers request far more than engines can serve, and all others little.

    The others would wait behind what is admitted of the overload beyond its shares.
    """
    calm, busy, overload = (
        wait_factor(900.0, 20.0, 0.0, requested, 1.0) for requested in (1, 1.7, 4)
    )
    assert calm > busy > overload == 1.0


def test_an_answer_counts_by_its_own_objective():
    timeliness = make_timeliness()
    timeliness.in_time_answers(0.0)
    timeliness.late_answers(0.0)
    for _ in range(30):
        timeliness.record_answer_start(0.4, 0.6)
        timeliness.record_answer_start(0.4, 0.25)
    assert timeliness.in_time_answers(0.1) == timeliness.late_answers(0.1) > 0


def test_the_wait_limit_is_lowered_only_if_the_settings_say_so():
    assert wait_factor(100.0, 100.0, 0.0, OVERLOAD_RATIO, 1.0, min_factor=1.0) == 1.0


def test_an_answer_that_pauses_is_counted_apart():
    timeliness = make_timeliness()
    timeliness.paused_answers(0.0)
    timeliness.late_answers(0.0)
    timeliness.record_answer_start(0.4, 0.6)
    timeliness.record_long_pause()
    assert timeliness.paused_answers(0.1) > timeliness.late_answers(0.1) == 0


@pytest.mark.parametrize(("late_part", "least", "most"), [(0.0, 1.9, 2.3), (0.3, 1, 1)])
def test_the_wait_setpoint_follows_late_answers(late_part, least, most):
    """The estimated wait is at its limit; the setpoint follows the late answers."""
    table = make_share_table()
    rows = (CustomerRates("club", 1_400_000, 1_400_000),)
    answers = 400.0
    for step in range(200):
        load = PartialLoad(
            70,
            (),
            rows,
            BASE_WAIT_SECONDS,
            1_400_000.0,
            in_time_answers=answers * (1 - late_part),
            late_answers=answers * late_part,
        )
        table.tick([load], 1_000_000.0, BASE_WAIT_SECONDS, step * TICK_SECONDS)
    assert least <= table.wait_setpoint_seconds / BASE_WAIT_SECONDS <= most
