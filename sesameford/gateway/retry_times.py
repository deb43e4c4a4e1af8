"""When refused callers are told to return.

The load: a clump of calls is refused within some milliseconds. If all of its callers
were told the same time, they would return as a clump, and be refused as one again.
"""

from random import Random


def spread_retry_seconds(
    earliest_seconds: float, latest_seconds: float, random: Random
) -> float:
    """Return one caller's time to return, drawn evenly from an interval.

    Args:
        earliest_seconds: The earliest time at which a retry makes sense.
        latest_seconds: The latest time that still helps the caller.
        random: Draws another time for each caller.
    """
    return earliest_seconds + random.random() * (latest_seconds - earliest_seconds)
