"""Parses the Retry-After header of a target's answer."""

import re
from math import isfinite

# Seconds that may have a fraction. A date would have to be compared with a clock that
# may be wrong, and targets of this fleet send none.
_SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?")


def read_retry_after_seconds(text: str | None) -> float | None:
    """Return the seconds that a Retry-After states.

    Args:
        text: The header's value, None if the answer has none.

    Returns:
        The seconds, None without the header or if it states no length of time.
    """
    if text is None or not _SECONDS_PATTERN.fullmatch(text.strip()):
        return None
    seconds = float(text)
    return seconds if isfinite(seconds) else None
