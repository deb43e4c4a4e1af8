"""Which replica a router tells its loads, without a network."""

from sesameford.gateway.chosen_adder import (
    NEWLY_HEARD_SECONDS,
    PASSED_OVER_SECONDS,
    make_chosen_adder,
)

REPLICAS = ("b", "a", "c")
SILENT_SECONDS = 0.5


def test_all_routers_tell_the_same_replica():
    assert make_chosen_adder().choose(REPLICAS, SILENT_SECONDS, 1.0) == "a"
    assert make_chosen_adder().choose((), SILENT_SECONDS, 1.0) is None


def test_a_replica_that_answers_nothing_is_passed_over_before_its_beats_are_missed():
    """The replica that adds up loses power.

    Its heartbeats are missed after 1.5 s. Until then routers would choose engines by
    loads that stand still, and shares would not follow what is asked.
    """
    adder = make_chosen_adder()
    adder.choose(REPLICAS, SILENT_SECONDS, 1.0)
    adder.heard("a", 1.01)
    assert adder.choose(REPLICAS, SILENT_SECONDS, 1.4) == "a"
    assert adder.choose(REPLICAS, SILENT_SECONDS, 1.02 + SILENT_SECONDS) == "b"
    assert adder.choose(REPLICAS, SILENT_SECONDS, 1.1 + SILENT_SECONDS) == "b"


def test_a_replica_that_answers_again_is_told_again():
    adder = make_chosen_adder()
    adder.choose(REPLICAS, SILENT_SECONDS, 1.0)
    adder.choose(REPLICAS, SILENT_SECONDS, 2.0)
    assert adder.choose(REPLICAS, SILENT_SECONDS, 2.1) == "b"
    adder.heard("a", 2.2)
    assert adder.choose(REPLICAS, SILENT_SECONDS, 2.3) == "a"


def test_one_that_was_passed_over_is_tried_again():
    """It may have been slow for a moment only; all routers must agree in the end."""
    adder = make_chosen_adder()
    adder.choose(REPLICAS, SILENT_SECONDS, 1.0)
    now = 1.1 + SILENT_SECONDS
    assert adder.choose(REPLICAS, SILENT_SECONDS, now) == "b"
    while now < 1.2 + SILENT_SECONDS + PASSED_OVER_SECONDS:
        adder.heard("b", now)
        now += 0.1
        chosen = adder.choose(REPLICAS, SILENT_SECONDS, now)
    assert chosen == "a"


def test_a_replica_that_is_alone_is_told_however_silent():
    adder = make_chosen_adder()
    assert adder.choose(("a",), SILENT_SECONDS, 1.0) == "a"
    assert adder.choose(("a",), SILENT_SECONDS, 9.0) == "a"


def test_a_replica_that_wakes_is_left_to_hear_all_routers_first():
    """The replica with the lowest id has stood still for seconds.

    It is heard again, and knows neither who lives nor what is under way. Told at once
    by all, it would have nothing to tell them for a second, while engines fill up.
    """
    adder = make_chosen_adder()
    adder.choose(("b", "c"), SILENT_SECONDS, 1.0)
    now = 1.0
    while now < 5.0 + 0.9 * NEWLY_HEARD_SECONDS:
        adder.heard("b", now)
        heard = REPLICAS if now >= 5.0 else ("b", "c")
        assert adder.choose(heard, SILENT_SECONDS, now) == "b"
        now += 0.1
    now = 5.1 + NEWLY_HEARD_SECONDS
    adder.heard("b", now)
    assert adder.choose(REPLICAS, SILENT_SECONDS, now) == "a"


def test_the_only_one_that_answers_is_told_however_new():
    adder = make_chosen_adder()
    adder.choose(("b",), SILENT_SECONDS, 1.0)
    assert adder.choose(("a",), SILENT_SECONDS, 1.1) == "a"
