"""Estimates follow the actual cost of a customer's requests, not its hints."""

import pytest

from sesameford.effective import EffectiveTree
from sesameford.estimates import Estimates
from sesameford.tables import Request, TargetKind


def make_request(hint):
    kind = TargetKind.MODEL
    return Request("r", "c", kind, "m", 0.0, 1e9, 1, 10, hint, True, b"")


@pytest.mark.parametrize("wrong", [0.25, 4.0])
def test_wrong_hints_do_not_change_the_estimate(wrong):
    estimates = Estimates()
    for _ in range(40):
        estimates.record_cost(make_request(100.0 * wrong), 100.0)
    estimate = estimates.estimate(make_request(100.0 * wrong), EffectiveTree())
    assert estimate == pytest.approx(100.0, rel=0.15)


def test_a_first_request_is_estimated_by_its_hint_or_the_tree():
    estimates = Estimates()
    assert estimates.estimate(make_request(70.0), EffectiveTree()) == 70.0
    assert estimates.estimate(make_request(None), EffectiveTree()) == 129.0
