"""The coding of snapshots, as they stand on the disk and go to other replicas."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.errors import LogError
from sesameford.log_messages import Configuration
from sesameford.log_state import SnapshotImage


class _EncodedImage(Struct, frozen=True, array_like=True):
    """The form of a snapshot outside a process."""

    index: int
    index_term: int
    configuration: Configuration
    data: bytes


_encoder = Encoder()
_decoder = Decoder(_EncodedImage)


def encode_image(image: SnapshotImage) -> bytes:
    """Return the bytes of a snapshot."""
    return _encoder.encode(
        _EncodedImage(image.index, image.index_term, image.configuration, image.data)
    )


def decode_image(encoded: bytes) -> SnapshotImage:
    """Return the snapshot in bytes whose checksum is right.

    Args:
        encoded: What ``encode_image`` made.

    Returns:
        The snapshot.

    Raises:
        LogError: The bytes are no snapshot.
    """
    try:
        image = _decoder.decode(encoded)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise LogError(f"bytes are no snapshot: {error}") from error
    return SnapshotImage(image.index, image.index_term, image.configuration, image.data)
