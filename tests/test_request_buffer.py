"""Heads and bodies are taken from what has arrived, however it was cut."""

from hypothesis import given
from hypothesis import strategies as st

from sesameford.request_buffer import make_request_buffer
from tests.test_link_framing import pieces_of

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CUTS = st.lists(st.integers(1, 80), max_size=6)
TRAILERS = st.sampled_from([b"", b"X-Sum: 1\r\n", b"A: b\r\nC: d\r\n"])


def chunked(chunks, trailers):
    parts = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join(parts) + b"0\r\n" + trailers + b"\r\n"


@given(cuts=CUTS, line_end=st.sampled_from([b"\r\n", b"\n"]))
def test_a_head_ends_where_its_empty_line_ends(cuts, line_end):
    """Guards against a head that is parsed in part, or with what follows it."""
    head = HEAD.replace(b"\r\n", line_end)
    buffer = make_request_buffer()
    for piece in pieces_of(head + b"body", cuts):
        found = buffer.find_head_end()
        assert found == 0 or found == len(head)
        buffer.add(piece)
    assert buffer.find_head_end() == len(head)
    assert buffer.take(len(head)) == head
    assert buffer.peek(10) == b"body"


@given(empty=st.lists(st.sampled_from([b"\r\n", b"\n"]), max_size=5))
def test_empty_lines_before_a_head_are_removed(empty):
    """Guards against empty lines that are kept, or counted wrongly, for a head."""
    buffer = make_request_buffer()
    buffer.add(b"".join(empty) + HEAD)
    assert buffer.strip_empty_lines() == len(b"".join(empty))
    assert buffer.find_head_end() == len(HEAD)


@given(trailers=TRAILERS, cuts=CUTS, step_bytes=st.integers(1, 40))
def test_nothing_beyond_a_chunked_body_is_taken(trailers, cuts, step_bytes):
    """Guards against the next request's head that is read as a part of a body."""
    body = chunked([b"abc", b"\x00" * 9], trailers)
    buffer, taken = make_request_buffer(), b""
    for piece in pieces_of(body + HEAD, cuts):
        buffer.add(piece)
        while len(taken) < len(body) and (part := buffer.take_chunked(step_bytes)):
            taken += part
    assert taken == body
    assert buffer.peek(len(HEAD)) == HEAD


def test_a_taken_part_stops_at_the_end_of_a_chunked_body():
    """Guards against an end that lies across two parts and is not seen."""
    body = chunked([b"abc"], b"")
    for first_bytes in range(1, len(body)):
        buffer = make_request_buffer()
        buffer.add(body + HEAD)
        taken = buffer.take_chunked(first_bytes)
        taken += buffer.take_chunked(len(body) + len(HEAD))
        assert taken == body
