"""The daemon's settings file, checked into frozen data classes.

Only what a process can't learn from the tree stands here: who it is, where it
listens, who its peers are, its data folder and its keys.
"""

import re
from pathlib import Path
from typing import Literal

from msgspec import Struct, ValidationError, convert, field
from yaml import YAMLError

from sesameford.errors import SettingsError
from sesameford.yaml_text import load_yaml


class Listen(Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses that the daemon listens on, by IP number."""

    callers: str
    operators: str
    peers: str


class Peer(Struct, frozen=True, forbid_unknown_fields=True):
    """Another instance of the system that this one has a link to.

    ``has_disk`` says that it is a replica, ``is_hub`` that it passes on for its
    data centre.
    """

    instance_id: str
    data_centre: str
    peers: str
    has_disk: bool = False
    is_hub: bool = False


class Tls(Struct, frozen=True, forbid_unknown_fields=True):
    """Files of the deployment's own authority and this instance's identity."""

    authority_file: str
    certificate_file: str
    key_file: str


class Logging(Struct, frozen=True, forbid_unknown_fields=True):
    """How log records are written."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["json", "text"] = "json"


class Tracing(Struct, frozen=True, forbid_unknown_fields=True):
    """Where spans go: a file of JSON lines, an OTLP address, or nowhere."""

    file: str | None = None
    otlp_url: str | None = None


class OperatorKey(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's name and the SHA-256 of the operator's key, in hexadecimal."""

    name: str
    key_digest: str


class RetryBudgetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """What second sendings may cost one service over the whole fleet.

    In any window they may be ``fraction`` of the requests for the service, and
    ``spare_requests`` more.
    """

    fraction: float = 0.1
    window_seconds: float = 10.0
    spare_requests: int = 20


class ColdBoundSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """What a target that has just started may be sent in a second by the whole fleet.

    ``factor`` times the rate that its service declares, and ``spare_requests`` more.
    """

    factor: float = 1.0
    spare_requests: float = 0.0


class DaemonSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon.

    ``seeds`` are addresses for links of a few instances with disks, by which all
    others are found where ``peers`` names none. ``founds`` says that the deployment
    starts for the first time, so that the seeds may found its log. ``regions`` names
    the region of each data centre of the deployment.
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
    logging: Logging = field(default_factory=Logging)
    tracing: Tracing = field(default_factory=Tracing)


_ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
_VALIDATION_PATH = re.compile(
    r"^(?P<what>.*?)(?: - at `\$?\.?(?P<path>[^`]*)`)?$", re.S
)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def load_settings(file: Path) -> DaemonSettings:
    """Read and check a daemon's settings file.

    Args:
        file: A YAML file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The file can't be read or says something not allowed.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(file), "(file)", str(error), "a readable file") from (
            error
        )
    return parse_settings(text, str(file))


def parse_settings(text: str, source: str) -> DaemonSettings:
    """Check the text of a settings file.

    Args:
        text: YAML.
        source: The name to give in errors.

    Returns:
        The checked settings.

    Raises:
        SettingsError: It names the path of the field, what was found and what
            is allowed.
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
    """Refuse addresses that are not an IP number and a port."""
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
