"""Which replica a router reports its loads to, without a network."""

from sesameford.gateway.aggregator_choice import (
    COMMON_REPLICA_SECONDS,
    EXCLUDED_SECONDS,
    LARGE_FLEET_ROUTERS,
    MAX_MISSING_SECONDS,
    NEWLY_LIVE_SECONDS,
    make_aggregator_choice,
)
from sesameford.load_messages import FleetLoad

REPLICAS = ("b", "a", "c")
SILENT_SECONDS = 0.5
SUMS = FleetLoad((), 3, known_routers=3)


def test_all_routers_report_to_the_same_replica():
    assert make_aggregator_choice().choose(REPLICAS, (), SILENT_SECONDS, 1.0) == "a"
    assert make_aggregator_choice().choose((), (), SILENT_SECONDS, 1.0) is None


def test_a_replica_that_answers_nothing_is_passed_over_before_its_beats_are_missed():
    """The replica that adds up loses power.

    Its heartbeats are missed after 1.5 s. Until then routers would choose engines by
    loads that stand still, and shares would not follow what is asked.
    """
    choice = make_aggregator_choice()
    choice.choose(REPLICAS, (), SILENT_SECONDS, 1.0)
    choice.record_answer("a", SUMS, 1.01)
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, 1.4) == "a"
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, 1.02 + SILENT_SECONDS) == "b"
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, 1.1 + SILENT_SECONDS) == "b"


def test_a_replica_that_answers_again_gets_reports_again():
    choice = make_aggregator_choice()
    choice.choose(REPLICAS, (), SILENT_SECONDS, 1.0)
    choice.choose(REPLICAS, (), SILENT_SECONDS, 2.0)
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, 2.1) == "b"
    choice.record_answer("a", SUMS, 2.2)
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, 2.3) == "a"


def test_one_that_was_passed_over_is_tried_again():
    """It may have been slow for a moment only; all routers must agree in the end."""
    choice = make_aggregator_choice()
    choice.choose(REPLICAS, (), SILENT_SECONDS, 1.0)
    now = 1.1 + SILENT_SECONDS
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, now) == "b"
    while now < 1.2 + SILENT_SECONDS + EXCLUDED_SECONDS:
        choice.record_answer("b", SUMS, now)
        now += 0.1
        chosen = choice.choose(REPLICAS, (), SILENT_SECONDS, now)
    assert chosen == "a"


def test_a_replica_that_is_alone_gets_reports_however_silent():
    choice = make_aggregator_choice()
    assert choice.choose(("a",), (), SILENT_SECONDS, 1.0) == "a"
    assert choice.choose(("a",), (), SILENT_SECONDS, 9.0) == "a"


def test_a_replica_that_wakes_is_left_to_hear_all_routers_first():
    """The replica with the lowest id has stood still for seconds.

    It is heard again, and knows neither who lives nor what is under way. If all turned
    to it at once, it would have nothing to send them for a second, while engines fill.
    """
    choice = make_aggregator_choice()
    choice.choose(("b", "c"), (), SILENT_SECONDS, 1.0)
    now = 1.0
    while now < 5.0 + 0.9 * NEWLY_LIVE_SECONDS:
        choice.record_answer("b", SUMS, now)
        heard = REPLICAS if now >= 5.0 else ("b", "c")
        assert choice.choose(heard, (), SILENT_SECONDS, now) == "b"
        now += 0.1
    now = 5.1 + NEWLY_LIVE_SECONDS
    choice.record_answer("b", SUMS, now)
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, now) == "a"


def test_the_only_one_that_answers_gets_reports_however_new():
    choice = make_aggregator_choice()
    choice.choose(("b",), (), SILENT_SECONDS, 1.0)
    assert choice.choose(("a",), (), SILENT_SECONDS, 1.1) == "a"


LARGE = FleetLoad((), 3 * LARGE_FLEET_ROUTERS, known_routers=3 * LARGE_FLEET_ROUTERS)
PART = FleetLoad((), 3 * LARGE_FLEET_ROUTERS, known_routers=LARGE_FLEET_ROUTERS)


def reports_to(choice, sums, from_seconds, to_seconds, near=("c",)):
    """Let the chosen replica answer with sums for a while; return who is chosen."""
    now_seconds, chosen = from_seconds, choice.chosen
    while now_seconds < to_seconds:
        chosen = choice.choose(REPLICAS, near, SILENT_SECONDS, now_seconds)
        choice.record_answer(chosen, sums, now_seconds)
        now_seconds += 0.1
    return chosen


def test_a_router_of_a_large_fleet_reports_in_its_own_data_centre():
    """Two hundred routers in five data centres report to one replica.

    It can read so many messages only if each comes seldom: routers know the load of
    engines half a second late, and most of the bytes go between data centres.
    """
    choice = make_aggregator_choice()
    assert reports_to(choice, SUMS, 1.0, 2.0) == "a"
    assert reports_to(choice, LARGE, 2.0, 3.0) == "c"


def test_a_router_without_a_replica_in_its_data_centre_reports_to_the_common_one():
    choice = make_aggregator_choice()
    assert reports_to(choice, LARGE, 1.0, 3.0, near=()) == "a"


def test_a_near_replica_that_falls_silent_is_passed_over():
    choice = make_aggregator_choice()
    assert reports_to(choice, LARGE, 1.0, 3.0) == "c"
    choice.choose(REPLICAS, ("c",), SILENT_SECONDS, 3.1)
    after = 3.2 + SILENT_SECONDS
    assert choice.choose(REPLICAS, ("c",), SILENT_SECONDS, after) == "a"


def test_routers_turn_to_one_replica_while_replicas_are_cut_from_each_other():
    """The replicas are split in two halves that don't hear each other.

    Routers hear them all. No near replica can add up the whole fleet any more, and by
    the sums of a half a customer whose callers come by few routers gets far less than
    one whose callers come by all.
    """
    choice = make_aggregator_choice()
    assert reports_to(choice, LARGE, 1.0, 3.0) == "c"
    assert reports_to(choice, PART, 3.0, 3.0 + 0.9 * MAX_MISSING_SECONDS) == "c"
    assert reports_to(choice, PART, 3.0 + MAX_MISSING_SECONDS, 4.0) == "a"
    assert reports_to(choice, LARGE, 4.0, 3.5 + COMMON_REPLICA_SECONDS) == "a"
    assert (
        reports_to(
            choice, LARGE, 3.5 + COMMON_REPLICA_SECONDS, 5.0 + COMMON_REPLICA_SECONDS
        )
        == "c"
    )
