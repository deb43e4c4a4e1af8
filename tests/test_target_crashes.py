"""What proves that a target crashed, and which calls were in flight there."""

import asyncio

import pytest

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.calls import AnswerHead
from sesameford.gateway.crash_probes import PROBE_INTERVAL_SECONDS, make_crash_probes
from sesameford.gateway.ended_targets import (
    DELAYED_HEARTBEAT_SECONDS,
    MAX_EXCLUSION_SECONDS,
    make_ended_targets,
)
from sesameford.gateway.recent_answers import SURVIVAL_SECONDS
from sesameford.gateway.target_crashes import (
    BROKEN_RETENTION_SECONDS,
    POSTPONED_SECONDS,
    CrashEvidence,
    make_target_crashes,
)
from sesameford.gateway.target_notices import make_target_notices
from sesameford.gateway.target_record import Reservation
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

ONE, TWO = b"1" * 32, b"2" * 32
HEARTBEAT_SECONDS = 1.0


class World:
    """A router's view of targets; ``observed`` are the crashes."""

    def __init__(self, *targets):
        self.table = make_heartbeat_table()
        self.ended = make_ended_targets()
        self.notices = make_target_notices()
        self.observed = []
        self.crashes = make_target_crashes(
            self.table,
            self.notices,
            self.ended,
            HEARTBEAT_SECONDS,
            lambda observed, now_seconds: self.observed.append(observed),
        )
        self.sequence = 0
        for target_id in targets:
            self.beat(target_id, 0.0)

    def beat(
        self,
        target_id,
        now_seconds,
        address="",
        state=TargetState.READY,
        data_centre="a",
        incarnation=0,
    ):
        self.sequence += 1
        row = HeartbeatRow(
            target_id,
            self.sequence,
            "pool",
            address or f"{target_id}:1",
            data_centre,
            8,
            state,
            incarnation=incarnation,
        )
        self.table.handle_heartbeat(row, now_seconds)

    def send(self, target_id, number, digest, is_trial=False):
        reservation = Reservation(target_id, f"{target_id}:1", number)
        self.crashes.record_sent(reservation, digest, is_trial)
        return reservation

    def digests(self):
        return [one.crash.digests for one in self.observed]


def test_a_refused_connection_involves_all_calls_in_flight():
    """One exchange broke, and another call still waits for its answer."""
    world = World("t1", "t2")
    broken = world.send("t1", 1, ONE, is_trial=True)
    world.send("t1", 2, TWO)
    world.send("t2", 3, TWO)
    world.crashes.record_unanswered(broken, 1.0)
    world.crashes.record_refused("t1", 0, 1.5)
    (observed,) = world.observed
    assert observed.crash.digests == (ONE, TWO)
    assert observed.crash.trials == {ONE}
    assert (observed.evidence, observed.age_seconds) == (CrashEvidence.REFUSED, 0.5)
    world.crashes.record_refused("t1", 0, 2.0)
    assert len(world.observed) == 1


def test_a_broken_connection_alone_proves_nothing():
    world = World("t1", "t2")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    for target_id in ("t1", "t2"):
        world.beat(target_id, 3.0)
    world.crashes.tick(4.0)
    assert world.observed == []


def test_a_call_that_ended_before_a_later_answer_is_not_involved():
    """A connection was reset, then the target answered, and crashed for others."""
    world = World("t1")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    later = world.send("t1", 2, TWO)
    world.crashes.record_alive(later, 1.2, 1.3)
    world.crashes.record_refused("t1", 0, 2.0)
    assert world.digests() == [(TWO,)]


def test_an_answer_that_a_crash_may_have_ended_is_confirmed_by_a_later_one():
    """Guards against a crash with an orderly close that counts as a completion."""
    world = World("t1")
    first = world.send("t1", 1, ONE)
    world.crashes.record_unconfirmed(first, 1.0)
    earlier = world.send("t1", 2, TWO)
    assert world.crashes.record_alive(earlier, 0.9, 1.2).completed == []
    assert world.crashes.record_alive(earlier, 1.1, 1.2).completed == [ONE]
    assert world.crashes.record_alive(earlier, 1.1, 1.2).completed == []


def test_a_target_that_answers_without_lengths_is_not_silent():
    """Guards against a crash that missing heartbeats prove of a target that answers."""
    world = World("t1", "t2")
    world.crashes.record_unconfirmed(world.send("t1", 1, ONE), 5.0)
    world.beat("t2", 9.5)
    world.crashes.tick(10.0)
    assert world.observed == []
    world.crashes.record_unanswered(world.send("t1", 2, TWO), 5.0)
    world.crashes.tick(10.0)
    assert world.digests() == [(ONE, TWO)]


def test_an_answer_that_a_crash_ended_involves_its_call():
    """Guards against a crash that its own call, answered in part, gets away with."""
    world = World("t1")
    world.crashes.record_unconfirmed(world.send("t1", 1, ONE), 1.0)
    world.crashes.record_refused("t1", 0, 1.1)
    assert world.digests() == [(ONE,)]


def test_an_answer_to_a_call_written_before_the_break_proves_nothing():
    world = World("t1")
    earlier = world.send("t1", 2, TWO)
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    world.crashes.record_alive(earlier, 0.5, 1.2)
    world.crashes.record_refused("t1", 0, 2.0)
    assert world.digests() == [(ONE, TWO)]


def test_a_successor_at_the_address_proves_a_crash_of_callers_who_left():
    """A target fell silent, its callers gave up, and another one has its address."""
    world = World("t1")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    world.beat("t9", 3.0, address="t1:1")
    world.crashes.tick(3.1)
    assert world.digests() == [(ONE,)]
    assert world.observed[0].evidence is CrashEvidence.REPLACED


def test_a_late_heartbeat_of_a_predecessor_proves_nothing():
    world = World("t1")
    world.beat("t9", 3.0, address="t1:1")
    world.send("t9", 1, ONE)
    world.beat("t1", 4.0)
    world.crashes.tick(4.1)
    assert world.observed == []


def test_a_late_first_heartbeat_of_a_predecessor_excludes_nothing_for_long():
    """The router never heard of the predecessor while that ran."""
    world = World("t9")
    world.beat("t1", 3.0, address="t9:1")
    world.beat("t9", 3.5)
    world.send("t9", 1, ONE)
    world.beat("t2", 4.0)
    world.crashes.tick(4.1)
    assert world.observed == []


def test_another_incarnation_proves_a_crash():
    world = World("t1")
    world.send("t1", 1, ONE)
    world.beat("t1", 2.0, incarnation=7)
    world.crashes.tick(2.1)
    assert world.digests() == [(ONE,)]


def test_missing_heartbeats_prove_a_crash_only_beside_others_of_the_data_centre():
    """Heartbeats of a whole data centre end when it is cut off."""
    world = World("t1", "t2")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    world.beat("elsewhere", 6.5, data_centre="b")
    world.crashes.tick(6.6)
    assert world.observed == []
    world.beat("t2", 6.8)
    world.crashes.tick(7.0)
    assert world.observed[0].evidence is CrashEvidence.NO_HEARTBEATS


@pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.GONE])
def test_a_target_that_announced_its_end_did_not_crash(state):
    world = World("t1")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    world.beat("t1", 1.5, state=state)
    world.crashes.record_refused("t1", 0, 2.0)
    assert world.observed == []


def test_a_target_that_announced_its_drain_in_an_answer_did_not_crash():
    world = World("t1")
    reservation = world.send("t1", 1, ONE)
    head = AnswerHead(200, (), "id", True, is_draining=True)
    world.notices.record_answer(reservation, head, "id", 1, 0.5)
    world.crashes.record_unanswered(reservation, 1.0)
    world.crashes.record_refused("t1", 0, 2.0)
    assert world.observed == []


def test_a_call_that_ended_long_before_a_crash_is_not_involved():
    world = World("t1")
    world.crashes.record_unanswered(world.send("t1", 1, ONE), 1.0)
    world.beat("t1", 11.0)
    world.crashes.tick(1.1 + BROKEN_RETENTION_SECONDS)
    world.crashes.record_refused("t1", 0, 12.0)
    assert world.observed == []


def test_an_ended_target_gets_calls_again_when_its_heartbeats_go_on():
    """A port was closed for a moment, or its heartbeat was only delayed."""
    world = World("t1", "t2")
    world.crashes.record_refused("t1", 0, 5.0)
    entries = list(world.table.entries.values())

    def running(now_seconds):
        found = world.ended.running(entries, now_seconds)
        return [entry.row.target_id for entry in found]

    assert running(5.0) == ["t2"]
    world.beat("t1", 5.5)
    assert running(5.5) == ["t2"]
    world.beat("t1", 5.0 + DELAYED_HEARTBEAT_SECONDS)
    assert running(8.1) == ["t1", "t2"]
    world.crashes.record_other_target("t1", 0, 9.0)
    assert running(10.0) == ["t2"]
    world.ended.forget({"t2"})
    assert running(10.0) == ["t1", "t2"]


def test_a_router_without_heartbeats_tries_an_ended_target_again():
    """It is cut off from the replicas, and the target runs again."""
    world = World("t1")
    world.crashes.record_refused("t1", 0, 5.0)
    entries = list(world.table.entries.values())
    assert world.ended.running(entries, 6.0) == []
    assert world.ended.running(entries, 5.0 + MAX_EXCLUSION_SECONDS) == entries


async def test_a_target_is_probed_once_a_second_at_most():
    """A server spoils many answers, and each broken exchange asks for a probe."""
    probed, refused = [], []

    async def refuses(address):
        probed.append(address)
        return address == "dead:1"

    probes = make_crash_probes(refuses, lambda *target: refused.append(target))
    for _ in range(5):
        probes.start("alive", 0, "alive:1", 10.0)
        probes.start("dead", 3, "dead:1", 10.0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert (probed, refused) == (["alive:1", "dead:1"], [("dead", 3)])
    for step in range(1, 41):
        now_seconds = 10.0 + step * PROBE_INTERVAL_SECONDS / 20
        probes.start("alive", 0, "alive:1", now_seconds)
        probes.tick(now_seconds)
        await asyncio.sleep(0)
    assert sorted(probed) == ["alive:1"] * 3 + ["dead:1"] * 2
    assert refused == [("dead", 3)] * 2


async def test_a_target_that_ends_just_after_a_probe_is_probed_again():
    """An exchange is reset and the target runs; half a second later it crashes.

    Without another exchange there the crash was noticed only seconds later.
    """
    is_refused = False
    found = []

    async def refuses(address):
        return is_refused

    probes = make_crash_probes(refuses, lambda *target: found.append(target))
    probes.start("t1", 7, "t1:1", 10.0)
    await asyncio.sleep(0)
    is_refused = True
    probes.start("t1", 7, "t1:1", 10.5)
    for now_seconds in (10.6, 10.9, 11.1):
        probes.tick(now_seconds)
        await asyncio.sleep(0)
    assert found == [("t1", 7)]


def test_an_answer_just_before_a_crash_is_involved_until_a_target_survives_it():
    """Guards against a target that answers a call, crashes of it, and shows nothing."""
    world = World("t1", "t2")
    answered = world.send("t1", 1, ONE)
    world.crashes.record_answer(answered, 1.0)
    assert world.crashes.is_not_survived(answered)
    world.crashes.record_refused("t1", 0, 1.2)
    (observed,) = world.observed
    assert observed.crash.digests == (ONE,)
    assert observed.crash.answered == {ONE}
    world.crashes.record_answer(world.send("t2", 2, TWO), 2.0)
    later = world.send("t2", 3, TWO)
    shown = world.crashes.record_alive(later, 2.0 + 2 * SURVIVAL_SECONDS, 4.1)
    assert shown.survived == [TWO]
    world.crashes.record_answer(later, 4.1)
    world.crashes.record_refused("t2", 0, 4.2)
    assert len(world.observed) == 1


def test_heartbeats_show_that_a_target_has_survived_its_answers():
    """Guards against a suspect that stays one as its target gets no more calls."""
    world = World("t1")
    world.crashes.record_answer(world.send("t1", 1, ONE), 1.0)
    world.beat("t1", 2.5)
    assert world.crashes.tick(2.6) == []
    world.beat("t1", 1.0 + SURVIVAL_SECONDS + HEARTBEAT_SECONDS + 0.1)
    assert world.crashes.tick(3.2) == [ONE]


@pytest.mark.parametrize("is_survived", [True, False])
def test_what_other_targets_answered_too_is_involved_if_none_survives_it(is_survived):
    """Guards against a popular call that is blamed for a crash after its answer."""
    world = World("t1", "t2")
    for number, target_id in enumerate(("t1", "t2")):
        world.crashes.record_answer(world.send(target_id, number, ONE), 1.0)
    world.crashes.record_refused("t1", 0, 1.2)
    assert world.observed == []
    if is_survived:
        world.crashes.record_alive(world.send("t2", 9, TWO), 2.5, 2.6)
    world.crashes.tick(1.2 + POSTPONED_SECONDS)
    assert world.digests() == ([] if is_survived else [(ONE,)])


def test_a_failure_that_a_target_survives_shows_nothing():
    """Guards against a target that fails a call before it reads what crashes others."""
    world = World("t1", "t2")
    failed = world.send("t1", 1, ONE)
    world.crashes.record_answer(failed, 1.0, is_failure=True)
    shown = world.crashes.record_alive(world.send("t1", 2, TWO), 3.0, 3.1)
    assert shown.survived == []
    world.crashes.record_answer(world.send("t2", 3, ONE), 3.2)
    world.crashes.record_refused("t2", 0, 3.3)
    assert world.digests() == [(ONE,)]
