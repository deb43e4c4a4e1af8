"""Fixtures shared by several tests."""

import gc

import pytest
import uvloop
from hypothesis import HealthCheck, settings

from tests.operators_fixture import FakeInstance

# The verdict is the same each time: examples don't differ between runs, and how fast
# Hypothesis makes them depends on what else the machine does.
settings.register_profile(
    "tests", derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("tests")


@pytest.fixture(autouse=True, scope="module")
def collected_heap():
    """Collect what the tests of other modules have left."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()


@pytest.fixture(autouse=True)
def short_collections(collected_heap):
    """Leave what is older than a test out of the collections during it.

    A collection of all that hundreds of tests and their libraries have made stops a
    loop for longer than some tests allow, and all servers that run on it.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
async def instance():
    fake = await FakeInstance().start()
    yield fake
    await fake.server.close()


def pytest_asyncio_loop_factories(config, item):
    """Run the tests on the daemon's event loop, whose transport types differ."""
    return {"uvloop": uvloop.new_event_loop}
