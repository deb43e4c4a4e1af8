"""Retries: only repeatable requests, and never more than the budget allows."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.retries import (
    MAX_ATTEMPTS,
    PROVEN_NOT_STARTED,
    AttemptHistory,
    Failure,
    RetryBudget,
    decide_retry,
    make_backoff,
    record_failure,
)
from sesameford.tables import Outcome


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    repeatable=st.booleans(),
    failures=st.lists(st.sampled_from(list(Failure)), min_size=1, max_size=6),
    passed_on_at=st.integers(0, 8),
    seed=st.integers(0, 9),
)
def test_a_retry_never_runs_a_request_twice_and_not_run_is_true(
    repeatable, failures, passed_on_at, seed
):
    """Attempts fail in every way and order. A request that must run once must not
    start twice, and "not run" must not be reported after a start."""
    budget = RetryBudget(1.0)
    backoff = make_backoff(seed)
    history = AttemptHistory(repeatable, deadline_at_seconds=5.0)
    now_seconds, may_have_started = 0.0, 0
    for number, failure in enumerate(failures):
        budget.record_first_attempt()
        if number == passed_on_at:
            history = AttemptHistory(
                repeatable, 5.0, history.attempts, history.may_have_run, True
            )
        may_have_started += failure not in PROVEN_NOT_STARTED
        history = record_failure(history, failure)
        decision = decide_retry(history, failure, budget, backoff, 1, now_seconds)
        if not decision.retry:
            if decision.outcome is Outcome.NOT_RUN:
                assert not may_have_started
                assert not history.has_relayed_bytes
            return
        assert repeatable or not may_have_started
        assert not history.has_relayed_bytes
        assert now_seconds <= decision.retry_at_seconds < 5.0
        assert number + 1 < MAX_ATTEMPTS
        now_seconds = decision.retry_at_seconds


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    routers=st.integers(1, 8),
    firsts=st.lists(st.integers(0, 40), min_size=1, max_size=30),
    fraction=st.floats(0.0, 0.5),
)
def test_retries_of_the_whole_fleet_stay_within_the_fraction(routers, firsts, fraction):
    """All targets are down and every request fails repeatedly. Without a budget the
    retries would multiply the load and keep the targets down."""
    budgets = [RetryBudget(fraction) for _ in range(routers)]
    for second, count in enumerate(firsts):
        for number in range(count):
            budget = budgets[number % routers]
            budget.record_first_attempt()
            for _ in range(MAX_ATTEMPTS):
                budget.spend_retry(routers, float(second))
    retries = sum(budget.retries for budget in budgets)
    floor = 2.0 * len(firsts) + routers
    assert retries <= fraction * sum(firsts) + floor + 1e-6


def test_backoff_grows_is_spread_and_repeats_with_its_seed():
    """All callers fail at the same time. With equal delays they would retry together
    and overload the target again."""
    first, second = make_backoff(1), make_backoff(1)
    delays = [first(4) for _ in range(50)]
    assert delays == [second(4) for _ in range(50)]
    assert max(delays) - min(delays) > 0.2
    assert max(make_backoff(2)(99) for _ in range(20)) <= 1.0
