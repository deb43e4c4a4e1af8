"""Water levels match a direct computation, and moves bring levels together."""

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.allocation import (
    CustomerBacklog,
    Holder,
    Horizon,
    find_moves,
    water_level,
)

BACKLOGS = st.lists(
    st.tuples(
        st.floats(0.0, 100.0), st.floats(0.5, 50.0), st.sampled_from([0.5, 1.0, 3.0])
    ),
    min_size=1,
    max_size=6,
)


@settings(derandomize=True, max_examples=200)
@given(BACKLOGS, st.floats(0.0, 200.0))
def test_service_below_the_level_equals_the_given_service(rows, cost_units):
    backlogs = sorted(
        (CustomerBacklog(str(index), *row) for index, row in enumerate(rows)),
        key=lambda backlog: backlog.virtual_time,
    )
    level = water_level(backlogs, cost_units)
    waiting = sum(backlog.waiting_cost_units for backlog in backlogs)
    if level == inf:
        assert cost_units >= waiting - 1e-6
        return
    served = sum(
        min(
            max(level - backlog.virtual_time, 0.0) * backlog.share,
            backlog.waiting_cost_units,
        )
        for backlog in backlogs
    )
    assert served == pytest.approx(cost_units, abs=1e-6)


def test_moves_stop_before_the_holder_behind_gets_ahead():
    horizon = Horizon(100.0, 0.0, 0.1)
    ahead = Holder("a", "m", [CustomerBacklog("x", 1000.0, 1e6, 1.0)], 10, 50)
    behind = Holder("b", "m", [CustomerBacklog("y", 0.0, 1e6, 1.0)], 10, 50)
    ahead.update_level(horizon)
    behind.update_level(horizon)
    moves = find_moves([ahead, behind], 0, horizon, 100.0, lambda one, other: True)
    assert {move.to_holder_id for move in moves} == {"b"}
    assert 3 <= len(moves) <= 6
    assert ahead.level >= behind.level
