"""Requests go to the target that has cached their prefix, if it has a free slot."""

from sesameford.affinity import Affinity
from sesameford.tables import Request, TargetKind


def make_request(prefixes):
    return Request(
        "r",
        "c",
        TargetKind.MODEL,
        "m",
        0.0,
        1e9,
        1,
        0,
        None,
        True,
        b"",
        prefix_digests=prefixes,
    )


def test_the_longest_cached_prefix_is_preferred_among_available_targets():
    affinity = Affinity()
    affinity.record_sent(make_request((1, 2)), "t1")
    affinity.record_sent(make_request((9,)), "t2")
    request = make_request((1, 2, 3))
    both = {"t1": 1, "t2": 5}
    assert affinity.choose_target(request, both, ["t1", "t2"], None) == "t1"
    assert affinity.choose_target(request, both, ["t1", "t2"], "t1") == "t2"
    assert affinity.choose_target(request, {"t2": 5}, ["t2"], None) == "t2"


def test_a_late_eviction_does_not_undo_a_newer_send():
    """A target's eviction is reported after the prefix was sent to another target.

    If it removed the newer entry, the next request would go to a cold cache.
    """
    affinity = Affinity()
    affinity.record_sent(make_request((1,)), "t1")
    affinity.record_sent(make_request((1,)), "t2")
    affinity.record_evicted("t1", [1])
    assert affinity.cached_prefixes(make_request((1,)), "t2") == 1
    affinity.forget_target("t2")
    assert len(affinity) == 0


def test_the_number_of_prefixes_is_bounded():
    affinity = Affinity(max_prefixes=10)
    for number in range(100):
        affinity.record_sent(make_request((number,)), "t1")
    assert len(affinity) == 10
