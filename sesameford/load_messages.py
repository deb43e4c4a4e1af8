"""Messages of loads, of what customers ask and get, and of shares that follow."""

from msgspec import Struct


class TargetLoad(Struct, frozen=True, array_like=True):
    """Requests under way at one target, and the tokens of them not read yet."""

    name: int
    requests: int
    unread_tokens: int


class UsedPart(Struct, frozen=True, array_like=True):
    """A shared part of a prompt, with its tokens."""

    part_id: int
    tokens: int


class UsedParts(Struct, frozen=True, array_like=True):
    """What was sent to one engine: shared parts, and the tokens of all else."""

    name: int
    parts: tuple[UsedPart, ...]
    other_tokens: int


class TargetOutcomes(Struct, frozen=True, array_like=True):
    """How many requests one target has answered of late, and failed."""

    name: int
    answered: int
    failed: int


class FailingTarget(Struct, frozen=True, array_like=True):
    """A target that fails this part of what it is sent."""

    name: int
    failed_part: float


class CustomerRates(Struct, frozen=True, array_like=True):
    """What a customer asks and is served at some routers, in tokens a second.

    ``started_tokens`` are of requests whose answers engines have begun.
    """

    customer: str
    requested_tokens: int
    started_tokens: int = 0


class ShareRow(Struct, frozen=True, array_like=True):
    """The part of its requests that a customer is served while all ask too much."""

    customer: str
    fraction: float


class RouterLoad(Struct, frozen=True, array_like=True, tag=True):
    """All that a router has under way, by target, and what customers asked there.

    ``wait_seconds`` is how long a prompt waits at an engine, as the router sees it;
    ``handled_tokens`` what engines begin to answer or fail, a second; ``used`` what it
    sent to engines since its last report, ``outcomes`` how targets answered since. With
    ``permits_requested_milliseconds``, a time of its own clock, it asks for permits to
    send to cold targets. ``in_time_answers`` and ``late_answers`` begin there a second.
    """

    target_loads: tuple[TargetLoad, ...]
    customers: tuple[CustomerRates, ...] = ()
    wait_seconds: float = 0.0
    handled_tokens: float = 0.0
    used: tuple[UsedParts, ...] = ()
    outcomes: tuple[TargetOutcomes, ...] = ()
    permits_requested_milliseconds: int = 0
    in_time_answers: float = 0.0
    late_answers: float = 0.0


class RouterLoadHandover(Struct, frozen=True, array_like=True, tag="RouterLoadEnds"):
    """I report my loads to another replica from now on; count them there."""


class FleetLoad(Struct, frozen=True, array_like=True, tag=True):
    """What all routers but the receiver have under way, by target.

    ``routers`` live, of which ``known_routers`` are in these sums, and
    ``direct_routers`` report to the sender. ``used`` is what they have sent to engines
    since the last of these messages. Of one that is not ``is_whole`` the sums and
    shares are of a part of the routers. The receiver may send one request to each cold
    target in ``permits``, for which it asked at ``permits_requested_milliseconds``.
    """

    target_loads: tuple[TargetLoad, ...]
    routers: int
    shares: tuple[ShareRow, ...] = ()
    used: tuple[UsedParts, ...] = ()
    is_whole: bool = True
    known_routers: int = 0
    direct_routers: int = 0
    failing: tuple[FailingTarget, ...] = ()
    permits: tuple[int, ...] = ()
    permits_requested_milliseconds: int = 0


class PartialLoad(Struct, frozen=True, array_like=True, tag=True):
    """The loads of the routers that report to one replica, added up for another.

    The fields are as in ``RouterLoad``, with ``wait_seconds`` on average. One of no
    routers only says that its sender adds up too.
    """

    routers: int = 0
    target_loads: tuple[TargetLoad, ...] = ()
    customers: tuple[CustomerRates, ...] = ()
    wait_seconds: float = 0.0
    handled_tokens: float = 0.0
    used: tuple[UsedParts, ...] = ()
    outcomes: tuple[TargetOutcomes, ...] = ()
    in_time_answers: float = 0.0
    late_answers: float = 0.0
