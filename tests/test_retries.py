"""Retries: only what may be repeated, and never more than the budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.retries import (
    MAX_ATTEMPTS,
    PROVEN_NOT_STARTED,
    AttemptHistory,
    Failure,
    RetryBudget,
    after_failure,
    decide_retry,
    make_backoff,
)
from sesameford.tables import Outcome


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    repeatable=st.booleans(),
    failures=st.lists(st.sampled_from(list(Failure)), min_size=1, max_size=6),
    passed_on_at=st.integers(0, 8),
    seed=st.integers(0, 9),
)
def test_a_retry_never_doubles_and_not_run_is_true(
    repeatable, failures, passed_on_at, seed
):
    """Attempts fail in every order and way. A second start of what may run once, or
    a "not run" after a start, is what callers must never meet."""
    budget = RetryBudget(1.0)
    backoff = make_backoff(seed)
    history = AttemptHistory(repeatable, deadline_at_seconds=5.0)
    now_seconds, may_have_started = 0.0, 0
    for number, failure in enumerate(failures):
        budget.attempted()
        if number == passed_on_at:
            history = AttemptHistory(
                repeatable, 5.0, history.attempts, history.may_have_run, True
            )
        may_have_started += failure not in PROVEN_NOT_STARTED
        history = after_failure(history, failure)
        decision = decide_retry(history, failure, budget, backoff, 1, now_seconds)
        if not decision.retry:
            if decision.outcome is Outcome.NOT_RUN:
                assert not may_have_started
                assert not history.bytes_passed_on
            return
        assert repeatable or not may_have_started
        assert not history.bytes_passed_on
        assert now_seconds <= decision.retry_at_seconds < 5.0
        assert number + 1 < MAX_ATTEMPTS
        now_seconds = decision.retry_at_seconds


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    routers=st.integers(1, 8),
    firsts=st.lists(st.integers(0, 40), min_size=1, max_size=30),
    fraction=st.floats(0.0, 0.5),
)
def test_retries_of_the_whole_fleet_keep_to_the_fraction(routers, firsts, fraction):
    """Every target is down and all requests of all routers fail again and again.
    Without a budget the retries would multiply the load that keeps them down."""
    budgets = [RetryBudget(fraction) for _ in range(routers)]
    for second, count in enumerate(firsts):
        for number in range(count):
            budget = budgets[number % routers]
            budget.attempted()
            for _ in range(MAX_ATTEMPTS):
                budget.take(routers, float(second))
    retries = sum(budget.retries for budget in budgets)
    floor = 2.0 * len(firsts) + routers
    assert retries <= fraction * sum(firsts) + floor + 1e-6


def test_backoff_grows_is_spread_and_repeats_with_its_seed():
    """All callers fail at the same moment. With equal delays they would come back
    together and fail together again."""
    first, second = make_backoff(1), make_backoff(1)
    delays = [first(4) for _ in range(50)]
    assert delays == [second(4) for _ in range(50)]
    assert max(delays) - min(delays) > 0.2
    assert max(make_backoff(2)(99) for _ in range(20)) <= 1.0
