"""Sums of loads at replicas, and their age at routers, without a network."""

from sesameford.gateway.fleet_sums import (
    PARTIAL_VALID_SECONDS,
    SETTLING_SECONDS,
    LiveInstances,
    make_fleet_sums,
)
from sesameford.gateway.load_report import REPORT_VALID_SECONDS, make_load_report
from sesameford.load_messages import (
    CustomerRates,
    FleetLoad,
    MeasureBin,
    PartialLoad,
    RouterLoad,
    TargetLoad,
    UsedParts,
)

BASE_WAIT_SECONDS = 0.1
OTHERS = ("b", "c")


def sums_of(others=(), routers=0):
    """Return a replica's sums; ``others`` are live replicas, ``routers`` a number."""
    live = LiveInstances(lambda *_: others, lambda *_: (), lambda *_: routers)
    return make_fleet_sums(live)


def sent(sums, now_seconds):
    """Return the messages sent at a time, by receiver."""
    outgoing = sums.tick(None, BASE_WAIT_SECONDS, now_seconds)
    return {one.receiver_id: one.message for one in outgoing}


def added_up(loads_by_router, now_seconds=1.0):
    """Return the message for each router after all have reported."""
    sums = sums_of()
    for router_id, loads in loads_by_router.items():
        sums.handle_report(router_id, RouterLoad(loads), now_seconds)
    return sent(sums, now_seconds)


def test_a_router_is_sent_the_load_of_all_others_without_its_own():
    answers = added_up(
        {
            "r1": (TargetLoad(1, 5, 700), TargetLoad(2, 1, 0)),
            "r2": (TargetLoad(1, 2, 30),),
            "r3": (),
        }
    )
    assert answers["r1"].target_loads == (TargetLoad(1, 2, 30),)
    assert answers["r2"].target_loads == (TargetLoad(1, 5, 700), TargetLoad(2, 1, 0))
    assert answers["r3"].target_loads == (TargetLoad(1, 7, 730), TargetLoad(2, 1, 0))
    assert answers["r1"].routers == answers["r1"].known_routers == 3


def test_the_load_of_a_silent_router_is_removed():
    """A router is killed with fifty running requests.

    Its targets have dropped them. If they were still counted, other routers would leave
    the targets idle.
    """
    sums = sums_of()
    sums.handle_report("dead", RouterLoad((TargetLoad(1, 50, 9_000),)), 0.0)
    later = REPORT_VALID_SECONDS + 0.1
    sums.handle_report("r1", RouterLoad(()), later)
    assert sent(sums, later)["r1"].target_loads == ()


def test_a_router_that_reports_to_another_replica_is_no_longer_counted():
    """A router turns to another replica, which counts it from then on.

    If it were counted here too, its customers would seem to request twice as much as
    they do, and would get half of their share.
    """
    sums = sums_of()
    customers = (CustomerRates("a", 9_000),)
    sums.handle_report("r1", RouterLoad((TargetLoad(1, 50, 9_000),), customers), 1.0)
    sums.handle_report("r2", RouterLoad(()), 1.0)
    sums.handle_handover("r1")
    assert sent(sums, 1.0) == {"r2": FleetLoad((), 1, (), (), False, 1, 1, speeds=())}
    assert not sums.shares.requested_tokens


def test_reports_that_arrive_together_count_once():
    """A replica stands still for seconds while a router's reports queue up.

    Summed within one tick, they would look like a burst of all customers.
    """
    sums = sums_of()
    for _ in range(60):
        customers = (CustomerRates("a", 20_000),)
        sums.handle_report("r1", RouterLoad((), customers, 0.0, 20_000.0), 1.0)
    sent(sums, 1.0)
    assert sums.shares.requested_tokens == {"a": 20_000}
    assert sums.shares.fractions == {}


def test_a_router_without_sums_counts_as_isolated():
    """A partition between a router and all replicas closes no connection."""
    report = make_load_report()
    assert report.is_isolated(0.0)
    report.record_fleet_load(FleetLoad((), 4), 1.0)
    assert not report.is_isolated(1.0 + 0.9 * REPORT_VALID_SECONDS)
    assert report.is_isolated(1.0 + 1.1 * REPORT_VALID_SECONDS)


def test_a_replica_that_resumes_without_valid_reports_sends_nothing():
    """A replica stands still until all its routers' reports have expired.

    It resumes before a message arrives, so there is nothing to sum. An error there
    would be logged like a fault of the instance.
    """
    sums = sums_of()
    sums.handle_report("r1", RouterLoad(()), 1.0)
    assert set(sent(sums, 1.0)) == {"r1"}
    outgoing = sums.tick(100_000.0, BASE_WAIT_SECONDS, 2.0 + REPORT_VALID_SECONDS)
    assert outgoing == []


def test_the_only_aggregator_sends_other_replicas_nothing():
    sums = sums_of(OTHERS, routers=1)
    sums.handle_report("r1", RouterLoad(()), 1.0)
    assert set(sent(sums, 1.0)) == {"r1"}


def test_an_aggregator_that_lacks_routers_announces_itself():
    """A router reports to another replica, which is not known here."""
    sums = sums_of(OTHERS, routers=2)
    sums.handle_report("r1", RouterLoad(()), 1.0)
    answers = sent(sums, 1.0)
    assert answers["b"] == answers["c"] == PartialLoad()


def test_sums_go_to_other_aggregators_and_used_parts_only_once():
    sums = sums_of(OTHERS, routers=3)
    used = (UsedParts(7, (), 50),)
    customers = (CustomerRates("a", 9_000, 4_000),)
    load = RouterLoad((TargetLoad(1, 2, 30),), customers, 0.25, 6_000.0, used)
    sums.handle_report("r1", load, 1.0)
    sums.handle_report("r2", load, 1.0)
    sums.handle_partial("b", PartialLoad(), 1.0)
    loads, both = (TargetLoad(1, 4, 60),), (CustomerRates("a", 18_000, 8_000),)
    waits = (MeasureBin(12, 2, (0.5,)),)
    whole = PartialLoad(2, loads, both, 0.25, 12_000.0, (*used, *used), waits=waits)
    answers = sent(sums, 1.0)
    assert answers["b"] == whole
    assert answers["c"] == PartialLoad()
    assert sent(sums, 1.5)["b"] == PartialLoad(
        2, loads, both, 0.25, 12_000.0, waits=waits
    )


def test_routers_are_sent_the_sums_of_other_replicas():
    """Half of the routers report to another replica.

    Without its sums a customer of this half would be limited by the demand here alone,
    and engines that the other half has filled would look idle.
    """
    sums = sums_of(OTHERS, routers=3)
    mine = RouterLoad((TargetLoad(1, 2, 30),), (CustomerRates("a", 80_000),))
    sums.handle_report("r1", mine, 1.0)
    used = (UsedParts(7, (), 50),)
    customers = (CustomerRates("a", 720_000), CustomerRates("b", 1_000))
    other = PartialLoad(2, (TargetLoad(1, 5, 500),), customers, 0.0, 0.0, used)
    sums.handle_partial("b", other, 1.0)
    answer = sent(sums, 1.0)["r1"]
    assert answer.target_loads == (TargetLoad(1, 5, 500),)
    assert answer.known_routers == 3
    assert answer.used == used
    (share,) = answer.shares
    assert share.customer == "a"
    assert 0.1 < share.fraction < 0.13


def test_sums_of_a_silent_replica_expire():
    sums = sums_of(OTHERS, routers=3)
    sums.handle_partial("b", PartialLoad(2, (TargetLoad(1, 5, 500),)), 1.0)
    later = 1.1 + PARTIAL_VALID_SECONDS
    sums.handle_report("r1", RouterLoad(()), later)
    assert sent(sums, later)["r1"].target_loads == ()


def test_a_silent_replica_is_no_longer_sent_sums():
    """It gets only announcements, and sums once it announces itself again."""
    sums = sums_of(OTHERS, routers=2)
    sums.handle_partial("b", PartialLoad(), 1.0)
    later = 1.1 + PARTIAL_VALID_SECONDS
    sums.handle_report("r1", RouterLoad((TargetLoad(1, 2, 30),)), later)
    assert sent(sums, later)["b"] == PartialLoad()
    sums.handle_partial("b", PartialLoad(), later + 0.1)
    assert sent(sums, later + 0.3)["b"] == PartialLoad(
        1, (TargetLoad(1, 2, 30),), waits=(MeasureBin(0, 1, (0.0,)),)
    )


def test_used_parts_that_are_not_exchanged_are_deleted():
    """All routers report to one replica for days.

    If it stored what they sent to engines for other replicas, which need nothing, the
    rows would fill its memory until the process is killed.
    """
    sums = sums_of(OTHERS, routers=1)
    used = (UsedParts(7, (), 50),)
    for step in range(100):
        now_seconds = 1.0 + step / 10
        sums.handle_report("r1", RouterLoad((), used=used), now_seconds)
        sent(sums, now_seconds)
    sums.handle_partial("b", PartialLoad(), 11.0)
    sums.handle_report("r1", RouterLoad((), used=used), 11.0)
    assert sent(sums, 11.0)["b"].used == used


def test_sums_that_lack_routers_are_whole_only_after_settling():
    """Some live routers report to a replica that is partitioned from this one.

    They turn to a common replica within a second. Until then incomplete sums would give
    a customer of few routers far less than one of many.
    """
    sums = sums_of(OTHERS, routers=10)
    now_seconds, whole_at_seconds = 0.0, []
    while now_seconds < 6.0:
        reporting = 10 if now_seconds < 3.0 else 5
        for number in range(reporting):
            sums.handle_report(f"r{number}", RouterLoad(()), now_seconds)
        for number in range(reporting, 10):
            sums.handle_handover(f"r{number}")
        answer = sent(sums, now_seconds).get("r1")
        if answer is not None and answer.is_whole:
            whole_at_seconds.append(now_seconds)
        now_seconds += 0.1
    part = [at for at in whole_at_seconds if at >= 3.0]
    assert max(at for at in whole_at_seconds if at < 3.0) > 2.5
    assert min(part) > 3.0 + SETTLING_SECONDS - 0.01
