"""Fixtures that several tests share."""

import pytest

from tests.operators_fixture import FakeInstance


@pytest.fixture
async def instance():
    fake = await FakeInstance().start()
    yield fake
    await fake.server.close()
