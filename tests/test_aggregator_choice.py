"""Choice of the replica that a router reports to, without a network."""

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


def test_a_replica_that_answers_nothing_is_excluded_before_its_heartbeats_are_missed():
    """The aggregator loses power.

    Its heartbeats are missed after 1.5 s. Until then routers would choose engines by
    outdated loads, and shares would not follow the demand.
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


def test_an_excluded_replica_is_chosen_again_after_a_while():
    """It may have been slow only briefly, and all routers must agree in the end."""
    choice = make_aggregator_choice()
    choice.choose(REPLICAS, (), SILENT_SECONDS, 1.0)
    now = 1.1 + SILENT_SECONDS
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, now) == "b"
    while now < 1.2 + SILENT_SECONDS + EXCLUDED_SECONDS:
        choice.record_answer("b", SUMS, now)
        now += 0.1
        chosen = choice.choose(REPLICAS, (), SILENT_SECONDS, now)
    assert chosen == "a"


def test_the_only_replica_is_chosen_even_if_it_is_silent():
    choice = make_aggregator_choice()
    assert choice.choose(("a",), (), SILENT_SECONDS, 1.0) == "a"
    assert choice.choose(("a",), (), SILENT_SECONDS, 9.0) == "a"


def test_a_replica_that_resumes_is_chosen_only_once_it_knows_all_routers():
    """The replica with the lowest id stood still for seconds and is live again.

    It knows neither the live routers nor their loads. If all routers reported to it at
    once, it could send them no sums for a second, while engines fill up.
    """
    choice = make_aggregator_choice()
    choice.choose(("b", "c"), (), SILENT_SECONDS, 1.0)
    now = 1.0
    while now < 5.0 + 0.9 * NEWLY_LIVE_SECONDS:
        choice.record_answer("b", SUMS, now)
        live = REPLICAS if now >= 5.0 else ("b", "c")
        assert choice.choose(live, (), SILENT_SECONDS, now) == "b"
        now += 0.1
    now = 5.1 + NEWLY_LIVE_SECONDS
    choice.record_answer("b", SUMS, now)
    assert choice.choose(REPLICAS, (), SILENT_SECONDS, now) == "a"


def test_the_only_answering_replica_is_chosen_even_if_newly_live():
    choice = make_aggregator_choice()
    choice.choose(("b",), (), SILENT_SECONDS, 1.0)
    assert choice.choose(("a",), (), SILENT_SECONDS, 1.1) == "a"


LARGE = FleetLoad((), 3 * LARGE_FLEET_ROUTERS, known_routers=3 * LARGE_FLEET_ROUTERS)
PART = FleetLoad((), 3 * LARGE_FLEET_ROUTERS, known_routers=LARGE_FLEET_ROUTERS)


def reports_to(choice, sums, from_seconds, to_seconds, near=("c",)):
    """Let the chosen replica answer with sums; return the replica chosen at the end."""
    now_seconds, chosen = from_seconds, choice.chosen
    while now_seconds < to_seconds:
        chosen = choice.choose(REPLICAS, near, SILENT_SECONDS, now_seconds)
        choice.record_answer(chosen, sums, now_seconds)
        now_seconds += 0.1
    return chosen


def test_a_router_of_a_large_fleet_reports_in_its_own_data_centre():
    """Two hundred routers in five data centres report to one replica.

    It can read that many reports only if each router reports rarely: routers learn the
    load of engines half a second late, and most bytes go between data centres.
    """
    choice = make_aggregator_choice()
    assert reports_to(choice, SUMS, 1.0, 2.0) == "a"
    assert reports_to(choice, LARGE, 2.0, 3.0) == "c"


def test_a_router_without_a_replica_in_its_data_centre_reports_to_the_common_one():
    choice = make_aggregator_choice()
    assert reports_to(choice, LARGE, 1.0, 3.0, near=()) == "a"


def test_a_silent_near_replica_is_excluded():
    choice = make_aggregator_choice()
    assert reports_to(choice, LARGE, 1.0, 3.0) == "c"
    choice.choose(REPLICAS, ("c",), SILENT_SECONDS, 3.1)
    after = 3.2 + SILENT_SECONDS
    assert choice.choose(REPLICAS, ("c",), SILENT_SECONDS, after) == "a"


def test_routers_report_to_one_replica_during_a_partition_of_replicas():
    """The replicas are partitioned into two halves, and routers reach them all.

    No near replica can sum the whole fleet, and by the sums of one half a customer that
    uses few routers gets far less than one that uses all.
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
