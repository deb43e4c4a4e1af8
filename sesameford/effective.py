"""The settings in force: the declared tree with inheritance worked out."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """A customer's fleet-wide limits; None means no limit of that kind."""

    requests_per_second: float | None = None
    cost_units_per_second: float | None = None
    concurrent_requests: int | None = None
    queued_requests: int = 1000
    queued_bytes: int = 16_000_000


@dataclass(frozen=True, slots=True)
class CustomerSettings:
    """A customer: a leaf under ``customers``, named by its path."""

    customer_id: str
    share: float = 1.0
    limits: LimitSettings = field(default_factory=LimitSettings)
    key_digests: tuple[str, ...] = ()
    suspended: bool = False
    deadline_seconds: float = 120.0


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """A model and the cost units of what it does."""

    model: str
    prompt_token_cost_units: float = 0.1
    cached_prompt_token_cost_units: float = 0.01
    output_token_cost_units: float = 1.0
    default_output_tokens: int = 128
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """Whether calls to a part of a service may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A plain service and the cost units of a second of its time."""

    service: str
    second_cost_units: float = 100.0
    deadline_seconds: float = 30.0
    routes: tuple[RouteSettings, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What operators declare of one instance."""

    instance_id: str
    drain: bool = False
    voter: bool = True


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """What operators declare of one target.

    ``models`` and ``adapters`` are what an engine is to have loaded; an engine whose
    ``models`` are empty is left as it is. ``version`` and ``role`` are ordered where
    they are given. A model is unloaded after its last running request, at the latest
    after ``unload_deadline_seconds`` where that is given.
    """

    target_id: str
    drain: bool = False
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    unload_deadline_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of the whole deployment."""

    scheduler: str = "leased"
    quantum_cost_units: float = 200.0
    target_lease_seconds: float = 5.0
    balancer_delay_seconds: float = 1.0
    retry_budget_fraction: float = 0.1
    quarantine_seconds: float = 300.0
    body_limit_bytes: int = 4_000_000
    queued_limit_bytes: int = 256_000_000
    silence_seconds: float = 10.0
    weight_store_concurrent_loads: int = 2
    lifted_digests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EffectiveTree:
    """All settings in force at one revision.

    ``customer_ids_by_digest`` tells to whom a key belongs.
    """

    revision: int = 0
    fleet: FleetSettings = field(default_factory=FleetSettings)
    customers: Mapping[str, CustomerSettings] = field(default_factory=dict)
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    instances: Mapping[str, InstanceSettings] = field(default_factory=dict)
    targets: Mapping[str, TargetSettings] = field(default_factory=dict)
    customer_ids_by_digest: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Origin:
    """An effective value and the branch that it comes from."""

    value: object
    branch: str
