"""Rules behind outcomes: complete answers, silence, planned stops."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.answers import Completeness, judge_body, judge_stream
from sesameford.retries import AttemptHistory
from sesameford.silence import (
    NextStep,
    Probe,
    choose_next_step,
    make_stream_progress,
    record_resume,
    silent_at_seconds,
)
from sesameford.stops import (
    REPORT_TIMEOUT_SECONDS,
    StopLoad,
    StopState,
    StopStep,
    accepts_requests,
    advance_stop,
    cancel_stop,
    is_ready,
    refuses_waiting_request,
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
def test_an_answer_is_complete_only_by_its_length_or_end_mark(
    length, chunked, end_seen, received, expected
):
    """A target crashes while it answers, and its connection ends normally. The caller
    would accept the truncated answer as complete."""
    assert judge_body(length, chunked, end_seen, received) is expected


def test_a_stream_is_complete_only_with_mark_usage_and_order():
    """Events get lost at a resume, and the end mark still arrives. The caller would
    not notice the missing text."""
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
def test_a_silent_exchange_is_never_repeated_if_it_must_run_once(
    kind, probe, repeatable, passed_on, now_seconds
):
    """A connection goes silent while the target continues to work. A resend would
    run a call twice that must run once, or mix two answers in one stream."""
    history = AttemptHistory(repeatable, 10.0, has_relayed_bytes=passed_on)
    step = choose_next_step(kind, probe, history, now_seconds)
    if step is NextStep.NEW_ATTEMPT:
        assert repeatable
        assert not passed_on
    if step is NextStep.TARGET_DOWN:
        assert probe in (Probe.REFUSED, Probe.NO_ANSWER)
    if now_seconds >= 10.0:
        assert step is NextStep.CUT


def test_a_target_that_works_long_without_output_is_probed_less_often():
    progress = make_stream_progress(0.0)
    assert silent_at_seconds(progress, 10.0) == 10.0
    progress = record_resume(record_resume(progress, 10.0), 30.0)
    assert silent_at_seconds(progress, 10.0) == 70.0
    assert silent_at_seconds(make_stream_progress(40.0), 10.0) == 50.0


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
    """An operator requests the stop of an instance several times. If that ended the
    instance early, callers would get truncated answers."""
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
            assert not unreported or waited >= REPORT_TIMEOUT_SECONDS
        assert not is_ready(state)
        assert accepts_requests(state) is (state.step is StopStep.UNREADY)


def test_callers_are_served_until_the_balancer_has_noticed_the_stop():
    state = request_stop(StopState(), 5.0)
    state = advance_stop(state, StopLoad(0, 0, 0), 1.0, 5.9)
    assert accepts_requests(state)
    state = advance_stop(state, StopLoad(1, 1, 0), 1.0, 6.0)
    assert not accepts_requests(state)
    assert refuses_waiting_request(state, 5.0, 5.0)
    assert is_ready(cancel_stop(state))
