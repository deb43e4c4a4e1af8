"""The fields that a node of the settings tree may have, and their validation.

The fields are those of the data classes in ``sesameford/effective.py``. A field is
validated by its type, unless ``_NARROWER_CHECKS`` has a stricter check for it.
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

# The field of each root that identifies the entity; its value is the leaf's path.
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

# Fields that belong to a single entity and can't be inherited.
LEAF_FIELDS = frozenset({"key_digests", "evacuated"})

MAX_NUMBER = 1e12
MAX_TEXT_CHARACTERS = 200
MAX_DESCRIBED_CHARACTERS = 80
ELLIPSIS = "..."
MAX_ROUTES = 200
MAX_BACKENDS = 100
MAX_KEY_DIGESTS = 20
MAX_LIFTED_DIGESTS = 100
MAX_NAMES = 200

_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[!-~]{1,256}")
_METHOD = re.compile(r"\*|[A-Z]{1,20}")
_HOST = re.compile(r"[a-z0-9._:\[\]-]{0,255}")


class FieldError(Exception):
    """A field has an invalid value.

    Args:
        path: The path of the field.
        found: What was found there.
        allowed: What the field accepts.
    """

    def __init__(self, path: str, found: str, allowed: str) -> None:
        super().__init__(path, found, allowed)
        self.path = path
        self.found = found
        self.allowed = allowed


Check = Callable[[Any, str], Any]


def describe_value(value: object) -> str:
    """Return a value's representation for an error message, shortened."""
    try:
        text = repr(value)
    except ValueError:
        # Python raises ValueError for integers of thousands of digits.
        return "a number that is far too large"
    if len(text) <= MAX_DESCRIBED_CHARACTERS:
        return text
    return text[: MAX_DESCRIBED_CHARACTERS - len(ELLIPSIS)] + ELLIPSIS


def _number(low: float, high: float, exclusive_low: bool = False) -> Check:
    """Return a check for a number in a range, optionally without its low end."""
    sign = "above" if exclusive_low else "from"
    allowed = f"a number {sign} {low:g} to {high:g}"

    def check(value: Any, path: str) -> float:
        # YAML reads .nan and .inf as numbers. A customer with a share that is not
        # finite would never or always be scheduled next, so both are rejected.
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise FieldError(path, describe_value(value), allowed)
        if value < low or value > high or not isfinite(value):
            raise FieldError(path, describe_value(value), allowed)
        if exclusive_low and value == low:
            raise FieldError(path, describe_value(value), allowed)
        return float(value)

    return check


def _integer(low: int, high: int) -> Check:
    """Return a check for an integer in a range."""
    allowed = f"a whole number from {low} to {high}"

    def check(value: Any, path: str) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise FieldError(path, describe_value(value), allowed)
        if not low <= value <= high:
            raise FieldError(path, describe_value(value), allowed)
        return value

    return check


def _nullable(inner: Check) -> Check:
    """Return a check that also accepts null, which unsets an inherited value."""

    def check(value: Any, path: str) -> Any:
        if value is None:
            return None
        try:
            return inner(value, path)
        except FieldError as field_error:
            allowed = f"{field_error.allowed}, or null"
            raise FieldError(field_error.path, field_error.found, allowed) from None

    return check


def _boolean(value: Any, path: str) -> bool:
    """Check a boolean."""
    if not isinstance(value, bool):
        raise FieldError(path, describe_value(value), "true or false")
    return value


def _text(value: Any, path: str) -> str:
    """Check a short string."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        allowed = f"a text of 1 to {MAX_TEXT_CHARACTERS} characters"
        raise FieldError(path, describe_value(value), allowed)
    return value


def _one_of(*words: str) -> Check:
    """Return a check for one of several keywords."""

    def check(value: Any, path: str) -> str:
        if value not in words:
            raise FieldError(path, describe_value(value), " or ".join(words))
        return str(value)

    return check


def _digests(limit: int, what: str) -> Check:
    """Return a check for a list of SHA-256 digests."""
    allowed = f"{what} as 64 hexadecimal digits in lower case"

    def check(value: Any, path: str) -> list[str]:
        if not isinstance(value, list) or len(value) > limit:
            raise FieldError(
                path, describe_value(value), f"a list of at most {limit} digests"
            )
        seen: set[str] = set()
        for position, digest in enumerate(value):
            where = f"{path}[{position}]"
            if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
                raise FieldError(where, describe_value(digest), allowed)
            if digest in seen:
                raise FieldError(where, "a digest twice", "each digest once")
            seen.add(digest)
        return value

    return check


def _names(value: Any, path: str) -> list[str]:
    """Check a list of names, such as model names."""
    allowed = f"a list of at most {MAX_NAMES} different names"
    if not isinstance(value, list) or len(value) > MAX_NAMES:
        raise FieldError(path, describe_value(value), allowed)
    for position, name in enumerate(value):
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            raise FieldError(f"{path}[{position}]", describe_value(name), allowed)
    if len(set(value)) < len(value):
        raise FieldError(path, "a name twice", allowed)
    return value


def _method(value: Any, path: str) -> str:
    """Check a route's method."""
    if not isinstance(value, str) or not _METHOD.fullmatch(value):
        raise FieldError(
            path, describe_value(value), "a method in upper case, or '*' for all"
        )
    return value


def _path_prefix(value: Any, path: str) -> str:
    """Check a route's path prefix."""
    if not isinstance(value, str) or not re.fullmatch(r"/[!-~]{0,500}", value):
        raise FieldError(path, describe_value(value), "a path that starts with '/'")
    return value


def _host(value: Any, path: str) -> str:
    """Check a route's host."""
    if not isinstance(value, str) or not _HOST.fullmatch(value):
        raise FieldError(path, describe_value(value), "a host name in lower case")
    return value


def _rows(kind: type, limit: int, what: str) -> Check:
    """Return a check for a list of mappings that set all fields of a data class."""

    def check(value: Any, path: str) -> list[dict[str, Any]]:
        if not isinstance(value, list) or len(value) > limit:
            raise FieldError(
                path, describe_value(value), f"a list of at most {limit} {what}s"
            )
        rows = []
        for position, row in enumerate(value):
            where = f"{path}[{position}]"
            checked = check_fields(row, kind, where)
            missing = sorted(set(field_checks(kind)) - set(checked))
            if missing:
                allowed = f"all fields of a {what}"
                raise FieldError(where, "no " + ", ".join(missing), allowed)
            rows.append(checked)
        return rows

    return check


def _limits(value: Any, path: str) -> dict[str, Any]:
    """Check the limits of a customer; omitted limits are inherited."""
    return check_fields(value, LimitSettings, path)


_NARROWER_CHECKS: Mapping[tuple[type, str], Check] = MappingProxyType(
    {
        (CustomerSettings, "share"): _number(0, 1e6, exclusive_low=True),
        (CustomerSettings, "deadline_seconds"): _number(0, 86_400, exclusive_low=True),
        (CustomerSettings, "key_digests"): _digests(
            MAX_KEY_DIGESTS, "the SHA-256 of a key"
        ),
        (CustomerSettings, "limits"): _limits,
        (ServiceSettings, "routes"): _rows(RouteSettings, MAX_ROUTES, "route"),
        (HttpRouteSettings, "backends"): _rows(
            BackendSettings, MAX_BACKENDS, "backend"
        ),
        (HttpRouteSettings, "host"): _host,
        (HttpRouteSettings, "path_prefix"): _path_prefix,
        (HttpRouteSettings, "attempts"): _integer(1, 100),
        (HttpRouteSettings, "timeout_seconds"): _number(0, 86_400, exclusive_low=True),
        (ServiceSettings, "deadline_seconds"): _number(0, 86_400, exclusive_low=True),
        (TargetSettings, "models"): _names,
        (TargetSettings, "adapters"): _names,
        (CustomerSettings, "home_regions"): _names,
        (HttpRouteSettings, "home_regions"): _names,
        (RouteSettings, "method"): _method,
        (RouteSettings, "path_prefix"): _path_prefix,
        (FleetSettings, "scheduler"): _one_of("leased", "independent"),
        (FleetSettings, "target_lease_seconds"): _number(0.1, 60),
        (FleetSettings, "lifted_digests"): _digests(
            MAX_LIFTED_DIGESTS, "the digest of a body, from the status,"
        ),
        (FleetSettings, "silence_seconds"): _number(0.1, 3600),
        (FleetSettings, "balancer_delay_seconds"): _number(0, 600),
        (FleetSettings, "retry_budget_fraction"): _number(0, 1),
        (FleetSettings, "body_limit_bytes"): _integer(1, 1_000_000_000),
        (FleetSettings, "answer_limit_bytes"): _integer(1, 1_000_000_000_000),
        (FleetSettings, "held_answers_limit_bytes"): _integer(0, 1_000_000_000),
        (FleetSettings, "held_bodies_limit_bytes"): _integer(0, 1_000_000_000),
        (FleetSettings, "weight_store_concurrent_loads"): _integer(1, 10_000),
    }
)

_CHECKS_BY_TYPE: Mapping[Any, Check] = MappingProxyType(
    {
        bool: _boolean,
        str: _text,
        float: _number(0, MAX_NUMBER),
        int: _integer(0, int(MAX_NUMBER)),
        float | None: _nullable(_number(0, MAX_NUMBER)),
        int | None: _nullable(_integer(0, int(MAX_NUMBER))),
    }
)


@cache
def field_checks(kind: type) -> Mapping[str, Check]:
    """Return the checks of all fields of a data class that operators may set.

    Args:
        kind: A data class of ``sesameford/effective.py``.

    Returns:
        Checks by field name.
    """
    hints = get_type_hints(kind)
    names = [
        field.name for field in fields(kind) if field.name not in _name_field_of(kind)
    ]
    return {
        name: _NARROWER_CHECKS.get((kind, name)) or _CHECKS_BY_TYPE[hints[name]]
        for name in names
    }


def _name_field_of(kind: type) -> frozenset[str]:
    """Return the field that identifies entities of a kind, as a set of at most one."""
    return frozenset(name for root, name in NAME_FIELDS.items() if ROOTS[root] is kind)


@cache
def field_defaults(kind: type) -> Mapping[str, Any]:
    """Return the defaults of fields that no branch sets."""
    defaults = {}
    for field in fields(kind):
        if field.default is not MISSING:
            defaults[field.name] = field.default
        elif field.default_factory is not MISSING:
            defaults[field.name] = field.default_factory()
    return defaults


def check_fields(raw: Any, kind: type, path: str) -> dict[str, Any]:
    """Validate the fields of a node or of a mapping inside it.

    Args:
        raw: The parsed YAML value.
        kind: The data class that defines the fields.
        path: The path of the value, for errors.

    Returns:
        The fields that are set, with numbers converted to the field's type.

    Raises:
        FieldError: A field is unknown or has an invalid value.
    """
    if not isinstance(raw, dict):
        raise FieldError(path, describe_value(raw), "a mapping of fields")
    checks = field_checks(kind)
    checked = {}
    for name, value in raw.items():
        if name not in checks:
            raise FieldError(
                f"{path}.{name}", "an unknown field", ", ".join(sorted(checks))
            )
        checked[name] = checks[name](value, f"{path}.{name}")
    return checked
