"""The key that seals messages between instances."""

from hashlib import sha256
from pathlib import Path

from sesameford.errors import SettingsError
from sesameford.settings import DaemonSettings

MIN_KEY_BYTES = 16
# With TLS the certificate is the identity, and the seal only detects corruption.
_TLS_ONLY_KEY = b"sealed-by-tls"


def load_link_key(settings: DaemonSettings, source: str) -> bytes:
    """Return the key of an instance's links.

    Args:
        settings: The settings with a shared key file or TLS, or without peers.
        source: The settings file, for errors.

    Raises:
        SettingsError: The key can't be read or is too short, or there are peers but
            neither TLS nor a key to authenticate them.
    """
    if settings.shared_key_file is None:
        if settings.peers and settings.tls is None:
            raise SettingsError(
                source,
                "(top)",
                "peers without tls or shared_key_file",
                "one of the two, or both",
            )
        return _TLS_ONLY_KEY
    try:
        key = Path(settings.shared_key_file).read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            source, "shared_key_file", str(error), "a readable file"
        ) from error
    if len(key) < MIN_KEY_BYTES:
        found = f"a key of {len(key)} bytes"
        allowed = f"{MIN_KEY_BYTES} bytes or more"
        raise SettingsError(source, "shared_key_file", found, allowed)
    return sha256(key).digest()
