"""What a replica that adds up passes on to others, without a network."""

from sesameford.gateway.load_relay import ADDS_UP_SECONDS, make_load_relay
from sesameford.messages import LoadsPassedOn, RouterLoad

OTHERS = ("b", "c")


def told(outgoing):
    return {one.receiver_id: one.message for one in outgoing}


def test_one_that_hears_all_routers_tells_nobody():
    relay = make_load_relay()
    relay.told(RouterLoad("r1", 1, ()))
    assert relay.pass_on(OTHERS, True, 1.0) == []


def test_one_that_misses_routers_says_that_it_adds_up():
    """A router tells another replica, and nobody here knows which."""
    relay = make_load_relay()
    relay.told(RouterLoad("r1", 1, ()))
    empty = LoadsPassedOn(())
    assert told(relay.pass_on(OTHERS, False, 1.0)) == {"b": empty, "c": empty}


def test_the_newest_loads_go_to_who_adds_up_too_and_each_once():
    relay = make_load_relay()
    relay.heard("b", 1.0)
    relay.told(RouterLoad("r1", 1, ()))
    relay.told(RouterLoad("r1", 2, ()))
    loads = LoadsPassedOn((RouterLoad("r1", 2, ()),))
    assert told(relay.pass_on(OTHERS, True, 1.1)) == {"b": loads}
    assert told(relay.pass_on(OTHERS, True, 1.2)) == {"b": LoadsPassedOn(())}


def test_one_that_fell_silent_adds_up_no_more():
    relay = make_load_relay()
    relay.heard("b", 1.0)
    relay.told(RouterLoad("r1", 1, ()))
    assert relay.pass_on(OTHERS, True, 1.0 + ADDS_UP_SECONDS) == []
