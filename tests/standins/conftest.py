"""Fixtures that serve a stand-in within the test process."""

import base64
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp.test_utils import TestClient, TestServer

from banyanswitch_standins.app import StandIn

Serve = Callable[[StandIn], Awaitable[TestClient]]


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    clients: list[TestClient] = []

    async def async_serve(stand_in: StandIn) -> TestClient:
        client = TestClient(TestServer(stand_in.build_application()))
        await client.start_server()
        clients.append(client)
        return client

    yield async_serve
    for client in clients:
        await client.close()


def encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
