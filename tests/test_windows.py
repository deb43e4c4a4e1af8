"""A window follows completions: smaller where a target queues, then back again."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.windows import (
    CompletionTotals,
    adapt_window,
    make_window,
    regrow_window,
)

NOW_SECONDS = 100.0


def run_rounds(window, rounds, seconds_per_unit):
    for _ in range(rounds):
        pace = CompletionTotals(20, 2000.0, 2000.0 * seconds_per_unit)
        window = adapt_window(window, pace, NOW_SECONDS)
    return window


def test_a_target_that_queues_inside_gets_less_and_then_all_again():
    """A target says it runs 16 at once, but a neighbour takes half of its memory.

    Its requests take three times as long, and a caller that comes next waits inside
    the target, where nobody can put it in a fair order.
    """
    window = run_rounds(make_window(16), 3, 0.01)
    assert window.slots == 16
    slowed = run_rounds(window, 6, 0.03)
    assert slowed.slots < 16
    assert run_rounds(slowed, 12, 0.01).slots == 16


@settings(derandomize=True, max_examples=100)
@given(
    st.integers(1, 64),
    st.lists(st.tuples(st.integers(0, 100), st.floats(0.001, 10.0)), max_size=30),
)
def test_a_window_stays_between_half_and_all_of_the_announced_slots(announced, rounds):
    window = make_window(announced)
    for completions, seconds in rounds:
        pace = CompletionTotals(completions, 10.0 * completions, seconds * completions)
        window = adapt_window(window, pace, NOW_SECONDS)
        assert max(1, round(announced / 2)) <= window.slots <= announced


def test_a_target_of_long_requests_gets_all_again_without_completions():
    """A target is slow while two sides of a split fill it, and then completes little.

    Its window grew by completions alone, so it stood idle while customers waited.
    """
    slowed = run_rounds(run_rounds(make_window(3), 3, 0.01), 3, 0.03)
    assert slowed.slots == 2
    assert regrow_window(slowed, NOW_SECONDS + 3.0) == slowed
    grown = regrow_window(slowed, NOW_SECONDS + 5.0)
    assert grown.slots == 3
    assert regrow_window(grown, NOW_SECONDS + 50.0).slots == 3
    assert run_rounds(grown, 1, 0.03).slots == 2
