"""The balance of customers' recent service, and what making up for losses takes."""

import pytest

from sesameford.gateway.lost_work import (
    MIN_STARTED_PART,
    LostWork,
    ServedRates,
    make_lost_work_estimator,
)
from sesameford.gateway.service_balance import make_service_balance
from sesameford.gateway.share_weights import (
    MAX_RECOVERY_PART,
    MAX_UNRECOVERED_PART,
    PROMISED_PART,
    make_standings,
    share_weights,
)

DUE = 100.0


def weights_of(served, seconds=4.0, worked_part=1.0):
    """Return the weights after some seconds of the same service.

    Engines have worked on ``worked_part`` of what is lost.
    """
    balance = make_service_balance()
    due = dict.fromkeys(served, DUE)
    started = {customer: rates.started_tokens for customer, rates in served.items()}
    now_seconds = 0.0
    while now_seconds < seconds:
        balance.update(due, started, now_seconds)
        now_seconds += 0.1
    lost = LostWork(
        {customer: rates.started_part for customer, rates in served.items()},
        worked_part,
    )
    return share_weights(
        make_standings(
            balance.served_parts(due),
            {customer: lost.started_part(customer) for customer in served},
            {customer: lost.work_part(customer) for customer in served},
        )
    )


def test_one_customer_without_service_does_not_make_others_seem_ahead():
    served = {f"c{number}": ServedRates(DUE) for number in range(10)}
    weights = weights_of({**served, "lost": ServedRates(0.0, DUE)})
    assert weights.pop("lost") > 1.5
    assert set(weights.values()) == {1.0}


@pytest.mark.parametrize("lost", [1, 3, 5])
@pytest.mark.parametrize("customers", [11, 60])
def test_raised_customers_take_a_small_part_from_the_others(lost, customers):
    """Guards against losses of a customer's own doing that take what others had."""
    served = {f"c{number}": ServedRates(DUE) for number in range(customers - lost)}
    for number in range(lost):
        served[f"lost-{number}"] = ServedRates(0.0, DUE)
    weights = weights_of(served)
    assert customers / sum(weights.values()) >= 1.0 - MAX_UNRECOVERED_PART - 1e-9


def test_losses_raise_a_customer_at_once():
    served = {f"c{number}": ServedRates(DUE) for number in range(20)}
    weights = weights_of({**served, "lost": ServedRates(DUE / 2, DUE / 2)}, 0.3)
    assert weights["lost"] >= 2.0


def test_a_customer_that_got_more_than_others_gets_less():
    served = {f"c{number}": ServedRates(DUE) for number in range(10)}
    weights = weights_of({**served, "ahead": ServedRates(1.4 * DUE)})
    assert weights["ahead"] == pytest.approx(0.4, abs=0.15)


def test_losses_without_work_of_engines_are_made_up_for_whole():
    """Guards against a bound that protects others from what costs them nothing."""
    served = {f"c{number}": ServedRates(DUE) for number in range(8)}
    for number in range(4):
        served[f"lost-{number}"] = ServedRates(0.3 * DUE, 0.7 * DUE)
    weights = weights_of(served, worked_part=0.0)
    assert min(weights[f"lost-{number}"] for number in range(4)) >= 3.0


def test_customers_that_can_be_brought_to_the_promised_part_come_first():
    """Guards against calls that always fail and use up what would help another one."""
    served = {f"c{number}": ServedRates(DUE) for number in range(9)}
    served["failing"] = ServedRates(0.0, DUE)
    served["lost"] = ServedRates(0.4 * DUE, 0.6 * DUE)
    weights = weights_of(served)
    assert 0.4 * weights["lost"] >= PROMISED_PART


def test_customers_ahead_of_the_usual_one_give_way_to_those_behind():
    """Most customers lose work, so that those that lose none are ahead of the usual."""
    parts = [1.0 - 0.08 * number for number in range(11)]
    served = {
        f"c{number}": ServedRates(part * DUE, (1.0 - part) * DUE)
        for number, part in enumerate(parts)
    }
    weights = weights_of(served, 0.3)
    got = [part * weights[f"c{number}"] for number, part in enumerate(parts)]
    assert min(got) >= PROMISED_PART * max(got)


@pytest.mark.parametrize("lost", [1, 3, 5])
def test_recovered_customers_leave_the_others_most_of_their_share(lost):
    served = {f"c{number}": ServedRates(DUE) for number in range(11 - lost)}
    for number in range(lost):
        served[f"lost-{number}"] = ServedRates(0.4 * DUE, 0.6 * DUE)
    weights = weights_of(served)
    assert 11 / sum(weights.values()) >= 1.0 - MAX_RECOVERY_PART - 1e-9
    raised = [weights[f"lost-{number}"] for number in range(lost)]
    assert 0.4 * min(raised) >= PROMISED_PART


def worked_part_of(served, busy_part, seconds=8.0):
    """Return the worked part after calm seconds and some with other service."""
    estimator = make_lost_work_estimator()
    calm = {customer: ServedRates(DUE) for customer in served}
    for tick in range(100):
        estimator.update(calm, 0.0, 0.0, 1.0, 0.1 * tick)
    for tick in range(round(10 * seconds)):
        estimator.update(served, 0.0, 0.0, busy_part, 10.0 + 0.1 * tick)
    return estimator.worked_part


def test_busy_engines_that_start_less_than_before_work_on_lost_requests():
    """Guards against forgetting in the meantime what engines can start."""
    served = {"a": ServedRates(DUE), "lost": ServedRates(0.2 * DUE, 0.8 * DUE)}
    assert worked_part_of(served, 1.0, 30.0) == pytest.approx(1.0)


def test_engines_that_start_as_much_as_before_do_not_work_on_lost_requests():
    served = {"a": ServedRates(1.5 * DUE), "lost": ServedRates(0.5 * DUE, DUE)}
    assert worked_part_of(served, 1.0) == pytest.approx(0.0)


def test_idle_engines_do_not_work_on_lost_requests():
    served = {"a": ServedRates(DUE), "lost": ServedRates(0.0, DUE)}
    assert worked_part_of(served, 0.0) == 0.0


def test_nothing_is_compared_while_hardly_anything_starts():
    """Guards against admitting ten times as much while no engine answers."""
    served = {name: ServedRates(0.0, DUE) for name in ("a", "b", "c")}
    lost = make_lost_work_estimator().lost_work(served, served)
    assert ServedRates(0.0, DUE).started_part == MIN_STARTED_PART
    assert {lost.work_part(name) for name in served} == {1.0}


def test_failed_requests_count_as_work_as_far_as_engines_spend_on_them():
    served = {"a": ServedRates(DUE), "lost": ServedRates(DUE, DUE)}
    worked_tokens = make_lost_work_estimator().update(
        served, 3 * DUE, 2.5 * DUE, 1.0, 0.0
    )
    assert worked_tokens == pytest.approx(2.5 * DUE)
