"""Requests that crash targets: few targets lost, no innocent punished."""

from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.suspects import Suspects, SuspectTreatment, make_crash_id

POISON = b"poison"


def spread(routers, now_seconds):
    for sender in routers:
        for news in sender.make_due_updates(now_seconds):
            for receiver in routers:
                receiver.merge_update(news, now_seconds)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    entries=st.lists(st.integers(0, 3), min_size=20, max_size=20),
    company=st.integers(0, 6),
)
def test_a_poison_request_resent_twenty_times_costs_two_targets(entries, company):
    """A request crashes each target that runs it, and its caller sends it again
    through whatever router the balancer picks. Without a shared memory of it every
    resend would take another target down."""
    routers = [Suspects(300.0) for _ in range(4)]
    incarnation = count(1)
    lost = 0
    innocents = [b"innocent-%d" % number for number in range(company)]
    for number, entry in enumerate(entries):
        now_seconds = float(number)
        standing = routers[entry].treatment(POISON, now_seconds)
        if standing is not SuspectTreatment.QUARANTINED:
            lost += 1
            death = make_crash_id("t", next(incarnation))
            alone = standing is SuspectTreatment.SUSPECT
            routers[entry].record_crash(death, [POISON], now_seconds)
            if not alone:
                routers[(entry + 1) % 4].record_crash(death, innocents, now_seconds)
        spread(routers, now_seconds)
    assert lost == 2
    for router in routers:
        assert router.treatment(POISON, 20.0) is SuspectTreatment.QUARANTINED
        for innocent in innocents:
            assert router.treatment(innocent, 20.0) is SuspectTreatment.SUSPECT
            router.record_completion(innocent, 20.0)
            assert router.treatment(innocent, 20.0) is SuspectTreatment.CLEAR


def test_two_suspects_on_one_target_are_told_apart_before_one_is_refused():
    """Two routers try one suspect each on the same target at once, and it dies. One
    of the two requests is innocent, and refusing it would punish its caller."""
    suspects = Suspects(300.0)
    for death in ("t/1", "t/2"):
        suspects.record_crash(death, [POISON, b"innocent"], 0.0)
    assert suspects.treatment(POISON, 1.0) is SuspectTreatment.SUSPECT
    assert suspects.treatment(b"innocent", 1.0) is SuspectTreatment.SUSPECT
    suspects.record_completion(b"innocent", 2.0)
    suspects.record_crash("t/3", [POISON], 3.0)
    assert suspects.treatment(b"innocent", 4.0) is SuspectTreatment.CLEAR
    assert suspects.treatment(POISON, 4.0) is SuspectTreatment.QUARANTINED


def test_a_quarantine_ends_doubles_and_can_be_lifted():
    suspects = Suspects(300.0)
    for death in ("t/1", "t/2"):
        suspects.record_crash(death, [POISON], 0.0)
    ((row, left_seconds),) = suspects.list_quarantined(100.0)
    assert (row.body_digest, left_seconds) == (POISON, 200.0)
    assert suspects.treatment(POISON, 301.0) is SuspectTreatment.SUSPECT
    suspects.record_crash("t/3", [POISON], 302.0)
    assert suspects.quarantine_left_seconds(POISON, 302.0) == 600.0
    suspects.configure(300.0, lifted=[POISON])
    assert suspects.treatment(POISON, 303.0) is SuspectTreatment.CLEAR


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["died", "completed"]),
        st.integers(0, 2),
        st.sampled_from([b"a", b"b", b"c"]),
        st.integers(1, 4),
    ),
    max_size=25,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(_STEPS, st.randoms(use_true_random=False))
def test_routers_agree_whatever_order_the_news_takes(steps, random):
    """Links lose, double and reorder. If routers came to different ends, a poison
    request would be refused at one door and let in at the next."""
    routers = [Suspects(300.0) for _ in range(3)]
    for kind, entry, digest, death in steps:
        if kind == "died":
            routers[entry].record_crash(f"t/{death}", [digest], 0.0)
        else:
            routers[entry].record_completion(digest, 0.0)
    for router in routers:
        router.schedule_all_updates()
    mail = [
        (receiver, news)
        for sender in routers
        for news in sender.make_due_updates(1.0)
        for receiver in routers
    ]
    mail += random.sample(mail, len(mail) // 2)
    random.shuffle(mail)
    for receiver, news in mail:
        receiver.merge_update(news, 1.0)
    for digest in (b"a", b"b", b"c"):
        assert len({router.treatment(digest, 2.0) for router in routers}) == 1


def test_the_table_is_bounded():
    suspects = Suspects(300.0, max_suspects=10)
    suspects.record_crash("t/1", [b"%d" % number for number in range(100)], 0.0)
    known = [b"%d" % number for number in range(100)]
    standings = [suspects.treatment(digest, 1.0) for digest in known]
    assert standings.count(SuspectTreatment.SUSPECT) == 10
