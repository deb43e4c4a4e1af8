"""Messages about loads, customers' demands and service, and their shares."""

from msgspec import Struct


class TargetLoad(Struct, frozen=True, array_like=True):
    """The running requests at one target, and their tokens that are not read yet."""

    name: int
    requests: int
    unread_tokens: int


class UsedPart(Struct, frozen=True, array_like=True):
    """A shared part of a prompt and its number of tokens."""

    part_id: int
    tokens: int


class UsedParts(Struct, frozen=True, array_like=True):
    """What was sent to one engine: shared parts, and the tokens of all other parts."""

    name: int
    parts: tuple[UsedPart, ...]
    other_tokens: int


class TargetOutcomes(Struct, frozen=True, array_like=True):
    """How many requests one target answered and failed since the last message."""

    name: int
    answered: int
    failed: int


class FailingTarget(Struct, frozen=True, array_like=True):
    """A target and the part of its requests that it fails."""

    name: int
    failed_part: float


class TargetTimes(Struct, frozen=True, array_like=True):
    """How long requests at one target should have taken and took since a message.

    ``expected_milliseconds`` is what a usual target of its service would have needed.
    """

    name: int
    expected_milliseconds: int
    took_milliseconds: int


class TargetSpeed(Struct, frozen=True, array_like=True):
    """The speed of a target, by how long requests should have taken and took."""

    name: int
    speed: float


class CustomerRates(Struct, frozen=True, array_like=True):
    """What a customer requests and is served at some routers, in tokens a second.

    ``started_tokens`` are those of requests whose answers engines have started,
    ``lost_tokens`` those of admitted requests that they should have started besides.
    These are negative while requests start sooner than expected.
    """

    customer: str
    requested_tokens: int
    started_tokens: int = 0
    lost_tokens: int = 0


class ShareRow(Struct, frozen=True, array_like=True):
    """The part of its requests that a limited customer is served."""

    customer: str
    fraction: float


class MeasureBin(Struct, frozen=True, array_like=True):
    """What some routers measured that agree about it, summed.

    ``position`` is the number of the bin in order of what is measured.
    """

    position: int
    routers: int
    totals: tuple[float, ...]


class RouterLoad(Struct, frozen=True, array_like=True, tag=True):
    """A router's load at each target, and the rates of its customers.

    ``wait_seconds`` is the average wait of a prompt at an engine, as the router
    estimates it; ``handled_tokens`` are the tokens a second of requests that engines
    start to answer or fail. ``used`` is what the router sent to engines since its last
    report, ``outcomes`` how targets answered since. A higher
    ``permits_requested_milliseconds``, a time of the router's clock, requests permits
    for cold targets. ``in_time_answers`` and ``late_answers`` are the answers that
    start in a second, within and after their objective. ``accepting_part`` is the part
    of the engines that accept requests of the router, by their own answers to it.
    ``times`` are how long requests took at targets since the last report, and
    ``paused_answers`` the answers a second that pause for longer than their objective.
    ``sent_milliseconds`` is the time of the router's clock.
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
    accepting_part: float = 1.0
    times: tuple[TargetTimes, ...] = ()
    paused_answers: float = 0.0
    sent_milliseconds: int = 0


class RouterLoadHandover(Struct, frozen=True, array_like=True, tag="RouterLoadEnds"):
    """States that the sender now reports its loads to another replica."""


class FleetLoad(Struct, frozen=True, array_like=True, tag=True):
    """The load of all routers except the receiver at each target, and the shares.

    Of ``routers`` live ones ``known_routers`` are in these sums, and ``direct_routers``
    report to the sender. ``used`` is what they sent to engines since the last such
    message. Without ``is_whole`` the sums and shares cover only a part of the routers.
    The receiver may send one request to each cold target in ``permits``, which it
    requested at ``permits_requested_milliseconds`` of its clock. ``speeds`` are those
    of all targets, None if the message has none. ``report_milliseconds`` is when the
    receiver sent the report that this answers, by its clock, and ``table_digest`` that
    of the sender's table of targets.
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
    speeds: tuple[TargetSpeed, ...] | None = None
    report_milliseconds: int = 0
    table_digest: int = 0


class PartialLoad(Struct, frozen=True, array_like=True, tag=True):
    """The sums of the routers that report to one replica, for other replicas.

    The fields are as in ``RouterLoad``, with the averages of ``wait_seconds`` and
    ``accepting_part``. ``waits`` are the routers by their wait, with its sum in
    seconds, ``answers`` those by the part of their answers that is late or pauses, with
    the answers in time, late and paused. A message without routers only announces that
    its sender is an aggregator.
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
    accepting_part: float = 1.0
    times: tuple[TargetTimes, ...] = ()
    paused_answers: float = 0.0
    waits: tuple[MeasureBin, ...] = ()
    answers: tuple[MeasureBin, ...] = ()
