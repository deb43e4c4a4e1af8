"""Delays that double with each further failure, up to a maximum."""

# Beyond it a factor exceeds every maximum; a larger exponent would overflow a float.
_MAX_DOUBLINGS = 32


def doubled_seconds(
    initial_seconds: float, doublings: int, max_seconds: float
) -> float:
    """Return a delay after a number of doublings.

    Args:
        initial_seconds: The delay without a doubling.
        doublings: How often it doubles; a negative number counts as none.
        max_seconds: The longest delay.
    """
    factor = 2.0 ** min(max(doublings, 0), _MAX_DOUBLINGS)
    return min(initial_seconds * factor, max_seconds)
