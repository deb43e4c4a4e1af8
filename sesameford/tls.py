"""TLS with the deployment's own authority, reloaded when its files change."""

import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from pynng import TLSConfig

from sesameford.errors import SettingsError
from sesameford.settings import Tls

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """The PEM texts of an instance's identity and of the authority it trusts.

    ``peers_context`` is made of them, for links that other instances open.
    """

    authority: str
    certificate: str
    key: str
    peers_context: ssl.SSLContext = field(compare=False)


def read_files(tls: Tls, source: str) -> TlsFiles:
    """Read and check the files named in the settings.

    Args:
        tls: The paths of the files.
        source: The settings file, for errors.

    Raises:
        SettingsError: A file can't be read, or certificate and key don't match.
    """
    try:
        files = TlsFiles(
            Path(tls.authority_file).read_text(encoding="ascii"),
            Path(tls.certificate_file).read_text(encoding="ascii"),
            Path(tls.key_file).read_text(encoding="ascii"),
            make_peers_context(tls),
        )
        make_server_context(tls)
        make_client_context(tls)
    except (OSError, ValueError, ssl.SSLError) as error:
        raise SettingsError(
            source, "tls", str(error), "PEM files that belong together"
        ) from error
    return files


def make_server_context(tls: Tls) -> ssl.SSLContext:
    """Return a context for HTTP listeners, which requests no client certificate.

    Callers, operators and targets authenticate with their keys.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def make_client_context(tls: Tls) -> ssl.SSLContext:
    """Return a context for connections to targets of the deployment's authority."""
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=tls.authority_file
    )
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def make_peers_context(tls: Tls) -> ssl.SSLContext:
    """Return a context for links, whose senders need a certificate of the authority."""
    context = make_server_context(tls)
    context.load_verify_locations(tls.authority_file)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_dialler_config(files: TlsFiles, peer_id: str) -> TLSConfig:
    """Return the TLS settings of a connection to a peer.

    The peer's certificate must be issued to its instance id. Otherwise any instance, or
    a thief of one instance's key, could impersonate another at its address.
    """
    return TLSConfig(
        TLSConfig.MODE_CLIENT,
        server_name=peer_id,
        ca_string=files.authority,
        own_key_string=files.key,
        own_cert_string=files.certificate,
        auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
    )


def make_reloader(
    tls: Tls,
    source: str,
    contexts: tuple[ssl.SSLContext, ...],
    on_change: Callable[[TlsFiles], None],
) -> Callable[[], None]:
    """Return a function that reloads the files when they have changed.

    Args:
        tls: The paths of the files.
        source: The settings file, for errors.
        contexts: Contexts that load the new certificate, for new connections.
        on_change: Called with the new files, to redial links between instances.

    Returns:
        A function to call periodically. Files that don't match, as while only one of
        two is replaced, are logged and not used.
    """
    loaded = [read_files(tls, source)]

    def reload() -> None:
        try:
            files = read_files(tls, source)
        except SettingsError as error:
            logger.warning("the old TLS files stay in force: %s", error)
            return
        if files == loaded[0]:
            return
        loaded[0] = files
        for context in contexts:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        logger.info("new TLS files are in force")
        on_change(files)

    return reload
