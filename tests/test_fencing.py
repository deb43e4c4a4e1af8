"""Leases: one holder, numbers that only rise, and waiting where nobody checks."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.fencing import (
    WEIGHT_STORE_GROUP,
    Acquire,
    AcquireSlot,
    Ended,
    FencingMachine,
    Granted,
    Held,
    LeaseRelease,
    Malformed,
    Renew,
    decode_answer,
    encode_command,
)
from sesameford.leases import LeaseManager, make_lease_manager, make_slot_lease_manager


class Log:
    """Applies commands at once, each at the next index."""

    def __init__(self) -> None:
        self.machine = FencingMachine()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return decode_answer(self.machine.apply(self.index, encode_command(command)))

    def serve(self, keeper: LeaseManager, now: float) -> None:
        asked = keeper.decide(now)
        if asked is not None:
            keeper.record_answer(asked, self.apply(asked.command), now)


def test_a_lease_is_taken_over_only_in_the_state_that_was_waited_out():
    log = Log()
    first = log.apply(Acquire("l", "a")).lease
    assert log.apply(Acquire("l", "b")) == Held((first,))
    assert isinstance(log.apply(Renew("l", "a", first.number)), Granted)
    assert isinstance(log.apply(Acquire("l", "b", first)), Held)
    renewed = log.machine.lease("l")
    taken = log.apply(Acquire("l", "b", renewed))
    assert taken.taken_over
    assert taken.lease.number > first.number
    assert log.apply(Renew("l", "a", first.number)) == Ended()
    log.apply(LeaseRelease("l", "a", first.number))
    assert log.machine.lease("l") == taken.lease


def test_a_malformed_command_is_answered_and_changes_nothing():
    machine = FencingMachine()
    assert isinstance(decode_answer(machine.apply(1, b"\xc1")), Malformed)
    assert isinstance(Log().apply(Acquire("n" * 1000, "a")), Malformed)
    assert isinstance(Log().apply(AcquireSlot("g", 0, "a")), Malformed)


def test_a_snapshot_keeps_the_leases():
    log = Log()
    log.apply(Acquire("l", "a"))
    copy = FencingMachine()
    copy.restore(log.machine.snapshot())
    assert copy.leases() == log.machine.leases()


def test_a_new_holder_waits_before_engines_that_ignore_fencing():
    """A holder is cut off just after it sent an order, and another takes its lease.
    An engine that ignores fencing numbers would carry out the late order after the
    new holder's, so the new one waits out the order's deadline first."""
    log = Log()
    old = make_lease_manager("l", "old", 5.0, lease_seconds=10.0)
    new = make_lease_manager("l", "new", 5.0, lease_seconds=10.0)
    log.serve(old, 0.0)
    assert old.order_number(False, 0.0) == 1
    taken_at = next(
        now / 10
        for now in range(1, 400)
        if not log.serve(new, now / 10) and new.lease(now / 10)
    )
    assert taken_at > 10.5
    assert old.lease(taken_at) is None
    assert new.order_number(True, taken_at) > 1
    assert new.order_number(False, taken_at + 5.0) is None
    log.serve(new, taken_at + 4.0)
    assert new.order_number(False, taken_at + 5.3) > 1


def test_a_lost_answer_is_made_good_by_a_renewal():
    """The log grants a lease and the answer is lost. The holder asks again, learns
    that the lease is its own, and goes on under the same number."""
    log = Log()
    keeper = make_lease_manager("l", "a", 5.0)
    asked = keeper.decide(0.0)
    log.apply(asked.command)
    keeper.record_answer(asked, None, 5.0)
    log.serve(keeper, 5.1)
    assert keeper.lease(5.1) is None
    log.serve(keeper, 5.2)
    assert keeper.lease(5.2).number == 1
    released = keeper.release(6.0)
    log.apply(released.command)
    assert log.machine.lease("l") is None


@given(slots=st.integers(1, 4), moves=st.lists(st.integers(0, 6), max_size=60))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_loads_stay_within_the_fleets_budget(slots, moves):
    """A customer's release makes many instances load a model at once. The weight
    store is rate-limited, so only as many may load as the fleet's budget says."""
    log = Log()
    keepers = [
        make_slot_lease_manager(WEIGHT_STORE_GROUP, lambda: slots, f"k{number}", 5.0)
        for number in range(7)
    ]
    now = 0.0
    for move in moves:
        now += 0.7
        if keepers[move].lease(now) and move % 2:
            log.apply(keepers[move].release(now).command)
        else:
            log.serve(keepers[move], now)
        assert sum(keeper.lease(now) is not None for keeper in keepers) <= slots
