"""Upstreams that send without end beside sound ones, with a real process."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import psutil
import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, registry_entry

pytestmark = pytest.mark.process
MAX_MEMORY_BYTES = 100_000_000
MAX_LATENCY_S = 1.0
PART = b"a" * 16_384
STATUS = b"HTTP/1.1 200 OK\r\n"
KINDS = {
    "one_header": (STATUS + b"X-Long: ", PART),
    "interim_responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "unframed_body": (STATUS + b"Server-Stamp: s\r\nConnection: close\r\n\r\n", PART),
}
CHUNKS = STATUS + b"Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
CROWD_KINDS = {
    **KINDS,
    "blank_lines": (b"", b"\r\n" * 8000),
    "no_response": (b"", PART),
    "tiny_chunks": (CHUNKS, b"2\r\naa\r\n" * 2000),
    "one_event": (CHUNKS, b"4000\r\n" + PART + b"\r\n"),
}
CROWD = 120
MACHINE_MB = 150


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, limits=f"memoryMb = {MACHINE_MB}")
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_start_endless(first: bytes, part: bytes) -> asyncio.Server:
    """Start an upstream that answers each request without end."""

    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for data in itertools.chain([first], itertools.repeat(part)):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    return await asyncio.start_server(async_script, "127.0.0.1", 0)


# Guards against one upstream whose bytes fill the memory of an instance or hold up its
# other requests.
@pytest.mark.parametrize("kind", KINDS)
async def test_endless_responses_harm_no_other_request(
    platform: Platform, kind: str
) -> None:
    server = await async_start_endless(*KINDS[kind])
    port = server.sockets[0].getsockname()[1]
    entry = registry_entry("i-9", f"127.0.0.1:{port}")
    await platform.store.async_put("servers", "i-9", entry)
    await asyncio.sleep(0.5)
    loop = asyncio.get_running_loop()
    latencies_s: list[float] = []

    async def async_call(number: int) -> None:
        path, headers = ("/stream/", PROMPT) if number % 2 else ("/again/", None)
        started_s = loop.time()
        with contextlib.suppress(aiohttp.ClientError):
            status, body, _ = await platform.async_call(
                path, f"a{number}", headers=headers
            )
            if status == 200 and (b"answer of" in body or b"event 3" in body):
                latencies_s.append(loop.time() - started_s)

    for number in range(0, 40, 4):
        await asyncio.gather(*(async_call(number + n) for n in range(4)))
    process = psutil.Process(platform.processes[HOSTS[0]].pid)
    assert process.memory_info().rss <= MAX_MEMORY_BYTES
    assert len(latencies_s) >= 30
    assert sorted(latencies_s)[-4] <= MAX_LATENCY_S
    log = (platform.folder / f"{HOSTS[0]}.log").read_text()
    assert "than the limit of" in log
    server.close()


# Guards against a process that runs out of memory because many requests at once read
# from an upstream whose bytes are no response, and against their end without an answer.
@pytest.mark.parametrize("kind", CROWD_KINDS)
async def test_many_endless_responses_fit_into_memory(
    platform: Platform, kind: str
) -> None:
    server = await async_start_endless(*CROWD_KINDS[kind])
    port = server.sockets[0].getsockname()[1]
    for name in platform.upstreams:
        await platform.store.async_put("servers", name, None)
    entry = registry_entry("i-9", f"127.0.0.1:{port}")
    await platform.store.async_put("servers", "i-9", entry)
    await asyncio.sleep(0.5)
    process = psutil.Process(platform.processes[HOSTS[0]].pid)

    async def async_call(number: int) -> None:
        path, headers = ("/stream/", PROMPT) if number % 2 else ("/again/", None)
        with contextlib.suppress(aiohttp.ClientError):
            await platform.async_call(path, f"a{number}", headers=headers)

    calls = asyncio.gather(*(async_call(number) for number in range(CROWD)))
    most_bytes = 0
    while not calls.done():
        most_bytes = max(most_bytes, process.memory_info().rss)
        await asyncio.sleep(0.02)
    assert most_bytes <= MACHINE_MB * 1_000_000
    assert await platform.async_is_ready(HOSTS[0])
    server.close()
