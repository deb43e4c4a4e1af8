"""Fixtures shared by several tests."""

import pytest
import uvloop

from tests.operators_fixture import FakeInstance


@pytest.fixture
async def instance():
    fake = await FakeInstance().start()
    yield fake
    await fake.server.close()


def pytest_asyncio_loop_factories(config, item):
    """Run the tests on the daemon's event loop, whose transport types differ."""
    return {"uvloop": uvloop.new_event_loop}
