"""Customers get their shares while admission and the start of work differ among them.

Callers leave, engines fail requests with or without having worked on them, and other
checks refuse requests before the share is asked: a part of each customer's requests,
another part for each customer. What engines start for them must still be fair.
"""

from random import Random

import pytest

from standins.virtual_shares import make_virtual_shares
from tests.shares_fixture import (
    ALL_ROUTERS,
    ENGINES_TOKENS,
    LOSS_BEGIN_SECONDS,
    LOSS_SECONDS,
    OVERLOAD_TOKENS_PER_SECOND,
    REPLICAS,
    ROUTERS,
    SIZE_TOKENS,
    Losses,
    make_overload,
    make_overloads,
    play_losses,
    set_losses,
)

LOSS_END_SECONDS = LOSS_BEGIN_SECONDS + LOSS_SECONDS
# The part of its even share that each rival keeps while calls of others always fail.
MIN_KEPT_PART = 0.9
SEEDS = (1, 5, 9)


def rising(count, most):
    """Return parts from zero to ``most`` that rise over all customers."""
    return {f"wide-{number}": most * number / (count - 1) for number in range(count)}


def first(count, part):
    """Return the same part for the first customers."""
    return {f"wide-{number}": part for number in range(count)}


def find_unfair_shares(fleet):
    """Return the unfair shares, without the usual allowance of some requests."""
    begin = int(LOSS_BEGIN_SECONDS) - 2
    return fleet.ledger.find_unfair_shares(begin, int(fleet.now_seconds), 0)


LARGE = make_overload(tokens_per_second=3_000_000.0)


@pytest.mark.parametrize(
    ("demands", "left"),
    [
        (make_overloads(11), first(1, 0.7)),
        (make_overloads(10, large=LARGE), {"large": 0.7}),
        (make_overloads(12), first(4, 0.7)),
        (make_overloads(11), rising(11, 0.8)),
        (make_overloads(24), first(9, 0.8)),
        (make_overloads(5, 900_000.0), rising(5, 0.7)),
    ],
)
def test_callers_that_leave_before_work_begins_cost_no_customer_its_share(
    demands, left
):
    """Guards against shares that are right at admission while callers leave early."""
    fleet = play_losses(demands, Losses(left=left))
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize("failed_work", [False, True])
@pytest.mark.parametrize(
    ("demands", "failed"),
    [
        (make_overloads(11), rising(11, 0.8)),
        (make_overloads(11), first(10, 0.6)),
        (make_overloads(11), first(5, 0.6)),
        (make_overloads(4, 1_000_000.0), rising(4, 0.6)),
        (make_overloads(10, large=LARGE), {"large": 0.6}),
        (
            make_overloads(11),
            {f"wide-{number}": 0.2 + 0.05 * number for number in range(11)},
        ),
        (make_overloads(21), first(1, 0.75)),
    ],
)
def test_unequal_failures_leave_each_customer_half_of_the_best_served(
    demands, failed, failed_work
):
    """Guards against raises in proportion to losses, which help none of them enough."""
    losses = Losses(failed=failed, failed_work=failed_work)
    assert find_unfair_shares(play_losses(demands, losses)) == []


@pytest.mark.parametrize(
    ("demands", "losses"),
    [
        (make_overloads(11), Losses(refused=first(1, 0.6))),
        (make_overloads(10, large=LARGE), Losses(refused={"large": 0.8})),
        (make_overloads(10, large=LARGE), Losses(refused={"large": 0.9})),
        (make_overloads(11, 1_500_000.0), Losses(refused=rising(11, 0.8))),
        (make_overloads(11), Losses(refused=first(1, 0.5), failed=first(1, 0.4))),
    ],
)
def test_requests_refused_for_other_reasons_take_no_part_of_a_share(demands, losses):
    """Guards against a fraction that is applied to what other checks have left."""
    assert find_unfair_shares(play_losses(demands, losses)) == []


def test_a_customer_is_served_all_that_other_checks_leave_of_its_share():
    """Guards against refusals by the share of what is less than the share."""
    losses = Losses(refused=first(1, 0.8))
    fleet = play_losses(make_overloads(11), losses)
    begin, end = int(LOSS_BEGIN_SECONDS), int(LOSS_END_SECONDS)
    remaining_tokens = (1.0 - losses.refused["wide-0"]) * OVERLOAD_TOKENS_PER_SECOND
    started_tokens = fleet.ledger.started_tokens("wide-0", begin, end)
    assert started_tokens >= 0.8 * remaining_tokens * (end - begin)


@pytest.mark.parametrize("kind", ["left", "failed"])
def test_losses_that_move_leave_each_customer_its_share(kind):
    """Guards against a correction that comes when the losses are elsewhere already."""
    demands = make_overloads(11)
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    fleet.play(LOSS_BEGIN_SECONDS, demands, Random(1))
    for number in (0, 1, 2, 0, 3):
        set_losses(fleet, Losses(**{kind: {f"wide-{number}": 0.8, "wide-9": 0.7}}))
        fleet.play(3.0, demands, Random(number))
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize("data_centres", [1, 3])
def test_a_replica_that_takes_over_knows_which_customers_lose_work(data_centres):
    """Guards against losses that a new aggregator has to learn of for seconds."""

    def suspend_aggregator(fleet):
        fleet.frozen.add("a")

    losses = Losses(left=first(3, 0.7))
    fleet = play_losses(
        make_overloads(11),
        losses,
        data_centres=data_centres,
        during=suspend_aggregator,
    )
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize(
    "losses",
    [Losses(left=first(3, 0.7)), Losses(failed=rising(11, 0.7), failed_work=True)],
)
def test_routers_that_are_cut_off_make_up_for_losses_by_themselves(losses):
    """Guards against shares of a cut-off router that follow what it admits alone."""

    def cut_off_routers(fleet):
        fleet.silent.update(
            (number, replica) for number in range(20) for replica in REPLICAS
        )

    fleet = play_losses(make_overloads(11), losses, during=cut_off_routers)
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize("kind", ["left", "failed"])
@pytest.mark.parametrize("failed_work", [False, True])
def test_calls_that_always_fail_take_no_more_than_a_tenth_of_ten_rivals(
    kind, failed_work
):
    """Guards against making up without a bound for calls that fail on purpose."""
    demands = make_overloads(11)
    losses = Losses(**{kind: first(1, 1.0)}, failed_work=failed_work)
    fleet = play_losses(demands, losses)
    begin, end = int(LOSS_BEGIN_SECONDS), int(LOSS_END_SECONDS)
    even_tokens = (end - begin) * ENGINES_TOKENS / len(demands)
    started_tokens = [
        fleet.ledger.started_tokens(f"wide-{number}", begin, end)
        for number in range(1, 11)
    ]
    # Requests are few, so each rival by itself differs by some of them.
    assert sum(started_tokens) / len(started_tokens) >= MIN_KEPT_PART * even_tokens
    assert min(started_tokens) >= MIN_KEPT_PART * even_tokens - 3 * SIZE_TOKENS


@pytest.mark.parametrize("failed_work", [False, True])
@pytest.mark.parametrize(
    ("lost_fraction", "rivals", "seconds"),
    [(2 / 3, 10, 8.0), (0.75, 20, 8.0), (1.0, 10, 3.0), (0.6, 6, 8.0)],
)
@pytest.mark.parametrize("routers", [ALL_ROUTERS, (3, 4)])
def test_a_customer_whose_admitted_work_is_lost_still_gets_half_of_its_share(
    lost_fraction, rivals, seconds, routers, failed_work
):
    """Guards against shares that are right at admission and lost before work begins."""
    losses = Losses(failed={"lost": lost_fraction}, failed_work=failed_work)
    demands = make_overloads(rivals, lost=make_overload(routers))
    fleet = play_losses(demands, losses, seconds)
    assert fleet.ledger.find_unfair_shares(4, 18) == []


@pytest.mark.parametrize(("losing", "customers", "tokens"), [(3, 11, 1.0), (1, 4, 2.2)])
def test_requests_that_fail_at_once_are_made_up_for_to_several_customers(
    losing, customers, tokens
):
    """Guards against a bound for the others that keeps what costs them nothing."""
    demands = make_overloads(customers, tokens * OVERLOAD_TOKENS_PER_SECOND)
    fleet = play_losses(demands, Losses(failed=first(losing, 2 / 3)))
    assert fleet.ledger.find_unfair_shares(4, 18) == []


def test_losses_that_move_from_customer_to_customer_leave_each_its_share():
    """Guards against a correction that comes when the losses are elsewhere already."""
    demands = make_overloads(11)
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    fleet.play(LOSS_BEGIN_SECONDS, demands, Random(1))
    for number in (0, 1, 2, 0, 1):
        fleet.failed_fractions = {f"wide-{number}": 0.8}
        fleet.play(2.0, demands, Random(number))
    assert fleet.ledger.find_unfair_shares(4, 16) == []


@pytest.mark.parametrize("failed_work", [False, True])
@pytest.mark.parametrize(("failing", "fraction"), [(1, 1.0), (1, 0.9), (3, 0.9)])
def test_customers_whose_calls_always_fail_take_no_more_than_a_tenth_of_the_others(
    failing, fraction, failed_work
):
    """Guards against feeding customers whose calls fail by their own doing."""
    losses = Losses(failed=first(failing, fraction), failed_work=failed_work)
    calm = [started_in_losses(Losses(), seed) for seed in SEEDS]
    kept = [started_in_losses(losses, seed) for seed in SEEDS]
    for number in range(failing, 11):
        before_tokens = sum(started[number] for started in calm)
        # The requests of a customer in one play are few.
        assert sum(started[number] for started in kept) >= 0.9 * before_tokens


def started_in_losses(losses, seed):
    """Return the tokens that eleven customers are served while losses last."""
    fleet = play_losses(make_overloads(11), losses, seed=seed)
    begin, end = int(LOSS_BEGIN_SECONDS), int(LOSS_END_SECONDS)
    return [
        fleet.ledger.started_tokens(f"wide-{number}", begin, end)
        for number in range(11)
    ]
