"""Trials of suspects at one router, and the grants that keep them apart."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.effective import FleetSettings
from sesameford.gateway.placement import make_placement
from sesameford.gateway.quarantine_status import list_quarantines
from sesameford.gateway.recent_answers import SURVIVAL_SECONDS
from sesameford.gateway.suspect_calls import (
    GRANT_REPLY_SECONDS,
    SuspectRefusedError,
    make_suspect_calls,
)
from sesameford.gateway.suspect_exchange import (
    MAX_ROWS_TO_PEER,
    RELAYED_REPEATS,
    make_suspect_exchange,
)
from sesameford.gateway.target_crashes import CrashEvidence, ObservedCrash
from sesameford.gateway.target_record import Reservation
from sesameford.gateway.trial_grants import GRANT_SECONDS, make_trial_grants
from sesameford.in_flight_attempts import TargetCrash
from sesameford.messages import SuspectUpdate
from sesameford.request_digest import common_digest, digest_request, logged_digest
from sesameford.suspect_log import MAX_LOGGED_DIGESTS, format_digests
from sesameford.suspects import SuspectTreatment

DIGEST = digest_request("club", "POST", "h", "/x", b"")


def make_router(replicas=()):
    """Return a router's suspects and what it sent."""
    sent = []
    table = make_heartbeat_table()
    exchange = make_suspect_exchange(
        "r1", 300.0, False, lambda now: replicas, sent.append
    )
    placement = make_placement(table, "a", 1.0, Random(1))
    calls = make_suspect_calls(exchange, table, placement, 1.0, lambda: 1.0, Random(1))
    return calls, sent


def soon(seconds=1.0):
    return asyncio.get_running_loop().time() + seconds


async def run_turn(calls, ran, until=None):
    async with calls.turn(DIGEST, until or soon()) as trial_reason:
        ran.append(bool(trial_reason))
        await asyncio.sleep(0.02)


async def test_a_call_without_crashes_is_no_trial():
    calls, sent = make_router()
    ran = []
    await asyncio.gather(run_turn(calls, ran), run_turn(calls, ran))
    assert (ran, sent) == ([False, False], [])


async def test_copies_wait_for_the_trial_and_run_freely_once_it_completed():
    calls, _ = make_router()
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    ran = []
    copies = [asyncio.create_task(run_turn(calls, ran)) for _ in range(3)]
    await asyncio.sleep(0.01)
    assert ran == [True]
    calls.exchange.record_completion(DIGEST, 1.0)
    calls.notify_waiting()
    await asyncio.gather(*copies)
    assert ran == [True, False, False]


async def test_a_copy_that_waits_in_vain_gets_a_time_to_return():
    calls, _ = make_router()
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    trial = asyncio.create_task(run_turn(calls, []))
    await asyncio.sleep(0)
    with pytest.raises(SuspectRefusedError) as refused:
        await run_turn(calls, [], soon(0.001))
    assert refused.value.reason == "on-trial"
    assert refused.value.retry_after_seconds >= 0.5
    await trial


async def test_a_copy_that_waits_is_refused_once_the_trial_crashed():
    calls, _ = make_router()
    suspects = calls.exchange.suspects
    suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    trial = asyncio.create_task(run_turn(calls, []))
    await asyncio.sleep(0)
    copy = asyncio.create_task(run_turn(calls, []))
    await asyncio.sleep(0)
    suspects.record_crash("t/2", [DIGEST], 1.0)
    with pytest.raises(SuspectRefusedError) as refused:
        await copy
    assert refused.value.reason == "quarantined"
    assert refused.value.retry_after_seconds == 300.0
    await trial


async def test_a_trial_after_several_crashes_waits_for_a_replicas_grant():
    calls, sent = make_router(replicas=("b", "a"))
    for number in range(3):
        calls.exchange.suspects.record_crash(f"t/{number}", [DIGEST], 0.0, trials=[])
    ran = []
    trial = asyncio.create_task(run_turn(calls, ran))
    await asyncio.sleep(0.01)
    (request,) = sent
    assert (request.receiver_id, request.message.trial_router) == ("a", "r1")
    assert ran == []
    calls.handle_update("a", request.message, 1.0)
    await trial
    assert ran == [True]


async def test_a_router_without_replicas_tries_alone():
    calls, _ = make_router()
    for number in range(3):
        calls.exchange.suspects.record_crash(f"t/{number}", [DIGEST], 0.0, trials=[])
    ran = []
    await run_turn(calls, ran)
    assert ran == [True]


async def test_a_router_that_gets_no_reply_asks_again_and_tries_nothing():
    """Routers whose requests for a grant were lost all tried at once."""
    calls, sent = make_router(replicas=("a",))
    for number in range(3):
        calls.exchange.suspects.record_crash(f"t/{number}", [DIGEST], 0.0, trials=[])
    ran = []
    with pytest.raises(SuspectRefusedError) as refused:
        await run_turn(calls, ran, soon(2.5 * GRANT_REPLY_SECONDS))
    assert refused.value.reason == "on-trial"
    assert (ran, len(sent)) == ([], 3)


async def test_copies_that_waited_for_a_trial_ask_for_a_grant_of_their_own():
    """Copies at several routers, all refused a grant before, all ran when it ended."""
    calls, sent = make_router(replicas=("a",))
    for number in range(3):
        calls.exchange.suspects.record_crash(f"t/{number}", [DIGEST], 0.0, trials=[])
    ran = []
    copy = asyncio.create_task(run_turn(calls, ran))
    await asyncio.sleep(0.01)
    grant = SuspectUpdate(common_digest(DIGEST), (), False, trial_router="r2")
    calls.handle_update("a", grant, 1.0)
    await asyncio.sleep(1.1 * GRANT_REPLY_SECONDS)
    calls.handle_update("a", SuspectUpdate(DIGEST, ("t/4",), False, ()), 1.0)
    await asyncio.sleep(0.01)
    assert (ran, len(sent)) == ([], 1)
    calls.handle_update("a", replace(grant, is_trial_over=True), 1.0)
    await asyncio.sleep(0.01)
    assert (ran, len(sent)) == ([], 2)
    calls.handle_update("a", sent[-1].message, 1.0)
    await copy
    assert ran == [True]


async def test_a_call_on_trial_at_another_router_is_not_tried():
    calls, _ = make_router(replicas=("a",))
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    grant = SuspectUpdate(DIGEST, (), False, trial_router="r2")
    calls.handle_update("a", grant, 1.0)
    with pytest.raises(SuspectRefusedError):
        await run_turn(calls, [], soon(0.01))


async def test_trials_of_one_router_avoid_each_others_targets():
    calls, _ = make_router()
    targets = [f"t{number}" for number in range(5)]
    avoided = calls.targets_to_avoid(DIGEST, targets)
    assert len(avoided) == 2
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    other = digest_request("club", "POST", "h", "/y", b"")
    async with calls.turn(DIGEST, soon()):
        calls.record_trial_target((DIGEST,), Reservation("t3", "", 1))
        assert "t3" in calls.targets_to_avoid(other, targets)
    choices = {
        calls.targets_to_avoid(
            digest_request("club", "GET", "h", f"/{n}", b""), targets
        )
        for n in range(20)
    }
    assert len(choices) > 3


def test_a_replica_grants_one_trial_at_a_time():
    sent = []
    grants = make_trial_grants(
        "a", True, lambda now: (), lambda digest: (), sent.append
    )
    for router in ("r1", "r2", "r1"):
        request = SuspectUpdate(DIGEST, (), False, trial_router=router)
        grants.handle(router, request, 1.0)
    assert [one.message.trial_router for one in sent] == ["r1", "r1"]
    request = SuspectUpdate(DIGEST, (), False, trial_router="r2")
    grants.handle("r2", request, 1.0 + GRANT_SECONDS)
    assert sent[-1].message.trial_router == "r2"
    grants.forget(10.0)
    assert not grants.is_elsewhere(DIGEST, 10.0)


def test_a_grant_lasts_until_its_router_tells_that_the_trial_is_over():
    """A late update of an earlier crash ended it, and a second trial ran beside it."""
    sent = []
    grants = make_trial_grants(
        "a", True, lambda now: (), lambda digest: (), sent.append
    )
    request = SuspectUpdate(DIGEST, (), False, trial_router="r1")
    grants.handle("r1", request, 1.0)
    over = replace(request, is_trial_over=True)
    grants.handle("r2", replace(over, trial_router="r2"), 1.1)
    assert grants.is_elsewhere(DIGEST, 1.1)
    grants.handle("r1", over, 1.2)
    assert not grants.is_elsewhere(DIGEST, 1.2)
    assert [one.message for one in sent] == [request, over]


def test_a_grant_tells_that_the_trial_before_it_crashed():
    """Guards against a next trial at a router that has not heard of the last crash."""
    sent = []

    def make_exchange(name, replicas):
        return make_suspect_exchange(
            name, 300.0, not replicas, lambda now: replicas, sent.append
        )

    replica = make_exchange("a", ())
    first, second = (make_exchange(name, ("a",)) for name in ("r1", "r2"))
    key = common_digest(DIGEST)
    for exchange in (replica, first, second):
        for number in range(2):
            exchange.suspects.record_crash(f"t/{number}", [DIGEST], 0.0, trials=[])
    replica.grants.handle(
        "r1", SuspectUpdate(key, (), False, trial_router="r1"), now_seconds=1.0
    )
    first.handle_update("a", sent.pop().message, 1.0)
    sent.clear()
    crash = TargetCrash("t9", 0, (DIGEST,), frozenset((DIGEST,)))
    first.record_crash(ObservedCrash(crash, CrashEvidence.REFUSED, 0.0), 1.5)
    (over,) = [one.message for one in sent if one.message.is_trial_over]
    sent.clear()
    replica.handle_update("r1", over, 1.5)
    replica.handle_update(
        "r2", SuspectUpdate(key, (), False, trial_router="r2"), now_seconds=1.5
    )
    second.handle_update("a", sent[-1].message, 1.5)
    assert second.grants.is_granted(key, 1.5)
    treatment = second.suspects.treatment(DIGEST, 1.5)
    assert treatment is SuspectTreatment.QUARANTINED


async def test_no_request_is_tried_again_before_its_target_survived_the_answer():
    """Guards against customers whose trials follow an answer that ends in a crash."""
    calls, _ = make_router()
    theirs = digest_request("rival", "POST", "h", "/x", b"")
    for number in range(2):
        calls.exchange.suspects.record_crash(f"t/{number}", [theirs], 0.0)
    reservation = Reservation("t9", "", 7)
    async with calls.turn(DIGEST, soon()):
        calls.record_trial_target((DIGEST,), reservation)
        calls.crashes.record_sent(reservation, DIGEST, True)
        calls.record_completion(reservation, (DIGEST,), 200)
    with pytest.raises(SuspectRefusedError) as refused:
        await run_turn(calls, [], soon(0.01))
    assert refused.value.reason == "on-trial"
    calls.record_alive(reservation, 1.0 + 2 * SURVIVAL_SECONDS)
    assert calls.exchange.suspects.treatment(DIGEST, 1.0) is SuspectTreatment.CLEAR


async def test_no_second_trial_runs_until_it_is_known_whether_the_first_crashed():
    """A connection broke, and copies were sent before the crash was proven."""
    calls, _ = make_router()
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0, trials=[])
    reservation = Reservation("t2", "", 7)
    async with calls.turn(DIGEST, soon()):
        calls.record_trial_target((DIGEST,), reservation)
        calls.crashes.record_sent(reservation, DIGEST, True)
        calls.crashes.record_unanswered(reservation, 1.0)
    with pytest.raises(SuspectRefusedError) as refused:
        await run_turn(calls, [], soon(0.01))
    assert refused.value.reason == "on-trial"
    calls.crashes.record_not_run(reservation)
    ran = []
    await run_turn(calls, ran)
    assert ran == [True]


def make_replica():
    sent = []
    exchange = make_suspect_exchange("a", 300.0, True, lambda now: ("b",), sent.append)
    return exchange, sent


def test_a_replica_sends_on_what_a_router_sent_and_it_did_not_know():
    """Replicas that sent each other's messages on would never fall silent."""
    replica, sent = make_replica()
    update = SuspectUpdate(DIGEST, ("t/1",), False)
    replica.handle_update("r1", update, 1.0)
    replica.tick(1.0)
    assert [one.receiver_id for one in sent] == [None]
    replica.handle_update("r1", update, 1.5)
    replica.handle_update("b", SuspectUpdate(DIGEST, ("t/2",), False), 1.5)
    for now_seconds in (1.6, 3.0, 5.0, 7.0, 9.0):
        replica.tick(now_seconds)
    assert len(sent) == RELAYED_REPEATS


def test_a_router_sends_to_one_replica_first_and_then_to_all():
    calls, sent = make_router(replicas=("near", "far"))
    calls.exchange.suspects.record_crash("t/1", [DIGEST], 0.0)
    for now_seconds in (0.0, 1.0, 2.0, 3.0):
        calls.exchange.tick(now_seconds)
    assert [one.receiver_id for one in sent] == ["near", None, None]


def test_a_peer_that_starts_or_was_out_of_touch_is_sent_the_newest_rows():
    replica, sent = make_replica()
    for number in range(2 * MAX_ROWS_TO_PEER):
        digest = digest_request(f"customer-{number}", "GET", "h", "/", b"")
        replica.suspects.record_crash(f"t/{number}", [digest], 0.0)
    replica.handle_heartbeat("r1", 1, 10.0)
    (message,) = [one.message for one in sent]
    rows = {one.request_digest for one in (message, *message.others)}
    assert (len(rows), message.is_table) == (MAX_ROWS_TO_PEER, True)
    replica.handle_heartbeat("r1", 1, 10.5)
    assert len(sent) == 1
    replica.handle_heartbeat("r1", 1, 13.0)
    replica.handle_heartbeat("r1", 2, 13.5)
    assert len(sent) == 3
    assert all(one.message == message for one in sent)
    replica.forget_peer("r1")
    replica.handle_heartbeat("r1", 2, 13.6)
    assert len(sent) == 4


def test_operators_read_whose_request_is_quarantined_and_lift_that():
    replica, _ = make_replica()
    for crash_id in ("t/1", "t/2"):
        replica.suspects.record_crash(crash_id, [DIGEST], 0.0)
    tree = SimpleNamespace(fleet=FleetSettings(), customers=("rival", "club"))
    replica.configure(tree)
    (row,) = list_quarantines(replica.suspects, replica.customer_of, 100.0)
    assert (row.customer, row.crashes, row.seconds_left) == (
        "club",
        ("t/1", "t/2"),
        200.0,
    )
    assert row.digest == logged_digest(DIGEST)
    assert replica.lift(row.digest, 100.0)
    assert not replica.lift(row.digest, 100.0)
    assert list_quarantines(replica.suspects, replica.customer_of, 100.0) == []


def test_a_log_line_lists_a_bounded_number_of_digests():
    digests = [b"%032d" % number for number in range(MAX_LOGGED_DIGESTS + 5)]
    assert format_digests(digests).endswith(",+5")
    assert format_digests(digests[:2]).count(",") == 1
