"""The daemon's settings file, validated into frozen data classes.

The file holds only what a process can't learn from the tree: its identity, listening
addresses, peers, data folder and keys.
"""

import re
from pathlib import Path
from typing import Literal

from msgspec import Struct, ValidationError, convert, field
from yaml import YAMLError

from sesameford.errors import SettingsError
from sesameford.yaml_text import load_yaml


class Listen(Struct, frozen=True, forbid_unknown_fields=True):
    """The ``IP:port`` addresses that the daemon listens on."""

    callers: str
    operators: str
    peers: str


class Peer(Struct, frozen=True, forbid_unknown_fields=True):
    """Another instance that this one has a link to.

    ``has_disk`` marks a replica, ``is_hub`` an instance that forwards messages for its
    data centre.
    """

    instance_id: str
    data_centre: str
    peers: str
    has_disk: bool = False
    is_hub: bool = False


class Tls(Struct, frozen=True, forbid_unknown_fields=True):
    """Files of the deployment's certificate authority and this instance's identity."""

    authority_file: str
    certificate_file: str
    key_file: str


class Logging(Struct, frozen=True, forbid_unknown_fields=True):
    """The level and format of log records."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["json", "text"] = "json"


class Tracing(Struct, frozen=True, forbid_unknown_fields=True):
    """The export of spans: to a file of JSON lines, to an OTLP URL, or disabled."""

    file: str | None = None
    otlp_url: str | None = None


class OperatorKey(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's name and the SHA-256 of the operator's key, in hexadecimal."""

    name: str
    key_digest: str


class RetryBudgetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The limit on retries for one service over the whole fleet.

    In any window of ``window_seconds``, retries may be ``fraction`` of the service's
    requests, plus ``spare_requests``.
    """

    fraction: float = 0.1
    window_seconds: float = 10.0
    spare_requests: int = 20


class ColdBoundSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The limit on requests per second from the whole fleet to a cold target.

    It is ``factor`` times the rate that the service declares, plus ``spare_requests``.
    """

    factor: float = 1.0
    spare_requests: float = 0.0


class DaemonSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon.

    ``seeds`` are the link addresses of a few instances with disks, used to discover
    all others if ``peers`` is empty. ``founds`` states that the deployment starts for
    the first time, so that the seeds may found its log. ``regions`` maps each data
    centre of the deployment to its region. ``stop_grace_seconds`` is the time from a
    request to stop until the process is killed, None if nothing kills it.
    ``memory_megabytes`` and ``max_descriptors`` are what the process may have of its
    machine; None stands for what its connections need, and what the system allows.
    """

    instance_id: str
    data_centre: str
    listen: Listen
    peers: tuple[Peer, ...] = ()
    seeds: tuple[str, ...] = ()
    founds: bool = False
    operators: tuple[OperatorKey, ...] = ()
    is_hub: bool = False
    data_folder: str | None = None
    shared_key_file: str | None = None
    platform_key_digest: str | None = None
    tls: Tls | None = None
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    target_beat_seconds: float = 1.0
    cold_bound: ColdBoundSettings = field(default_factory=ColdBoundSettings)
    regions: dict[str, str] = {}
    stop_grace_seconds: float | None = None
    memory_megabytes: float | None = None
    max_descriptors: int | None = None
    logging: Logging = field(default_factory=Logging)
    tracing: Tracing = field(default_factory=Tracing)


_ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
_VALIDATION_PATH = re.compile(
    r"^(?P<what>.*?)(?: - at `\$?\.?(?P<path>[^`]*)`)?$", re.S
)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def load_settings(file: Path) -> DaemonSettings:
    """Read and validate a daemon's settings file.

    Args:
        file: A YAML file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file can't be read or its content is invalid.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(file), "(file)", str(error), "a readable file") from (
            error
        )
    return parse_settings(text, str(file))


def parse_settings(text: str, source: str) -> DaemonSettings:
    """Parse and validate the text of a settings file.

    Args:
        text: YAML.
        source: The name of the text in errors.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The text is invalid. The error names the path of the field, the
            value found and the values allowed.
    """
    try:
        raw = load_yaml(text)
    except YAMLError as error:
        found = " ".join(str(error).split())
        raise SettingsError(source, "(text)", found, "YAML") from error
    try:
        settings = convert(raw, DaemonSettings)
    except ValidationError as error:
        match = _VALIDATION_PATH.match(str(error))
        path = (match and match["path"]) or "(top)"
        found = match["what"] if match else str(error)
        raise SettingsError(source, path, found, "see docs/SETTINGS.md") from error
    _check_addresses(settings, source)
    return settings


def _check_addresses(settings: DaemonSettings, source: str) -> None:
    """Reject malformed addresses and duplicate instance ids."""
    addresses = {
        "listen.callers": settings.listen.callers,
        "listen.operators": settings.listen.operators,
        "listen.peers": settings.listen.peers,
    }
    for position, peer in enumerate(settings.peers):
        addresses[f"peers[{position}].peers"] = peer.peers
    for path, address in addresses.items():
        if not _ADDRESS.match(address) or split_address(address)[1] > 65535:
            raise SettingsError(source, path, repr(address), "an IP number and a port")
    ids = [settings.instance_id, *(peer.instance_id for peer in settings.peers)]
    if len(set(ids)) != len(ids):
        raise SettingsError(source, "peers", "an instance id twice", "each id once")
