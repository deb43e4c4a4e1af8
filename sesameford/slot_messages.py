"""Messages between routers and allocators: service reports, slot grants, limits."""

from msgspec import Struct


class ServedRow(Struct, frozen=True, array_like=True):
    """A customer's service through the sender, counted since the term started."""

    customer_id: str
    served_cost_units: float


class DemandRow(Struct, frozen=True, array_like=True):
    """A customer's waiting work for one resource at the sender; zeros end the entry."""

    customer_id: str
    resource: str
    waiting_requests: int = 0
    waiting_cost_units: float = 0.0
    oldest_age_seconds: float = 0.0


class HoldingRow(Struct, frozen=True, array_like=True):
    """The slots of a target that the sender keeps, and how many are in use."""

    target_id: str
    slots: int
    running: int


class VirtualTimeRow(Struct, frozen=True, array_like=True):
    """A customer's virtual time, and the receiver's service counted in it."""

    customer_id: str
    virtual_time: float
    counted_cost_units: float


class PoolReport(Struct, frozen=True, array_like=True):
    """Changed rows of one pool; a pool is a group of resources that share targets.

    ``slots`` is the number of slots that the sending data centre's routers may use,
    including borrowed ones. ``virtual_times`` are those of the sending allocator. A
    full report contains all of them; other reports contain those of waiting
    customers periodically, so that the allocators' copies stay close.
    """

    pool: str
    served: tuple[ServedRow, ...] = ()
    demands: tuple[DemandRow, ...] = ()
    slots: int = 0
    virtual_times: tuple[VirtualTimeRow, ...] = ()


class LimitDemandRow(Struct, frozen=True, array_like=True):
    """The request rate of a customer with limits, used to split the limits."""

    customer_id: str
    requests_per_second: float


class CompletionTotalsRow(Struct, frozen=True, array_like=True):
    """Completions on a target since the term started, for adapting its window."""

    target_id: str
    completions: int
    cost_units: float
    busy_seconds: float


class ShareReport(Struct, frozen=True, array_like=True, tag="Share"):
    """A report of a router to its allocator, or of an allocator to a remote one.

    ``term`` increases whenever the sender opens a new link to this receiver;
    ``sequence`` counts within the term. ``full`` marks omitted rows as zero.
    ``acknowledged_grants`` is the sequence of the last applied ``SlotGrants``.
    ``data_centre`` is set by an allocator that reports for its whole data centre.
    """

    term: int
    sequence: int
    acknowledged_grants: int
    data_centre: str = ""
    full: bool = False
    requests_full: bool = False
    pools: tuple[PoolReport, ...] = ()
    holdings: tuple[HoldingRow, ...] = ()
    limit_demands: tuple[LimitDemandRow, ...] = ()
    completion_totals: tuple[CompletionTotalsRow, ...] = ()


class GrantRow(Struct, frozen=True, array_like=True):
    """How many requests the receiver may run at once on a target.

    In a recall this is an upper limit; slots that the receiver returned since then
    lower it.
    """

    target_id: str
    slots: int


class PoolUpdate(Struct, frozen=True, array_like=True):
    """Whether work waits for slots in a pool, and the floor of virtual times."""

    pool: str
    contended: bool
    floor_virtual_time: float | None
    virtual_times: tuple[VirtualTimeRow, ...] = ()


class LimitShareRow(Struct, frozen=True, array_like=True):
    """The receiver's fraction of a customer's fleet-wide limits."""

    customer_id: str
    fraction: float


class SlotGrants(Struct, frozen=True, array_like=True, tag="Slots"):
    """An allocator's answer to a report: lease renewal, grants and pool updates.

    The receiver's lease on all its slots starts when it sent the report
    ``acknowledged_report``, so that neither delay nor one-way loss extends it.
    """

    term: int
    sequence: int
    acknowledged_report: int
    full: bool = False
    requests_full: bool = False
    grants: tuple[GrantRow, ...] = ()
    recalls: tuple[GrantRow, ...] = ()
    pools: tuple[PoolUpdate, ...] = ()
    limits: tuple[LimitShareRow, ...] = ()
