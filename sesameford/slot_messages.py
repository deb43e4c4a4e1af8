"""Messages of customers' service on leased slots: reports, grants, limits."""

from msgspec import Struct


class ServedRow(Struct, frozen=True, array_like=True):
    """A customer's service through the sender, counted since the term began."""

    customer_id: str
    served_cost_units: float


class DemandRow(Struct, frozen=True, array_like=True):
    """What waits at the sender for one customer and resource; zeros end it."""

    customer_id: str
    resource: str
    waiting_requests: int = 0
    waiting_cost_units: float = 0.0
    oldest_age_seconds: float = 0.0


class HoldingRow(Struct, frozen=True, array_like=True):
    """How many slots of a target the sender keeps and how many of them run."""

    target_id: str
    slots: int
    running: int


class VirtualTimeRow(Struct, frozen=True, array_like=True):
    """A customer's virtual time, and what of the receiver's service is in it."""

    customer_id: str
    virtual_time: float
    counted_cost_units: float


class PoolReport(Struct, frozen=True, array_like=True):
    """Rows of one pool that changed; a pool is resources that share targets.

    ``slots`` is what another data centre's routers may use, borrowed included.
    ``virtual_times`` are the sending allocator's, told whole to one that starts and
    for those that wait now and then, so that copies stay together.
    """

    pool: str
    served: tuple[ServedRow, ...] = ()
    demands: tuple[DemandRow, ...] = ()
    slots: int = 0
    virtual_times: tuple[VirtualTimeRow, ...] = ()


class LimitDemandRow(Struct, frozen=True, array_like=True):
    """How fast requests of a customer with limits enter, for splitting them."""

    customer_id: str
    requests_per_second: float


class CompletionTotalsRow(Struct, frozen=True, array_like=True):
    """Completions on a target since the term began, for its window."""

    target_id: str
    completions: int
    cost_units: float
    busy_seconds: float


class ShareReport(Struct, frozen=True, array_like=True, tag="Share"):
    """What a router tells its allocator, and an allocator those of other places.

    ``term`` grows whenever the sender starts anew with this receiver;
    ``sequence`` counts within it. ``full`` says that rows left out are zero.
    ``acknowledged_grants`` is the last ``SlotGrants`` applied without a gap.
    ``data_centre`` is set by an allocator that reports for its whole place.
    """

    term: int
    sequence: int
    acknowledged_grants: int
    data_centre: str = ""
    full: bool = False
    requests_full: bool = False
    pools: tuple[PoolReport, ...] = ()
    holdings: tuple[HoldingRow, ...] = ()
    wanted: tuple[LimitDemandRow, ...] = ()
    paces: tuple[CompletionTotalsRow, ...] = ()


class GrantRow(Struct, frozen=True, array_like=True):
    """The receiver may run this many requests at once on a target.

    In a recall: at most this many, and fewer if it gave up some since.
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
    """An allocator's answer to a report: renewal, grants and news.

    The receiver's lease on all that it holds runs from when it sent the report
    ``acknowledged_report``, so that neither delay nor one-way loss can stretch it.
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
