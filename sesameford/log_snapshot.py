"""The encoding of snapshots on the disk and between replicas."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import LogError
from sesameford.log_messages import Configuration
from sesameford.log_state import SnapshotImage


class _EncodedImage(Struct, frozen=True, array_like=True):
    """The format of a snapshot on the disk and in messages."""

    index: int
    index_term: int
    configuration: Configuration
    data: bytes


_encoder = Encoder()
_decoder = Decoder(_EncodedImage)


def encode_image(image: SnapshotImage) -> bytes:
    """Return the encoded snapshot."""
    return _encoder.encode(
        _EncodedImage(image.index, image.index_term, image.configuration, image.data)
    )


def decode_image(encoded: bytes) -> SnapshotImage:
    """Decode a snapshot whose checksum has been verified.

    Args:
        encoded: The result of ``encode_image``.

    Returns:
        The snapshot.

    Raises:
        LogError: The bytes are not a snapshot.
    """
    try:
        image = _decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise LogError(f"bytes are no snapshot: {error}") from error
    return SnapshotImage(image.index, image.index_term, image.configuration, image.data)
