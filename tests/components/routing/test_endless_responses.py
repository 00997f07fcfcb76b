"""Responses without end are cut off within a bound.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio
import contextlib
import resource
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from tests.components.routing.test_response_end import RUN, WORKSPACE, make_attempt
from tests.fakes.endless import BODIES, HEADS, STATUS, Endless

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.kv_cache.errors import UpstreamTransferError
from banyanswitch.components.kv_cache.http_requests import async_request
from banyanswitch.components.routing.models import UpstreamRequest
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.const import HEADER_RUN_ID, HEADER_WORKSPACE
from banyanswitch.exceptions import UpstreamBrokenError

MAX_TAKEN_BYTES = 4_000_000
SENT_BYTES = 40_000_000
MAX_MEMORY_BYTES = 100_000_000
KERNEL_BUFFER_BYTES = 65_536
TIMEOUT_S = 20.0
KINDS = (*HEADS, *BODIES)
IDENTITY = f"{HEADER_RUN_ID}: {RUN}\r\n{HEADER_WORKSPACE}: {WORKSPACE}\r\n".encode()


Call = Callable[[Endless], Awaitable[int]]


@pytest.fixture
async def async_call() -> AsyncIterator[Call]:
    """Call an upstream that sends without end and return the bytes that it sent."""
    client = UpstreamClient()
    servers = []

    async def async_call(endless: Endless) -> int:
        sent_bytes = 0
        closed = asyncio.Event()

        async def async_script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent_bytes
            writer.transport.set_write_buffer_limits(high=0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
            await reader.readuntil(b"\r\n\r\n")
            try:
                for part in endless():
                    writer.write(part.replace(STATUS, STATUS + IDENTITY))
                    await writer.drain()
                    await asyncio.sleep(0)
                    sent_bytes += len(part)
                    if sent_bytes > SENT_BYTES:
                        break
            except ConnectionError:
                pass
            finally:
                closed.set()
                writer.close()

        server = await asyncio.start_server(async_script, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        attempt = make_attempt(f"http://127.0.0.1:{port}")
        call = UpstreamRequest("GET", f"{attempt.url}/x")
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(UpstreamBrokenError):
                await client.async_call_once(attempt, call, TIMEOUT_S)
            await closed.wait()
        return sent_bytes

    yield async_call
    await client.async_close()
    for server in servers:
        server.close()


# Guards against responses without end that fill memory or hold their connection.
@pytest.mark.parametrize("endless", KINDS, ids=lambda make: make.__name__)
async def test_connection_with_an_endless_response_is_closed(
    async_call: Call, endless: Endless
) -> None:
    before_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    sent_bytes = await async_call(endless)
    after_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    assert sent_bytes <= MAX_TAKEN_BYTES
    assert after_bytes - before_bytes <= MAX_MEMORY_BYTES


# Guards against load reports and cache calls that read without end.
@pytest.mark.parametrize("endless", KINDS, ids=lambda make: make.__name__)
async def test_call_of_the_product_itself_is_closed(endless: Endless) -> None:
    sent_bytes = 0

    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent_bytes
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(ConnectionError):
            for part in endless():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
                sent_bytes += len(part)
                if sent_bytes > SENT_BYTES:
                    break
        writer.close()

    server = await asyncio.start_server(async_script, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession(connector=LimitedConnector()) as session:
        with pytest.raises(UpstreamTransferError):
            await async_request(
                session,
                "GET",
                f"http://127.0.0.1:{port}/",
                body=None,
                timeout_s=TIMEOUT_S,
                error_type=UpstreamTransferError,
            )
    assert sent_bytes <= MAX_TAKEN_BYTES
    server.close()
