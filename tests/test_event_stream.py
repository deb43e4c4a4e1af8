"""Bytes of a stream pass only as whole events, whatever the cuts between them."""

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.event_stream import EventStream
from sesameford.tables import Usage

STREAM = (
    b'id: 0\ndata: {"choices":[{"text":"a \\"usage\\" b"}]}\n\n'
    b'id: 1\ndata: {"choices":[{"text":"data: [DONE]"}]}\n\n'
    b'id: 2\ndata: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":3}}}\n\n'
    b"id: 3\ndata: [DONE]\n\n"
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_cuts_between_reads_change_nothing(cuts):
    events = EventStream()
    places = [0, *sorted(cuts), len(STREAM)]
    passed = [events.feed(STREAM[start:end]) for start, end in pairwise(places)]
    assert b"".join(passed) == STREAM
    assert all(part.endswith(b"\n\n") for part in passed if part)
    assert events.is_done
    assert events.last_event_id == 3
    assert events.usage == Usage(7, 3, 2)


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, len(STREAM) - 1))
def test_a_cut_stream_is_never_taken_for_whole(cut):
    """A connection breaks in the middle of an answer.

    The caller would take half a letter for the whole one if the router called the
    stream complete without its end mark.
    """
    events = EventStream()
    passed = events.feed(STREAM[:cut])
    assert not events.is_done
    assert passed == b"" or passed.endswith(b"\n\n")
    assert len(passed) + events.held_bytes == cut


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=100))
def test_no_bytes_break_the_reader(data):
    events = EventStream()
    passed = events.feed(b"data: " + data + b"\n\n")
    assert passed
