"""The settings in force: the declared tree with inheritance resolved."""

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
    """A customer: a leaf under ``customers``, identified by its path.

    Its calls to routes go only to targets in its ``home_regions``; if empty, to
    targets in all regions.
    """

    customer_id: str
    share: float = 1.0
    limits: LimitSettings = field(default_factory=LimitSettings)
    key_digests: tuple[str, ...] = ()
    suspended: bool = False
    deadline_seconds: float = 120.0
    rank: int | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """A model and its costs in cost units for each token."""

    model: str
    prompt_token_cost_units: float = 0.1
    cached_prompt_token_cost_units: float = 0.01
    output_token_cost_units: float = 1.0
    default_output_tokens: int = 128
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """Whether calls to a part of a service's paths may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A service and the cost units of a second of its time.

    ``connection_limit`` is the number of connections that one of its targets accepts
    from all callers together. For an engine, ``batch_slots`` is the number of requests
    that one target processes at once and ``cache_tokens`` the size of its prompt
    cache; both are null for a plain service. ``cache_copy_tokens_per_second`` is the
    rate at which an engine copies cached prompts from another; null if it can't. For
    ``cold_start_seconds`` after its start a target accepts
    ``cold_requests_per_second`` from the whole fleet; null means no lower rate than
    later.
    """

    service: str
    second_cost_units: float = 100.0
    deadline_seconds: float = 30.0
    routes: tuple[RouteSettings, ...] = ()
    health_path: str = "/health"
    connection_limit: int | None = None
    batch_slots: int | None = None
    cache_tokens: int | None = None
    cache_copy_tokens_per_second: float | None = None
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float | None = None


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """A service behind a route and its weight in the route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HttpRouteSettings:
    """A leaf under ``routes``: the backends for requests of a host and path prefix.

    ``repeatable`` requests may run more than once; a ``resumable`` stream may continue
    at another target. ``attempts`` limits the targets that one request is sent to.
    Callers expect the answer, or a stream's first event, within ``objective_seconds``
    and pauses between events of at most ``pause_objective_seconds``. ``rank`` 0 is the
    most urgent. With ``prefix_affinity``, requests name the parts of their prompts. A
    ``public`` route requires no customer key. Its calls go only to targets in its
    ``home_regions``; if empty, to targets in all regions.
    """

    route_id: str
    host: str = ""
    path_prefix: str = "/"
    backends: tuple[BackendSettings, ...] = ()
    repeatable: bool = False
    is_stream: bool = False
    resumable: bool = False
    attempts: int = 1
    timeout_seconds: float = 30.0
    objective_seconds: float = 1.0
    pause_objective_seconds: float | None = None
    rank: int = 1
    public: bool = False
    prefix_affinity: bool = False
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings that operators declare for one instance."""

    instance_id: str
    drain: bool = False
    voter: bool = True


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Settings that operators declare for one target.

    ``models`` and ``adapters`` are the ones that an engine should have loaded; an
    engine with empty ``models`` is left unchanged. An engine is ordered to switch to
    ``version`` and ``role`` if they are set. A model is unloaded after its last running
    request, but no later than ``unload_deadline_seconds`` if that is set.
    """

    target_id: str
    drain: bool = False
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    unload_deadline_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class DataCentreSettings:
    """Settings that operators declare for one data centre.

    Targets in an ``evacuated`` data centre get no new work.
    """

    data_centre: str
    evacuated: bool = False


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
    answer_limit_bytes: int = 16_000_000
    held_answers_limit_bytes: int = 24_000_000
    held_bodies_limit_bytes: int = 24_000_000
    silence_seconds: float = 10.0
    header_limit_bytes: int = 16_384
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0
    tokens_per_second: float | None = None
    dispatch_limit: bool = True
    target_speeds: bool = True
    near_engines: bool = True
    spare_answers: bool = True
    count_waits: bool = True
    timely_admission: bool = True
    weight_store_concurrent_loads: int = 2
    lifted_digests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EffectiveTree:
    """All settings in force at one revision.

    ``customer_ids_by_digest`` maps the digest of a key to its customer.
    """

    revision: int = 0
    fleet: FleetSettings = field(default_factory=FleetSettings)
    customers: Mapping[str, CustomerSettings] = field(default_factory=dict)
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    instances: Mapping[str, InstanceSettings] = field(default_factory=dict)
    targets: Mapping[str, TargetSettings] = field(default_factory=dict)
    routes: Mapping[str, HttpRouteSettings] = field(default_factory=dict)
    data_centres: Mapping[str, DataCentreSettings] = field(default_factory=dict)
    customer_ids_by_digest: Mapping[str, str] = field(default_factory=dict)

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres whose targets get no new work."""
        return frozenset(
            each.data_centre for each in self.data_centres.values() if each.evacuated
        )


@dataclass(frozen=True, slots=True)
class Origin:
    """An effective value and the branch that sets it."""

    value: object
    branch: str
