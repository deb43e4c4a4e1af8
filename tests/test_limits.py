"""Limits are split over the fleet, and a refusal's retry delay is sufficient."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.effective import LimitSettings
from sesameford.errors import NotRunError
from sesameford.limits import Limits, split_fractions


@settings(derandomize=True, max_examples=100)
@given(st.dictionaries(st.text(max_size=3), st.floats(0.0, 1e6), min_size=1))
def test_fractions_are_a_split_of_one(wanted):
    fractions = split_fractions(wanted)
    assert sum(fractions.values()) == pytest.approx(1.0)
    assert all(fraction > 0.0 for fraction in fractions.values())


@settings(derandomize=True, max_examples=60)
@given(st.floats(0.5, 50.0), st.floats(0.05, 1.0), st.floats(0.001, 0.2))
def test_the_time_to_retry_is_when_it_fits(rate, fraction, step_seconds):
    limits = Limits()
    limits.configure({"c": LimitSettings(requests_per_second=rate)})
    limits.set_fraction("c", fraction)
    now = 0.0
    for _ in range(500):
        now += step_seconds
        try:
            limits.admit("c", now)
        except NotRunError as error:
            limits.admit("c", now + error.retry_after_seconds + 1e-6)
            return


def test_routers_together_keep_to_a_rate():
    rate = 10.0
    routers = [Limits() for _ in range(4)]
    for limits, fraction in zip(routers, (0.7, 0.1, 0.1, 0.1), strict=True):
        limits.configure({"c": LimitSettings(requests_per_second=rate)})
        limits.set_fraction("c", fraction)
    admitted = 0
    for step in range(2000):
        for limits in routers:
            try:
                limits.admit("c", step * 0.01)
                admitted += 1
            except NotRunError:
                pass
    # A burst of a second, and at least one request, at each router.
    assert admitted <= rate * 20.0 + rate + len(routers)


def test_a_backlog_that_arrived_long_ago_is_still_demand():
    """Forty requests of a customer wait at one router, and no new ones arrive.

    With arrivals alone as demand, its limit would be split evenly over all routers
    again, and its callers would wait several times as long as the limit requires.
    """
    limits = Limits()
    limits.configure({"c": LimitSettings(concurrent_requests=2)})
    for _ in range(40):
        limits.admit("c", 0.0)
    limits.record_start("c", 1.0, 0.0)
    fresh = limits.demand_rates(0.0, lambda customer: 39)["c"]
    assert limits.demand_rates(60.0, lambda customer: 39)["c"] == pytest.approx(fresh)
    limits.record_end("c")
    assert limits.demand_rates(60.0, lambda customer: 0)["c"] < 0.01 * fresh
