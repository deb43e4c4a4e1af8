"""Entities of a router and the tables that hold them.

Rows are frozen; a change replaces the row. Modules that make decisions read tables
and return decisions; they do no I/O and take the present time as an argument.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

Key = TypeVar("Key")
Row = TypeVar("Row")


class Table(Generic[Key, Row]):
    """The rows of one kind of entity, by key."""

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
    """The kind of server at a target's address."""

    MODEL = "model"
    SERVICE = "service"


class Outcome(StrEnum):
    """The outcome of a request as reported to its caller: one of exactly three."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TargetState(StrEnum):
    """The state that a target reports in its heartbeats."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class InstanceState(StrEnum):
    """The state of an instance between start and stop."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target that announced itself.

    ``lease_expires_at_seconds`` is on the clock of the router that holds this row.
    ``capacity_slots`` is the number of requests that the target reports it can run
    at once.
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
    """The latest state of another instance of the system."""

    instance_id: str
    incarnation: int
    data_centre: str
    state: InstanceState
    revision: int
    last_seen_at_seconds: float
    is_hub: bool = False


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources used by a request so far, as totals, never increments."""

    prompt_tokens: int = 0
    cached_prompt_tokens: int = 0
    output_tokens: int = 0
    service_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """The parts of a caller's request on which decisions are made.

    ``resource`` is the name of the model or service. ``repeatable`` is False
    for a request that may run at most once. ``body_digest`` identifies the
    work under an idempotency key, and ``request_digest`` the customer's request
    across resends. ``hint_cost_units`` is the caller's rough estimate.
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
    request_digest: bytes = b""
    prefix_digests: tuple[int, ...] = ()
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on one incarnation of a target.

    With ``alone`` the router runs nothing else on that target at the same time.
    """

    attempt_id: str
    request_id: str
    customer_id: str
    target_id: str
    target_incarnation: int
    started_at_seconds: float
    estimated_cost_units: float
    alone: bool = False
