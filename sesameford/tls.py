"""TLS with the deployment's own authority, reloaded when its files change."""

import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pynng import TLSConfig

from sesameford.errors import SettingsError
from sesameford.settings import Tls

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """The texts of an instance's identity and of the authority it trusts."""

    authority: str
    certificate: str
    key: str


def read_files(tls: Tls, source: str) -> TlsFiles:
    """Read and check the files that the settings name.

    Args:
        tls: Their paths.
        source: The settings file, for errors.

    Raises:
        SettingsError: One can't be read, or certificate and key don't fit.
    """
    try:
        files = TlsFiles(
            Path(tls.authority_file).read_text(encoding="ascii"),
            Path(tls.certificate_file).read_text(encoding="ascii"),
            Path(tls.key_file).read_text(encoding="ascii"),
        )
        make_server_context(tls)
        make_client_context(tls)
    except (OSError, ValueError, ssl.SSLError) as error:
        raise SettingsError(
            source, "tls", str(error), "PEM files that belong together"
        ) from error
    return files


def make_server_context(tls: Tls) -> ssl.SSLContext:
    """Return a context for listeners of HTTP, which asks for no certificate.

    Callers, operators and targets show who they are by their keys.
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


def make_listener_config(files: TlsFiles) -> TLSConfig:
    """Return what a listener for peers needs: it refuses a peer without identity."""
    return TLSConfig(
        TLSConfig.MODE_SERVER,
        ca_string=files.authority,
        own_key_string=files.key,
        own_cert_string=files.certificate,
        auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
    )


def make_dialler_config(files: TlsFiles, peer_id: str) -> TLSConfig:
    """Return what a connection to a peer needs.

    The peer's certificate must be in the name of its instance id. Otherwise any
    instance, or who holds one instance's key, could listen in another's place.
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
    changed: Callable[[TlsFiles], None],
) -> Callable[[], None]:
    """Return a function that takes new files into force when they have changed.

    Args:
        tls: The files to look at.
        source: The settings file, for errors.
        contexts: Get the new certificate in place, for new connections.
        changed: Told of the new files, to redial links between instances.

    Returns:
        A function to call now and then. Files that don't fit together, as while
        only one of two is replaced, are logged and left alone.
    """
    seen = [read_files(tls, source)]

    def reload() -> None:
        try:
            files = read_files(tls, source)
        except SettingsError as error:
            logger.warning("the old TLS files stay in force: %s", error)
            return
        if files == seen[0]:
            return
        seen[0] = files
        for context in contexts:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        logger.info("new TLS files are in force")
        changed(files)

    return reload
