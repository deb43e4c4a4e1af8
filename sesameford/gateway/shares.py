"""Which part of each customer's requests is served when all ask for too much.

Each router reports what every customer asks of the engines there, on average, and how
long prompts wait. A replica adds that up. While prompts wait too long it lowers what
is served in all, and shares that out max-min: a customer that asks for less than an
even share gets all of it, the others the same amount each, more or less by what they
have had of late. Routers are sent the part of its requests that each of the latter
gets, and reject the rest at once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from sesameford.gateway.router_loads import customers_added_up
from sesameford.gateway.service_balance import ServiceBalance, make_service_balance
from sesameford.gateway.timeliness import wait_factor
from sesameford.gateway.token_rate import AVERAGE_SECONDS
from sesameford.load_messages import PartialLoad, ShareRow

# The capacity is what engines have handled of late, a second: what they have begun to
# answer, and what they have failed or whose answers were lost. Were the latter left
# out, engines that fail half would be sent less and less while they stand idle. It is
# lowered by this part of itself for each second that prompts wait longer than they may,
# and raised in the same way, so that a backlog is worked off in about half a second.
PART_A_SECOND = 2.0
LOWEST_FACTOR = 0.5
HIGHEST_FACTOR = 1.4
# Nor is it taken as lower than this part of what is declared: after a start nothing has
# been begun yet.
LOWEST_PART = 0.25
# A part of the engines lower than this is taken as this.
LEAST_PART = 0.01
# Before anybody declares a capacity, and while nothing has been asked.
FIRST_CAPACITY_TOKENS = 100_000.0
# With four digits a customer that asks for twenty thousand times its share would get a
# fraction of zero, and starve.
FRACTION_DIGITS = 6


@dataclass(slots=True)
class ShareTable:
    """What customers ask in sum, and the shares that follow.

    ``requested_tokens`` are tokens a second by customer; ``fractions`` are of those that
    don't get all. Demands are averages and not totals, so a replica that begins to
    add up knows as much as the one before it as soon as it has heard all routers, and
    reports that were held up and come together count once.
    """

    capacity_tokens: float = FIRST_CAPACITY_TOKENS
    wait_seconds: float = 0.0
    wait_setpoint_seconds: float = 0.0
    requested_tokens: Mapping[str, int] = field(default_factory=dict)
    fractions: dict[str, float] = field(default_factory=dict)
    routers: int = 0
    _mean_available_part: float = 1.0
    _available_at_seconds: float = 0.0
    _balance: ServiceBalance = field(default_factory=make_service_balance)

    def tick(
        self,
        loads: Sequence[PartialLoad],
        declared_tokens: float | None,
        wanted_wait_seconds: float,
        now_seconds: float,
        available_part: float = 1.0,
    ) -> None:
        """Bring sums, capacity and fractions up to date.

        Args:
            loads: Of all routers that are known, each in one of them.
            declared_tokens: What all engines produce a second, None if not known.
            wanted_wait_seconds: How long prompts may wait on average at the least.
            now_seconds: The present time.
            available_part: The part of the engines that take work as usual.
        """
        left_part = self._left_part(available_part, now_seconds)
        declared_tokens = (declared_tokens or FIRST_CAPACITY_TOKENS) * available_part
        self.routers = sum(load.routers for load in loads)
        rows = customers_added_up(load.customers for load in loads)
        self.requested_tokens = {row.customer: row.requested_tokens for row in rows}
        begun_tokens = {row.customer: row.started_tokens for row in rows}
        self.wait_setpoint_seconds = wanted_wait_seconds * wait_factor(
            sum(load.in_time_answers for load in loads),
            sum(load.late_answers for load in loads),
            sum(self.requested_tokens.values()),
            sum(load.handled_tokens for load in loads),
        )
        self.capacity_tokens = self._capacity(
            loads, declared_tokens, self.wait_setpoint_seconds, left_part
        )
        even = fair_amounts(self.requested_tokens, self.capacity_tokens)
        self._balance.settle(even, begun_tokens, now_seconds)
        limited = {
            customer: asked
            for customer, asked in self.requested_tokens.items()
            if even[customer] < asked
        }
        weights = self._balance.weights(limited)
        amounts = fair_amounts(self.requested_tokens, self.capacity_tokens, weights)
        self.fractions = {
            customer: amounts[customer] / asked
            for customer, asked in self.requested_tokens.items()
            if amounts[customer] < asked
        }

    def rows(self) -> tuple[ShareRow, ...]:
        """Return what routers are sent: the customers that don't get all."""
        return tuple(
            ShareRow(customer, round(fraction, FRACTION_DIGITS))
            for customer, fraction in self.fractions.items()
        )

    def _left_part(self, available_part: float, now_seconds: float) -> float:
        """Return the part left of the engines that handled what was handled of late.

        It is held against its average over the time that reports are averaged over.
        """
        since_seconds = now_seconds - self._available_at_seconds
        self._available_at_seconds = now_seconds
        gain = min(max(since_seconds, 0.0) / AVERAGE_SECONDS, 1.0)
        change = available_part - self._mean_available_part
        self._mean_available_part += gain * change
        self._mean_available_part = max(self._mean_available_part, LEAST_PART)
        return min(available_part / self._mean_available_part, 1.0)

    def _capacity(
        self,
        loads: Sequence[PartialLoad],
        declared_tokens: float,
        wanted_wait_seconds: float,
        left_part: float,
    ) -> float:
        """Return what may be asked a second without making prompts wait too long."""
        waits_seconds = sum(load.routers * load.wait_seconds for load in loads)
        self.wait_seconds = waits_seconds / max(self.routers, 1)
        factor = 1 + PART_A_SECOND * (wanted_wait_seconds - self.wait_seconds)
        factor = min(max(factor, LOWEST_FACTOR), HIGHEST_FACTOR)
        capacity = left_part * factor * sum(load.handled_tokens for load in loads)
        if self.wait_seconds > wanted_wait_seconds:
            return max(capacity, LOWEST_PART * declared_tokens)
        # Nobody waits too long: what is declared can be served in any case.
        return max(capacity, declared_tokens)


def fair_amounts(
    asked: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return what each customer gets, max-min, so that all get the capacity in sum.

    Args:
        asked: What each customer asks.
        capacity: What there is for all.
        weights: By how much the even share of some customers is multiplied.
    """
    weights = weights or {}
    left = capacity
    left_weight = sum(weights.get(customer, 1.0) for customer in asked)
    amounts: dict[str, float] = {}
    for customer in sorted(asked, key=lambda one: asked[one] / weights.get(one, 1.0)):
        weight = weights.get(customer, 1.0)
        amounts[customer] = min(asked[customer], left * weight / left_weight)
        left -= amounts[customer]
        left_weight -= weight
    return amounts


def make_share_table() -> ShareTable:
    """Return a table in which nobody has asked for anything."""
    return ShareTable()
