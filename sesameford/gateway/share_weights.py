"""How much more or less than an even share each limited customer is admitted.

A customer that was served more than others lately is admitted less, and one that is
behind or whose admitted requests are lost is admitted more. Lost requests that engines
did not work on cost nobody anything, and are made up for without a bound. For the
others the other customers pay, and nobody knows whether requests are lost by their
customer's own doing. So they are made up for as far as this brings the customer to the
promised part of the usual service and leaves the others most of theirs. A customer that
it can't bring there shares a smaller amount with all such customers.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

# A customer that is ahead by a tenth of its due tokens gets so many tenths less.
GAIN = 1.5
# One that is behind by a tenth gets about so many tenths more.
RAISE_GAIN = 3.0
# The most that is added for recent service, as a factor.
MAX_CATCH_UP = 2.0
# A customer that was served less counts as if it had got this part.
MIN_SERVED_PART = 0.1
# The least part of an even share, however far ahead a customer is.
MIN_WEIGHT = 0.5
# The part of the usual service that customers are promised.
PROMISED_PART = 0.5
# The part to which customers are raised at the others' cost. It leaves room for the
# time until losses are known.
RECOVERED_PART = 0.7
# A customer of which no more is started can't be brought to the promised part.
MIN_RECOVERABLE_PART = 0.15
# What one customer that can be brought to the promised part may take from all others.
MAX_RAISED_PART = 0.07
# What all such customers may take together.
MAX_RECOVERY_PART = 0.2
# What all customers that can't be brought there may take together.
MAX_UNRECOVERED_PART = 0.06
# They may get this part of one even share more in any case, or it would be next to
# nothing among few customers.
MIN_MAX_RAISED = 0.3


@dataclass(frozen=True, slots=True)
class Standing:
    """How one limited customer stands, each figure against that of the usual customer.

    ``level`` is how well an even share would serve it, made worse by what it lacks of
    recent service; ``started_part`` and ``work_part`` are the parts of its admitted
    tokens that engines start and work on.
    """

    level: float
    started_part: float
    work_part: float

    @property
    def raise_limit(self) -> float:
        """Return the level up to which a raise costs the others nothing."""
        return self.level / self.work_part

    def is_recoverable(self, max_raised: float) -> bool:
        """Return whether a raise can bring the customer to the promised part.

        Args:
            max_raised: What the raise may cost at most, in even shares.
        """
        if self.started_part <= MIN_RECOVERABLE_PART:
            return False
        needed = PROMISED_PART * self.work_part / self.started_part
        return needed <= 1.0 + max_raised


def make_standings(
    served_parts: Mapping[str, float],
    started_parts: Mapping[str, float],
    work_parts: Mapping[str, float],
) -> dict[str, Standing]:
    """Return how limited customers stand against the usual one.

    Customers are compared with each other: a deficit that they all have is no reason to
    prefer one, since engines may do less than the assumed capacity.

    Args:
        served_parts: What engines started for each customer lately, as a part of what
            was due to it.
        started_parts: The part of its admitted tokens that engines start.
        work_parts: The part of them that engines work on.

    Returns:
        The standings, none while the usual customer has got nothing.
    """
    # Not the mean: one customer without any service would make all others seem to be
    # ahead.
    usual_served = median(served_parts.values()) if served_parts else 0.0
    if usual_served <= 0.0:
        return {}
    usual_started = median(started_parts[one] for one in served_parts)
    usual_worked = median(work_parts[one] for one in served_parts)
    return {
        customer: _make_standing(
            served_part / usual_served,
            started_parts[customer] / usual_started,
            work_parts[customer] / usual_worked,
        )
        for customer, served_part in served_parts.items()
    }


def _make_standing(
    served_part: float, started_part: float, work_part: float
) -> Standing:
    level = started_part / _balancing_weight(served_part)
    return Standing(level, started_part, work_part)


def share_weights(standings: Mapping[str, Standing]) -> dict[str, float]:
    """Return by how much the even share of each customer is to be multiplied."""
    lowered = {
        customer: max(1.0 / standing.level, MIN_WEIGHT)
        for customer, standing in standings.items()
        if standing.level >= 1.0
    }
    behind = {
        customer: standing
        for customer, standing in standings.items()
        if customer not in lowered
    }
    freed = sum(
        1.0 - weight * standings[customer].work_part
        for customer, weight in lowered.items()
    )
    return lowered | _raised_weights(behind, len(standings), max(freed, 0.0))


def _raised_weights(
    behind: Mapping[str, Standing], customers: int, freed: float
) -> dict[str, float]:
    """Return the weights of the customers that are behind.

    Args:
        behind: Their standings.
        customers: How many customers are limited.
        freed: What those that are ahead get less, in even shares.
    """
    max_each = _even_shares(MAX_RAISED_PART, customers) + freed
    recoverable = {
        customer: standing
        for customer, standing in behind.items()
        if standing.is_recoverable(max_each)
    }
    limits = [standing.raise_limit for standing in recoverable.values()]
    level = _recovery_level(limits, customers, freed)
    weights = {
        customer: min(
            max(level / standing.level, 1.0), (1.0 + max_each) / standing.work_part
        )
        for customer, standing in recoverable.items()
    }
    remaining = max(max_each - _cost(limits, level), 0.0)
    others = {one: behind[one] for one in behind if one not in recoverable}
    level = _affordable_level(
        [standing.raise_limit for standing in others.values()],
        min(remaining, _even_shares(MAX_UNRECOVERED_PART, customers)),
    )
    return weights | {
        customer: max(level / standing.level, 1.0)
        for customer, standing in others.items()
    }


def _recovery_level(
    raise_limits: Sequence[float], customers: int, freed: float
) -> float:
    """Return the level to which recoverable customers are raised, at most 1.

    Beyond what one of them may take, they are raised to the recovered part only.

    Args:
        raise_limits: The level up to which raising each of them costs nothing.
        customers: How many customers are limited.
        freed: What those that are ahead get less, in even shares.
    """
    level = _affordable_level(
        raise_limits, _even_shares(MAX_RAISED_PART, customers) + freed
    )
    if level >= RECOVERED_PART:
        return level
    max_recovery = _even_shares(MAX_RECOVERY_PART, customers) + freed
    return min(_affordable_level(raise_limits, max_recovery), RECOVERED_PART)


def _even_shares(part: float, customers: int) -> float:
    """Return the even shares that leave the others all but a part of theirs."""
    return max(customers * (1.0 / (1.0 - part) - 1.0), MIN_MAX_RAISED)


def _cost(raise_limits: Iterable[float], level: float) -> float:
    """Return the even shares that it costs to raise customers to a level."""
    return sum(max(level / limit - 1.0, 0.0) for limit in raise_limits)


def _affordable_level(raise_limits: Iterable[float], budget: float) -> float:
    """Return the level to which customers can be raised, at most 1.

    Args:
        raise_limits: The level up to which raising each of them costs nothing.
        budget: What raising them all may cost, in even shares.
    """
    raised, inverse_sum = 0, 0.0
    for limit in sorted(raise_limits):
        if inverse_sum and (budget + raised) / inverse_sum <= limit:
            break
        raised += 1
        inverse_sum += 1.0 / limit
    if not inverse_sum:
        return 1.0
    return min((budget + raised) / inverse_sum, 1.0)


def _balancing_weight(served_part: float) -> float:
    """Return the weight of a customer by the part of its due tokens that it got."""
    if served_part >= 1.0:
        return max(1.0 + GAIN * (1.0 - served_part), MIN_WEIGHT)
    # Not linear: a loss of two thirds needs three times the share to make up for it.
    return min(max(served_part, MIN_SERVED_PART) ** -RAISE_GAIN, MAX_CATCH_UP)
