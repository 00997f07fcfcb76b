"""Fixtures of the membership tests."""

from collections.abc import AsyncIterator

import pytest

from tests.components.membership.cluster import Cluster


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    cluster = Cluster()
    yield cluster
    await cluster.async_close()
