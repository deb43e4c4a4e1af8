"""Permits bound the requests to one cold target in fleets of three sizes.

A cold target looks idle to each router, and all routers together can overload it.
"""

from random import Random

import pytest

from sesameford.settings import ColdBoundSettings
from standins.virtual_cold import (
    LONG_PERMIT_DELAYS_SECONDS,
    PERMIT_DELAYS_SECONDS,
    by_permits,
    play,
)

TARGET_REQUESTS_PER_SECOND = 17.0
BOUND = ColdBoundSettings(factor=1.5, spare_requests=5.0)
BOUND_REQUESTS = 30
REQUESTS_PER_SECOND = 120.0


@pytest.mark.parametrize(("routers", "data_centres"), [(7, 3), (73, 3), (195, 5)])
@pytest.mark.parametrize(
    "permit_delays_seconds", [PERMIT_DELAYS_SECONDS, LONG_PERMIT_DELAYS_SECONDS]
)
def test_a_cold_target_receives_no_more_than_its_bound(
    routers, data_centres, permit_delays_seconds
):
    random = Random(routers)
    may_send, tick = by_permits(
        TARGET_REQUESTS_PER_SECOND,
        BOUND,
        routers,
        data_centres,
        random,
        permit_delays_seconds,
    )
    load = play(may_send, routers, REQUESTS_PER_SECOND, 10.0, random, tick)
    assert 0 < load.most_requests <= BOUND_REQUESTS
