"""The fields that a node of the settings tree may have, and their checks.

The fields are those of the data classes in ``sesameford/effective.py``. A field's
type gives its plain check; the few that need a narrower one stand in
``_NARROWER``.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import MISSING, fields
from functools import cache
from math import isfinite
from types import MappingProxyType
from typing import Any, get_type_hints

from sesameford.effective import (
    BackendSettings,
    CustomerSettings,
    DataCentreSettings,
    FleetSettings,
    HttpRouteSettings,
    InstanceSettings,
    LimitSettings,
    ModelSettings,
    RouteSettings,
    ServiceSettings,
    TargetSettings,
)

ROOTS: Mapping[str, type] = MappingProxyType(
    {
        "fleet": FleetSettings,
        "customers": CustomerSettings,
        "models": ModelSettings,
        "services": ServiceSettings,
        "instances": InstanceSettings,
        "targets": TargetSettings,
        "routes": HttpRouteSettings,
        "data_centres": DataCentreSettings,
    }
)

# Each root's field that names the entity; it comes from the path of the leaf.
NAME_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "customers": "customer_id",
        "models": "model",
        "services": "service",
        "instances": "instance_id",
        "targets": "target_id",
        "routes": "route_id",
        "data_centres": "data_centre",
    }
)

# Fields that make sense for one entity alone and can't be inherited.
LEAF_FIELDS = frozenset({"key_digests", "evacuated"})

MAX_NUMBER = 1e12
MAX_ROUTES = 200
MAX_BACKENDS = 100
MAX_DIGESTS = 20
MAX_LIFTED = 100
MAX_NAMES = 200

_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[!-~]{1,256}")
_METHOD = re.compile(r"\*|[A-Z]{1,20}")
_HOST = re.compile(r"[a-z0-9._:\[\]-]{0,255}")


class Refused(Exception):
    """A value that a field does not take.

    Args:
        path: Where it stands.
        found: What was found there.
        allowed: What would be accepted.
    """

    def __init__(self, path: str, found: str, allowed: str) -> None:
        super().__init__(path, found, allowed)
        self.path = path
        self.found = found
        self.allowed = allowed


Check = Callable[[Any, str], Any]


def shown(value: object) -> str:
    """Return a value as an error message shows it, shortened."""
    try:
        text = repr(value)
    except ValueError:
        # Python refuses to write out a number of thousands of digits.
        return "a number that is far too large"
    return text if len(text) <= 80 else f"{text[:77]}..."


def _number(low: float, high: float, above: bool = False) -> Check:
    """Return a check for a number in a range; ``above`` leaves out the low end."""
    sign = "above" if above else "from"
    allowed = f"a number {sign} {low:g} to {high:g}"

    def check(value: Any, path: str) -> float:
        # YAML reads .nan and .inf as numbers. A customer with a share that is not
        # finite would never, or always, be next, so both are refused here.
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise Refused(path, shown(value), allowed)
        if value < low or value > high or not isfinite(value):
            raise Refused(path, shown(value), allowed)
        if above and value == low:
            raise Refused(path, shown(value), allowed)
        return float(value)

    return check


def _integer(low: int, high: int) -> Check:
    """Return a check for a whole number in a range."""
    allowed = f"a whole number from {low} to {high}"

    def check(value: Any, path: str) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise Refused(path, shown(value), allowed)
        if not low <= value <= high:
            raise Refused(path, shown(value), allowed)
        return value

    return check


def _or_none(inner: Check) -> Check:
    """Return a check that also takes null, which lifts an inherited value."""

    def check(value: Any, path: str) -> Any:
        if value is None:
            return None
        try:
            return inner(value, path)
        except Refused as refused:
            allowed = f"{refused.allowed}, or null"
            raise Refused(refused.path, refused.found, allowed) from None

    return check


def _boolean(value: Any, path: str) -> bool:
    """Check a truth value."""
    if not isinstance(value, bool):
        raise Refused(path, shown(value), "true or false")
    return value


def _text(value: Any, path: str) -> str:
    """Check a short text."""
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        raise Refused(path, shown(value), "a text of 1 to 200 characters")
    return value


def _one_of(*words: str) -> Check:
    """Return a check for one of a few words."""

    def check(value: Any, path: str) -> str:
        if value not in words:
            raise Refused(path, shown(value), " or ".join(words))
        return str(value)

    return check


def _digests(limit: int, what: str) -> Check:
    """Return a check for a list of SHA-256 digests."""
    allowed = f"{what} as 64 hexadecimal digits in lower case"

    def check(value: Any, path: str) -> list[str]:
        if not isinstance(value, list) or len(value) > limit:
            raise Refused(path, shown(value), f"a list of at most {limit} digests")
        seen: set[str] = set()
        for position, digest in enumerate(value):
            where = f"{path}[{position}]"
            if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
                raise Refused(where, shown(digest), allowed)
            if digest in seen:
                raise Refused(where, "a digest twice", "each digest once")
            seen.add(digest)
        return value

    return check


def _names(value: Any, path: str) -> list[str]:
    """Check a list of names, of models for one."""
    allowed = f"a list of at most {MAX_NAMES} different names"
    if not isinstance(value, list) or len(value) > MAX_NAMES:
        raise Refused(path, shown(value), allowed)
    for position, name in enumerate(value):
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            raise Refused(f"{path}[{position}]", shown(name), allowed)
    if len(set(value)) < len(value):
        raise Refused(path, "a name twice", allowed)
    return value


def _method(value: Any, path: str) -> str:
    """Check a route's method."""
    if not isinstance(value, str) or not _METHOD.fullmatch(value):
        raise Refused(path, shown(value), "a method in upper case, or '*' for all")
    return value


def _path_prefix(value: Any, path: str) -> str:
    """Check a route's path prefix."""
    if not isinstance(value, str) or not re.fullmatch(r"/[!-~]{0,500}", value):
        raise Refused(path, shown(value), "a path that starts with '/'")
    return value


def _host(value: Any, path: str) -> str:
    """Check a route's host."""
    if not isinstance(value, str) or not _HOST.fullmatch(value):
        raise Refused(path, shown(value), "a host name in lower case")
    return value


def _whole_rows(kind: type, limit: int, what: str) -> Check:
    """Return a check for a list of mappings that give all fields of a data class."""

    def check(value: Any, path: str) -> list[dict[str, Any]]:
        if not isinstance(value, list) or len(value) > limit:
            raise Refused(path, shown(value), f"a list of at most {limit} {what}s")
        rows = []
        for position, row in enumerate(value):
            where = f"{path}[{position}]"
            checked = check_fields(row, kind, where)
            missing = sorted(set(field_checks(kind)) - set(checked))
            if missing:
                allowed = f"all fields of a {what}"
                raise Refused(where, "no " + ", ".join(missing), allowed)
            rows.append(checked)
        return rows

    return check


def _limits(value: Any, path: str) -> dict[str, Any]:
    """Check the limits of a customer; those left out are inherited."""
    return check_fields(value, LimitSettings, path)


_NARROWER: Mapping[tuple[type, str], Check] = MappingProxyType(
    {
        (CustomerSettings, "share"): _number(0, 1e6, above=True),
        (CustomerSettings, "deadline_seconds"): _number(0, 86_400, above=True),
        (CustomerSettings, "key_digests"): _digests(
            MAX_DIGESTS, "the SHA-256 of a key"
        ),
        (CustomerSettings, "limits"): _limits,
        (ServiceSettings, "routes"): _whole_rows(RouteSettings, MAX_ROUTES, "route"),
        (HttpRouteSettings, "backends"): _whole_rows(
            BackendSettings, MAX_BACKENDS, "backend"
        ),
        (HttpRouteSettings, "host"): _host,
        (HttpRouteSettings, "path_prefix"): _path_prefix,
        (HttpRouteSettings, "attempts"): _integer(1, 100),
        (HttpRouteSettings, "timeout_seconds"): _number(0, 86_400, above=True),
        (ServiceSettings, "deadline_seconds"): _number(0, 86_400, above=True),
        (TargetSettings, "models"): _names,
        (TargetSettings, "adapters"): _names,
        (CustomerSettings, "home_regions"): _names,
        (HttpRouteSettings, "home_regions"): _names,
        (RouteSettings, "method"): _method,
        (RouteSettings, "path_prefix"): _path_prefix,
        (FleetSettings, "scheduler"): _one_of("leased", "independent"),
        (FleetSettings, "target_lease_seconds"): _number(0.1, 60),
        (FleetSettings, "lifted_digests"): _digests(
            MAX_LIFTED, "the digest of a body, from the status,"
        ),
        (FleetSettings, "silence_seconds"): _number(0.1, 3600),
        (FleetSettings, "balancer_delay_seconds"): _number(0, 600),
        (FleetSettings, "retry_budget_fraction"): _number(0, 1),
        (FleetSettings, "body_limit_bytes"): _integer(1, 1_000_000_000),
        (FleetSettings, "weight_store_concurrent_loads"): _integer(1, 10_000),
    }
)

_BY_TYPE: Mapping[Any, Check] = MappingProxyType(
    {
        bool: _boolean,
        str: _text,
        float: _number(0, MAX_NUMBER),
        int: _integer(0, int(MAX_NUMBER)),
        float | None: _or_none(_number(0, MAX_NUMBER)),
        int | None: _or_none(_integer(0, int(MAX_NUMBER))),
    }
)


@cache
def field_checks(kind: type) -> Mapping[str, Check]:
    """Return the check of each field that operators may set of a data class.

    Args:
        kind: A data class of ``sesameford/effective.py``.

    Returns:
        Checks by field name.
    """
    hints = get_type_hints(kind)
    names = [field.name for field in fields(kind) if field.name not in _name_of(kind)]
    return {
        name: _NARROWER.get((kind, name)) or _BY_TYPE[hints[name]] for name in names
    }


def _name_of(kind: type) -> frozenset[str]:
    """Return the field that names entities of a kind, as a set of one or none."""
    return frozenset(name for root, name in NAME_FIELDS.items() if ROOTS[root] is kind)


@cache
def field_defaults(kind: type) -> Mapping[str, Any]:
    """Return the value of each field that no branch sets."""
    defaults = {}
    for field in fields(kind):
        if field.default is not MISSING:
            defaults[field.name] = field.default
        elif field.default_factory is not MISSING:
            defaults[field.name] = field.default_factory()
    return defaults


def check_fields(raw: Any, kind: type, path: str) -> dict[str, Any]:
    """Check the fields of a node or a part of one.

    Args:
        raw: What the YAML says.
        kind: The data class that names the fields.
        path: Where it stands, for errors.

    Returns:
        The fields that are set, with numbers in the type of their field.

    Raises:
        Refused: A field is unknown or its value not allowed.
    """
    if not isinstance(raw, dict):
        raise Refused(path, shown(raw), "a mapping of fields")
    checks = field_checks(kind)
    checked = {}
    for name, value in raw.items():
        if name not in checks:
            raise Refused(
                f"{path}.{name}", "an unknown field", ", ".join(sorted(checks))
            )
        checked[name] = checks[name](value, f"{path}.{name}")
    return checked
