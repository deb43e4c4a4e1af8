"""Leases: one holder at a time, rising fencing numbers, and the wait without them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.fencing import (
    WEIGHT_STORE_GROUP,
    Acquire,
    AcquireSlot,
    FencingMachine,
    Granted,
    HeldByOthers,
    LeaseRelease,
    Malformed,
    NotHeld,
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

    def step(self, lease_manager: LeaseManager, now: float) -> None:
        lease_command = lease_manager.decide(now)
        if lease_command is not None:
            lease_manager.record_answer(
                lease_command, self.apply(lease_command.command), now
            )


def test_a_lease_is_taken_over_only_in_the_state_that_expired():
    log = Log()
    first = log.apply(Acquire("l", "a")).lease
    assert log.apply(Acquire("l", "b")) == HeldByOthers((first,))
    assert isinstance(log.apply(Renew("l", "a", first.number)), Granted)
    assert isinstance(log.apply(Acquire("l", "b", first)), HeldByOthers)
    renewed = log.machine.lease("l")
    taken = log.apply(Acquire("l", "b", renewed))
    assert taken.taken_over
    assert taken.lease.number > first.number
    assert log.apply(Renew("l", "a", first.number)) == NotHeld()
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
    """A holder is disconnected just after it sent an order, and another takes over.

    An engine that ignores fencing numbers would carry out the late order after the
    new holder's, so the new holder waits for the order's deadline first.
    """
    log = Log()
    old = make_lease_manager("l", "old", 5.0, lease_seconds=10.0)
    new = make_lease_manager("l", "new", 5.0, lease_seconds=10.0)
    log.step(old, 0.0)
    assert old.order_number(False, 0.0) == 1
    taken_at = next(
        now / 10
        for now in range(1, 400)
        if not log.step(new, now / 10) and new.lease(now / 10)
    )
    assert taken_at > 10.5
    assert old.lease(taken_at) is None
    assert new.order_number(True, taken_at) > 1
    assert new.order_number(False, taken_at + 5.0) is None
    log.step(new, taken_at + 4.0)
    assert new.order_number(False, taken_at + 5.3) > 1


def test_a_renewal_recovers_from_a_lost_answer():
    """The log grants a lease and the answer is lost.

    The holder requests the lease again, learns that it already holds it, and goes on
    under the same number.
    """
    log = Log()
    lease_manager = make_lease_manager("l", "a", 5.0)
    lease_command = lease_manager.decide(0.0)
    log.apply(lease_command.command)
    lease_manager.record_answer(lease_command, None, 5.0)
    log.step(lease_manager, 5.1)
    assert lease_manager.lease(5.1) is None
    log.step(lease_manager, 5.2)
    assert lease_manager.lease(5.2).number == 1
    released = lease_manager.release(6.0)
    log.apply(released.command)
    assert log.machine.lease("l") is None


@given(slots=st.integers(1, 4), moves=st.lists(st.integers(0, 6), max_size=60))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_loads_stay_within_the_fleets_budget(slots, moves):
    """A customer's release makes many instances load a model at once.

    The weight store is rate-limited, so the loads must not exceed the fleet's budget.
    """
    log = Log()
    lease_managers = [
        make_slot_lease_manager(WEIGHT_STORE_GROUP, lambda: slots, f"k{number}", 5.0)
        for number in range(7)
    ]
    now = 0.0
    for move in moves:
        now += 0.7
        if lease_managers[move].lease(now) and move % 2:
            log.apply(lease_managers[move].release(now).command)
        else:
            log.step(lease_managers[move], now)
        assert (
            sum(
                lease_manager.lease(now) is not None for lease_manager in lease_managers
            )
            <= slots
        )
