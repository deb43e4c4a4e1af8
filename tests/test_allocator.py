"""Comparing virtual times keeps service that is not yet reported."""

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


def test_comparison_keeps_service_not_yet_reported(allocator):
    """A customer sends requests through every data centre and always has a backlog.

    Each allocator lacks the latest service of the others. If every comparison
    cancelled this service, a part of it would never be counted, and the customer
    would get more than its share while it waits: 5,900 of 22,600 cost units in the
    overload scenario of the benchmark.
    """
    own = (PoolReport("m", (ServedRow("c0", 100.0), ServedRow("c1", 700.0))),)
    allocator.handle_report("b1", 1, ShareReport(1, 1, 0, full=True, pools=own), 0.0)
    first_report = ShareReport(1, 1, 0, data_centre="a", full=True)
    allocator.handle_report("a0", 1, first_report, 0.0)
    now_seconds = LEASE_SECONDS + 1.0
    # The other side has all service of c0, but only the first report of c1.
    rows = (VirtualTimeRow("c0", 100.0, 100.0), VirtualTimeRow("c1", 200.0, 200.0))
    comparison = ShareReport(
        1, 2, 0, data_centre="a", pools=(PoolReport("m", virtual_times=rows),)
    )
    allocator.handle_report("a0", 1, comparison, now_seconds)
    times = allocator.state.pool("m").times
    assert times.virtual_time("c1") - times.virtual_time("c0") == 600.0


def test_comparison_moves_virtual_times_half_way(allocator):
    own = (PoolReport("m", (ServedRow("c0", 100.0), ServedRow("c1", 700.0))),)
    allocator.handle_report("b1", 1, ShareReport(1, 1, 0, full=True, pools=own), 0.0)
    first_report = ShareReport(1, 1, 0, data_centre="a", full=True)
    allocator.handle_report("a0", 1, first_report, 0.0)
    rows = (VirtualTimeRow("c0", 100.0, 100.0), VirtualTimeRow("c1", 900.0, 700.0))
    comparison = ShareReport(
        1, 2, 0, data_centre="a", pools=(PoolReport("m", virtual_times=rows),)
    )
    allocator.handle_report("a0", 1, comparison, LEASE_SECONDS + 1.0)
    times = allocator.state.pool("m").times
    assert times.virtual_time("c1") - times.virtual_time("c0") == 700.0
