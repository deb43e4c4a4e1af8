"""Requests that crash targets: few targets are lost, and no other body is refused."""

from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.request_digest import digest_part, digest_request
from sesameford.suspect_completions import (
    MAX_COMPLETIONS_TO_CLEAR,
    MIN_COMPLETIONS_FOR_ANSWERED,
)
from sesameford.suspect_rows import make_crash_id
from sesameford.suspect_table import MAX_SUSPECTS_PER_CUSTOMER
from sesameford.suspects import (
    Suspects,
    SuspectTreatment,
)

POISON = b"customerpoison"


def digest_poison(customer, number):
    return digest_request(customer, "POST", "h", f"/{number}", b"")


def send_updates(routers, now_seconds):
    for sender in routers:
        for update in sender.make_due_updates(now_seconds):
            for receiver in routers:
                receiver.merge_update(update, now_seconds)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    router_indexes=st.lists(st.integers(0, 3), min_size=20, max_size=20),
    innocent_count=st.integers(0, 6),
)
def test_a_poison_request_resent_twenty_times_costs_two_targets(
    router_indexes, innocent_count
):
    """A request crashes each target that runs it, and its caller resends it through
    any router. If the routers did not share their suspects, each resend would crash
    another target."""
    routers = [Suspects(300.0) for _ in range(4)]
    incarnation = count(1)
    lost = 0
    innocents = [b"customerinnocent-%d" % number for number in range(innocent_count)]
    for number, router_index in enumerate(router_indexes):
        now_seconds = float(number)
        treatment = routers[router_index].treatment(POISON, now_seconds)
        if treatment is not SuspectTreatment.QUARANTINED:
            lost += 1
            crash_id = make_crash_id("t", next(incarnation))
            alone = treatment is SuspectTreatment.SUSPECT
            routers[router_index].record_crash(crash_id, [POISON], now_seconds)
            if not alone:
                routers[(router_index + 1) % 4].record_crash(
                    crash_id, innocents, now_seconds
                )
        send_updates(routers, now_seconds)
    assert lost == 2
    for router in routers:
        assert router.treatment(POISON, 20.0) is SuspectTreatment.QUARANTINED
        for innocent in innocents:
            assert router.treatment(innocent, 20.0) is SuspectTreatment.SUSPECT
            router.record_completion(innocent, 20.0)
            assert router.treatment(innocent, 20.0) is SuspectTreatment.CLEAR


def test_two_suspects_on_one_target_run_alone_before_one_is_refused():
    """Two routers run one suspect each on the same target at once, and it crashes.
    Only one of the two requests caused it, and the other must not be refused."""
    suspects = Suspects(300.0)
    for crash_id in ("t/1", "t/2"):
        suspects.record_crash(crash_id, [POISON, b"customerinnocent"], 0.0)
    assert suspects.treatment(POISON, 1.0) is SuspectTreatment.SUSPECT
    assert suspects.treatment(b"customerinnocent", 1.0) is SuspectTreatment.SUSPECT
    suspects.record_completion(b"customerinnocent", 2.0)
    suspects.record_crash("t/3", [POISON], 3.0)
    assert suspects.treatment(b"customerinnocent", 4.0) is SuspectTreatment.CLEAR
    assert suspects.treatment(POISON, 4.0) is SuspectTreatment.QUARANTINED


def test_a_quarantine_ends_doubles_and_can_be_lifted():
    suspects = Suspects(300.0)
    for crash_id in ("t/1", "t/2"):
        suspects.record_crash(crash_id, [POISON], 0.0)
    ((row, left_seconds),) = suspects.list_quarantined(100.0)
    assert (row.request_digest, left_seconds) == (POISON, 200.0)
    assert suspects.treatment(POISON, 301.0) is SuspectTreatment.SUSPECT
    suspects.record_crash("t/3", [POISON], 302.0)
    assert suspects.quarantine_left_seconds(POISON, 302.0) == 600.0
    suspects.configure(300.0, lifted=[POISON])
    assert suspects.treatment(POISON, 303.0) is SuspectTreatment.CLEAR


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["died", "completed"]),
        st.integers(0, 2),
        st.sampled_from([b"customera", b"customerb", b"customerc"]),
        st.integers(1, 4),
    ),
    max_size=25,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(_STEPS, st.randoms(use_true_random=False))
def test_routers_agree_whatever_the_order_of_updates(steps, random):
    """Links lose, duplicate and reorder updates. If routers disagreed, a poison
    request refused by one router would run through another."""
    routers = [Suspects(300.0) for _ in range(3)]
    for kind, router_index, digest, crash_number in steps:
        if kind == "died":
            routers[router_index].record_crash(f"t/{crash_number}", [digest], 0.0)
        else:
            routers[router_index].record_completion(digest, 0.0)
    for router in routers:
        router.schedule_all_updates()
    deliveries = [
        (receiver, update)
        for sender in routers
        for update in sender.make_due_updates(1.0)
        for receiver in routers
    ]
    deliveries += random.sample(deliveries, len(deliveries) // 2)
    random.shuffle(deliveries)
    for receiver, update in deliveries:
        receiver.merge_update(update, 1.0)
    for digest in (b"customera", b"customerb", b"customerc"):
        assert len({router.treatment(digest, 2.0) for router in routers}) == 1


def test_the_table_is_bounded():
    suspects = Suspects(300.0, max_suspects=10)
    suspects.record_crash("t/1", [b"customer%d" % number for number in range(100)], 0.0)
    digests = [b"customer%d" % number for number in range(100)]
    treatments = [suspects.treatment(digest, 1.0) for digest in digests]
    assert treatments.count(SuspectTreatment.SUSPECT) == 10


def test_copies_in_flight_at_crashes_at_once_are_no_reason_for_a_quarantine():
    """A rack fails, and one popular request was in flight at all of its targets."""
    suspects = Suspects(300.0)
    for number in range(5):
        suspects.record_crash(f"t/{number}", [b"customerpopular"], 0.0, trials=[])
    assert suspects.treatment(b"customerpopular", 0.1) is SuspectTreatment.SUSPECT
    suspects.record_crash("t/5", [b"customerpopular"], 1.0, trials=[b"customerpopular"])
    assert suspects.quarantine_left_seconds(b"customerpopular", 1.0) == 300.0
    suspects.record_completion(b"customerpopular", 2.0)
    assert suspects.treatment(b"customerpopular", 2.0) is SuspectTreatment.CLEAR


def test_two_crashes_under_trials_quarantine_a_request_beside_another():
    suspects = Suspects(300.0)
    both = [POISON, b"customerinnocent"]
    suspects.record_crash("t/1", both, 0.0, trials=[])
    suspects.record_crash("t/2", both, 1.0, trials=both)
    assert suspects.treatment(POISON, 1.0) is SuspectTreatment.SUSPECT
    suspects.record_crash("t/3", [POISON], 2.0, trials=[POISON])
    assert suspects.treatment(POISON, 2.0) is SuspectTreatment.QUARANTINED
    assert suspects.treatment(b"customerinnocent", 2.0) is SuspectTreatment.SUSPECT


def test_a_customer_with_many_variants_displaces_only_its_own_rows():
    """A customer sends a thousand variants of a crashing request."""
    rival = b"rival---poison"
    suspects = Suspects(300.0)
    for crash_id in ("t/a", "t/b"):
        suspects.record_crash(crash_id, [rival], 0.0)
    for number in range(1000):
        suspects.record_crash(f"t/{number}", [b"customer%d" % number], float(number))
    assert suspects.count_suspects() == 1 + MAX_SUSPECTS_PER_CUSTOMER
    assert suspects.quarantine_left_seconds(rival, 1.0) > 0.0


def test_a_request_with_more_crashes_stays_when_its_customer_has_many():
    suspects = Suspects(300.0)
    for crash_id in ("t/a", "t/b"):
        suspects.record_crash(crash_id, [b"customer-first"], 0.0)
    for number in range(200):
        suspects.record_crash(f"t/{number}", [b"customer%d" % number], 1.0)
    treatment = suspects.treatment(b"customer-first", 2.0)
    assert treatment is SuspectTreatment.QUARANTINED


def test_an_instance_that_starts_is_sent_the_requests_with_most_crashes_first():
    suspects = Suspects(300.0)
    for crash_id in ("t/a", "t/b"):
        suspects.record_crash(crash_id, [POISON], 0.0)
    for number in range(20):
        suspects.record_crash(f"t/{number}", [b"customer%d" % number], 1.0)
    started = Suspects(300.0)
    for update in suspects.newest_updates(5):
        started.merge_update(update, 2.0)
    assert started.treatment(POISON, 2.0) is SuspectTreatment.QUARANTINED
    assert started.count_suspects() == 5


FIRST, CULPRIT, NEXT = (digest_part("club", number) for number in (1, 2, 3))


def crash_under(suspects, crash_id, number, parts, now_seconds):
    """Record a crash under a call of its own with some parts; return its digest."""
    request = digest_request("club", "POST", "h", f"/{number}", b"")
    digests = (request, *parts)
    trials = suspects.suspected(digests)
    suspects.record_crash(crash_id, digests, now_seconds, trials)
    return request


def test_calls_with_all_parts_of_the_crashes_are_refused_and_others_are_tried():
    """The neighbours of a part that crashes targets were in flight at all crashes."""
    suspects = Suspects(300.0)
    parts = (FIRST, CULPRIT, NEXT)
    for number in range(3):
        crash_under(suspects, f"t/{number}", number, parts, float(number))
    treatment = suspects.treatment(b"new", 3.0, parts)
    assert treatment is SuspectTreatment.QUARANTINED
    for part in (FIRST, NEXT):
        treatment = suspects.treatment(b"new", 3.0, (part,))
        assert treatment is SuspectTreatment.SUSPECT
        for _ in range(MAX_COMPLETIONS_TO_CLEAR):
            suspects.record_completion(part, 4.0)
    assert suspects.suspected(parts) == {CULPRIT}
    treatment = suspects.treatment(b"new", 5.0, (CULPRIT,))
    assert treatment is SuspectTreatment.QUARANTINED


def test_a_shared_part_is_not_refused_for_a_crash_beside_the_culprit():
    """It was in flight where a target ended by itself, and then beside the culprit."""
    suspects = Suspects(300.0)
    suspects.record_crash("t/0", [b"customerother", FIRST], 0.0, trials=[])
    for number in (1, 2):
        crash_under(suspects, f"t/{number}", number, (FIRST, CULPRIT), 1.0)
    treatment = suspects.treatment(b"new", 2.0, (FIRST,))
    assert treatment is SuspectTreatment.SUSPECT


def test_one_customers_crashes_refuse_no_other_customer_and_a_completion_clears_it():
    """One customer could have another's calls refused by sending their parts."""
    suspects = Suspects(300.0)
    theirs = digest_part("rival", 2)
    for number in range(20):
        suspects.record_crash(f"t/{number}", [CULPRIT], float(number), [CULPRIT])
        treatment = suspects.treatment(b"new", float(number), (theirs,))
        assert treatment is SuspectTreatment.SUSPECT
        assert suspects.record_completion(theirs, float(number))
        treatment = suspects.treatment(b"new", float(number), (theirs,))
        assert treatment is SuspectTreatment.CLEAR
    treatment = suspects.treatment(b"new", 20.0, (CULPRIT,))
    assert treatment is SuspectTreatment.QUARANTINED


def test_a_completion_of_one_customer_clears_a_part_for_those_without_crashes():
    """Each of many customers had to wait for a trial of its own."""
    suspects = Suspects(300.0)
    for number in range(3):
        crash_under(suspects, f"t/{number}", number, (CULPRIT,), float(number))
    assert suspects.record_completion(digest_part("rival", 2), 3.0)
    others = digest_part("third", 2)
    assert suspects.treatment(b"new", 3.0, (others,)) is SuspectTreatment.CLEAR


def test_trials_of_one_part_are_one_at_a_time_for_all_customers():
    suspects = Suspects(300.0)
    theirs = digest_part("rival", 2)
    for number in range(3):
        crash_under(suspects, f"t/{number}", number, (CULPRIT,), float(number))
    assert suspects.trial_key(CULPRIT) == suspects.trial_key(theirs)
    suspects.record_completion(theirs, 3.0)
    assert suspects.trial_key(CULPRIT) != suspects.trial_key(theirs)


def test_customers_in_turn_cost_one_more_target_together():
    """Each of twelve customers that sent a crashing part cost three targets or more."""
    suspects = Suspects(300.0)
    crashed = 0
    for customer in range(12):
        for _ in range(5):
            part = digest_part(f"customer-{customer}", 2)
            treatment = suspects.treatment(b"new", float(crashed), (part,))
            if treatment is not SuspectTreatment.QUARANTINED:
                crash_under(suspects, f"t/{crashed}", crashed, (part,), float(crashed))
                crashed += 1
    assert crashed <= 3 + 1


def test_a_single_crash_under_no_trial_makes_no_other_customers_part_a_suspect():
    """A target ended by itself while a popular part was in flight for one of many."""
    suspects = Suspects(300.0)
    suspects.record_crash("t/0", [CULPRIT], 0.0, trials=[])
    theirs = digest_part("rival", 2)
    assert suspects.treatment(b"new", 1.0, (theirs,)) is SuspectTreatment.CLEAR


def test_parts_stay_when_a_crash_adds_many_requests():
    """All calls in flight at crashes of other causes add a row each."""
    suspects = Suspects(300.0)
    crash_under(suspects, "t/0", 0, (CULPRIT,), 0.0)
    requests = [digest_request("club", "GET", "h", f"/{n}", b"") for n in range(1000)]
    suspects.record_crash("t/1", requests, 1.0, trials=[])
    assert suspects.suspected((CULPRIT,)) == {CULPRIT}


def test_rows_with_several_crashes_stay_when_the_table_is_full():
    suspects = Suspects(300.0, max_suspects=20)
    for number in range(2):
        suspects.record_crash(f"t/{number}", [POISON], 0.0)
    suspects.record_crash(
        "t/3", [b"%08d-%d" % (number, number) for number in range(100)], 1.0
    )
    assert suspects.treatment(POISON, 2.0) is SuspectTreatment.QUARANTINED


def test_a_quarantine_lasts_a_day_after_three_trials_crashed():
    """However long calls with a part come, they are sent three times more at most."""
    suspects = Suspects(300.0)
    now_seconds, sends = 0.0, 0
    for number in range(400):
        if suspects.treatment(b"new", now_seconds, (CULPRIT,)) is not (
            SuspectTreatment.QUARANTINED
        ):
            crash_under(suspects, f"t/{number}", number, (CULPRIT,), now_seconds)
            sends += 1
        now_seconds += 100.0
    assert sends <= 3 + 3


def test_a_part_that_crashes_targets_for_two_customers_is_tried_for_one_at_a_time():
    """Each quarantine cost a target for each customer that sends the part."""
    suspects = Suspects(300.0)
    theirs = digest_part("rival", 2)
    now_seconds, sends = 0.0, 0
    for _ in range(400):
        for part in (CULPRIT, theirs):
            treatment = suspects.treatment(b"new", now_seconds, (part,))
            if treatment is not SuspectTreatment.QUARANTINED:
                crash_under(suspects, f"t/{sends}", sends, (part,), now_seconds)
                sends += 1
            now_seconds += 50.0
    assert sends <= 3 + 3 + 3


def test_a_crash_beside_other_parts_refuses_no_other_customers_part():
    """A customer's crashes are not those of a part that another one has without it."""
    suspects = Suspects(300.0)
    theirs = digest_part("rival", 1)
    for number in range(3):
        crash_under(suspects, f"t/{number}", number, (FIRST, CULPRIT), float(number))
    suspects.record_crash("t/3", [theirs], 4.0, trials=[])
    treatment = suspects.treatment(b"new", 5.0, (theirs,))
    assert treatment is SuspectTreatment.SUSPECT


@pytest.mark.parametrize("digest", [POISON, CULPRIT])
def test_a_crash_after_an_answer_is_cleared_only_by_a_target_that_lived_on(digest):
    """Guards against answers that clear a request whose targets crash of it later."""
    suspects, peer = Suspects(300.0), Suspects(300.0)
    suspects.record_crash("t/1", [digest], 0.0, trials=[], answered=[digest])
    for update in suspects.make_due_updates(0.0):
        peer.merge_update(update, 0.0)
    for instance in (suspects, peer):
        assert not instance.record_completion(digest, 1.0)
        assert instance.needs_survival(digest)
    suspects.record_crash("t/2", [digest], 2.0, trials=[digest], answered=[digest])
    parts = (digest,) if digest == CULPRIT else ()
    for update in suspects.make_due_updates(2.0):
        peer.merge_update(update, 2.0)
    for instance in (suspects, peer):
        cleared = [
            instance.record_completion(digest, 3.0, has_survived=True)
            for _ in range(MAX_COMPLETIONS_TO_CLEAR)
        ]
        assert any(cleared)
        treatment = instance.treatment(POISON, 4.0, parts)
        assert treatment is SuspectTreatment.CLEAR


def test_a_neighbour_that_completes_for_one_customer_is_no_other_reason():
    """Guards against a crashing part whose quarantine ends as its neighbour's does."""
    suspects = Suspects(300.0)
    customers = ("club", "rival", "third", "fourth")
    for number, customer in enumerate(customers):
        parts = [digest_part(customer, one) for one in (1, 2)]
        trials = [] if number == 0 else parts
        suspects.record_crash(f"t/{number}", parts, 0.0, trials)
    # The same request of another customer crashed a target just before.
    digests = [digest_poison("club", 0), FIRST, CULPRIT]
    suspects.record_crash("t/9", digests, 1.0, digests)
    for _ in range(MAX_COMPLETIONS_TO_CLEAR):
        suspects.record_completion(FIRST, 2.0)
    for customer in customers:
        parts = [digest_part(customer, one) for one in (1, 2)]
        treatment = suspects.treatment(b"new", 3.0, parts)
        assert treatment is SuspectTreatment.QUARANTINED
    assert suspects.treatment(b"new", 3.0, (FIRST,)) is not SuspectTreatment.QUARANTINED


@pytest.mark.parametrize("make_digest", [digest_part, digest_poison])
def test_an_answer_for_one_customer_does_not_outweigh_the_crashes_of_all(make_digest):
    """Guards against an answer, and then a crash, that ends a quarantine for all."""
    suspects = Suspects(300.0)
    customers = ("club", "rival", "third", "fourth")
    digests = [make_digest(customer, 2) for customer in customers]
    for number, digest in enumerate(digests):
        suspects.record_crash(f"t/{number}", [digest], 0.0, [digest] * bool(number))
    fifth = make_digest("fifth", 2)
    for digest in (digests[3], fifth):
        suspects.record_completion(digest, 1.0)
    for digest in (*digests, fifth):
        assert suspects.refusal_seconds(digest, 1.0) > 0.0
    assert suspects.record_completion(digests[3], 2.0, has_survived=True)
    for digest in digests[:2]:
        assert suspects.refusal_seconds(digest, 2.0) == 0.0


def test_an_answer_before_a_crash_clears_no_other_customers_crashes():
    """Guards against customers who each learn anew what crashes just after answers."""
    suspects = Suspects(300.0)
    customers = [f"customer-{number}" for number in range(8)]
    digests = [digest_poison(customer, 0) for customer in customers]
    crashed = 0
    for at_seconds, digest in enumerate(digests):
        for _ in range(5):
            if suspects.refusal_seconds(digest, float(at_seconds)) > 0.0:
                continue
            answered = [digest] * bool(at_seconds)
            for one in answered:
                suspects.record_completion(one, float(at_seconds))
            is_trial = bool(suspects.suspected([digest]))
            crash_id = f"t/{crashed}"
            suspects.record_crash(
                crash_id, [digest], float(at_seconds), [digest] * is_trial, answered
            )
            crashed += 1
    assert crashed <= 2 + 1
    for _ in range(MAX_COMPLETIONS_TO_CLEAR):
        suspects.record_completion(digests[0], 20.0, has_survived=True)
        suspects.record_completion(digests[1], 20.0, has_survived=True)
    assert not suspects.suspected(digests)


def test_callers_without_a_key_are_one_customer():
    """Guards against anonymous callers who have a customer's sound calls refused."""
    suspects = Suspects(300.0)
    anonymous, of_club = (
        digest_request(one, "POST", "h", "/x", b"") for one in (None, "club")
    )
    for number in range(4):
        suspects.record_crash(f"t/{number}", [anonymous], float(number))
    assert suspects.treatment(anonymous, 5.0) is SuspectTreatment.QUARANTINED
    assert suspects.treatment(of_club, 5.0) is SuspectTreatment.SUSPECT
    suspects.record_crash("t/5", [of_club], 6.0)
    of_rival = digest_request("rival", "POST", "h", "/x", b"")
    assert suspects.treatment(of_rival, 7.0) is SuspectTreatment.QUARANTINED


def test_rows_of_the_same_crashes_are_sent_together():
    """Guards against a part that is blamed where its neighbour's row was lost."""
    suspects = Suspects(300.0)
    for number in range(2):
        crash_under(suspects, f"t/{number}", number, (FIRST, CULPRIT), float(number))
    for at_seconds in range(10):
        suspects.make_due_updates(2.0 + at_seconds)
    suspects.record_crash("t/9", [FIRST], 20.0, trials=[])
    (due,) = suspects.pop_due_rows(20.0)
    assert due.request_digest == FIRST
    companions = suspects.companions([due])
    assert [row.request_digest for row in companions] == [CULPRIT]


@pytest.mark.parametrize("digest", [POISON, FIRST])
def test_what_completes_far_more_often_than_targets_crash_is_cleared(digest):
    """Guards against a popular part that is refused while all targets end in turn."""
    suspects = Suspects(300.0)
    parts = (digest,) if digest == FIRST else ()
    for number in range(6):
        trials = [digest] * bool(number)
        suspects.record_crash(
            f"t/{number}", [digest], float(number), trials, answered=[digest]
        )
        for _ in range(MIN_COMPLETIONS_FOR_ANSWERED):
            suspects.record_completion(digest, number + 0.5)
        treatment = suspects.treatment(POISON, number + 0.6, parts)
        assert treatment is SuspectTreatment.CLEAR


@pytest.mark.parametrize("digest", [POISON, CULPRIT])
def test_what_completes_once_before_each_crash_is_refused(digest):
    """Guards against answers that outweigh the crashes which follow each of them."""
    suspects = Suspects(300.0)
    parts = (digest,) if digest == CULPRIT else ()
    for number in range(6):
        suspects.record_completion(digest, number + 0.4)
        trials = [digest] * bool(number)
        suspects.record_crash(
            f"t/{number}", [digest], number + 0.5, trials, answered=[digest]
        )
    treatment = suspects.treatment(POISON, 6.0, parts)
    assert treatment is SuspectTreatment.QUARANTINED
