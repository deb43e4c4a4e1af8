"""The last load reports of the routers that report to one replica, and their sums."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import chain

from sesameford.gateway.load_report import REPORT_VALID_SECONDS
from sesameford.gateway.named_sums import sum_by_name
from sesameford.gateway.trimmed_sums import bin_answers, bin_waits
from sesameford.load_messages import (
    CustomerRates,
    PartialLoad,
    RouterLoad,
    TargetLoad,
    TargetOutcomes,
    TargetTimes,
    UsedParts,
)


@dataclass(frozen=True, slots=True)
class _RouterReport:
    """The last report of one router."""

    load: RouterLoad
    at_seconds: float


class RouterLoads:
    """The last report of each router that reports here."""

    def __init__(self) -> None:
        self._reports: dict[str, _RouterReport] = {}
        self._permits_requested_milliseconds: dict[str, int] = {}

    def record_report(
        self, router_id: str, load: RouterLoad, now_seconds: float
    ) -> None:
        """Store a router's report in place of its last one."""
        self._reports[router_id] = _RouterReport(load, now_seconds)

    def remove_router(self, router_id: str) -> None:
        """Remove a router that now reports to another replica."""
        self._reports.pop(router_id, None)
        self._permits_requested_milliseconds.pop(router_id, None)

    def remove_expired(self, now_seconds: float) -> None:
        """Remove routers whose last report has expired.

        Targets drop the requests of a dead router. If these were still counted, all
        other routers would leave the targets idle.
        """
        for router_id, one in list(self._reports.items()):
            if now_seconds - one.at_seconds > REPORT_VALID_SECONDS:
                self.remove_router(router_id)

    @property
    def router_ids(self) -> Collection[str]:
        """Return the ids of the routers that report here."""
        return self._reports.keys()

    def target_loads_of(self, router_id: str) -> tuple[TargetLoad, ...]:
        """Return the load of one router at each target."""
        return self._reports[router_id].load.target_loads

    @property
    def waits_seconds(self) -> list[float]:
        """Return the average wait of a prompt as each router estimates it."""
        return [one.load.wait_seconds for one in self._reports.values()]

    def list_permit_requesters(self) -> list[str]:
        """Return the routers whose last report requests permits.

        A report is returned only once.
        """
        requesters = []
        for router_id, one in self._reports.items():
            requested_milliseconds = one.load.permits_requested_milliseconds
            if requested_milliseconds > self._permits_requested_milliseconds.get(
                router_id, 0
            ):
                self._permits_requested_milliseconds[router_id] = requested_milliseconds
                requesters.append(router_id)
        return requesters

    def sent_milliseconds(self, router_id: str) -> int:
        """Return when a router sent its last report, by its own clock."""
        return self._reports[router_id].load.sent_milliseconds

    def permits_requested_milliseconds(self, router_id: str) -> int:
        """Return when a router last requested permits, by its own clock."""
        return self._permits_requested_milliseconds.get(router_id, 0)

    def sums(
        self,
        used: tuple[UsedParts, ...] = (),
        outcomes: tuple[TargetOutcomes, ...] = (),
        times: tuple[TargetTimes, ...] = (),
    ) -> PartialLoad:
        """Return the sums of all reports.

        Args:
            used: What the routers sent to engines, to include in the message.
            outcomes: How targets answered, to include in the message.
            times: How long requests took there, to include in the message.
        """
        loads = [one.load for one in self._reports.values()]
        routers = max(len(loads), 1)
        accepting_part = sum(load.accepting_part for load in loads) / routers
        return PartialLoad(
            len(loads),
            sum_target_loads(load.target_loads for load in loads),
            sum_customer_rates(load.customers for load in loads),
            round(sum(load.wait_seconds for load in loads) / routers, 4),
            sum(load.handled_tokens for load in loads),
            used,
            outcomes,
            round(sum(load.in_time_answers for load in loads), 2),
            round(sum(load.late_answers for load in loads), 2),
            round(accepting_part, 4) if loads else 1.0,
            times,
            round(sum(load.paused_answers for load in loads), 2),
            bin_waits(loads),
            bin_answers(loads),
        )


def sum_target_loads(
    tables: Iterable[tuple[TargetLoad, ...]],
) -> tuple[TargetLoad, ...]:
    """Return the load at each target, summed over all tables."""
    rows = ((one.name, one.requests, one.unread_tokens) for one in chain(*tables))
    return tuple(TargetLoad(name, *sums) for name, sums in sum_by_name(rows))


def subtract_target_loads(
    all_loads: tuple[TargetLoad, ...], own_loads: tuple[TargetLoad, ...]
) -> tuple[TargetLoad, ...]:
    """Return the load at each target without one router's part of it."""
    own = {load.name: load for load in own_loads}
    remaining_loads = []
    for load in all_loads:
        mine = own.get(load.name)
        if mine is not None:
            load = TargetLoad(
                load.name,
                load.requests - mine.requests,
                load.unread_tokens - mine.unread_tokens,
            )
        if load.requests or load.unread_tokens:
            remaining_loads.append(load)
    return tuple(remaining_loads)


def sum_outcomes(rows: Iterable[TargetOutcomes]) -> tuple[TargetOutcomes, ...]:
    """Return the outcomes of each target, summed into one row."""
    counts = ((one.name, one.answered, one.failed) for one in rows)
    return tuple(TargetOutcomes(name, *sums) for name, sums in sum_by_name(counts))


def sum_times(rows: Iterable[TargetTimes]) -> tuple[TargetTimes, ...]:
    """Return the times of each target, summed into one row."""
    times = (
        (one.name, one.expected_milliseconds, one.took_milliseconds) for one in rows
    )
    return tuple(TargetTimes(name, *sums) for name, sums in sum_by_name(times))


def sum_customer_rates(
    tables: Iterable[tuple[CustomerRates, ...]],
) -> tuple[CustomerRates, ...]:
    """Return the rates of each customer, summed over all tables."""
    rows = (
        (one.customer, one.requested_tokens, one.started_tokens, one.lost_tokens)
        for one in chain(*tables)
    )
    return tuple(CustomerRates(customer, *sums) for customer, sums in sum_by_name(rows))


def make_router_loads() -> RouterLoads:
    """Return the loads before any report."""
    return RouterLoads()
