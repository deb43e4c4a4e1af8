"""When refused callers are told to return."""

from collections import Counter
from random import Random

import pytest

from sesameford.gateway.retry_times import spread_retry_seconds

OBJECTIVE_SECONDS = 0.5
BIN_SECONDS = 0.02


@pytest.mark.parametrize("seed", range(3))
def test_a_clump_of_refused_callers_does_not_return_as_a_clump(seed):
    """Guards against callers who are refused together, return and are refused again."""
    random = Random(seed)
    earliest, latest = 0.15 * OBJECTIVE_SECONDS, 0.35 * OBJECTIVE_SECONDS
    times = [spread_retry_seconds(earliest, latest, random) for _ in range(1_000)]
    assert earliest <= min(times) <= max(times) <= latest
    assert len(set(times)) == len(times)
    bins = Counter(int((time - earliest) / BIN_SECONDS) for time in times)
    mean = len(times) * BIN_SECONDS / (latest - earliest)
    assert max(bins.values()) < 1.5 * mean
