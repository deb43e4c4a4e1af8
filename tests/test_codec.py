"""The coding of envelopes: round trips, and refusal of invalid bytes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.codec import decode_envelope, encode_envelope
from sesameford.errors import PeerError
from sesameford.load_messages import CustomerRates, PartialLoad, RouterLoad, TargetLoad
from sesameford.messages import (
    Envelope,
    Heartbeat,
    LeaseAttestation,
    LeaseAttestations,
    MemberRow,
    MembersUpdate,
    ModelUse,
    RelayedMessage,
    TargetAnnouncement,
    TargetRow,
)
from sesameford.slot_messages import PoolReport, ServedRow, ShareReport
from sesameford.tables import InstanceState, TargetKind


def test_an_envelope_survives_the_wire():
    messages = (
        Heartbeat("a", InstanceState.READY, 7),
        ShareReport(1, 2, 3, pools=(PoolReport("m", (ServedRow("c", 4.0),)),)),
    )
    envelope = Envelope("e1", 1, 2, (3, 4), messages)
    assert decode_envelope(encode_envelope(envelope)) == envelope


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_envelope_are_refused(encoded):
    try:
        decode_envelope(encoded)
    except PeerError:
        return
    pytest.fail("random bytes were taken for an envelope")


MESSAGES = (
    Heartbeat("a", InstanceState.READY, 7),
    MembersUpdate(
        (MemberRow("e2", 1, 2, 3, False, "b", InstanceState.DRAINING, 4, True),), True
    ),
    RelayedMessage("e1", 2, "e3", 3, b"payload"),
    TargetRow(
        "e1",
        5,
        TargetAnnouncement(
            "t", 1, 2, TargetKind.MODEL, ("m",), "http://t", "a", 8, 2.5
        ),
    ),
    LeaseAttestations((LeaseAttestation("e1", 2**31, 250),)),
    ShareReport(1, 2, 3, "a", False, False, (PoolReport("m", (ServedRow("c", 1.5),)),)),
    ModelUse("t", "m", 4, 0),
    PartialLoad(7, (TargetLoad(1, 2, 3),), (CustomerRates("c", 5, 2),), 0.5, 9.0),
    RouterLoad((TargetLoad(1, 2, 3),), (CustomerRates("c", 5, 2),), 0.5, 9.0),
)
ENVELOPES = st.builds(
    Envelope,
    st.text(max_size=5),
    st.integers(0, 2**62),
    st.integers(0, 2**62),
    st.tuples(st.integers(0, 2**62), st.integers(0, 2**62)),
    st.lists(st.sampled_from(MESSAGES), max_size=3).map(tuple),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(ENVELOPES, st.data())
def test_a_corrupted_envelope_is_decoded_or_refused(envelope, data):
    """A peer of another version, or a faulty one, sends bytes that resemble a message.

    Any error other than the refusal would end the task that receives from all peers.
    """
    encoded = bytearray(encode_envelope(envelope))
    assert decode_envelope(bytes(encoded)) == envelope
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
    try:
        decode_envelope(bytes(encoded[: data.draw(st.integers(0, len(encoded)))]))
    except PeerError:
        return


def test_a_number_that_no_peer_could_read_is_refused():
    """A faulty counter grows beyond 64 bits.

    An error of the coding library would end the task that sends all batches.
    """
    with pytest.raises(PeerError):
        encode_envelope(Envelope("e1", 2**70, 1, (0, 0), ()))
