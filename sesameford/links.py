"""Both ends of the link between a holder of slots and the allocator it reports to.

The holder is a router, or the allocator of another data centre. It sends
``ShareReport`` and gets ``SlotGrants``. Each direction is numbered within a term
that the holder chooses; rows are absolute and sent where they changed; a gap in
the numbers makes the receiver ask for the full state.
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
# An allocator that has not answered until so little of the lease is left is given up.
SUSPECT_SECONDS = 0.6
HEARTBEAT_SECONDS = 0.5
COALESCE_SECONDS = 0.02
JOINED_FRACTION = 0.5
LEASE_NEAR_EXPIRY_SECONDS = 1.2
RESEND_SECONDS = 0.15
_AGE_REPORTED_SECONDS = 0.2
_COMPLETIONS_REPORTED = 16
_SENT_REPORTS_KEPT = 256

DemandKey = tuple[str, str, str]
"""A pool, a customer and a resource."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting requests, their estimated cost, and since when the oldest waits."""

    requests: int
    cost_units: float
    since_seconds: float


@dataclass(slots=True)
class ReportLink:
    """The holder's end.

    ``holdings`` are the slots granted, by target. ``base`` is what was already
    reported of the totals when the term began; the others count from there.
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
    regained_at_seconds: float = float("-inf")
    full_due: bool = True
    requests_full: bool = False
    answered: bool = False
    sent_at_seconds: float = float("-inf")
    sent: dict[int, float] = field(default_factory=dict)
    reported_served: dict[Account, float] = field(default_factory=dict)
    reported_demands: dict[DemandKey, Demand] = field(default_factory=dict)
    reported_holdings: dict[str, int] = field(default_factory=dict)
    reported_paces: dict[str, CompletionTotals] = field(default_factory=dict)
    pace_base: dict[str, CompletionTotals] = field(default_factory=dict)

    def has_valid_lease(self, now_seconds: float) -> bool:
        """Return whether the lease on the holdings still runs."""
        return now_seconds < self.lease_expires_at_seconds

    def is_lease_near_expiry(self, now_seconds: float) -> bool:
        """Return whether the lease is near its end for want of answers.

        Reports or answers are being lost. What runs when a lease ends runs beside
        what the next holder starts, so it is worth a few more messages.
        """
        left = self.lease_expires_at_seconds - now_seconds
        since = now_seconds - self.sent_at_seconds
        return (
            self.answered
            and left < LEASE_NEAR_EXPIRY_SECONDS
            and since >= RESEND_SECONDS
        )

    def total_since_base(self, account: Account, total: float) -> float:
        """Return what this link tells of an own total."""
        return total - self.base.get(account, 0.0)

    def apply_grants(
        self, grants: SlotGrants, incarnation: int, now_seconds: float
    ) -> bool:
        """Take an allocator's answer.

        Args:
            grants: The message.
            incarnation: The sender's.
            now_seconds: The present time.

        Returns:
            False where the message is from the past and must be ignored.
        """
        if grants.term != self.term or grants.sequence <= self.acknowledged_grants:
            return False
        if grants.acknowledged_report > self.sequence:
            # It answers the process that ran here before, whose terms had the same
            # numbers. Taken for the newest, it would hide all that is meant for this.
            return False
        if self.receiver_incarnation is None:
            self.receiver_incarnation = incarnation
        if not self.has_valid_lease(now_seconds):
            self.regained_at_seconds = now_seconds
        if grants.full:
            self.holdings = {row.target_id: row.slots for row in grants.grants}
            self.reported_holdings = dict(self.holdings)
            self.requests_full = False
        else:
            # A lost message may have held a grant that would now idle.
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
        self._renew(grants.acknowledged_report)
        return True

    def has_slots_to_return(self, running: Mapping[str, int]) -> bool:
        """Return whether the receiver counts slots that are free here."""
        return any(
            max(self.holdings.get(target_id, 0), running.get(target_id, 0)) < reported
            for target_id, reported in self.reported_holdings.items()
        )

    def _renew(self, acknowledged_report: int) -> None:
        """Run the lease from when the report that was answered left here."""
        sent_at = self.sent.get(acknowledged_report)
        if sent_at is not None:
            expiry = sent_at + LEASE_SECONDS
            self.lease_expires_at_seconds = max(self.lease_expires_at_seconds, expiry)
        for sequence in [known for known in self.sent if known < acknowledged_report]:
            del self.sent[sequence]

    def record_sent_report(self, now_seconds: float) -> int:
        """Count a report that leaves now and return its number."""
        self.sequence += 1
        self.sent[self.sequence] = now_seconds
        if len(self.sent) > _SENT_REPORTS_KEPT:
            del self.sent[min(self.sent)]
        self.sent_at_seconds = now_seconds
        return self.sequence

    def served_rows(
        self, totals: Mapping[Account, float], threshold_cost_units: float
    ) -> dict[str, list[ServedRow]]:
        """Return by pool the totals that moved by more than a threshold."""
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
        """Return by pool the demands that are worth telling.

        Up to ``exact_requests`` every change is, above that one by a quarter.
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
            if not _worth_a_row(demand, reported, exact_requests):
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
        self, paces: Mapping[str, CompletionTotals]
    ) -> tuple[CompletionTotalsRow, ...]:
        """Return the completions since the term began that grew by enough."""
        rows = []
        for target_id, pace in paces.items():
            base = self.pace_base.setdefault(target_id, pace)
            since = pace.minus(base)
            reported = self.reported_paces.get(target_id, CompletionTotals())
            if since.completions - reported.completions < _COMPLETIONS_REPORTED:
                continue
            self.reported_paces[target_id] = since
            rows.append(
                CompletionTotalsRow(
                    target_id,
                    since.completions,
                    round(since.cost_units),
                    round(since.busy_seconds, 2),
                )
            )
        return tuple(rows)

    def give_back(self, target_ids: Iterable[str]) -> None:
        """Hold no slots of some targets any more; the next report says so."""
        for target_id in target_ids:
            self.holdings[target_id] = 0

    def holding_rows(self, running: Mapping[str, int]) -> list[HoldingRow]:
        """Return the holdings that the receiver does not know yet."""
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


def _worth_a_row(demand: Demand, reported: Demand | None, exact_requests: int) -> bool:
    """Return whether a changed demand is worth sending with the next report."""
    if reported is None:
        return True
    if min(demand.requests, reported.requests) <= exact_requests:
        younger = demand.since_seconds - reported.since_seconds
        return demand.requests != reported.requests or younger > _AGE_REPORTED_SECONDS
    return not reported.requests / 1.25 <= demand.requests <= reported.requests * 1.25


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
    """A slot granted for a customer's work that the holder has not seen yet."""

    sequence: int
    key: DemandKey
    cost_units: float


@dataclass(slots=True)
class GrantLink:
    """The allocator's end: what one holder holds, wants and was sent."""

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
    raised: set[str] = field(default_factory=set)
    lowered: set[str] = field(default_factory=set)
    granted_in: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    demands: dict[DemandKey, Demand] = field(default_factory=dict)
    pending: list[PendingGrant] = field(default_factory=list)
    reported_standings: dict[Account, float] = field(default_factory=dict)
    reported_contended: dict[str, bool] = field(default_factory=dict)
    place_slots: dict[str, int] = field(default_factory=dict)
    reported_fractions: dict[str, float] = field(default_factory=dict)
    wanted: dict[str, float] = field(default_factory=dict)
    paces: dict[str, CompletionTotals] = field(default_factory=dict)

    @property
    def is_place(self) -> bool:
        """Return whether the holder is another data centre's allocator."""
        return bool(self.data_centre)

    def is_silent(self, now_seconds: float) -> bool:
        """Return whether the holder's lease is over for certain.

        Another data centre's routers hold from their allocator, whose lease on
        them can run on for as long again.
        """
        lease = LEASE_SECONDS * (2.0 if self.is_place else 1.0)
        return now_seconds > self.last_seen_at_seconds + lease * 1.05

    def accept(self, report: ShareReport, now_seconds: float) -> bool:
        """Check a report's number; False for one from the past."""
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
            # The last answer seems lost, and the holder's lease runs on answers.
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

    def take_demands(
        self, pool: str, rows: Iterable[DemandRow], now_seconds: float
    ) -> None:
        """Take what waits at the holder."""
        for row in rows:
            key = (pool, row.customer_id, row.resource)
            if row.waiting_requests > 0:
                since = now_seconds - row.oldest_age_seconds
                demand = Demand(row.waiting_requests, row.waiting_cost_units, since)
                self.demands[key] = demand
            else:
                self.demands.pop(key, None)

    def take_holdings(self, report: ShareReport) -> None:
        """Take what the holder keeps, where it knows the latest grant.

        A report that crossed a newer grant speaks of the time before it; the
        grant stands, and the holder reports again once it has it.
        """
        reported = {row.target_id: row.slots for row in report.holdings}
        if report.full:
            for target_id in self.holdings:
                reported.setdefault(target_id, 0)
        for target_id, slots in reported.items():
            crossed = self.granted_in.get(target_id, 0) > self.acknowledged_grants
            if not crossed and target_id not in self.raised:
                self._hold(target_id, slots)

    def _hold(self, target_id: str, slots: int) -> None:
        """Set a holding; none is no row."""
        if slots > 0:
            self.holdings[target_id] = slots
        else:
            self.holdings.pop(target_id, None)
        if slots <= self.asked.get(target_id, -1):
            del self.asked[target_id]

    def grant(self, target_id: str, slots: int) -> None:
        """Raise a holding by some slots with the next message."""
        self.holdings[target_id] = self.holdings.get(target_id, 0) + slots
        if target_id in self.asked:
            self.asked[target_id] += slots
        self.raised.add(target_id)
        self.urgent = True

    def recall(self, target_id: str, slots: int) -> None:
        """Ask the holder to come down to some slots; it holds until it says so."""
        if self.allowed(target_id) > slots:
            self.asked[target_id] = slots
            self.lowered.add(target_id)
            self.urgent = True

    def allowed(self, target_id: str) -> int:
        """Return how many slots the holder keeps once it has met all recalls."""
        held = self.holdings.get(target_id, 0)
        return min(held, self.asked.get(target_id, held))

    def uncovered(self, key: DemandKey) -> int:
        """Return how many waiting requests no slot under way is meant for."""
        waiting = self.demands[key].requests
        return waiting - sum(1 for row in self.pending if row.key == key)

    def begin_message(
        self, now_seconds: float
    ) -> tuple[int, tuple[GrantRow, ...], tuple[GrantRow, ...]]:
        """Count a message that leaves now; return its number, grants and recalls."""
        self.sequence += 1
        self.sent_at_seconds = now_seconds
        granted = set(self.holdings) if self.full_due else self.raised
        for target_id in granted:
            self.granted_in[target_id] = self.sequence
        # A grant tells what is counted as held, so that a return can be held
        # against it; an open recall of the same target goes beside it.
        lowered = self.lowered | (granted & self.asked.keys())
        grants = [GrantRow(one, self.holdings.get(one, 0)) for one in sorted(granted)]
        recalls = [GrantRow(one, self.allowed(one)) for one in sorted(lowered)]
        self.raised = set()
        self.lowered = set()
        self.urgent = False
        return self.sequence, tuple(grants), tuple(recalls)

    def standing_is_news(
        self, account: Account, standing: VirtualTimeRow, share: float, threshold: float
    ) -> bool:
        """Return whether a virtual time moved by others' service; note that."""
        foreign = standing.virtual_time - standing.counted_cost_units / share
        reported = self.reported_standings.get(account)
        if (
            not self.full_due
            and reported is not None
            and abs(foreign - reported) <= threshold
        ):
            return False
        self.reported_standings[account] = foreign
        return True
