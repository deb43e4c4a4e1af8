"""The check of heads against heads drawn by the grammar of HTTP/1.1."""

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from sesameford.answer_heads import MalformedHeadError, check_head, find_head_end

TOKEN_BYTES = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCXYZ"
VALUE_BYTES = bytes(set(range(256)) - set(range(32)) - {127} | {9})
NEWLINES = st.sampled_from([b"\r\n", b"\n"])
TOKENS = st.lists(st.sampled_from(TOKEN_BYTES), min_size=1, max_size=8).map(bytes)
VALUES = st.lists(st.sampled_from(VALUE_BYTES), max_size=8).map(bytes)
FOLDS = st.lists(
    st.tuples(NEWLINES, st.sampled_from([b" ", b"\t"]), VALUES).map(b"".join),
    max_size=2,
).map(b"".join)
FIELDS = st.tuples(TOKENS, VALUES, FOLDS, NEWLINES)
STATUS_LINES = st.tuples(
    st.sampled_from([b"HTTP/1.1 ", b"HTTP/1.0 "]),
    st.integers(100, 599).filter(lambda status: status != 101).map(b"%d".__mod__),
    st.sampled_from([b"", b" ", b" OK", b" \xe9\t~"]),
    NEWLINES,
).map(b"".join)


def lines_of(fields):
    return b"".join(
        name + b":" + value + folds + newline for name, value, folds, newline in fields
    )


@given(STATUS_LINES, st.lists(FIELDS, max_size=4), NEWLINES)
def test_each_head_of_the_grammar_passes(status_line, fields, newline):
    """Guards against a check that refuses answers which HTTP allows."""
    check_head(status_line + lines_of(fields) + newline)


@given(
    STATUS_LINES,
    st.lists(FIELDS, min_size=1, max_size=4),
    st.integers(0, 255),
    st.data(),
)
def test_no_name_with_another_byte_passes(status_line, fields, byte, data):
    """Guards against a byte that no name may have and that the check overlooks."""
    assume(byte not in TOKEN_BYTES and not chr(byte).isalpha())
    # A line feed or a colon makes other lines, which may be legal ones.
    assume(byte not in b"\n:")
    number = data.draw(st.integers(0, len(fields) - 1))
    name, value, folds, newline = fields[number]
    # A line that begins with a blank continues the value before it.
    first = 0 if number == 0 or byte not in b" \t" else 1
    at = data.draw(st.integers(first, len(name)))
    fields[number] = (name[:at] + bytes((byte,)) + name[at:], value, folds, newline)
    with pytest.raises(MalformedHeadError):
        check_head(status_line + lines_of(fields) + b"\r\n")


@given(
    st.lists(NEWLINES, max_size=3).map(b"".join),
    STATUS_LINES,
    st.lists(FIELDS, max_size=3),
    NEWLINES,
    st.binary(max_size=6),
    st.data(),
)
def test_a_head_ends_at_the_same_byte_in_all_pieces(
    before, status_line, fields, newline, behind, data
):
    """Guards against an end between two pieces that is found too late."""
    head = before + status_line + lines_of(fields) + newline
    whole = head + behind
    cuts = data.draw(st.lists(st.integers(0, len(whole)), max_size=6).map(sorted))
    known_bytes, end = 0, None
    for cut in [*cuts, len(whole)]:
        end = find_head_end(whole[:cut], known_bytes)
        if end is not None:
            break
        known_bytes = cut
    assert end == len(head)
