"""Queues stay within their bounds during a burst of one customer's requests."""

import pytest

from sesameford.effective import (
    CustomerSettings,
    EffectiveTree,
    FleetSettings,
    LimitSettings,
)
from sesameford.errors import NotRunError
from sesameford.leased import make_leased_scheduler
from sesameford.queues import Queues, WaitingRequest
from sesameford.tables import Request, TargetKind

KIND = TargetKind.MODEL


def make_request(number, customer, body_bytes=100, deadline_seconds=1e9):
    return Request(
        f"{customer}{number}",
        customer,
        KIND,
        "m",
        0.0,
        deadline_seconds,
        body_bytes,
        0,
        None,
        True,
        b"",
    )


def test_expired_requests_are_removed_at_any_position():
    queues = Queues()
    for number in range(5):
        request = make_request(number, "c", deadline_seconds=10.0 - number)
        queues.add(WaitingRequest(request, 1.0))
    assert queues.remove_expired(8.0) == ["c4", "c3", "c2"]
    assert len(queues) == 2
    assert queues.total_bytes() == 200


def test_a_burst_leaves_queue_capacity_to_other_customers():
    """One customer's burst must not fill the queue bytes of the whole router.

    The burst is refused with a retry delay, and requests that another customer sends
    later are queued as if there were no burst.
    """
    large = LimitSettings(queued_requests=10**6, queued_bytes=10**9)
    customers = {name: CustomerSettings(name, 1.0, large) for name in ("flood", "calm")}
    tree = EffectiveTree(1, FleetSettings(queued_limit_bytes=10_000), customers)
    router = make_leased_scheduler("e1", 1, "a", 1)
    router.configure(tree, 0.0)
    refusals = []
    for number in range(1000):
        try:
            router.submit(make_request(number, "flood"), 0.0)
        except NotRunError as error:
            refusals.append(error.retry_after_seconds)
    assert len(refusals) > 900
    assert min(refusals) > 0.0
    for number in range(20):
        router.submit(make_request(number, "calm"), 0.0)
    with pytest.raises(NotRunError):
        router.submit(make_request(1000, "flood"), 0.0)
