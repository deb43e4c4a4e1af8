"""The retry budget over a fleet of routers that exchange no messages."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.gateway.second_sends import make_second_sends
from sesameford.settings import RetryBudgetSettings

BUDGET = RetryBudgetSettings(fraction=0.2, window_seconds=10.0, spare_requests=50)


@settings(derandomize=True, max_examples=30)
@given(
    routers=st.integers(1, 40),
    seed=st.integers(0, 1000),
    rate=st.floats(1.0, 60.0),
    failing=st.floats(0.0, 1.0),
)
def test_the_sum_of_all_routers_stays_within_the_budget_in_each_window(
    routers, seed, rate, failing
):
    """Servers fail a part of all requests for a while, and every router retries.

    Beyond the budget, retries would overload servers that already fail to answer the
    first attempts.
    """
    random = Random(seed)
    fleet = [make_second_sends(BUDGET) for _ in range(routers)]
    now, first, retries = 0.0, [], []
    while now < 25.0:
        now += random.expovariate(rate)
        router = random.choice(fleet)
        router.record_request("pool", now)
        first.append(now)
        is_failing = 5.0 < now < 20.0 and random.random() < failing
        if is_failing and router.try_acquire("pool", routers, now):
            retries.append(now)
    for end in retries:
        begin = end - BUDGET.window_seconds
        requested = sum(begin < one <= end for one in first)
        retried = sum(begin < one <= end for one in retries)
        assert retried <= BUDGET.fraction * requested + BUDGET.spare_requests


def test_a_service_without_requests_gets_its_part_of_the_spare_retries():
    sends = make_second_sends(BUDGET)
    allowed = sum(sends.try_acquire("pool", 5, 1.0) for _ in range(50))
    assert 5 <= allowed <= BUDGET.spare_requests / 5


def test_each_service_has_its_own_budget():
    sends = make_second_sends(BUDGET)
    while sends.try_acquire("pool", 1, 1.0):
        pass
    assert sends.try_acquire("desk", 1, 1.0)


def test_retries_outside_the_window_no_longer_count():
    sends = make_second_sends(BUDGET)
    while sends.try_acquire("pool", 1, 1.0):
        pass
    assert sends.try_acquire("pool", 1, 1.0 + BUDGET.window_seconds + 0.1)
