"""Windows shrink when a target queues requests internally, and grow back."""

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
        added = CompletionTotals(20, 2000.0, 2000.0 * seconds_per_unit)
        window = adapt_window(window, added, NOW_SECONDS)
    return window


def test_window_shrinks_while_target_queues_internally_and_recovers():
    """A target announces 16 slots, but another process uses half of its memory.

    Its requests take three times as long. Further requests would wait inside the
    target, where no scheduler can order them fairly.
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
        added = CompletionTotals(completions, 10.0 * completions, seconds * completions)
        window = adapt_window(window, added, NOW_SECONDS)
        assert max(1, round(announced / 2)) <= window.slots <= announced


def test_window_regrows_without_completions():
    """A target is slow while both sides of a network split fill it.

    Afterwards it completes few requests. When only completions enlarged the window,
    its slots stayed idle while customers waited.
    """
    slowed = run_rounds(run_rounds(make_window(3), 3, 0.01), 3, 0.03)
    assert slowed.slots == 2
    assert regrow_window(slowed, NOW_SECONDS + 3.0) == slowed
    grown = regrow_window(slowed, NOW_SECONDS + 5.0)
    assert grown.slots == 3
    assert regrow_window(grown, NOW_SECONDS + 50.0).slots == 3
    assert run_rounds(grown, 1, 0.03).slots == 2
