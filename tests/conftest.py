"""Fixtures that several tests share."""

import pytest
import uvloop

from tests.operators_fixture import FakeInstance


@pytest.fixture
async def instance():
    fake = await FakeInstance().start()
    yield fake
    await fake.server.close()


@pytest.fixture(scope="session")
def event_loop_policy():
    """Run the tests on the daemon's own loop, whose transports are of other types."""
    return uvloop.EventLoopPolicy()
