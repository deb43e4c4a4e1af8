"""What most routers report, whatever some of them do."""

import pytest

from sesameford.gateway.trimmed_sums import (
    bin_answers,
    bin_waits,
    fleet_answers,
    fleet_wait_seconds,
)
from sesameford.load_messages import PartialLoad, RouterLoad


def make_sums(loads):
    """Return a replica's sums of some reports."""
    return PartialLoad(len(loads), waits=bin_waits(loads), answers=bin_answers(loads))


@pytest.mark.parametrize("wrong_wait_seconds", [0.0, 3.0, 1e9])
@pytest.mark.parametrize("wrong", range(9))
def test_a_third_of_the_routers_moves_the_wait_by_no_more_than_others_differ(
    wrong, wrong_wait_seconds
):
    """Guards against a wait of the fleet that a few routers decide."""
    others = [
        RouterLoad((), wait_seconds=0.1 + number / 1000) for number in range(27 - wrong)
    ]
    loads = [*others, *[RouterLoad((), wait_seconds=wrong_wait_seconds)] * wrong]
    sums = [make_sums(loads[::2]), make_sums(loads[1::2])]
    assert 0.1 <= fleet_wait_seconds(sums) <= 0.13


def test_sums_of_an_earlier_release_count_with_all_their_routers():
    """Guards against replicas of two releases that leave each other's routers out."""
    earlier = PartialLoad(
        20,
        wait_seconds=0.1,
        in_time_answers=190.0,
        late_answers=10.0,
        paused_answers=20.0,
    )
    late = RouterLoad((), wait_seconds=2.0, in_time_answers=0.0, late_answers=50.0)
    assert fleet_wait_seconds([earlier, make_sums([late] * 6)]) == pytest.approx(0.1)
    in_time, late_answers, paused = fleet_answers([earlier, make_sums([late] * 6)])
    assert late_answers / in_time == pytest.approx(10 / 190)
    assert paused / in_time == pytest.approx(20 / 190)


def test_routers_without_answers_or_reports_say_nothing():
    """Guards against idle routers that are taken for punctual ones."""
    idle = RouterLoad((), wait_seconds=0.2)
    late = RouterLoad((), in_time_answers=1.0, late_answers=3.0)
    assert fleet_answers([make_sums([idle, idle, late])]) == pytest.approx((1, 3, 0))
    assert fleet_answers([make_sums([idle])]) == (0.0, 0.0, 0.0)
    assert fleet_wait_seconds([]) == 0.0
    assert fleet_wait_seconds([PartialLoad()]) == 0.0
