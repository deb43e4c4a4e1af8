"""What arrives on a connection of a peer is cut into messages, within a bound."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesameford.errors import PeerError
from sesameford.link_framing import SENDER_GREETING, make_link_framing

MAX_MESSAGE_BYTES = 100


def framed(*messages):
    lengths = [len(message).to_bytes(8, "big") for message in messages]
    return b"".join(
        length + message for length, message in zip(lengths, messages, strict=True)
    )


def pieces_of(data, cuts):
    """Return bytes in pieces, cut at some places."""
    edges = [0, *sorted(cuts), max(len(data), *cuts, 0)]
    return [data[begin:end] for begin, end in pairwise(edges)]


def receive_in_pieces(framing, received, cuts):
    pieces = pieces_of(received, cuts)
    return [message for piece in pieces for message in framing.receive(piece)]


@given(
    messages=st.lists(st.binary(max_size=MAX_MESSAGE_BYTES), max_size=5),
    cuts=st.lists(st.integers(0, 600), max_size=8),
)
def test_messages_come_whole_however_their_bytes_are_cut(messages, cuts):
    """Guards against messages of peers that are lost, cut or joined on their way."""
    framing = make_link_framing(MAX_MESSAGE_BYTES)
    received = SENDER_GREETING + framed(*messages)
    assert receive_in_pieces(framing, received, cuts) == messages


@pytest.mark.parametrize(
    "received", [b"GET / HTTP/1.1\r\n", b"\x00SP\x00\x00\x51\x00\x00", b"\x00SX"]
)
def test_a_connection_that_does_not_greet_as_a_sender_is_refused(received):
    """Guards against bytes of another protocol that are read as messages."""
    with pytest.raises(PeerError):
        list(make_link_framing(MAX_MESSAGE_BYTES).receive(received))


def test_a_message_that_is_too_long_is_refused_by_its_length():
    """Guards against memory that is filled before a message can be checked."""
    framing = make_link_framing(MAX_MESSAGE_BYTES)
    length = (MAX_MESSAGE_BYTES + 1).to_bytes(8, "big")
    with pytest.raises(PeerError):
        list(framing.receive(SENDER_GREETING + length))


def test_the_bound_may_be_raised_between_two_messages():
    """Guards against a peer's large message that is refused beside its first one."""
    framing = make_link_framing(MAX_MESSAGE_BYTES)
    messages = (b"x", b"y" * 2 * MAX_MESSAGE_BYTES)
    received = framing.receive(SENDER_GREETING + framed(*messages))
    assert next(received) == messages[0]
    framing.max_message_bytes = len(messages[1])
    assert list(received) == [messages[1]]
