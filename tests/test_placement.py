"""Where requests go, by loads that are made up here; no network."""

from random import Random

import pytest
from msgspec.structs import replace

from sesameford.discovery.heartbeat_table import make_heartbeat_table, short_name
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.engine_backlog import LOST_SECONDS
from sesameford.gateway.placement import LONGEST_REST_SECONDS, make_placement
from sesameford.load_messages import FailingTarget, TargetLoad
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

OBJECTIVE_SECONDS = 0.25
ENGINE = ServiceSettings("pool", batch_slots=32)
COPYING_ENGINE = ServiceSettings(
    "pool", batch_slots=32, cache_copy_tokens_per_second=400_000.0
)
BEAT_SECONDS = 1.0


def make(count, service="pool", slots=32):
    """Return a placement over engines e0, e1 and so on, and their table."""
    table = make_heartbeat_table()
    for number in range(count):
        table.handle_heartbeat(engine(f"e{number}", 1, service, slots), 0.0)
    return make_placement(table, "a", BEAT_SECONDS, Random(1)), table


def engine(name, sequence, service="pool", slots=32, state=TargetState.READY):
    place = "a" if name in ("e0", "e1") else "b"
    return HeartbeatRow(name, sequence, service, f"{name}:1", place, slots, state)


def prompt(subject, shared=5_000, own=1_000, session=99):
    parts = (PromptPart(subject, shared), PromptPart(session, own))
    return Prompt("m", shared + own, 100, parts)


def choose(placement, wanted, now=0.0, tried=frozenset(), engine=ENGINE):
    return placement.choose("pool", wanted, engine, OBJECTIVE_SECONDS, tried, now)


def others(target_id, requests, unread_tokens):
    return TargetLoad(short_name(target_id), requests, unread_tokens)


def test_routers_that_never_spoke_send_a_shared_part_to_one_engine():
    """Callers of one subject arrive at two routers.

    Were each to choose by itself, two engines would read the same five thousand
    tokens, and all that comes after would wait for it.
    """
    one, other = make(6)[0], make(6)[0]
    for subject in range(20):
        first = choose(one, prompt(subject), now=float(subject))
        second = choose(other, prompt(subject), now=float(subject))
        assert first.target_id == second.target_id


def test_a_part_is_counted_as_read_once():
    placement, _ = make(4)
    first = choose(placement, prompt(7), now=0.0)
    placement.heard(first, 0.1)
    again = choose(placement, prompt(7), now=5.0)
    assert (again.target_id, again.tokens) == (first.target_id, 1_000)


def test_an_engine_with_much_to_read_is_passed_over():
    """A subject's engine has seconds of prompts ahead of it; another is idle."""
    placement, _ = make(2)
    home = choose(placement, prompt(7), now=0.0).target_id
    placement.set_other_routers_load([others(home, 20, 200_000)])
    assert choose(placement, prompt(7), now=9.0).target_id != home


def test_short_prompts_keep_away_from_an_engine_that_reads_a_long_one():
    placement, _ = make(2)
    long = choose(placement, prompt(1, shared=100, own=50_000), now=0.0)
    for subject in range(10, 20):
        short = choose(placement, prompt(subject, shared=50, own=100), now=0.0)
        assert short.target_id != long.target_id


def test_what_others_have_is_what_was_told_last():
    """Another replica adds up from now on, or the same one tells a lower sum.

    Were sums added to each other, an engine would look busy that has nothing to do.
    """
    placement, _ = make(1)
    placement.set_other_routers_load([others("e0", 1, 900_000)])
    assert waits(placement) > 1.0
    placement.set_other_routers_load([others("e0", 1, 10)])
    assert waits(placement) < 0.01
    placement.set_other_routers_load([])
    assert waits(placement) == 0.0


def test_late_answers_of_a_busy_moment_are_forgotten_once_all_have_come():
    """A router is cut off from the others and fills engines that are full already.

    All of its sixty first events come a second late. Added up, they would make the
    engine look busy for half a minute while it stands idle, and callers would be
    turned away until then.
    """
    placement, _ = make(1)
    leases = [choose(placement, prompt(n, 100, 1_000, 1_000 + n)) for n in range(60)]
    for number, lease in enumerate(leases):
        placement.first_event(lease, 2.0 + number * 0.02)
    for lease in leases:
        placement.released(lease, 4.0)
    assert waits(placement) == 0.0


def test_a_prompt_is_read_while_it_waits_for_its_first_event():
    """An engine has read half of a long prompt.

    Counted as unread until its first event, the prompt would keep others away from an
    engine that has almost done with it.
    """
    placement, _ = make(1)
    lease = choose(placement, prompt(1, shared=100, own=30_000))
    at_first = waits(placement)
    half_way = lease.expected_seconds / 2
    assert 0.4 * at_first < waits(placement, half_way) < 0.65 * at_first
    assert waits(placement, lease.expected_seconds) < 0.05 * at_first


def test_an_engine_that_is_slower_than_it_looked_has_work_left():
    """An engine turns slow, and a prompt's first event is overdue.

    Taken as read by now, the prompt would draw all others to the slow engine.
    """
    placement, _ = make(1)
    lease = choose(placement, prompt(1, shared=100, own=30_000))
    later = lease.expected_seconds + 0.2
    assert waits(placement, later) == pytest.approx(waits(placement), rel=0.01)


def test_a_new_engine_is_taken_to_read_as_fast_as_others_of_its_kind():
    """All engines start anew, and the first of them has shown its rate."""
    placement, _ = make(2)
    lease = choose(placement, prompt(1, shared=100, own=30_000))
    slow_seconds = 4 * lease.expected_seconds
    placement.first_event(lease, slow_seconds)
    tried = frozenset({lease.target_id})
    other = choose(placement, prompt(2, shared=100, own=30_000), 9.0, tried)
    assert other.expected_seconds > 0.5 * slow_seconds


def waits(placement, now=0.0):
    return placement.waits_seconds("pool", 32, now)[0]


def test_a_request_beyond_the_places_of_an_engine_waits_for_one():
    """Thirty-two requests run at an engine that has read all prompts.

    A thirty-third begins only when one of them ends; another engine begins at once.
    """
    placement, _ = make(2)
    placement.set_other_routers_load([others("e0", 32, 0), others("e1", 0, 0)])
    chosen = {choose(placement, prompt(n, 0, 50), now=0.0).target_id for n in range(9)}
    assert chosen == {"e1"}


def test_an_engine_that_was_slow_is_tried_again():
    """An engine read little for some seconds, as its machine was slow.

    If that were remembered for good, nothing would be sent there that could show
    that it is well again.
    """
    placement, _ = make(1)
    lease = choose(placement, prompt(1, 0, 6_000))
    placement.first_event(lease, 3.0)
    placement.released(lease, 3.0)
    slow = choose(placement, prompt(2, 0, 6_000), now=3.0)
    assert slow.expected_seconds > 0.8
    placement.released(slow, 3.1)
    for number in range(10):
        small = choose(placement, prompt(50 + number, 0, 2_000), now=4.0 + number)
        placement.first_event(small, 4.05 + number)
        placement.released(small, 4.05 + number)
    well = choose(placement, prompt(3, 0, 6_000), now=14.0)
    assert well.expected_seconds < 0.3


def test_a_part_that_another_engine_has_is_copied_and_not_read_again():
    """A subject's engine is busy; the next one copies 5,000 tokens from it.

    Reading them takes some 80 ms, in which everybody else waits there; the copy 13 ms.
    """
    placement, _ = make(2)
    home = choose(placement, prompt(7), engine=COPYING_ENGINE)
    assert home.copy_from is None
    placement.set_other_routers_load([others(home.target_id, 40, 200_000)])
    elsewhere = choose(placement, prompt(7), engine=COPYING_ENGINE)
    assert elsewhere.target_id != home.target_id
    assert elsewhere.copy_from == home.address
    assert elsewhere.tokens == 1_000


def test_engines_that_copy_nothing_are_not_asked_to():
    placement, _ = make(2)
    home = choose(placement, prompt(7))
    placement.set_other_routers_load([others(home.target_id, 40, 200_000)])
    elsewhere = choose(placement, prompt(7))
    assert (elsewhere.copy_from, elsewhere.tokens) == (None, 6_000)


def has_room(placement, wanted):
    bounds = (OBJECTIVE_SECONDS, 0.01, 0.025)
    return placement.has_room("pool", wanted, ENGINE, *bounds, 0.0)


def test_one_idle_engine_among_busy_ones_is_no_room():
    """Three of four engines have prompts waiting for a tenth of a second.

    What a flood is let in for at the fourth pushes those who ask little to the others.
    """
    placement, _ = make(4)
    assert has_room(placement, prompt(7, shared=100))
    placement.set_other_routers_load(
        [others(f"e{number}", 2, 6_000) for number in range(3)]
    )
    assert not has_room(placement, prompt(7, shared=100))


def test_there_is_room_where_an_engine_has_the_parts_and_nothing_waits():
    placement, _ = make(1)
    assert has_room(placement, prompt(7))
    placement.set_other_routers_load([others("e0", 4, 20_000)])
    assert not has_room(placement, prompt(7))
    placement.set_other_routers_load([others("e0", 20, 0)])
    assert not has_room(placement, prompt(7))


def test_a_target_at_which_connections_fail_rests_and_is_tried_again():
    placement, _ = make(2)
    for _ in range(8):
        placement.failed("e0", 0.0)
    chosen = {choose(placement, prompt(n), now=0.1).target_id for n in range(30)}
    assert chosen == {"e1"}
    later = LONGEST_REST_SECONDS + 0.2
    chosen = {choose(placement, prompt(n), now=later).target_id for n in range(30)}
    assert "e0" in chosen


def test_a_target_that_answers_nothing_any_more_is_passed_over():
    """A server is cut off; its connections stay open and nothing comes back.

    Each request sent there until its heartbeats are missed would be lost.
    """
    placement, _ = make(2)
    for _ in range(12):
        choose(placement, prompt(1), now=0.0)
    silent = {"e0", "e1"}
    lease = choose(placement, prompt(1), now=0.3)
    placement.heard(lease, 0.4)
    silent.discard(lease.target_id)
    chosen = {choose(placement, prompt(n), now=1.6).target_id for n in range(20)}
    assert chosen == {"e0", "e1"} - silent


def test_a_target_that_was_silent_to_the_end_of_a_request_rests():
    """Callers give up on requests to a dark server one by one."""
    placement, _ = make(2)
    lease = choose(placement, prompt(1), now=0.0)
    placement.released(lease, 2.0)
    chosen = {choose(placement, prompt(n), now=2.1).target_id for n in range(20)}
    assert lease.target_id not in chosen


def test_a_slow_answer_is_no_silence_while_others_come():
    """An engine reads a very long prompt and answers others meanwhile."""
    placement, _ = make(1)
    choose(placement, prompt(1, own=50_000), now=0.0)
    other = choose(placement, prompt(2), now=0.1)
    placement.heard(other, 4.0)
    assert not placement._place("e0").is_silent(4.1)


def test_a_target_that_has_started_again_is_known_to_hold_nothing():
    """It comes back under the id that it had, with its memory empty."""
    placement, table = make(1)
    first = choose(placement, prompt(7), now=0.0)
    placement.first_event(first, 0.2)
    assert choose(placement, prompt(7), now=5.0).tokens == 1_000
    table.handle_heartbeat(replace(engine("e0", 1), incarnation=9), 6.0)
    assert choose(placement, prompt(7), now=7.0).tokens == 6_000


def test_a_target_that_drains_gets_nothing():
    placement, table = make(2)
    table.handle_heartbeat(engine("e0", 2, state=TargetState.DRAINING), 1.0)
    chosen = {choose(placement, prompt(n), now=1.0).target_id for n in range(30)}
    assert chosen == {"e1"}


def test_a_silent_target_is_taken_last_and_silence_of_all_says_nothing():
    """A router is cut off from all replicas and hears of no beats any more.

    Its targets may all be well; dropped, its callers would be refused.
    """
    placement, table = make(2)
    table.handle_heartbeat(engine("e1", 2), 60.0)
    assert choose(placement, prompt(1), now=60.0).target_id == "e1"
    assert choose(placement, prompt(1), now=600.0) is not None


def test_a_target_is_not_tried_twice():
    placement, _ = make(2)
    assert choose(placement, prompt(1), tried=frozenset({"e0", "e1"})) is None


def test_a_plain_service_goes_where_least_is_under_way():
    placement, _ = make(3, slots=6)
    chosen = [
        placement.choose("pool", None, None, OBJECTIVE_SECONDS, frozenset(), 0.0)
        for _ in range(9)
    ]
    counts = dict.fromkeys(("e0", "e1", "e2"), 0)
    for lease in chosen:
        counts[lease.target_id] += 1
    assert set(counts.values()) == {3}


def test_given_back_requests_count_no_more():
    placement, _ = make(1)
    lease = choose(placement, prompt(1))
    assert placement.loads(0.0) == (others("e0", 1, lease.tokens),)
    placement.first_event(lease, 0.1)
    assert placement.loads(0.0) == (others("e0", 1, 0),)
    placement.released(lease, 0.2)
    assert placement.loads(0.0) == ()


def test_a_flood_at_one_router_looks_at_all_engines_once_in_a_while(monkeypatch):
    """One customer's callers all come to one router, hundreds a second.

    Each request over its share asks whether engines have room. Looked up at all of
    eighty engines each time, a rejection cost the router more than twice as much, its
    loop fell behind, and the other customers' callers there were turned away.
    """
    placement, _ = make(80)
    placement.set_other_routers_load([others(f"e{n}", 4, 90_000) for n in range(80)])
    looked_at = []
    waits_seconds = placement.waits_seconds
    monkeypatch.setattr(
        placement, "waits_seconds", lambda *a: looked_at.append(a) or waits_seconds(*a)
    )
    for number in range(500):
        now_seconds = number / 5_000
        assert not placement.has_room(
            "pool", prompt(number), ENGINE, 0.25, 0.01, 0.0125, now_seconds
        )
    assert 1 <= len(looked_at) <= 6


def test_a_plain_target_that_fails_is_taken_once_sound_ones_are_full():
    """One of three servers fails most of its requests at once, and so looks idle."""
    placement, _ = make(3, service="desk", slots=6)
    # A target is known here once something was sent there.
    lease = placement.choose("desk", None, None, 0.2, frozenset({"e1", "e2"}), 0.0)
    placement.released(lease, 0.0)
    placement.set_failing_targets((FailingTarget(short_name("e0"), 0.6),))
    chosen = [
        placement.choose("desk", None, None, 0.2, frozenset(), 0.0).target_id
        for _ in range(40)
    ]
    assert "e0" not in chosen[:6]
    assert chosen.count("e0") < 40 / 3
    assert "e0" in chosen


def test_answers_that_are_lost_don_t_make_engines_look_full():
    """Engines run requests and their answers are lost on the way, for some seconds.

    Their callers wait until they give up. Counted until then, these requests seem to
    fill the engines: prompts seem to wait for seconds, and less and less is let in,
    for everybody, while the engines have nothing to do.
    """
    placement, _ = make(4)
    waits_seconds = []
    for number in range(100):
        now_seconds = number / 10
        choose(placement, prompt(number, own=100), now=now_seconds)
        waits_seconds.append(placement.mean_wait_seconds("pool", 32, now_seconds))
    assert max(waits_seconds) < LOST_SECONDS
    after_seconds = 10.0 + 3 * LOST_SECONDS
    assert placement.mean_wait_seconds("pool", 32, after_seconds) == 0.0
    for load in placement.loads(after_seconds):
        assert (load.requests, load.unread_tokens) == (0, 0)
