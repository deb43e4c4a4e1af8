"""Which targets get new work, whatever order the news of them comes in."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.messages import TargetAnnouncement
from sesameford.tables import TargetKind
from sesameford.target_replication import make_target_replication
from sesameford.targets import TargetRegistry


def news(incarnation=1, sequence=1, lease=2.0, leaving=False, target_id="t"):
    return TargetAnnouncement(
        target_id,
        incarnation,
        sequence,
        TargetKind.MODEL,
        ("m",),
        "http://127.0.0.1:1",
        "a",
        8,
        lease,
        leaving=leaving,
    )


_NEWS = st.builds(
    news, st.integers(1, 3), st.integers(1, 6), st.just(2.0), st.booleans()
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(_NEWS, min_size=1, max_size=12), st.randoms(use_true_random=False))
def test_old_announcements_never_bring_a_target_back(said, random):
    """News of a leave overtakes older announcements on a slower link. Taken in the
    order of arrival they would bring a gone target back, and its callers would meet
    refused connections."""
    said = {(item.incarnation, item.announcement_sequence): item for item in said}
    arrivals = [*said.values(), *said.values()]
    random.shuffle(arrivals)
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    heard = [item for item in arrivals if spread.handle_announcement(item, 0.0)]
    stamps = [(item.incarnation, item.announcement_sequence) for item in heard]
    assert stamps == sorted(stamps)
    newest = said[max(said)]
    left = any(item.leaving for item in heard if item.incarnation == newest.incarnation)
    usable = registry.usable({}, 1.0)
    assert not (left and "t" in usable)
    if "t" in usable:
        assert usable["t"].incarnation == newest.incarnation


def test_a_target_that_ends_can_not_announce_itself_back():
    """A target says that it leaves, and an announcement of its own that was on the
    way arrives after that with a later number."""
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    spread.handle_announcement(news(1, 1), 0.0)
    assert spread.handle_leave("t", 1, 2, 0.5)
    spread.handle_announcement(news(1, 3), 0.6)
    assert registry.usable({}, 0.7) == {}
    spread.handle_announcement(news(2, 1), 0.8)
    assert registry.usable({}, 0.9)["t"].incarnation == 2


def test_targets_of_an_evacuated_data_centre_get_no_new_work():
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    spread.handle_announcement(news(1, 1), 0.0)
    place = registry.get("t").target.data_centre
    assert registry.usable({}, 0.5)
    assert not registry.usable({}, 0.5, frozenset({place}))


def test_no_new_work_after_the_lease_or_while_connections_fail():
    """A target dies silently. Until its lease runs out each router learns by its own
    failed connections, and then goes back to it more and more rarely."""
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    spread.handle_announcement(news(lease=10.0), 0.0)
    registry.suspend("t", 1, 1.0)
    assert not registry.usable({}, 1.4)
    assert registry.usable({}, 1.6)
    registry.suspend("t", 1, 1.6)
    assert not registry.usable({}, 2.5)
    assert registry.usable({}, 2.7)
    registry.record_success("t")
    registry.suspend("t", 1, 3.0)
    assert registry.usable({}, 3.6)
    assert not registry.usable({}, 10.0)


def test_a_flapping_target_comes_back_slowly():
    """A target crashes seconds after each start. Given a full load at once it would
    cut all of that each time."""
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    waits = []
    for incarnation in range(1, 7):
        started = incarnation * 5.0
        spread.handle_announcement(news(incarnation, lease=60.0), started)
        waited = 0.0
        while not registry.usable({}, started + waited):
            waited += 0.5
        waits.append(waited)
    assert waits == [0.0, 0.0, 1.0, 2.0, 4.0, 8.0]


def test_a_new_incarnation_tells_that_the_old_one_is_gone():
    registry = TargetRegistry()
    spread = make_target_replication(registry, "e1", 1, False)
    gone = []
    registry.set_replacement_callback(lambda *what: gone.append(what))
    spread.handle_announcement(news(1), 0.0)
    spread.handle_announcement(news(2), 1.0)
    assert gone == [("t", 2, 1.0)]
