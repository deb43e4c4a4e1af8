"""What replicas add up and send, and what a router keeps of it, without a network."""

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
    PartialLoad,
    RouterLoad,
    TargetLoad,
    UsedParts,
)

WANTED_WAIT_SECONDS = 0.1
OTHERS = ("b", "c")


def sums_of(others=(), routers=0):
    """Return a replica's sums; ``others`` and ``routers`` are heard."""
    live = LiveInstances(lambda *_: others, lambda *_: (), lambda *_: routers)
    return make_fleet_sums(live)


def sent(sums, now_seconds):
    """Return what is sent at a time, by receiver."""
    outgoing = sums.tick(None, WANTED_WAIT_SECONDS, now_seconds)
    return {one.receiver_id: one.message for one in outgoing}


def added_up(places_by_router, now_seconds=1.0):
    """Return what each router is sent after all have reported."""
    sums = sums_of()
    for router_id, places in places_by_router.items():
        sums.received(router_id, RouterLoad(places), now_seconds)
    return sent(sums, now_seconds)


def test_a_router_is_sent_the_work_of_all_others_and_not_its_own():
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


def test_the_work_of_a_router_that_fell_silent_is_forgotten():
    """A router is killed with fifty requests under way.

    Its targets have dropped them; were they still counted, other routers would leave
    the targets idle.
    """
    sums = sums_of()
    sums.received("dead", RouterLoad((TargetLoad(1, 50, 9_000),)), 0.0)
    later = REPORT_VALID_SECONDS + 0.1
    sums.received("r1", RouterLoad(()), later)
    assert sent(sums, later)["r1"].target_loads == ()


def test_a_router_that_reports_elsewhere_is_counted_here_no_more():
    """A router turns to another replica, which counts it from then on.

    Counted here too, its customers would seem to ask twice as much as they do, and
    get half of their share.
    """
    sums = sums_of()
    customers = (CustomerRates("a", 9_000),)
    sums.received("r1", RouterLoad((TargetLoad(1, 50, 9_000),), customers), 1.0)
    sums.received("r2", RouterLoad(()), 1.0)
    sums.ended("r1")
    assert sent(sums, 1.0) == {"r2": FleetLoad((), 1, (), (), False, 1, 1)}
    assert not sums.shares.requested_tokens


def test_reports_that_were_held_up_count_once():
    """A replica stands still for seconds, and a router's reports wait for it.

    Added up within one tick, they would look like a flood of all customers.
    """
    sums = sums_of()
    for _ in range(60):
        customers = (CustomerRates("a", 20_000),)
        sums.received("r1", RouterLoad((), customers, 0.0, 20_000.0), 1.0)
    sent(sums, 1.0)
    assert sums.shares.requested_tokens == {"a": 20_000}
    assert sums.shares.fractions == {}


def test_a_router_that_is_sent_nothing_knows_that_it_is_alone():
    """A cut between a router and all replicas closes no connection."""
    report = make_load_report()
    assert report.is_alone(0.0)
    report.heard(FleetLoad((), 4), 1.0)
    assert not report.is_alone(1.0 + 0.9 * REPORT_VALID_SECONDS)
    assert report.is_alone(1.0 + 1.1 * REPORT_VALID_SECONDS)


def test_a_replica_that_wakes_alone_sends_nobody_anything():
    """A replica stands still until all that it knew of its routers is too old.

    It wakes before anybody is heard again. There is nothing to add up, and a system
    that fails there leaves a line that looks like a fault of the instance.
    """
    sums = sums_of()
    sums.received("r1", RouterLoad(()), 1.0)
    assert set(sent(sums, 1.0)) == {"r1"}
    outgoing = sums.tick(100_000.0, WANTED_WAIT_SECONDS, 2.0 + REPORT_VALID_SECONDS)
    assert outgoing == []


def test_one_that_all_routers_report_to_sends_other_replicas_nothing():
    sums = sums_of(OTHERS, routers=1)
    sums.received("r1", RouterLoad(()), 1.0)
    assert set(sent(sums, 1.0)) == {"r1"}


def test_one_that_misses_routers_says_that_it_adds_up():
    """A router reports to another replica, and nobody here knows which."""
    sums = sums_of(OTHERS, routers=2)
    sums.received("r1", RouterLoad(()), 1.0)
    answers = sent(sums, 1.0)
    assert answers["b"] == answers["c"] == PartialLoad()


def test_sums_go_to_who_adds_up_too_and_what_was_used_goes_once():
    sums = sums_of(OTHERS, routers=3)
    used = (UsedParts(7, (), 50),)
    customers = (CustomerRates("a", 9_000, 4_000),)
    load = RouterLoad((TargetLoad(1, 2, 30),), customers, 0.25, 6_000.0, used)
    sums.received("r1", load, 1.0)
    sums.received("r2", load, 1.0)
    sums.received_partial("b", PartialLoad(), 1.0)
    places, both = (TargetLoad(1, 4, 60),), (CustomerRates("a", 18_000, 8_000),)
    whole = PartialLoad(2, places, both, 0.25, 12_000.0, (*used, *used))
    answers = sent(sums, 1.0)
    assert answers["b"] == whole
    assert answers["c"] == PartialLoad()
    assert sent(sums, 1.5)["b"] == PartialLoad(2, places, both, 0.25, 12_000.0)


def test_routers_are_sent_what_other_replicas_have_added_up():
    """Half of the routers report to another replica.

    Without its sums a customer of this half would be limited by what is asked here
    alone, and engines that the other half has filled would look idle.
    """
    sums = sums_of(OTHERS, routers=3)
    mine = RouterLoad((TargetLoad(1, 2, 30),), (CustomerRates("a", 80_000),))
    sums.received("r1", mine, 1.0)
    used = (UsedParts(7, (), 50),)
    customers = (CustomerRates("a", 720_000), CustomerRates("b", 1_000))
    other = PartialLoad(2, (TargetLoad(1, 5, 500),), customers, 0.0, 0.0, used)
    sums.received_partial("b", other, 1.0)
    answer = sent(sums, 1.0)["r1"]
    assert answer.target_loads == (TargetLoad(1, 5, 500),)
    assert answer.known_routers == 3
    assert answer.used == used
    (share,) = answer.shares
    assert share.customer == "a"
    assert 0.1 < share.fraction < 0.13


def test_sums_of_a_replica_that_fell_silent_are_dropped():
    sums = sums_of(OTHERS, routers=3)
    sums.received_partial("b", PartialLoad(2, (TargetLoad(1, 5, 500),)), 1.0)
    later = 1.1 + PARTIAL_VALID_SECONDS
    sums.received("r1", RouterLoad(()), later)
    assert sent(sums, later)["r1"].target_loads == ()


def test_sums_go_no_more_to_a_replica_that_fell_silent():
    """It only hears that sums are exchanged, and gets them when it says so too."""
    sums = sums_of(OTHERS, routers=2)
    sums.received_partial("b", PartialLoad(), 1.0)
    later = 1.1 + PARTIAL_VALID_SECONDS
    sums.received("r1", RouterLoad((TargetLoad(1, 2, 30),)), later)
    assert sent(sums, later)["b"] == PartialLoad()
    sums.received_partial("b", PartialLoad(), later + 0.1)
    assert sent(sums, later + 0.3)["b"] == PartialLoad(1, (TargetLoad(1, 2, 30),))


def test_what_is_not_exchanged_is_not_kept():
    """All routers report to one replica for days.

    Kept for others who never ask for it, what they sent to engines would fill its
    memory until the process is ended.
    """
    sums = sums_of(OTHERS, routers=1)
    used = (UsedParts(7, (), 50),)
    for step in range(100):
        now_seconds = 1.0 + step / 10
        sums.received("r1", RouterLoad((), used=used), now_seconds)
        sent(sums, now_seconds)
    sums.received_partial("b", PartialLoad(), 11.0)
    sums.received("r1", RouterLoad((), used=used), 11.0)
    assert sent(sums, 11.0)["b"].used == used


def test_sums_that_lack_routers_are_whole_only_when_no_more_can_come():
    """Some routers hear this replica and report to one that is cut from it.

    They turn to a common replica within a second. Meanwhile sums of a part would give
    a customer of few routers far less than one of many.
    """
    sums = sums_of(OTHERS, routers=10)
    now_seconds, whole_at_seconds = 0.0, []
    while now_seconds < 6.0:
        reporting = 10 if now_seconds < 3.0 else 5
        for number in range(reporting):
            sums.received(f"r{number}", RouterLoad(()), now_seconds)
        for number in range(reporting, 10):
            sums.ended(f"r{number}")
        answer = sent(sums, now_seconds).get("r1")
        if answer is not None and answer.is_whole:
            whole_at_seconds.append(now_seconds)
        now_seconds += 0.1
    part = [at for at in whole_at_seconds if at >= 3.0]
    assert max(at for at in whole_at_seconds if at < 3.0) > 2.5
    assert min(part) > 3.0 + SETTLING_SECONDS - 0.01
