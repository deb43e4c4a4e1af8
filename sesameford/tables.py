"""Entities of a router and the tables that hold them.

Rows are frozen; a change puts a new row in place of the old one. Deciding
modules read tables and return decisions; they do no I/O and take the present
time as an argument.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

Key = TypeVar("Key")
Row = TypeVar("Row")


class Table(Generic[Key, Row]):
    """Rows of one kind of entity by their key."""

    def __init__(self) -> None:
        self._rows: dict[Key, Row] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: Key) -> bool:
        return key in self._rows

    def __iter__(self) -> Iterator[Row]:
        return iter(list(self._rows.values()))

    def get(self, key: Key) -> Row | None:
        """Return the row under a key, or None."""
        return self._rows.get(key)

    def put(self, key: Key, row: Row) -> None:
        """Insert or replace the row under a key."""
        self._rows[key] = row

    def remove(self, key: Key) -> Row | None:
        """Remove and return the row under a key, or None."""
        return self._rows.pop(key, None)


class TargetKind(StrEnum):
    """What stands behind a target's address."""

    MODEL = "model"
    SERVICE = "service"


class Outcome(StrEnum):
    """What a caller is told of its request; there is no fourth."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TargetState(StrEnum):
    """What a target says of itself in its heartbeats."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class InstanceState(StrEnum):
    """Where an instance stands between start and stop."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target that announced itself.

    ``lease_expires_at_seconds`` is on the holding router's own clock.
    ``capacity_slots`` is what the target says it runs at once.
    """

    target_id: str
    incarnation: int
    kind: TargetKind
    serves: tuple[str, ...]
    url: str
    data_centre: str
    capacity_slots: int
    lease_expires_at_seconds: float
    checks_fencing: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """What is known of another instance of the system."""

    instance_id: str
    incarnation: int
    data_centre: str
    state: InstanceState
    revision: int
    last_seen_at_seconds: float
    is_hub: bool = False


@dataclass(frozen=True, slots=True)
class Usage:
    """What a request has used so far; totals, never increments."""

    prompt_tokens: int = 0
    cached_prompt_tokens: int = 0
    output_tokens: int = 0
    service_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as the deciding modules see it.

    ``resource`` is the name of the model or service. ``repeatable`` is False
    for a request that may run at most once. ``body_digest`` identifies the
    work across resends. ``hint_cost_units`` is the caller's rough word.
    """

    request_id: str
    customer_id: str
    kind: TargetKind
    resource: str
    arrived_at_seconds: float
    deadline_seconds: float
    body_bytes: int
    prompt_tokens: int
    hint_cost_units: float | None
    repeatable: bool
    body_digest: bytes
    prefix_digests: tuple[int, ...] = ()
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a request to one incarnation of a target.

    ``alone`` asks the router to run nothing else on that target meanwhile.
    """

    attempt_id: str
    request_id: str
    customer_id: str
    target_id: str
    target_incarnation: int
    started_at_seconds: float
    estimated_cost_units: float
    alone: bool = False
