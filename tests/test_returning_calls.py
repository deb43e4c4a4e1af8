"""Callers who return after a refusal, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from sesameford.gateway.returning_calls import PERIOD_SECONDS, make_returning_calls

USUAL_SECONDS = 10.0


def test_a_caller_that_states_less_time_than_usual_has_waited():
    calls = make_returning_calls()
    assert calls.waited_seconds("r", USUAL_SECONDS, 0.0) == 0.0
    assert calls.waited_seconds("r", USUAL_SECONDS - 0.25, 0.1) == 0.25
    assert calls.waited_seconds("other", USUAL_SECONDS - 0.25, 0.1) == 0.0
    assert calls.waited_seconds("r", None, 0.1) == 0.0


def test_one_odd_timeout_is_forgotten():
    """Guards against all callers counting as returning after one long timeout."""
    calls = make_returning_calls()
    calls.waited_seconds("r", 100 * USUAL_SECONDS, 0.0)
    now_seconds = 0.0
    while calls.waited_seconds("r", USUAL_SECONDS, now_seconds):
        now_seconds += 0.1
    assert now_seconds < 2.1 * PERIOD_SECONDS


@given(st.lists(st.tuples(st.floats(0.0, 1e6), st.floats(0.0, 5.0)), max_size=40))
def test_nobody_has_waited_longer_than_the_longest_timeout(calls_made):
    calls, now_seconds, longest_seconds = make_returning_calls(), 0.0, 0.0
    for timeout_seconds, pause_seconds in calls_made:
        now_seconds += pause_seconds
        longest_seconds = max(longest_seconds, timeout_seconds)
        waited_seconds = calls.waited_seconds("r", timeout_seconds, now_seconds)
        assert 0.0 <= waited_seconds <= longest_seconds - timeout_seconds
