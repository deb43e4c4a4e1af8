"""Both ends of the link between a holder of slots and the allocator it reports to.

The holder is a router, or the allocator of another data centre. It sends
``ShareReport`` and receives ``SlotGrants``. Each direction is numbered within a term
that the holder chooses. Rows contain absolute values and are sent when they change.
A gap in the numbers makes the receiver request the full state.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sesameford.accounts import Account
from sesameford.slot_messages import (
    CompletionTotalsRow,
    DemandRow,
    GrantRow,
    HoldingRow,
    PoolReport,
    ServedRow,
    ShareReport,
    SlotGrants,
    VirtualTimeRow,
)
from sesameford.windows import CompletionTotals

LEASE_SECONDS = 2.0
# Clocks of two instances run at slightly different rates; another's lease counts as
# expired only after this many times its length.
LEASE_CLOCK_FACTOR = 1.05
# An allocator is replaced if it has not answered when only this much lease is left.
SUSPECT_SECONDS = 0.6
HEARTBEAT_SECONDS = 0.5
COALESCE_SECONDS = 0.02
JOINED_HEARTBEAT_FRACTION = 0.5
LEASE_NEAR_EXPIRY_SECONDS = 1.2
RESEND_SECONDS = 0.15
_AGE_CHANGE_SECONDS = 0.2
# A demand of many requests is sent again only when it changed by this factor.
_MIN_DEMAND_CHANGE_FACTOR = 1.25
_MIN_NEW_COMPLETIONS = 16
_MAX_SENT_REPORTS = 256

DemandKey = tuple[str, str, str]
"""Pool, customer and resource."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting requests, their estimated cost, and the arrival time of the oldest."""

    requests: int
    cost_units: float
    since_seconds: float


@dataclass(slots=True)
class ReportLink:
    """The holder's end of the link.

    ``holdings`` has the granted slots by target. ``base`` has the part of the totals
    that was reported before the term started; reports count from there.
    """

    receiver_id: str
    term: int
    opened_at_seconds: float
    holdings: dict[str, int] = field(default_factory=dict)
    base: dict[Account, float] = field(default_factory=dict)
    receiver_incarnation: int | None = None
    sequence: int = 0
    acknowledged_grants: int = 0
    lease_expires_at_seconds: float = 0.0
    lease_regained_at_seconds: float = float("-inf")
    full_due: bool = True
    requests_full: bool = False
    answered: bool = False
    sent_at_seconds: float = float("-inf")
    sent: dict[int, float] = field(default_factory=dict)
    reported_served: dict[Account, float] = field(default_factory=dict)
    reported_demands: dict[DemandKey, Demand] = field(default_factory=dict)
    reported_holdings: dict[str, int] = field(default_factory=dict)
    reported_completion_totals: dict[str, CompletionTotals] = field(
        default_factory=dict
    )
    completion_totals_base: dict[str, CompletionTotals] = field(default_factory=dict)

    def has_valid_lease(self, now_seconds: float) -> bool:
        """Return whether the lease on the holdings has not expired."""
        return now_seconds < self.lease_expires_at_seconds

    def is_lease_near_expiry(self, now_seconds: float) -> bool:
        """Return whether missing answers let the lease come close to its expiry.

        Reports or answers are being lost. Requests that still run when a lease
        expires run beside those that the next holder starts, so the link sends a few
        additional reports.
        """
        left = self.lease_expires_at_seconds - now_seconds
        since = now_seconds - self.sent_at_seconds
        return (
            self.answered
            and left < LEASE_NEAR_EXPIRY_SECONDS
            and since >= RESEND_SECONDS
        )

    def total_since_base(self, account: Account, total: float) -> float:
        """Return the part of a total that this link reports."""
        return total - self.base.get(account, 0.0)

    def apply_grants(
        self, grants: SlotGrants, incarnation: int, now_seconds: float
    ) -> bool:
        """Apply an allocator's answer.

        Args:
            grants: The message.
            incarnation: The sender's incarnation.
            now_seconds: The present time.

        Returns:
            False if the message is outdated and was ignored.
        """
        if grants.term != self.term or grants.sequence <= self.acknowledged_grants:
            return False
        if grants.acknowledged_report > self.sequence:
            # It answers the previous process of this instance, whose terms had the
            # same numbers. If it counted as the newest answer, all answers to this
            # process would be ignored.
            return False
        if self.receiver_incarnation is None:
            self.receiver_incarnation = incarnation
        if not self.has_valid_lease(now_seconds):
            self.lease_regained_at_seconds = now_seconds
        if grants.full:
            self.holdings = {row.target_id: row.slots for row in grants.grants}
            self.reported_holdings = dict(self.holdings)
            self.requests_full = False
        else:
            # A lost message may have contained a grant whose slot would stay idle.
            if grants.sequence != self.acknowledged_grants + 1:
                self.requests_full = True
            for row in grants.grants:
                self.holdings[row.target_id] = row.slots
                self.reported_holdings[row.target_id] = row.slots
        for row in grants.recalls:
            held = self.holdings.get(row.target_id, 0)
            self.holdings[row.target_id] = min(held, row.slots)
        if grants.requests_full:
            self.full_due = True
        self.acknowledged_grants = grants.sequence
        self.answered = True
        self._renew_lease(grants.acknowledged_report)
        return True

    def has_slots_to_return(self, running: Mapping[str, int]) -> bool:
        """Return whether the receiver still counts slots that are free here."""
        return any(
            max(self.holdings.get(target_id, 0), running.get(target_id, 0)) < reported
            for target_id, reported in self.reported_holdings.items()
        )

    def _renew_lease(self, acknowledged_report: int) -> None:
        """Extend the lease, counted from when the acknowledged report was sent."""
        sent_at = self.sent.get(acknowledged_report)
        if sent_at is not None:
            expiry = sent_at + LEASE_SECONDS
            self.lease_expires_at_seconds = max(self.lease_expires_at_seconds, expiry)
        for sequence in [
            number for number in self.sent if number < acknowledged_report
        ]:
            del self.sent[sequence]

    def record_sent_report(self, now_seconds: float) -> int:
        """Number a report that is sent now and return its sequence."""
        self.sequence += 1
        self.sent[self.sequence] = now_seconds
        if len(self.sent) > _MAX_SENT_REPORTS:
            del self.sent[min(self.sent)]
        self.sent_at_seconds = now_seconds
        return self.sequence

    def served_rows(
        self, totals: Mapping[Account, float], threshold_cost_units: float
    ) -> dict[str, list[ServedRow]]:
        """Return the totals that changed by more than a threshold, by pool."""
        rows: dict[str, list[ServedRow]] = {}
        for account, total in totals.items():
            since = self.total_since_base(account, total)
            reported = self.reported_served.get(account, 0.0)
            if self.full_due or abs(since - reported) > threshold_cost_units:
                if since == 0.0 and reported == 0.0:
                    continue
                self.reported_served[account] = since
                rows.setdefault(account[0], []).append(ServedRow(account[1], since))
        return rows

    def demand_rows(
        self,
        demands: Mapping[DemandKey, Demand],
        exact_requests: int,
        now_seconds: float,
    ) -> dict[str, list[DemandRow]]:
        """Return the demands that changed enough to be reported, by pool.

        Up to ``exact_requests`` every change is reported, above that a change by a
        quarter.
        """
        if self.full_due:
            self.reported_demands = {}
        rows: dict[str, list[DemandRow]] = {}
        ended = [key for key in self.reported_demands if key not in demands]
        for key in ended:
            del self.reported_demands[key]
            rows.setdefault(key[0], []).append(DemandRow(key[1], key[2]))
        for key, demand in demands.items():
            reported = self.reported_demands.get(key)
            if not _is_row_due(demand, reported, exact_requests):
                continue
            self.reported_demands[key] = demand
            row = DemandRow(
                key[1],
                key[2],
                demand.requests,
                round(demand.cost_units),
                round(now_seconds - demand.since_seconds, 2),
            )
            rows.setdefault(key[0], []).append(row)
        return rows

    def completion_rows(
        self, completion_totals: Mapping[str, CompletionTotals]
    ) -> tuple[CompletionTotalsRow, ...]:
        """Return the completions since the term started, where enough are new."""
        rows = []
        for target_id, total in completion_totals.items():
            base = self.completion_totals_base.setdefault(target_id, total)
            since = total.minus(base)
            reported = self.reported_completion_totals.get(
                target_id, CompletionTotals()
            )
            if since.completions - reported.completions < _MIN_NEW_COMPLETIONS:
                continue
            self.reported_completion_totals[target_id] = since
            rows.append(
                CompletionTotalsRow(
                    target_id,
                    since.completions,
                    round(since.cost_units),
                    round(since.busy_seconds, 2),
                )
            )
        return tuple(rows)

    def return_slots(self, target_ids: Iterable[str]) -> None:
        """Return all slots of some targets with the next report."""
        for target_id in target_ids:
            self.holdings[target_id] = 0

    def holding_rows(self, running: Mapping[str, int]) -> list[HoldingRow]:
        """Return the holdings that changed since they were last reported."""
        if self.full_due:
            self.reported_holdings = {}
        rows = []
        for target_id in sorted({*self.holdings, *running, *self.reported_holdings}):
            runs = running.get(target_id, 0)
            slots = max(self.holdings.get(target_id, 0), runs)
            if slots != self.reported_holdings.get(target_id, 0):
                rows.append(HoldingRow(target_id, slots, runs))
                self.reported_holdings[target_id] = slots
        return rows


def _is_row_due(demand: Demand, reported: Demand | None, exact_requests: int) -> bool:
    """Return whether a changed demand is worth sending with the next report."""
    if reported is None:
        return True
    if min(demand.requests, reported.requests) <= exact_requests:
        younger = demand.since_seconds - reported.since_seconds
        return demand.requests != reported.requests or younger > _AGE_CHANGE_SECONDS
    least_requests = reported.requests / _MIN_DEMAND_CHANGE_FACTOR
    most_requests = reported.requests * _MIN_DEMAND_CHANGE_FACTOR
    return not least_requests <= demand.requests <= most_requests


def pool_reports(
    served: Mapping[str, list[ServedRow]], demands: Mapping[str, list[DemandRow]]
) -> dict[str, PoolReport]:
    """Join rows by pool."""
    return {
        pool: PoolReport(
            pool, tuple(served.get(pool, ())), tuple(demands.get(pool, ()))
        )
        for pool in sorted({*served, *demands})
    }


@dataclass(frozen=True, slots=True)
class PendingGrant:
    """A slot granted for a customer's work that the holder has not acknowledged."""

    sequence: int
    key: DemandKey
    cost_units: float


@dataclass(slots=True)
class GrantLink:
    """The allocator's end: one holder's slots, demands and last sent values.

    ``data_centre`` is set if the holder is another data centre's allocator.
    """

    holder_id: str
    data_centre: str
    incarnation: int
    term: int
    opened_at_seconds: float
    last_seen_at_seconds: float
    acknowledged_report: int = 0
    acknowledged_grants: int = 0
    sequence: int = 0
    full_due: bool = True
    requests_full: bool = False
    urgent: bool = False
    sent_at_seconds: float = float("-inf")
    holdings: dict[str, int] = field(default_factory=dict)
    granted_targets: set[str] = field(default_factory=set)
    recalled_targets: set[str] = field(default_factory=set)
    grant_sequences: dict[str, int] = field(default_factory=dict)
    open_recalls: dict[str, int] = field(default_factory=dict)
    demands: dict[DemandKey, Demand] = field(default_factory=dict)
    pending: list[PendingGrant] = field(default_factory=list)
    reported_foreign_virtual_times: dict[Account, float] = field(default_factory=dict)
    reported_contended: dict[str, bool] = field(default_factory=dict)
    remote_slots: dict[str, int] = field(default_factory=dict)
    reported_fractions: dict[str, float] = field(default_factory=dict)
    limit_demands: dict[str, float] = field(default_factory=dict)
    completion_totals: dict[str, CompletionTotals] = field(default_factory=dict)

    @property
    def is_remote_allocator(self) -> bool:
        """Return whether the holder is another data centre's allocator."""
        return bool(self.data_centre)

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether the holder's lease has certainly expired.

        The routers of another data centre hold slots under a lease of their own
        allocator, which can run for the same time again.
        """
        lease = LEASE_SECONDS * (2.0 if self.is_remote_allocator else 1.0)
        return now_seconds > self.last_seen_at_seconds + lease * LEASE_CLOCK_FACTOR

    def accept_report(self, report: ShareReport, now_seconds: float) -> bool:
        """Check a report's sequence and acknowledgements; False if it is outdated."""
        if report.sequence <= self.acknowledged_report:
            return False
        in_order = report.sequence == self.acknowledged_report + 1
        if report.full:
            self.requests_full = False
            self.demands = {}
        elif not in_order:
            self.requests_full = True
        if report.requests_full:
            self.full_due = True
        if (
            report.acknowledged_grants < self.sequence
            and now_seconds - self.sent_at_seconds >= RESEND_SECONDS
        ):
            # The last answer seems lost, and answers renew the holder's lease.
            self.urgent = True
        self.acknowledged_report = report.sequence
        self.last_seen_at_seconds = now_seconds
        self.acknowledged_grants = max(
            self.acknowledged_grants, report.acknowledged_grants
        )
        self.pending = [
            row for row in self.pending if row.sequence > self.acknowledged_grants
        ]
        return True

    def record_demands(
        self, pool: str, rows: Iterable[DemandRow], now_seconds: float
    ) -> None:
        """Update the holder's waiting work in one pool."""
        for row in rows:
            key = (pool, row.customer_id, row.resource)
            if row.waiting_requests > 0:
                since = now_seconds - row.oldest_age_seconds
                demand = Demand(row.waiting_requests, row.waiting_cost_units, since)
                self.demands[key] = demand
            else:
                self.demands.pop(key, None)

    def record_holdings(self, report: ShareReport) -> None:
        """Update the holder's slots of targets whose latest grant it has received.

        A report that crossed a newer grant describes the time before it. The granted
        count remains, and the holder reports again once it has received the grant.
        """
        reported = {row.target_id: row.slots for row in report.holdings}
        if report.full:
            for target_id in self.holdings:
                reported.setdefault(target_id, 0)
        for target_id, slots in reported.items():
            crossed = self.grant_sequences.get(target_id, 0) > self.acknowledged_grants
            if not crossed and target_id not in self.granted_targets:
                self._set_holding(target_id, slots)

    def _set_holding(self, target_id: str, slots: int) -> None:
        """Set the number of held slots of a target; zero removes the entry."""
        if slots > 0:
            self.holdings[target_id] = slots
        else:
            self.holdings.pop(target_id, None)
        if slots <= self.open_recalls.get(target_id, -1):
            del self.open_recalls[target_id]

    def grant(self, target_id: str, slots: int) -> None:
        """Add slots to a holding; the next message sends the grant."""
        self.holdings[target_id] = self.holdings.get(target_id, 0) + slots
        if target_id in self.open_recalls:
            self.open_recalls[target_id] += slots
        self.granted_targets.add(target_id)
        self.urgent = True

    def recall(self, target_id: str, slots: int) -> None:
        """Recall slots above a number.

        They count as held until the holder returns them.
        """
        if self.slots_after_recalls(target_id) > slots:
            self.open_recalls[target_id] = slots
            self.recalled_targets.add(target_id)
            self.urgent = True

    def slots_after_recalls(self, target_id: str) -> int:
        """Return how many slots the holder keeps after all open recalls."""
        held = self.holdings.get(target_id, 0)
        return min(held, self.open_recalls.get(target_id, held))

    def count_unassigned_requests(self, key: DemandKey) -> int:
        """Return how many waiting requests have no granted slot in transit."""
        waiting = self.demands[key].requests
        return waiting - sum(1 for row in self.pending if row.key == key)

    def prepare_message(
        self, now_seconds: float
    ) -> tuple[int, tuple[GrantRow, ...], tuple[GrantRow, ...]]:
        """Number a message that is sent now; return sequence, grants and recalls."""
        self.sequence += 1
        self.sent_at_seconds = now_seconds
        granted = set(self.holdings) if self.full_due else self.granted_targets
        for target_id in granted:
            self.grant_sequences[target_id] = self.sequence
        # A grant contains the number of slots counted as held, so that returned slots
        # can be compared with it. An open recall of the same target is sent with it.
        recalled = self.recalled_targets | (granted & self.open_recalls.keys())
        grants = [
            GrantRow(target, self.holdings.get(target, 0)) for target in sorted(granted)
        ]
        recalls = [
            GrantRow(target, self.slots_after_recalls(target))
            for target in sorted(recalled)
        ]
        self.granted_targets = set()
        self.recalled_targets = set()
        self.urgent = False
        return self.sequence, tuple(grants), tuple(recalls)

    def record_virtual_time_change(
        self, account: Account, row: VirtualTimeRow, share: float, threshold: float
    ) -> bool:
        """Record a virtual time; return whether others' service changed it enough."""
        foreign_virtual_time = row.virtual_time - row.counted_cost_units / share
        reported = self.reported_foreign_virtual_times.get(account)
        if (
            not self.full_due
            and reported is not None
            and abs(foreign_virtual_time - reported) <= threshold
        ):
            return False
        self.reported_foreign_virtual_times[account] = foreign_virtual_time
        return True
