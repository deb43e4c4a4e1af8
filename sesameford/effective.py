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
    """A customer: a leaf under ``customers``, named by its path.

    Its calls to routes go to targets in its ``home_regions`` alone; none of them
    stands for all regions.
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
    """A service and the cost units of a second of its time.

    ``connection_limit`` is how many connections one of its targets takes from all
    callers together. An engine's ``batch_slots`` and ``cache_tokens`` say what one
    target works on at once and remembers; both are null for a plain service.
    ``cache_copy_tokens_per_second`` is how fast an engine copies from another what
    that one remembers of a prompt; null where it can't. For ``cold_start_seconds``
    after its start a target takes ``cold_requests_per_second`` from the whole fleet;
    null where it takes as much as later.
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
    """One service behind a route and its part of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HttpRouteSettings:
    """A leaf under ``routes``: where requests of a host and path prefix go.

    ``repeatable`` requests may run more than once; a ``resumable`` stream may go on
    at another target. ``attempts`` bounds the targets that one request is sent to.
    ``objective_seconds`` is the time to the answer, or to a stream's first event, and
    ``pause_objective_seconds`` the longest pause between events, that callers expect.
    ``rank`` 0 is the most urgent. ``prefix_affinity`` says that requests name the
    parts of their prompts. A ``public`` route asks for no customer's key. Its calls go
    to targets in its ``home_regions`` alone; none of them stands for all regions.
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
class DataCentreSettings:
    """What operators declare of one data centre.

    The targets of an ``evacuated`` one get no new work.
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
    silence_seconds: float = 10.0
    header_limit_bytes: int = 16_384
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0
    tokens_per_second: float | None = None
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
    routes: Mapping[str, HttpRouteSettings] = field(default_factory=dict)
    data_centres: Mapping[str, DataCentreSettings] = field(default_factory=dict)
    customer_ids_by_digest: Mapping[str, str] = field(default_factory=dict)

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres whose targets get no new work."""
        return frozenset(
            one.data_centre for one in self.data_centres.values() if one.evacuated
        )


@dataclass(frozen=True, slots=True)
class Origin:
    """An effective value and the branch that it comes from."""

    value: object
    branch: str
