"""Allocators compare their virtual times without forgetting service under way."""

import pytest

from sesameford.allocator import Allocator
from sesameford.effective import EffectiveTree
from sesameford.links import LEASE_SECONDS
from sesameford.slot_messages import PoolReport, ServedRow, ShareReport, VirtualTimeRow


@pytest.fixture
def allocator():
    allocator = Allocator("b0", "b")
    allocator.configure(EffectiveTree())
    allocator.activate([], 0.0)
    allocator.observe_remote_allocators({"a": "a0"}, 0.0)
    return allocator


def test_comparing_does_not_take_back_service_that_is_on_its_way(allocator):
    """A customer enters through every data centre and waits without end.

    Each allocator lacks what the others served last. Taken back at every
    comparison, a part of its service would never be counted, and it would get
    more than its share for as long as it waits: 5,900 of 22,600 cost units in the
    flood of the bench.
    """
    own = (PoolReport("m", (ServedRow("c0", 100.0), ServedRow("c1", 700.0))),)
    allocator.handle_report("b1", 1, ShareReport(1, 1, 0, full=True, pools=own), 0.0)
    greeting = ShareReport(1, 1, 0, data_centre="a", full=True)
    allocator.handle_report("a0", 1, greeting, 0.0)
    now_seconds = LEASE_SECONDS + 1.0
    # The other side knows c0 whole and of c1 only what was told at first.
    rows = (VirtualTimeRow("c0", 100.0, 100.0), VirtualTimeRow("c1", 200.0, 200.0))
    news = ShareReport(
        1, 2, 0, data_centre="a", pools=(PoolReport("m", virtual_times=rows),)
    )
    allocator.handle_report("a0", 1, news, now_seconds)
    times = allocator.state.pool("m").times
    assert times.virtual_time("c1") - times.virtual_time("c0") == 600.0


def test_comparing_meets_half_way(allocator):
    own = (PoolReport("m", (ServedRow("c0", 100.0), ServedRow("c1", 700.0))),)
    allocator.handle_report("b1", 1, ShareReport(1, 1, 0, full=True, pools=own), 0.0)
    greeting = ShareReport(1, 1, 0, data_centre="a", full=True)
    allocator.handle_report("a0", 1, greeting, 0.0)
    rows = (VirtualTimeRow("c0", 100.0, 100.0), VirtualTimeRow("c1", 900.0, 700.0))
    news = ShareReport(
        1, 2, 0, data_centre="a", pools=(PoolReport("m", virtual_times=rows),)
    )
    allocator.handle_report("a0", 1, news, LEASE_SECONDS + 1.0)
    times = allocator.state.pool("m").times
    assert times.virtual_time("c1") - times.virtual_time("c0") == 700.0
