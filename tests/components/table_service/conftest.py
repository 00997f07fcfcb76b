"""Fixtures: platform clients with an in-process stand-in for the table service."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.components.table_service.object_store import HttpObjectStore
from banyanswitch.components.table_service.table_store import HttpTableStore
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.identifiers import InstanceId
from banyanswitch_standins.table import TableStandIn

TIMEOUT_S = 0.5


@dataclass
class Platform:
    control: TestClient
    table: HttpTableStore
    objects: HttpObjectStore

    async def async_add_fault(self, route: str, kind: str, times: int = 1) -> None:
        fault = {"route": route, "kind": kind, "times": times, "delay_s": 3 * TIMEOUT_S}
        response = await self.control.post("/faults", json=fault)
        assert response.status < 300

    async def async_stop_server(self) -> None:
        await self.control.server.close()


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    server = TestServer(TableStandIn().build_application())
    control = TestClient(server)
    await control.start_server()
    async with aiohttp.ClientSession() as session:
        url = str(server.make_url("/"))
        client = PlatformClient(session, url, InstanceId("i1"), TIMEOUT_S)
        now_s = asyncio.get_running_loop().time()
        table = HttpTableStore(client, WriteBudget(1_000.0, now_s))
        yield Platform(control, table, HttpObjectStore(client))
    await control.close()
