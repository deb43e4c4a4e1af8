"""The derived bound on the service gap; docs/FAIRNESS.md has the derivation."""

from sesameford.pool_allocation import LENDING_HANDICAP_QUANTA

# A report waits for the next batch, the allocator moves slots at its own pace, and
# a slot that was asked back passes up and down the links.
STALENESS_SECONDS = 0.5 + 0.35 + 0.25


def gap_bound(
    slots: int,
    slot_cost_units_per_second: float,
    in_flight_cost_units: float,
    quantum_cost_units: float,
    smallest_share: float = 1.0,
) -> float:
    """Return the bound B on the service gap of two backlogged customers.

    Args:
        slots: Of the whole pool.
        slot_cost_units_per_second: What one slot serves.
        in_flight_cost_units: What is charged but not yet served per slot: the
            largest cost for a bound that always holds, or half the ratio of the
            second moment of costs to the first for what is found on average.
        quantum_cost_units: The tree's.
        smallest_share: Of the customers compared.

    Returns:
        Cost units over share.
    """
    running = slots * in_flight_cost_units
    stale = slots * slot_cost_units_per_second * STALENESS_SECONDS
    steering = quantum_cost_units * (1.0 + LENDING_HANDICAP_QUANTA)
    return (running + stale + steering) / smallest_share
