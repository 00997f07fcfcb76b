"""Fixtures for the tests of the configuration component."""

from collections.abc import AsyncIterator

import pytest

from tests.components.configuration.builders import Cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    cluster = Cluster()
    yield cluster
    await cluster.async_stop()
