"""How much is let in, by what callers see and not by an estimate alone.

The pattern: engines read faster than routers reckon, or answers begin sooner than the
estimate says, and callers are refused while engines stand idle.
"""

import pytest

from sesameford.gateway.shares import make_share_table
from sesameford.gateway.timeliness import LATE_PART, make_timeliness, wait_factor
from sesameford.load_messages import CustomerRates, PartialLoad

WANTED_SECONDS = 0.0875
TICK_SECONDS = 0.02


def test_without_answers_prompts_wait_as_long_as_they_may_at_the_least():
    assert wait_factor(0.0, 0.0, 0.0, 0.0) == 1.0


def test_the_fewer_answers_are_late_the_longer_prompts_may_wait():
    factors = [wait_factor(1_000.0, 10.0 * late, 1.0, 1.0) for late in range(40)]
    assert factors == sorted(factors, reverse=True)
    assert factors[0] > 2.0
    assert wait_factor(1_000.0, 1_000.0 * LATE_PART * 1.3, 1.0, 1.0) == 1.0


def test_in_a_flood_nothing_is_let_in_beyond_shares():
    """A few customers ask for far more than engines can do, and all others for little.

    Whoever asks for little would wait behind what the flood gets beyond its shares.
    """
    calm, busy, flood = (wait_factor(900.0, 20.0, asked, 1.0) for asked in (1, 1.7, 4))
    assert calm > busy > flood == 1.0


def test_an_answer_counts_by_its_own_objective():
    timeliness = make_timeliness()
    timeliness.in_time_answers(0.0)
    timeliness.late_answers(0.0)
    for _ in range(30):
        timeliness.record_answer_start(0.4, 0.6)
        timeliness.record_answer_start(0.4, 0.25)
    assert timeliness.in_time_answers(0.1) == timeliness.late_answers(0.1) > 0


@pytest.mark.parametrize(("late_part", "least", "most"), [(0.0, 1.9, 2.3), (0.3, 1, 1)])
def test_engines_that_are_in_time_are_let_work_more(late_part, least, most):
    """Prompts wait as long as they may by the estimate, and no caller notices."""
    table = make_share_table()
    rows = (CustomerRates("club", 1_400_000, 1_400_000),)
    answers = 400.0
    for step in range(200):
        load = PartialLoad(
            70,
            (),
            rows,
            WANTED_SECONDS,
            1_400_000.0,
            in_time_answers=answers * (1 - late_part),
            late_answers=answers * late_part,
        )
        table.tick([load], 1_000_000.0, WANTED_SECONDS, step * TICK_SECONDS)
    assert least <= table.wait_setpoint_seconds / WANTED_SECONDS <= most
