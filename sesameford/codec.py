"""MessagePack coding of envelopes, with a bound on their size."""

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import PeerError
from sesameford.messages import Envelope, Message

MAX_ENVELOPE_BYTES = 64_000_000

_encoder = Encoder()
_decoder = Decoder(Envelope)
_message_decoder: Decoder[Message] = Decoder(Message)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope.

    Args:
        envelope: The envelope to send.

    Returns:
        Its MessagePack coding.

    Raises:
        PeerError: The envelope is larger than peers accept, or has a number of more
            than 64 bits.
    """
    try:
        encoded = _encoder.encode(envelope)
    except OverflowError as error:
        raise PeerError(f"an envelope can't be sent: {error}") from error
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise PeerError(f"an envelope of {len(encoded)} bytes is too large to send")
    return encoded


def decode_envelope(encoded: bytes) -> Envelope:
    """Return the envelope in bytes of a peer.

    Args:
        encoded: Untrusted bytes.

    Returns:
        The validated envelope.

    Raises:
        PeerError: The bytes are no valid envelope; no part of it is used.
    """
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise PeerError(f"an envelope of {len(encoded)} bytes is too large to read")
    try:
        return _decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"invalid envelope from a peer: {error}") from error


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message that hubs relay without decoding it."""
    return _encoder.encode(message)


def decode_message(encoded: bytes) -> Message:
    """Return the message in relayed bytes.

    Raises:
        PeerError: The bytes are no message.
    """
    try:
        return _message_decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"invalid relayed message: {error}") from error
