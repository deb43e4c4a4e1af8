"""One cold target before fleets of three sizes, whole and split."""

from random import Random

import pytest

from sesameford.settings import ColdBoundSettings
from standins.virtual_cold import LATE_NEWS_SECONDS, NEWS_SECONDS, by_permits, play

RATE = 17.0
BOUND = ColdBoundSettings(factor=1.5, spare_requests=5.0)
BOUND_REQUESTS = 30
ASKED_REQUESTS = 120.0


@pytest.mark.parametrize(("routers", "data_centres"), [(7, 3), (73, 3), (195, 5)])
@pytest.mark.parametrize("news_seconds", [NEWS_SECONDS, LATE_NEWS_SECONDS])
def test_a_cold_target_never_gets_more_than_it_takes(
    routers, data_centres, news_seconds
):
    random = Random(routers)
    may, tick = by_permits(RATE, BOUND, routers, data_centres, random, news_seconds)
    load = play(may, routers, ASKED_REQUESTS, 10.0, random, tick)
    assert 0 < load.most_requests <= BOUND_REQUESTS
