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
        envelope: What to send.

    Returns:
        Its MessagePack form.

    Raises:
        PeerError: It is larger than any peer would read, or has a number of more
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
    """Return the envelope in bytes from a peer.

    Args:
        encoded: Bytes from outside, not trusted.

    Returns:
        The checked envelope.

    Raises:
        PeerError: The bytes are no envelope; nothing of them is used.
    """
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise PeerError(f"an envelope of {len(encoded)} bytes is too large to read")
    try:
        return _decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"a peer's bytes are no envelope: {error}") from error


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message that another instance passes on unread."""
    return _encoder.encode(message)


def decode_message(encoded: bytes) -> Message:
    """Return the message in bytes that were passed on.

    Raises:
        PeerError: The bytes are no message.
    """
    try:
        return _message_decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise PeerError(f"passed-on bytes are no message: {error}") from error
