"""A change of scheduler by the tree neither interrupts nor loses a request."""

from sesameford.effective import (
    CustomerSettings,
    EffectiveTree,
    FleetSettings,
    LimitSettings,
)
from sesameford.independent import make_independent_scheduler
from sesameford.scheduler_switch import make_scheduler_switch
from sesameford.tables import Outcome, Request, Target, TargetKind, Usage

TARGETS = {"t": Target("t", 1, TargetKind.MODEL, ("m",), "http://t", "a", 1, 1e9)}


def make_request(name):
    return Request(
        name, "c", TargetKind.MODEL, "m", 0.0, 1e9, 10, 1, None, True, name.encode()
    )


def make_switch():
    def make():
        return make_independent_scheduler("e1", 1, "a", 1)

    switch = make_scheduler_switch({"one": make, "two": make}, "one")
    switch.observe_targets(TARGETS, 0.0)
    return switch


def tree(name):
    return EffectiveTree(fleet=FleetSettings(scheduler=name))


def test_waiting_requests_move_and_running_ones_stay_with_their_scheduler():
    """An operator changes the scheduler while one request runs and one waits.

    If the waiting request were lost, its caller would get no answer until its
    deadline.
    """
    switch = make_switch()
    switch.submit(make_request("running"), 0.0)
    switch.submit(make_request("waiting"), 0.0)
    (running,) = switch.decide(0.0)
    switch.configure(tree("two"), 1.0)
    assert switch.name == "two"
    assert switch.running_attempts() == 1
    assert switch.waiting_requests() == 1
    switch.settle_attempt(running.attempt_id, Usage(output_tokens=5), Outcome.RAN, 2.0)
    (moved,) = switch.decide(2.0)
    assert moved.request_id == "waiting"
    assert switch.running_attempts() == 1


def test_a_retry_after_a_switch_goes_to_the_new_scheduler():
    """A target refuses an attempt that was started before the change of scheduler."""
    switch = make_switch()
    switch.submit(make_request("refused"), 0.0)
    (attempt,) = switch.decide(0.0)
    switch.configure(tree("two"), 1.0)
    switch.requeue_attempt(attempt.attempt_id, None, 1.0)
    assert switch.waiting_requests() == 1
    assert switch.decide(2.0)[0].request_id == "refused"


def test_attempts_of_two_schedulers_never_share_an_id():
    """Two schedulers number their attempts in the same way, and each runs one.

    An engine that receives one id twice mistakes the second attempt for the first,
    and a caller reads another caller's answer.
    """
    switch = make_switch()
    switch.submit(make_request("first"), 0.0)
    (first,) = switch.decide(0.0)
    switch.configure(tree("two"), 1.0)
    switch.submit(make_request("second"), 1.0)
    (second,) = switch.decide(1.0)
    assert first.attempt_id != second.attempt_id
    switch.settle_attempt(first.attempt_id, Usage(), Outcome.RAN, 2.0)
    assert switch.running_attempts() == 1


def test_requests_that_the_new_scheduler_refuses_are_returned_as_expired():
    """A change of scheduler also reduces the queue limit below the waiting requests.

    If the refused requests were dropped silently, their callers would get no answer.
    """
    switch = make_switch()
    for name in ("first", "second", "third"):
        switch.submit(make_request(name), 0.0)
    limits = LimitSettings(queued_requests=1)
    customers = {"c": CustomerSettings("c", limits=limits)}
    shorter = EffectiveTree(fleet=tree("two").fleet, customers=customers)
    switch.configure(shorter, 1.0)
    assert switch.waiting_requests() == 1
    assert list(switch.remove_expired(1.0)) == ["second", "third"]
    assert switch.remove_expired(1.0) == []


def test_an_unknown_name_does_not_change_the_scheduler():
    switch = make_switch()
    switch.configure(tree("none"), 0.0)
    assert switch.name == "one"
