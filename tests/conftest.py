"""Fixtures shared by several tests."""

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


@pytest.fixture
async def instance():
    fake = await FakeInstance().start()
    yield fake
    await fake.server.close()


def pytest_asyncio_loop_factories(config, item):
    """Run the tests on the daemon's event loop, whose transport types differ."""
    return {"uvloop": uvloop.new_event_loop}
