"""A customer whose callers all overload one router gets no more than its share.

64 routers receive eleven overloads. The calls of one router cost processor time, which
limits how many of them it can refuse in time.
"""

from random import Random

import pytest

from sesameford.gateway.dispatch_limit import MAX_WAITING_CALLS
from standins.virtual_loop import UNREAD_SECONDS, CallCosts
from standins.virtual_shares import Demand, make_virtual_shares

ROUTERS = 64
ALL_ROUTERS = tuple(range(ROUTERS))
REPLICAS = ("a", "b", "c", "d", "e", "f")
ENGINES_TOKENS = 2_500_000.0
SIZE_TOKENS = 4_500
SERVED_SECONDS = 0.004
FLOOD_BEGIN_SECONDS = 2.0
END_SECONDS = 14.0


def flood(tokens_per_second, routers):
    """Return a demand above the customer's share that begins after some seconds."""
    return Demand(
        tokens_per_second, routers, SIZE_TOKENS, from_seconds=FLOOD_BEGIN_SECONDS
    )


def play_flood(calls_per_second, costs, seed):
    """Simulate an overload at one router beside ten at all others."""
    demands = {
        f"wide-{number}": flood(500_000.0, ALL_ROUTERS[1:]) for number in range(10)
    }
    demands["one"] = flood(calls_per_second * SIZE_TOKENS, ALL_ROUTERS[:1])
    fleet = make_virtual_shares(
        ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=3, customers=("one",)
    )
    fleet.set_call_costs(0, costs)
    fleet.play(END_SECONDS, demands, Random(seed))
    return fleet


def find_unfair_shares(fleet):
    """Return the unfair shares during the overload."""
    return fleet.ledger.find_unfair_shares(
        int(FLOOD_BEGIN_SECONDS) + 1, int(END_SECONDS)
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("calls_per_second", "refused_seconds"),
    [(400, 0.0002), (400, 0.002), (1_200, 0.0005)],
)
def test_an_overload_that_its_router_can_refuse_gets_its_share(
    calls_per_second, refused_seconds, seed
):
    """Guards against a smaller share at one router, or calls that are never read."""
    costs = CallCosts(refused_seconds, SERVED_SECONDS)
    fleet = play_flood(calls_per_second, costs, seed)
    assert find_unfair_shares(fleet) == []
    loop = fleet.loops[0]
    assert loop.not_connected == loop.left_unread == 0
    assert loop.longest_unread_seconds < 0.5 * UNREAD_SECONDS


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("calls_per_second", "refused_seconds"),
    [
        (1_200, 0.002),
        (2_500, 0.0005),
        (2_500, 0.002),
        (6_000, 0.0002),
        (6_000, 0.0005),
        (6_000, 0.002),
    ],
)
def test_an_overload_that_keeps_its_router_late_gets_its_share(
    calls_per_second, refused_seconds, seed
):
    """Guards against hardly serving a customer whose router refuses calls too late."""
    costs = CallCosts(refused_seconds, SERVED_SECONDS)
    assert find_unfair_shares(play_flood(calls_per_second, costs, seed)) == []


@pytest.mark.parametrize("seed", range(2))
def test_admitted_calls_are_dispatched_before_their_callers_leave(seed):
    """Guards against a share that its router can't dispatch in time.

    Each call costs the router twenty times the usual, so its share is more than it can
    serve.
    """
    fleet = play_flood(600, CallCosts(0.0002, 20 * SERVED_SECONDS), seed)
    loop = fleet.loops[0]
    longest_turn_seconds = MAX_WAITING_CALLS * 20 * SERVED_SECONDS
    assert loop.longest_dispatch_seconds < longest_turn_seconds
