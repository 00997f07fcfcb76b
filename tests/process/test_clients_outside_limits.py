"""Clients outside the limits, against a real process with little memory."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import psutil
import pytest

from tests.process import outside_clients as clients
from tests.process.platform_fleet import (
    HOSTS,
    Platform,
    configuration,
    registry_entry,
)

pytestmark = pytest.mark.process
MEMORY_MB = 100
FILE_DESCRIPTORS = 500
RESERVED_FOR_FILES = 200
"""Descriptors that the platform reserves, so that the others are for connections."""
CROWD_S = 8.0
ORDINARY_S = 20.0
SLOTS = 64
ANSWER_BYTES = 3_000_000
EVENT_BYTES = 200_000
PIPELINED_ANSWER_BYTES = 100_000


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    limits = f"memoryMb = {MEMORY_MB}\nfileDescriptors = {FILE_DESCRIPTORS}"
    platform = Platform(tmp_path, limits=limits)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_raise_slots(platform: Platform) -> None:
    """Let the upstreams serve the whole crowd at the same time."""
    document = json.loads(configuration(2, timeout_ms=60_000))
    document["services"][0]["engine"]["slots"] = SLOTS
    await platform.store.async_put("op", "config", json.dumps(document).encode())
    for name in platform.upstreams:
        entry = json.loads(registry_entry(name, platform.address_of(name)))
        entry = {**entry, "slots": SLOTS, "sequence": 2}
        await platform.store.async_put("servers", name, json.dumps(entry).encode())
    await asyncio.sleep(1.0)


async def async_is_ordinary_request_answered(platform: Platform) -> bool:
    """Send a small request, again after each refusal, for `ORDINARY_S`."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ORDINARY_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    status, body, _ = await platform.async_call(
                        "/again/", "ordinary", headers={"Connection": "close"}
                    )
                    if status == 200 and b"answer of" in body:
                        return True
                await asyncio.sleep(0.2)
    return False


async def async_check_harm(
    platform: Platform, client: clients.Client, count: int, listener: str = "front"
) -> None:
    """Check what remains of the process after a crowd, which is still connected."""
    running = platform.processes[HOSTS[0]]
    process = psutil.Process(running.pid)
    memory_before = process.memory_info().rss
    crowd = clients.Crowd(platform, listener)
    try:
        await crowd.async_run(client, count, CROWD_S)
        await asyncio.sleep(1.0)
        descriptors = process.num_fds()
        for upstream in platform.upstreams.values():
            upstream.answer_bytes = 0
        is_answered = await async_is_ordinary_request_answered(platform)
        memory = peak_memory_bytes(running.pid)
    finally:
        await crowd.async_leave()
    measured = (
        f"memory {memory_before / 2**20:.0f} MB before, at most {memory / 2**20:.0f},"
        f" {descriptors} descriptors, ordinary request answered: {is_answered}"
    )
    print(measured)
    assert running.returncode is None, measured
    assert is_answered, measured
    assert memory <= MEMORY_MB * 2**20, measured
    assert descriptors <= FILE_DESCRIPTORS - RESERVED_FOR_FILES, measured


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size of a process since its start."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


# Guards against a trailer line that is kept, and copied at each read, without limit.
async def test_one_endless_trailer(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_send_one_endless_trailer, 1)


# Guards against trailers that are kept without a limit on their number.
async def test_many_trailers(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_send_many_trailers, 20)


# Guards against bodies that each keep to the limit and fill the memory together.
async def test_large_chunks_stopping_short(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_stop_short_in_large_chunks, 40)


# Guards against chunks that cost many times their size.
async def test_tiny_chunks(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_stop_short_in_tiny_chunks, 20)


# Guards against chunk extensions that are kept or hold up other requests.
async def test_chunk_extensions(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_send_chunk_extensions, 20)


# Guards against unfinished heads that are kept beyond their time.
async def test_slow_heads(platform: Platform) -> None:
    await async_check_harm(platform, clients.async_send_slow_head, 200)


# Guards against pipelined requests, and their answers, that are queued without a limit.
async def test_pipelines(platform: Platform) -> None:
    for upstream in platform.upstreams.values():
        upstream.answer_bytes = PIPELINED_ANSWER_BYTES
    await async_check_harm(platform, clients.async_pipeline, 30)


# Guards against whole answers that fill the memory while they are read slowly.
async def test_slow_readers_of_whole_responses(platform: Platform) -> None:
    await async_raise_slots(platform)
    for upstream in platform.upstreams.values():
        upstream.answer_bytes = ANSWER_BYTES
    await async_check_harm(platform, clients.async_read_answer_slowly, 40)


# Guards against streams that fill the memory while they are read slowly.
async def test_slow_readers_of_streams(platform: Platform) -> None:
    await async_raise_slots(platform)
    for upstream in platform.upstreams.values():
        upstream.answer_bytes = EVENT_BYTES
        upstream.events = 30
    await async_check_harm(platform, clients.async_read_stream_slowly, 100)


# Guards against silent connections that take the descriptors of all others.
@pytest.mark.parametrize("listener", ["front", "directory", "ready", "internal"])
async def test_connections_that_send_no_byte(platform: Platform, listener: str) -> None:
    await async_check_harm(platform, clients.async_send_nothing, 400, listener)
