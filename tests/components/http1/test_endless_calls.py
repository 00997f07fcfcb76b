"""Answers without end of the platform's services, to calls of the own interface."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from banyanswitch.components.http1.const import MAX_TABLE_BODY_BYTES
from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.membership.platform_list import HttpInstanceList
from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.identifiers import InstanceId
from tests.fakes.endless import BODIES, Endless

SENT_BYTES = 3 * MAX_TABLE_BODY_BYTES
MAX_TAKEN_BYTES = MAX_TABLE_BODY_BYTES + 8_000_000
"""Largest answer, and what sockets and readers hold."""

Call = Callable[[aiohttp.ClientSession, str], Awaitable[object]]


async def async_read_table(session: aiohttp.ClientSession, url: str) -> object:
    client = PlatformClient(session, url, InstanceId("i"), 20.0)
    return await client.async_read("GET", "/x")


async def async_read_instances(session: aiohttp.ClientSession, url: str) -> object:
    return await HttpInstanceList(session, url).async_read()


# Guards against an answer without end that fills memory until the call times out.
@pytest.mark.parametrize("call", [async_read_table, async_read_instances])
@pytest.mark.parametrize("endless", BODIES, ids=lambda make: make.__name__)
async def test_call_to_a_service_is_closed(call: Call, endless: Endless) -> None:
    sent_bytes = 0

    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent_bytes
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for part in endless():
                writer.write(part)
                await writer.drain()
                sent_bytes += len(part)
                if sent_bytes > SENT_BYTES:
                    break
        writer.close()

    server = await asyncio.start_server(async_script, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with aiohttp.ClientSession(connector=LimitedConnector()) as session:
        with pytest.raises((PlatformOutcomeUnknownError, PlatformUnavailableError)):
            await call(session, url)
    assert sent_bytes <= MAX_TAKEN_BYTES
    server.close()
