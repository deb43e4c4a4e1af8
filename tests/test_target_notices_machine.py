"""State machine of one router whose targets request backoff, drain and restart."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.calls import AnswerHead
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState

TARGETS = 3
targets = st.integers(0, TARGETS - 1)
DRAINING = AnswerHead(200, (), "id", True, is_draining=True)


def backoff_head(seconds):
    return AnswerHead(503, (), "id", True, True, retry_after_seconds=seconds)


class Backoff(RuleBasedStateMachine):
    """Time passes only by ``wait``, so a call written in a backoff breaks the rule.

    ``until_seconds`` and ``draining`` are what each target's process has stated in
    answers that the router has read.
    """

    def __init__(self):
        super().__init__()
        self.now_seconds = 10.0
        self.table = make_heartbeat_table()
        self.placement = make_placement(self.table, "a", 1e6, Random(1))
        self.incarnations = [0] * TARGETS
        self.sequences = [0] * TARGETS
        self.until_seconds = [0.0] * TARGETS
        self.draining = [False] * TARGETS
        self.listed = [False] * TARGETS
        self.chosen = []
        self.written = []
        for number in range(TARGETS):
            self.heartbeat(number)

    def accepts(self, number):
        in_backoff = self.now_seconds < self.until_seconds[number]
        return not self.draining[number] and not in_backoff

    @rule(number=targets)
    def heartbeat(self, number):
        self.sequences[number] += 1
        row = HeartbeatRow(
            f"t{number}",
            self.sequences[number],
            "pool",
            f"t{number}:1",
            "a",
            4,
            TargetState.READY,
            incarnation=self.incarnations[number],
        )
        self.table.handle_heartbeat(row, self.now_seconds)
        self.listed[number] = True

    @rule(number=targets)
    def vanish_from_the_table(self, number):
        if self.listed[number]:
            del self.table.entries[f"t{number}"]
            self.table.changes += 1
            self.listed[number] = False
            self.placement.forget(self.now_seconds)

    @rule(number=targets)
    def restart(self, number):
        self.incarnations[number] += 1
        self.until_seconds[number] = 0.0
        self.draining[number] = False
        self.heartbeat(number)

    @rule()
    def choose(self):
        reservation = self.placement.choose(
            "pool", None, None, 1.0, frozenset(), self.now_seconds
        )
        accepting = [
            number
            for number in range(TARGETS)
            if self.listed[number] and self.accepts(number)
        ]
        if reservation is None:
            assert not accepting
            if any(self.listed):
                reason = self.placement.candidates.notice_reason(
                    "pool", self.now_seconds
                )
                assert reason is not None
            return
        assert int(reservation.target_id[1:]) in accepting
        self.chosen.append(reservation)

    @rule()
    def write(self):
        if not self.chosen:
            return
        reservation = self.chosen.pop()
        number = int(reservation.target_id[1:])
        is_same_process = reservation.incarnation == self.incarnations[number]
        takes_work = self.listed[number] and self.accepts(number)
        if not self.placement.may_send(reservation, self.now_seconds):
            assert not is_same_process or not takes_work
            self.placement.release(reservation, self.now_seconds)
            return
        assert is_same_process
        assert takes_work
        self.written.append(reservation)

    @rule(position=st.integers(0, 5), seconds=st.floats(0.0, 5.0))
    def answer_with_backoff(self, position, seconds):
        self.answer(position, backoff_head(seconds))

    @rule(position=st.integers(0, 5))
    def answer_with_drain(self, position):
        self.answer(position, DRAINING)

    @rule(position=st.integers(0, 5))
    def answer_of_another_target(self, position):
        head = AnswerHead(421, (), "id", True, is_other_target=True, is_draining=True)
        self.answer(position, head)

    def answer(self, position, head):
        if not self.written:
            return
        reservation = self.written.pop(position % len(self.written))
        self.placement.record_answer_head(reservation, head, "id", self.now_seconds)
        self.placement.release(reservation, self.now_seconds)
        number = int(reservation.target_id[1:])
        is_same_process = reservation.incarnation == self.incarnations[number]
        if not is_same_process or head.is_other_target:
            return
        if head.is_draining:
            self.draining[number] = True
        if head.retry_after_seconds is not None:
            end_seconds = self.now_seconds + head.retry_after_seconds
            self.until_seconds[number] = max(self.until_seconds[number], end_seconds)

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now_seconds += seconds
        self.placement.forget(self.now_seconds)

    @invariant()
    def waits_do_not_count_targets_in_backoff(self):
        accepting = sum(map(self.accepts, range(TARGETS)))
        in_backoff = self.placement.candidates.notices.count_in_backoff(
            self.now_seconds
        )
        assert in_backoff <= TARGETS
        if all(self.listed):
            part = self.placement.candidates.accepting_part(["pool"], self.now_seconds)
            assert part == accepting / TARGETS


TestBackoff = Backoff.TestCase
TestBackoff.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
