"""Who is served over a whole fleet: many routers, replicas that add up, one queue."""

from random import Random

import pytest

from standins.share_ledger import WINDOW_SECONDS
from standins.virtual_shares import Demand, make_virtual_shares

ROUTERS = 70
ALL = tuple(range(ROUTERS))
REPLICAS = ("a", "b", "c")
ENGINES_TOKENS = 2_000_000.0
ASKED_TOKENS = 405_000.0
SIZE_TOKENS = 4_500
# A flood begins here; before it, routers and replicas find each other.
FLOOD_SECONDS = 2.0
END_SECONDS = 14.0
# Between two links that a replica gets back after it has woken.
DIALLED_SECONDS = 0.02


def flood(routers):
    """Return a customer that asks for far too much by some routers."""
    return Demand(ASKED_TOKENS, routers, SIZE_TOKENS, from_seconds=FLOOD_SECONDS)


def floods(count, **others):
    """Return so many customers that reach all routers, and others."""
    return {**{f"wide-{number}": flood(ALL) for number in range(count)}, **others}


@pytest.mark.parametrize("seed", range(3))
def test_a_customer_of_many_routers_gets_as_much_as_one_of_few(seed):
    """Sixty customers ask twelve times what engines can do; two of them by few routers.

    Ninety requests a second of one customer meet seventy routers, each of which sees
    one a second and lets in a small part of them. One that always refuses the first
    few lets in nothing for seconds: the customer's callers were refused at every
    router, while those of a rival behind one router got their part.
    """
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    demands = floods(60, one=flood((3,)), two=flood((5, 6)))
    fleet.play(END_SECONDS, demands, Random(seed))
    # The burst before anybody is limited is behind the engines by then.
    assert (
        fleet.ledger.find_unfair_shares(int(FLOOD_SECONDS) + 1, int(END_SECONDS)) == []
    )


@pytest.mark.parametrize("kind", ["silent", "lost"])
def test_routers_that_don_t_hear_a_replica_share_like_all_others(kind):
    """Three routers are cut off from the replica that all others tell their loads.

    They tell the next one, which adds up these three alone. It sees little asked and
    limits hardly anybody: a customer behind one of them got twice what all others
    got, and its rivals' callers were refused for it. With ``lost`` the replica's
    heartbeats still come, only its answers don't, so routers go to and fro.
    """
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    demands = floods(10, one=flood((4,)))
    fleet.play(4.0, demands, Random(1))
    getattr(fleet, kind).update((number, "a") for number in (3, 4, 5))
    fleet.play(END_SECONDS - 4.0, demands, Random(2))
    assert fleet.ledger.find_unfair_shares(4, int(END_SECONDS)) == []
    # All who ask alike are served alike, not only half as well.
    least = fleet.ledger.started_tokens("wide-0", 8, int(END_SECONDS))
    assert fleet.ledger.started_tokens("one", 8, int(END_SECONDS)) < 1.5 * least


def test_customers_who_ask_alike_get_alike_in_a_calm_fleet():
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    demands = floods(10, one=flood((3,)), two=flood((5, 6)))
    fleet.play(END_SECONDS, demands, Random(1))
    assert fleet.ledger.find_unfair_shares(4, int(END_SECONDS)) == []
    got = [fleet.ledger.started_tokens(name, 8, int(END_SECONDS)) for name in demands]
    assert max(got) < 1.5 * min(got)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_let_in_without_a_limit_while_another_replica_takes_over(seed):
    """The replica that adds up is cut off from all routers in the middle of a flood.

    They tell the next one, which hears the first of them some time before the last.
    Told by its sums of those few that hardly anything is asked, routers let the whole
    flood in for a moment: all callers waited behind it for half a second.
    """
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    demands = floods(20, one=flood((3,)))
    fleet.play(6.0, demands, Random(seed))
    before = fleet.tokens_admitted_without_limit()
    fleet.silent.update((number, "a") for number in ALL)
    fleet.play(6.0, demands, Random(seed + 1))
    assert fleet.tokens_admitted_without_limit() == before
    assert fleet.ledger.find_unfair_shares(4, 12) == []


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_let_in_without_a_limit_when_a_replica_wakes(seed):
    """The replica with the lowest id freezes, and wakes in a flood seconds later.

    Its links are dialled anew one after the other, and each router turns to it as soon
    as it hears it. It knows of no other routers than those that tell it, so its first
    sums, of a few, look whole. By them routers let the flood in for a moment, and all
    prompts waited for three seconds.
    """
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    fleet.play(2.0, {"small": Demand(100_000.0, ALL, SIZE_TOKENS)}, Random(seed))
    fleet.frozen.add("a")
    demands = floods(60, one=flood((3,)))
    fleet.play(8.0, demands, Random(seed + 1))
    before = fleet.tokens_admitted_without_limit()
    calm_seconds = fleet.longest_wait(6.0)
    fleet.frozen.clear()
    fleet.silent.update((number, "a") for number in ALL)
    fleet.isolated.add("a")
    for number in Random(seed).sample(ALL, ROUTERS):
        fleet.silent.discard((number, "a"))
        fleet.play(DIALLED_SECONDS, demands, Random(seed + 2))
    fleet.isolated.clear()
    fleet.play(3.0, demands, Random(seed + 3))
    assert fleet.tokens_admitted_without_limit() == before
    # Nobody waits much longer than in the flood before.
    assert fleet.longest_wait(10.0) < calm_seconds + 0.1


def test_engines_that_fail_in_part_are_kept_busy_with_the_rest():
    """All engines fail nearly half of what they are sent, at once, in a flood.

    They read the other half in half of the time. Taken for what engines can do, what
    they begin would go down from one moment to the next, to what is declared, while
    they stand idle and callers are turned away.
    """
    fleet = make_virtual_shares(
        ROUTERS, REPLICAS, ENGINES_TOKENS, ENGINES_TOKENS / 3, data_centres=3
    )
    demands = floods(20)
    fleet.play(6.0, demands, Random(1))
    fleet.failed_fraction = 0.45
    fleet.play(8.0, demands, Random(2))
    started_tokens = sum(fleet.ledger.started_tokens(name, 8, 14) for name in demands)
    assert started_tokens > 0.9 * 6 * ENGINES_TOKENS
    assert fleet.longest_wait(8.0) < 0.5


RISES_SECONDS = 7.0


@pytest.mark.parametrize("data_centres", [1, 3])
@pytest.mark.parametrize("routers", [ALL, (3,), (3, 9)])
@pytest.mark.parametrize(("rising", "before_tokens"), [(1, 100_000.0), (3, 20_000.0)])
def test_a_demand_that_rises_is_served_no_more_than_the_others(
    rising, before_tokens, routers, data_centres
):
    """Some customers ask for much more within a moment, while ten flood the fleet.

    Their old share, which was all, holds until what they ask is known, and lets in
    several seconds of an even share. Nothing took that back: in the next seconds their
    rivals' callers waited and were refused, and got half of what they got.
    """
    fleet = make_virtual_shares(
        ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=data_centres
    )
    names = [f"rising-{number}" for number in range(rising)]
    before = {name: Demand(before_tokens, routers, SIZE_TOKENS) for name in names}
    after = {name: Demand(1_500_000.0, routers, SIZE_TOKENS) for name in names}
    fleet.play(RISES_SECONDS, {**floods(10), **before}, Random(1))
    fleet.play(7.0, {**floods(10), **after}, Random(2))

    def got(name):
        begin = int(RISES_SECONDS)
        return fleet.ledger.started_tokens(name, begin, begin + WINDOW_SECONDS)

    usual = sum(got(f"wide-{number}") for number in range(10)) / 10
    for name in names:
        assert got(name) < 1.3 * usual
    assert fleet.ledger.find_unfair_shares(int(RISES_SECONDS) - 2, 14) == []


def test_customers_get_alike_while_replicas_are_cut_from_each_other():
    """One of three replicas is cut from the two others; routers hear all of them.

    Each data centre's routers reported to their own replica. By its sums alone, a
    customer behind one router would get the share of a third of the fleet, and one
    behind all routers three times as much.
    """
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=3)
    demands = floods(10, one=flood((3,)), two=flood((4, 5)))
    fleet.play(6.0, demands, Random(1))
    fleet.cut = {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    fleet.play(10.0, demands, Random(2))
    fleet.cut = set()
    fleet.play(8.0, demands, Random(3))
    assert fleet.ledger.find_unfair_shares(4, 24) == []
    for begin, end in ((8, 16), (17, 24)):
        got = [fleet.ledger.started_tokens(name, begin, end) for name in demands]
        assert max(got) < 1.6 * min(got)


@pytest.mark.parametrize("seed", range(3))
def test_customers_get_alike_when_a_data_centre_loses_its_replica(seed):
    """A replica freezes; the routers of its data centre turn to another one."""
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=3)
    demands = floods(10, one=flood((4,)), two=flood((1, 7)))
    fleet.play(6.0, demands, Random(seed))
    before = fleet.tokens_admitted_without_limit()
    fleet.frozen.add("b")
    fleet.play(8.0, demands, Random(seed + 1))
    fleet.frozen.clear()
    fleet.play(8.0, demands, Random(seed + 2))
    assert fleet.tokens_admitted_without_limit() == before
    assert fleet.ledger.find_unfair_shares(4, 22) == []


def test_replicas_of_data_centres_add_up_all_routers():
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS, data_centres=3)
    fleet.play(10.0, floods(10), Random(1))
    assert [one.shares.routers for one in fleet.replicas.values()] == [ROUTERS] * 3


def test_replicas_exchange_nothing_while_one_hears_all_routers():
    """Loads of seventy routers are most of what a replica gets; twice that costs."""
    fleet = make_virtual_shares(ROUTERS, REPLICAS, ENGINES_TOKENS)
    # Routers that heard another one first turn to the first in order within two
    # seconds, and their last reports there count for less than two more.
    fleet.play(6.0, floods(10), Random(1))
    while_they_start = fleet.partial_loads_sent
    fleet.play(4.0, floods(10), Random(1))
    assert fleet.partial_loads_sent == while_they_start < 50
    fleet.silent.add((3, "a"))
    fleet.play(3.0, floods(10), Random(1))
    assert fleet.partial_loads_sent > while_they_start
    fleet.silent.clear()
    fleet.play(5.0, floods(10), Random(1))
    before = fleet.partial_loads_sent
    fleet.play(3.0, floods(10), Random(1))
    assert fleet.partial_loads_sent == before
