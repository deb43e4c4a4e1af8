"""The share of each customer's requests that is served under overload.

Each router reports the average rate that every customer requests of the engines there,
and how long prompts wait. A replica sums the reports up. While prompts wait too long it
lowers the total that is served, and divides that max-min fairly: a customer that
requests less than an even share gets all of it, the others the same amount each, more
or less by their recent service. Routers are sent the fraction that each of these
customers gets, and refuse its other requests at once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sesameford.gateway.lost_work import (
    LostWork,
    LostWorkEstimator,
    ServedRates,
    estimate_busy_part,
    make_lost_work_estimator,
)
from sesameford.gateway.router_loads import sum_customer_rates
from sesameford.gateway.service_balance import ServiceBalance, make_service_balance
from sesameford.gateway.share_weights import make_standings, share_weights
from sesameford.gateway.timeliness import MIN_WAIT_FACTOR, wait_factor
from sesameford.gateway.token_rate import AVERAGE_SECONDS
from sesameford.gateway.trimmed_sums import fleet_answers, fleet_wait_seconds
from sesameford.load_messages import PartialLoad, ShareRow

# The capacity is the rate at which engines worked recently: on requests that they
# started to answer, and on others that they failed or whose answers were lost. Without
# the latter, engines that fail half of their requests would be sent less and less.
# It is lowered by this part of itself for each second by which prompts wait too long,
# and raised in the same way, so that a backlog is worked off in about half a second.
CAPACITY_GAIN_PER_SECOND = 2.0
MIN_CAPACITY_FACTOR = 0.5
MAX_CAPACITY_FACTOR = 1.4
# The capacity is at least this part of the declared one: after a start no request has
# been started yet.
MIN_DECLARED_PART = 0.25
# The least average of the available part, against a division by zero.
MIN_AVAILABLE_PART = 0.01
# A customer stays limited for so long after it was last due less than it requested.
LIMITED_SECONDS = 2.0
# Used until a capacity is declared and requests have come.
INITIAL_CAPACITY_TOKENS = 100_000.0
# With four digits a customer that requests twenty thousand times its share would get a
# fraction of zero, and starve.
FRACTION_DIGITS = 6


@dataclass(slots=True)
class ShareTable:
    """The summed demands of customers, and the shares that follow.

    ``requested_tokens`` are tokens a second by customer; ``fractions`` are of those
    that don't get all. Demands are averages and not totals, so a replica that takes
    over has the same state as its predecessor once it has received a report of every
    router, and reports that were delayed and arrive together count once. While very
    many answers are late, prompts may wait for ``min_wait_factor`` of the usual time.
    ``weights`` are by how much the even shares of limited customers are multiplied.
    """

    capacity_tokens: float = INITIAL_CAPACITY_TOKENS
    wait_seconds: float = 0.0
    wait_setpoint_seconds: float = 0.0
    requested_tokens: Mapping[str, int] = field(default_factory=dict)
    fractions: dict[str, float] = field(default_factory=dict)
    routers: int = 0
    in_time_answers: float = 0.0
    late_answers: float = 0.0
    paused_answers: float = 0.0
    handled_tokens: float = 0.0
    min_wait_factor: float = MIN_WAIT_FACTOR
    lost_work: LostWork = field(default_factory=LostWork)
    weights: Mapping[str, float] = field(default_factory=dict)
    _mean_available_part: float = 1.0
    _available_at_seconds: float = 0.0
    _balance: ServiceBalance = field(default_factory=make_service_balance)
    _limited_until_seconds: dict[str, float] = field(default_factory=dict)
    _estimator: LostWorkEstimator = field(default_factory=make_lost_work_estimator)

    def tick(
        self,
        loads: Sequence[PartialLoad],
        declared_tokens: float | None,
        base_wait_seconds: float,
        now_seconds: float,
        available_part: float = 1.0,
    ) -> None:
        """Update sums, capacity and fractions.

        Args:
            loads: The loads of all known routers, each router in one of them.
            declared_tokens: What all engines produce a second, None if not known.
            base_wait_seconds: The least limit of the average wait of prompts.
            now_seconds: The present time.
            available_part: The part of the engines that accept work as usual, apart
                from what engines themselves state to routers.
        """
        available_part *= _mean_accepting_part(loads)
        remaining_part = self._remaining_part(available_part, now_seconds)
        declared_tokens = (declared_tokens or INITIAL_CAPACITY_TOKENS) * available_part
        self.routers = sum(load.routers for load in loads)
        rows = sum_customer_rates(load.customers for load in loads)
        self.requested_tokens = {row.customer: row.requested_tokens for row in rows}
        served = {
            row.customer: ServedRates(row.started_tokens, row.lost_tokens)
            for row in rows
        }
        self.handled_tokens = sum(load.handled_tokens for load in loads)
        self.in_time_answers, self.late_answers, self.paused_answers = fleet_answers(
            loads
        )
        self.wait_setpoint_seconds = base_wait_seconds * wait_factor(
            self.in_time_answers,
            self.late_answers,
            self.paused_answers,
            sum(self.requested_tokens.values()),
            self.handled_tokens,
            self.min_wait_factor,
        )
        self.wait_seconds = fleet_wait_seconds(loads)
        worked_tokens = self._estimator.update(
            served,
            self.handled_tokens,
            declared_tokens,
            estimate_busy_part(self.wait_seconds, self.wait_setpoint_seconds),
            now_seconds,
        )
        self.capacity_tokens = self._capacity(
            remaining_part * worked_tokens, declared_tokens
        )
        even = fair_amounts(self.requested_tokens, self.capacity_tokens)
        started_tokens = {name: one.started_tokens for name, one in served.items()}
        self._balance.update(even, started_tokens, now_seconds)
        limited = [
            customer
            for customer, requested in self.requested_tokens.items()
            if even[customer] < requested
        ]
        self.lost_work = self._estimator.lost_work(served, limited)
        work_parts = {name: self.lost_work.work_part(name) for name in limited}
        self.weights = share_weights(
            make_standings(
                self._balance.served_parts(limited),
                {name: self.lost_work.started_part(name) for name in limited},
                work_parts,
            )
        )
        self.fractions = self._fractions(work_parts)
        self._keep_limited(now_seconds)

    def rows(self) -> tuple[ShareRow, ...]:
        """Return the rows for routers: the customers that don't get all."""
        return tuple(
            ShareRow(customer, round(fraction, FRACTION_DIGITS))
            for customer, fraction in self.fractions.items()
        )

    def _remaining_part(self, available_part: float, now_seconds: float) -> float:
        """Return the part that remains of the engines behind the handled tokens.

        That is the available part over its average, which spans the same time as the
        averages in reports.
        """
        since_seconds = now_seconds - self._available_at_seconds
        self._available_at_seconds = now_seconds
        gain = min(max(since_seconds, 0.0) / AVERAGE_SECONDS, 1.0)
        change = available_part - self._mean_available_part
        self._mean_available_part += gain * change
        self._mean_available_part = max(self._mean_available_part, MIN_AVAILABLE_PART)
        return min(available_part / self._mean_available_part, 1.0)

    def _capacity(self, worked_tokens: float, declared_tokens: float) -> float:
        """Return the tokens a second that can be served without too long a wait."""
        factor = 1 + CAPACITY_GAIN_PER_SECOND * (
            self.wait_setpoint_seconds - self.wait_seconds
        )
        factor = min(max(factor, MIN_CAPACITY_FACTOR), MAX_CAPACITY_FACTOR)
        capacity = factor * worked_tokens
        if self.wait_seconds > self.wait_setpoint_seconds:
            return max(capacity, MIN_DECLARED_PART * declared_tokens)
        # No prompt waits too long: the declared rate can be served in any case.
        return max(capacity, declared_tokens)

    def _keep_limited(self, now_seconds: float) -> None:
        """Keep customers limited for a while, to all that they request if that is due.

        A router whose loop is late refuses customers that are not limited. It reads
        fewer of the requests that keep it late, so their customer seems to request
        less than its share every other moment.
        """
        until_seconds = now_seconds + LIMITED_SECONDS
        self._limited_until_seconds |= dict.fromkeys(self.fractions, until_seconds)
        for customer, until_seconds in list(self._limited_until_seconds.items()):
            if until_seconds < now_seconds:
                del self._limited_until_seconds[customer]
            else:
                self.fractions.setdefault(customer, 1.0)

    def _fractions(self, work_parts: Mapping[str, float]) -> dict[str, float]:
        """Return the part of its requests that each customer is admitted, if not all.

        The capacity is divided by what engines work on, which may be less than what is
        admitted. A customer whose even share is less than it requests stays limited,
        also if making up for its losses admits all.

        Args:
            work_parts: The part of its admitted tokens that engines work on, of each
                limited customer.
        """
        requested_work = {
            customer: requested
            * (work_parts[customer] if customer in self.weights else 1.0)
            for customer, requested in self.requested_tokens.items()
        }
        work_weights = {
            customer: weight * work_parts[customer]
            for customer, weight in self.weights.items()
        }
        amounts = fair_amounts(requested_work, self.capacity_tokens, work_weights)
        return {
            customer: amounts[customer] / requested
            for customer, requested in requested_work.items()
            if amounts[customer] < requested or customer in self.weights
        }


def _mean_accepting_part(loads: Sequence[PartialLoad]) -> float:
    """Return the mean part of the engines that accept requests of a router."""
    routers = sum(load.routers for load in loads)
    if not routers:
        return 1.0
    return sum(load.routers * load.accepting_part for load in loads) / routers


def fair_amounts(
    requested: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the max-min fair amount of each customer, which add up to the capacity.

    Args:
        requested: What each customer requests.
        capacity: What is available in total.
        weights: By how much the even share of some customers is multiplied.
    """
    weights = weights or {}
    remaining = capacity
    remaining_weight = sum(weights.get(customer, 1.0) for customer in requested)
    amounts: dict[str, float] = {}
    for customer in sorted(
        requested, key=lambda one: requested[one] / weights.get(one, 1.0)
    ):
        weight = weights.get(customer, 1.0)
        amounts[customer] = min(
            requested[customer], remaining * weight / remaining_weight
        )
        remaining -= amounts[customer]
        remaining_weight -= weight
    return amounts


def make_share_table() -> ShareTable:
    """Return a table without demands."""
    return ShareTable()
