"""The budget of second sendings, over a fleet of routers that don't speak."""

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
def test_the_fleet_s_budget_holds_in_each_window(routers, seed, rate, failing):
    """Servers fail a part of all requests for a while, and every router sends again.

    If the sum went beyond the budget, the second sendings would keep servers busy
    that can't even answer the first ones.
    """
    random = Random(seed)
    fleet = [make_second_sends(BUDGET) for _ in range(routers)]
    now, first, second = 0.0, [], []
    while now < 25.0:
        now += random.expovariate(rate)
        router = random.choice(fleet)
        router.requested("pool", now)
        first.append(now)
        is_failing = 5.0 < now < 20.0 and random.random() < failing
        if is_failing and router.allowed("pool", routers, now):
            second.append(now)
    for end in second:
        begin = end - BUDGET.window_seconds
        asked = sum(begin < one <= end for one in first)
        sent_again = sum(begin < one <= end for one in second)
        assert sent_again <= BUDGET.fraction * asked + BUDGET.spare_requests


def test_a_quiet_service_has_its_part_of_the_spare_ones():
    sends = make_second_sends(BUDGET)
    allowed = sum(sends.allowed("pool", 5, 1.0) for _ in range(50))
    assert 5 <= allowed <= BUDGET.spare_requests / 5


def test_the_budget_of_one_service_is_not_another_s():
    sends = make_second_sends(BUDGET)
    while sends.allowed("pool", 1, 1.0):
        pass
    assert sends.allowed("desk", 1, 1.0)


def test_what_was_sent_again_long_ago_counts_no_more():
    sends = make_second_sends(BUDGET)
    while sends.allowed("pool", 1, 1.0):
        pass
    assert sends.allowed("pool", 1, 1.0 + BUDGET.window_seconds + 0.1)
