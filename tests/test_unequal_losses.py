"""Customers get their shares while admission and the start of work differ among them.

Callers leave, engines fail requests with or without having worked on them, and other
checks refuse requests before the share is asked: a part of each customer's requests,
another part for each customer. What engines start for them must still be fair.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from standins.virtual_shares import Demand, make_virtual_shares

ROUTERS = 70
ALL_ROUTERS = tuple(range(ROUTERS))
REPLICAS = ("a", "b", "c")
ENGINES_TOKENS = 2_000_000.0
TOKENS_PER_SECOND = 405_000.0
SIZE_TOKENS = 4_500
OVERLOAD_BEGIN_SECONDS = 2.0
# Losses begin when routers, replicas and shares have settled.
LOSS_BEGIN_SECONDS = 6.0
LOSS_SECONDS = 8.0
RECOVERY_SECONDS = 4.0
# The part of its even share that each rival keeps while calls of others always fail.
MIN_KEPT_PART = 0.9


@dataclass(frozen=True, slots=True)
class Losses:
    """What is lost of each customer's requests, as parts of 1 by customer."""

    left: dict[str, float] = field(default_factory=dict)
    failed: dict[str, float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    failed_work: bool = False


NO_LOSSES = Losses()


def overload(tokens_per_second=TOKENS_PER_SECOND, routers=ALL_ROUTERS):
    """Return a demand above the customer's share."""
    return Demand(
        tokens_per_second, routers, SIZE_TOKENS, from_seconds=OVERLOAD_BEGIN_SECONDS
    )


def overloads(count, tokens_per_second=TOKENS_PER_SECOND, **others):
    """Return overloads of some customers, and the demands of others."""
    names = [f"c{number}" for number in range(count)]
    return {**{name: overload(tokens_per_second) for name in names}, **others}


def rising(count, most):
    """Return parts from zero to ``most`` that rise over all customers."""
    return {f"c{number}": most * number / (count - 1) for number in range(count)}


def first(count, part):
    """Return the same part for the first customers."""
    return {f"c{number}": part for number in range(count)}


def set_losses(fleet, losses):
    """Let the fleet lose requests from now on."""
    fleet.left_fractions = losses.left
    fleet.failed_fractions = losses.failed
    fleet.refused_fractions = losses.refused
    fleet.failed_work = losses.failed_work


def play_losses(demands, losses, seed=1, data_centres=1, during=lambda fleet: None):
    """Play calm seconds, losses, and calm seconds; return the fleet.

    ``during`` is called in the middle of the losses.
    """
    fleet = make_virtual_shares(
        ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=data_centres
    )
    fleet.play(LOSS_BEGIN_SECONDS, demands, Random(seed))
    set_losses(fleet, losses)
    fleet.play(LOSS_SECONDS / 2, demands, Random(seed + 1))
    during(fleet)
    fleet.play(LOSS_SECONDS / 2, demands, Random(seed + 2))
    set_losses(fleet, NO_LOSSES)
    fleet.play(RECOVERY_SECONDS, demands, Random(seed + 3))
    return fleet


def find_unfair_shares(fleet):
    """Return the unfair shares, without the usual allowance of some requests."""
    begin = int(LOSS_BEGIN_SECONDS) - 2
    return fleet.ledger.find_unfair_shares(begin, int(fleet.now_seconds), 0)


LARGE = overload(3_000_000.0)


@pytest.mark.parametrize(
    ("demands", "left"),
    [
        (overloads(11), first(1, 0.7)),
        (overloads(10, large=LARGE), {"large": 0.7}),
        (overloads(12), first(4, 0.7)),
        (overloads(11), rising(11, 0.8)),
        (overloads(24), first(9, 0.8)),
        (overloads(5, 900_000.0), rising(5, 0.7)),
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
        (overloads(11), rising(11, 0.8)),
        (overloads(11), first(10, 0.6)),
        (overloads(11), first(5, 0.6)),
        (overloads(4, 1_000_000.0), rising(4, 0.6)),
        (overloads(10, large=LARGE), {"large": 0.6}),
        (overloads(11), {f"c{number}": 0.2 + 0.05 * number for number in range(11)}),
        (overloads(21), first(1, 0.75)),
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
        (overloads(11), Losses(refused=first(1, 0.6))),
        (overloads(10, large=LARGE), Losses(refused={"large": 0.8})),
        (overloads(10, large=LARGE), Losses(refused={"large": 0.9})),
        (overloads(11, 1_500_000.0), Losses(refused=rising(11, 0.8))),
        (overloads(11), Losses(refused=first(1, 0.5), failed=first(1, 0.4))),
    ],
)
def test_requests_refused_for_other_reasons_take_no_part_of_a_share(demands, losses):
    """Guards against a fraction that is applied to what other checks have left."""
    assert find_unfair_shares(play_losses(demands, losses)) == []


def test_a_customer_is_served_all_that_other_checks_leave_of_its_share():
    """Guards against refusals by the share of what is less than the share."""
    losses = Losses(refused=first(1, 0.8))
    fleet = play_losses(overloads(11), losses)
    begin, end = int(LOSS_BEGIN_SECONDS), int(LOSS_BEGIN_SECONDS + LOSS_SECONDS)
    remaining_tokens = (1.0 - losses.refused["c0"]) * TOKENS_PER_SECOND
    started_tokens = fleet.ledger.started_tokens("c0", begin, end)
    assert started_tokens >= 0.8 * remaining_tokens * (end - begin)


@pytest.mark.parametrize("kind", ["left", "failed"])
def test_losses_that_move_leave_each_customer_its_share(kind):
    """Guards against a correction that comes when the losses are elsewhere already."""
    demands = overloads(11)
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    fleet.play(LOSS_BEGIN_SECONDS, demands, Random(1))
    for number in (0, 1, 2, 0, 3):
        set_losses(fleet, Losses(**{kind: {f"c{number}": 0.8, "c9": 0.7}}))
        fleet.play(3.0, demands, Random(number))
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize("data_centres", [1, 3])
def test_a_replica_that_takes_over_knows_which_customers_lose_work(data_centres):
    """Guards against losses that a new aggregator has to learn of for seconds."""

    def suspend_aggregator(fleet):
        fleet.frozen.add("a")

    losses = Losses(left=first(3, 0.7))
    fleet = play_losses(overloads(11), losses, 1, data_centres, suspend_aggregator)
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

    fleet = play_losses(overloads(11), losses, during=cut_off_routers)
    assert find_unfair_shares(fleet) == []


@pytest.mark.parametrize("kind", ["left", "failed"])
@pytest.mark.parametrize("failed_work", [False, True])
def test_calls_that_always_fail_take_no_more_than_a_tenth_of_ten_rivals(
    kind, failed_work
):
    """Guards against making up without a bound for calls that fail on purpose."""
    demands = overloads(11)
    losses = Losses(**{kind: first(1, 1.0)}, failed_work=failed_work)
    fleet = play_losses(demands, losses)
    begin, end = int(LOSS_BEGIN_SECONDS), int(LOSS_BEGIN_SECONDS + LOSS_SECONDS)
    even_tokens = (end - begin) * ENGINES_TOKENS / len(demands)
    started_tokens = [
        fleet.ledger.started_tokens(f"c{number}", begin, end) for number in range(1, 11)
    ]
    # Requests are few, so each rival by itself differs by some of them.
    assert sum(started_tokens) / len(started_tokens) >= MIN_KEPT_PART * even_tokens
    assert min(started_tokens) >= MIN_KEPT_PART * even_tokens - 3 * SIZE_TOKENS
