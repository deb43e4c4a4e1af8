"""A window follows completions: smaller where a target queues, then back again."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.windows import Pace, adapt_window, make_window


def run_rounds(window, rounds, seconds_per_unit):
    for _ in range(rounds):
        window = adapt_window(window, Pace(20, 2000.0, 2000.0 * seconds_per_unit))
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
        pace = Pace(completions, 10.0 * completions, seconds * completions)
        window = adapt_window(window, pace)
        assert max(1, round(announced / 2)) <= window.slots <= announced
