"""Idle customers gain no credit, and debt is clamped."""

from sesameford.virtual_time import VirtualTimes


def test_a_customer_that_was_idle_starts_at_the_floor():
    times = VirtualTimes(0.5, 1000.0)
    times.charge("busy", 5000.0, 1.0)
    times.mark_backlogged({"busy": 0.0}, 1.0)
    times.mark_backlogged({"busy": 0.0, "back": 1.1}, 1.2)
    assert times.virtual_time("back") == times.virtual_time("busy")


def test_debt_from_the_other_side_of_a_partition_is_clamped():
    """A customer is served on both sides of a partition that lasts for an hour.

    Its virtual time jumps when the sides merge. Without the clamp it would then wait
    for an hour.
    """
    times = VirtualTimes(0.5, 1000.0)
    times.charge("both", 1e6, 1.0)
    times.charge("other", 10.0, 1.0)
    times.mark_backlogged({"both": 0.0, "other": 0.0}, 10.0)
    assert times.virtual_time("both") == times.virtual_time("other") + 2000.0


def test_service_is_divided_by_the_share():
    times = VirtualTimes(0.5, 1000.0)
    times.charge("wide", 100.0, 4.0)
    assert times.virtual_time("wide") == 25.0


def test_allocators_converge_on_differences_and_ignore_a_common_offset():
    one, other = VirtualTimes(0.5, 1e9), VirtualTimes(0.5, 1e9)
    for times, ahead in ((one, 0.0), (other, 500.0)):
        times.charge("a", 100.0 + ahead, 1.0)
        times.charge("b", 200.0 + ahead, 1.0)
    other.charge("b", 40.0, 1.0)
    one.converge_towards({name: other.virtual_time(name) for name in ("a", "b")})
    assert one.virtual_time("b") - one.virtual_time("a") == 120.0
