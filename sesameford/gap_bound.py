"""Computes the bound on the service gap; docs/FAIRNESS.md has the derivation."""

from sesameford.links import HEARTBEAT_SECONDS
from sesameford.pool_allocation import LENDING_PENALTY_QUANTA, MOVE_INTERVAL_SECONDS

# The longest trip of a recalled slot over two links.
SLOT_RECALL_SECONDS = 0.25
# A report waits at most for the next heartbeat.
STALENESS_SECONDS = HEARTBEAT_SECONDS + MOVE_INTERVAL_SECONDS + SLOT_RECALL_SECONDS


def gap_bound(
    slots: int,
    slot_cost_units_per_second: float,
    in_flight_cost_units: float,
    quantum_cost_units: float,
    smallest_share: float = 1.0,
) -> float:
    """Return the bound B on the service gap of two backlogged customers.

    Args:
        slots: Slots of the whole pool.
        slot_cost_units_per_second: Service rate of one slot.
        in_flight_cost_units: Cost per slot that is charged but not yet served. The
            largest cost gives a bound that always holds; half the ratio of the
            second moment of costs to the first gives the average case.
        quantum_cost_units: The tree's quantum.
        smallest_share: The smallest share of the compared customers.

    Returns:
        Cost units divided by share.
    """
    running = slots * in_flight_cost_units
    stale = slots * slot_cost_units_per_second * STALENESS_SECONDS
    steering = quantum_cost_units * (1.0 + LENDING_PENALTY_QUANTA)
    return (running + stale + steering) / smallest_share
