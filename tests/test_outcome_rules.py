"""Small rules behind outcomes: whole answers, silence, planned stops."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.answers import Completeness, judge_body, judge_stream
from sesameford.retries import AttemptHistory
from sesameford.silence import (
    NextStep,
    Probe,
    after_probe,
    progressed,
    resumed,
    silent_at_seconds,
)
from sesameford.stops import (
    REPORT_LIMIT_SECONDS,
    StopLoad,
    StopState,
    StopStep,
    accepts_requests,
    advance_stop,
    cancel_stop,
    hands_back_waiting,
    is_ready,
    request_stop,
)
from sesameford.tables import TargetKind


@pytest.mark.parametrize(
    ("length", "chunked", "end_seen", "received", "expected"),
    [
        (10, False, False, 10, Completeness.COMPLETE),
        (10, False, False, 9, Completeness.CUT),
        (10, False, False, 11, Completeness.TOO_LONG),
        (None, True, True, 10, Completeness.COMPLETE),
        (None, True, False, 10, Completeness.CUT),
        (None, False, False, 10, Completeness.UNMARKED),
    ],
)
def test_an_answer_is_whole_only_by_its_length_or_end_mark(
    length, chunked, end_seen, received, expected
):
    """A target dies while it answers, and its connection ends like any other. Half a
    permit check would be read as the whole."""
    assert judge_body(length, chunked, end_seen, received) is expected


def test_a_stream_is_whole_only_with_mark_usage_and_order():
    """Events get lost at a resume, and the end mark still comes. The draft would
    lack a sentence that nobody misses."""
    assert judge_stream(True, True, True) is Completeness.COMPLETE
    for facts in ((False, True, True), (True, False, True), (True, True, False)):
        assert judge_stream(*facts) is Completeness.CUT


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.sampled_from(list(TargetKind)),
    st.sampled_from(list(Probe)),
    st.booleans(),
    st.booleans(),
    st.floats(0.0, 20.0),
)
def test_a_silent_exchange_is_never_sent_twice_where_once_is_the_rule(
    kind, probe, repeatable, passed_on, now_seconds
):
    """A connection goes silent for good while the target works on. Sending the same
    again would double a mailing, or mix two answers in one stream."""
    history = AttemptHistory(repeatable, 10.0, bytes_passed_on=passed_on)
    step = after_probe(kind, probe, history, now_seconds)
    if step is NextStep.NEW_ATTEMPT:
        assert repeatable
        assert not passed_on
    if step is NextStep.TARGET_DOWN:
        assert probe in (Probe.REFUSED, Probe.NO_ANSWER)
    if now_seconds >= 10.0:
        assert step is NextStep.CUT


def test_a_target_that_works_long_without_a_word_is_probed_less_often():
    progress = progressed(0.0)
    assert silent_at_seconds(progress, 10.0) == 10.0
    progress = resumed(resumed(progress, 10.0), 30.0)
    assert silent_at_seconds(progress, 10.0) == 70.0
    assert silent_at_seconds(progressed(40.0), 10.0) == 50.0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.integers(0, 2), st.integers(0, 1), st.booleans()
        ),
        max_size=60,
    )
)
def test_a_planned_stop_cuts_nothing_whatever_the_signals(ticks):
    """An operator stops an instance and, impatient, asks again and again. If that
    ended it early, callers would lose answers that were half written."""
    state = request_stop(StopState(), 0.0)
    for second, (running, waiting, unreported, asks) in enumerate(ticks, 1):
        if asks:
            state = request_stop(state, float(second))
        before = state
        load = StopLoad(running, waiting, unreported)
        state = advance_stop(state, load, 1.0, float(second))
        if state.step is StopStep.REPORTING and before.step is StopStep.FINISHING:
            assert not running + waiting
        if state.step is StopStep.STOPPED and before.step is StopStep.REPORTING:
            waited = second - before.since_seconds
            assert not unreported or waited >= REPORT_LIMIT_SECONDS
        assert not is_ready(state)
        assert accepts_requests(state) is (state.step is StopStep.UNREADY)


def test_callers_are_served_until_the_balancer_knows():
    state = request_stop(StopState(), 5.0)
    state = advance_stop(state, StopLoad(0, 0, 0), 1.0, 5.9)
    assert accepts_requests(state)
    state = advance_stop(state, StopLoad(1, 1, 0), 1.0, 6.0)
    assert not accepts_requests(state)
    assert hands_back_waiting(state, 5.0, 5.0)
    assert is_ready(cancel_stop(state))
