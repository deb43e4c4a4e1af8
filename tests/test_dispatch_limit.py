"""The bound on calls that are admitted and not handled yet."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.gateway.dispatch_limit import (
    MAX_WAITING_CALLS,
    MAX_WAITING_SECONDS,
    make_dispatch_limit,
)

CUSTOMERS = ("flood", "second", "third")


def fill(limit, customer, now_seconds=0.0):
    """Admit calls of a customer until the limit refuses one; return their numbers."""
    numbers = []
    while limit.has_room(customer, now_seconds):
        numbers.append(limit.add(customer, now_seconds))
    return numbers


def test_one_customer_leaves_half_of_the_limit_to_all_others():
    """Guards against a flood of one customer that keeps out all others."""
    limit = make_dispatch_limit()
    assert len(fill(limit, "flood")) == MAX_WAITING_CALLS / 2
    assert len(fill(limit, "second")) == MAX_WAITING_CALLS / 4


def test_a_handled_call_makes_room_for_the_next():
    limit = make_dispatch_limit()
    first, *_ = fill(limit, "flood")
    limit.remove(first)
    limit.remove(first)
    assert len(fill(limit, "flood")) == 1


def test_calls_lost_before_their_handler_do_not_count_for_good():
    """Guards against a router that refuses all calls after some closed connections."""
    limit = make_dispatch_limit()
    usual = len(fill(limit, "flood"))
    later_seconds = 1.01 * MAX_WAITING_SECONDS
    assert len(fill(limit, "flood", later_seconds)) == usual


class DispatchLimitMachine(RuleBasedStateMachine):
    """Calls are admitted, handled and lost in any order."""

    def __init__(self):
        super().__init__()
        self.limit = make_dispatch_limit()
        self.now_seconds = 0.0
        self.waiting = {}

    @rule(customer=st.sampled_from(CUSTOMERS))
    def arrive(self, customer):
        oldest_seconds = self.now_seconds - MAX_WAITING_SECONDS
        self.waiting = {
            number: one
            for number, one in self.waiting.items()
            if one[1] >= oldest_seconds
        }
        own_calls = sum(one[0] == customer for one in self.waiting.values())
        is_admitted = self.limit.has_room(customer, self.now_seconds)
        assert is_admitted == (own_calls < MAX_WAITING_CALLS - len(self.waiting))
        if is_admitted:
            number = self.limit.add(customer, self.now_seconds)
            self.waiting[number] = (customer, self.now_seconds)

    @rule(data=st.data())
    def handle(self, data):
        if self.waiting:
            number = data.draw(st.sampled_from(sorted(self.waiting)))
            del self.waiting[number]
            self.limit.remove(number)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now_seconds += seconds

    @invariant()
    def the_bound_holds(self):
        assert self.limit.waiting_calls <= MAX_WAITING_CALLS


TestDispatchLimitMachine = DispatchLimitMachine.TestCase
