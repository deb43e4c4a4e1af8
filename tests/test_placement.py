"""Where requests go, by loads that are made up here; no network."""

from sesameford.discovery.beat_table import make_beat_table, short_name
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.placement import LONGEST_REST_SECONDS, make_placement
from sesameford.messages import BeatRow, PlaceLoad
from sesameford.tables import TargetState

OBJECTIVE_SECONDS = 0.25
BEAT_SECONDS = 1.0


def make(count, service="pool", slots=32):
    """Return a placement over engines e0, e1 and so on, and their table."""
    table = make_beat_table()
    for number in range(count):
        table.beat(engine(f"e{number}", 1, service, slots), 0.0)
    return make_placement(table, "a", BEAT_SECONDS), table


def engine(name, sequence, service="pool", slots=32, state=TargetState.READY):
    place = "a" if name in ("e0", "e1") else "b"
    return BeatRow(name, sequence, service, f"{name}:1", place, slots, state)


def prompt(subject, shared=5_000, own=1_000, session=99):
    parts = (PromptPart(subject, shared), PromptPart(session, own))
    return Prompt("m", shared + own, 100, parts)


def choose(placement, wanted, now=0.0, tried=frozenset()):
    return placement.choose("pool", wanted, 32, OBJECTIVE_SECONDS, tried, now)


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
    loads = [PlaceLoad(short_name(home), 40, 0)]
    placement.take_others(loads, True, 9.0)
    placement.take_others([PlaceLoad(short_name(home), 40, 200_000)], False, 9.0)
    assert choose(placement, prompt(7), now=9.0).target_id != home


def test_short_prompts_keep_away_from_an_engine_that_reads_a_long_one():
    placement, _ = make(2)
    long = choose(placement, prompt(1, shared=100, own=50_000), now=0.0)
    for subject in range(10, 20):
        short = choose(placement, prompt(subject, shared=50, own=100), now=0.0)
        assert short.target_id != long.target_id


def test_a_new_book_of_totals_is_no_load():
    """Another replica adds up from now on; its totals begin elsewhere.

    The difference of two books is nothing that anybody has sent.
    """
    placement, _ = make(1)
    placement.take_others([PlaceLoad(short_name("e0"), 1, 10)], True, 0.0)
    placement.take_others([PlaceLoad(short_name("e0"), 1, 900_000)], True, 0.0)
    assert placement.wait_seconds(["pool"], 0.0) == 0.0


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


def test_a_target_that_drains_gets_nothing():
    placement, table = make(2)
    table.beat(engine("e0", 2, state=TargetState.DRAINING), 1.0)
    chosen = {choose(placement, prompt(n), now=1.0).target_id for n in range(30)}
    assert chosen == {"e1"}


def test_a_silent_target_is_taken_last_and_silence_of_all_says_nothing():
    """A router is cut off from all replicas and hears of no beats any more.

    Its targets may all be well; dropped, its callers would be refused.
    """
    placement, table = make(2)
    table.beat(engine("e1", 2), 60.0)
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
    placement.first_event(lease, 0.1)
    placement.released(lease, 0.2)
    assert placement.loads()[0].requests == 0
