"""What routers tell of their work and are told of all others', without a network."""

from sesameford.gateway.fleet_load import REPORT_VALID_SECONDS, make_fleet_load
from sesameford.messages import FleetLoad, PlaceLoad, RouterLoad


def told(places_by_router, now=1.0):
    """Return what each router is told after all have told theirs."""
    book = make_fleet_load("replica")
    for router_id, places in places_by_router.items():
        book.received(RouterLoad(router_id, 1, places), now)
    return {one.receiver_id: one.message for one in book.totals(True, now)}


def test_a_router_is_told_the_work_of_all_others_and_not_its_own():
    answers = told(
        {
            "r1": (PlaceLoad(1, 5, 700), PlaceLoad(2, 1, 0)),
            "r2": (PlaceLoad(1, 2, 30),),
            "r3": (),
        }
    )
    assert answers["r1"].places == (PlaceLoad(1, 2, 30),)
    assert answers["r2"].places == (PlaceLoad(1, 5, 700), PlaceLoad(2, 1, 0))
    assert answers["r3"].places == (PlaceLoad(1, 7, 730), PlaceLoad(2, 1, 0))
    assert answers["r1"].routers == 3


def test_the_work_of_a_router_that_fell_silent_is_forgotten():
    """A router is killed with fifty requests under way.

    Its targets have dropped them; were they still counted, other routers would leave
    the targets idle.
    """
    book = make_fleet_load("replica")
    book.received(RouterLoad("dead", 1, (PlaceLoad(1, 50, 9_000),)), 0.0)
    later = REPORT_VALID_SECONDS + 0.1
    book.received(RouterLoad("r1", 1, ()), later)
    (answer,) = book.totals(True, later)
    assert answer.message.places == ()


def test_a_router_that_is_told_nothing_knows_that_it_is_alone():
    """A cut between a router and all replicas closes no connection."""
    book = make_fleet_load("r1")
    assert book.is_alone(0.0)
    book.heard(FleetLoad((), 4), 1.0)
    assert not book.is_alone(1.0 + 0.9 * REPORT_VALID_SECONDS)
    assert book.is_alone(1.0 + 1.1 * REPORT_VALID_SECONDS)
