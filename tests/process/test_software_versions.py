"""Streams and upstreams of two software versions, with real processes."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
EVENTS = 200
TAKEN_UP = 6


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_begin_stream(platform: Platform, attempt: str, host: str) -> None:
    """Read the first event of a stream, then kill the instance that relays it."""
    async with platform.async_stream(
        "/stream/", attempt, host=host, headers=PROMPT
    ) as response:
        assert response.status == 200
        await response.content.readuntil(b"\n\n")
        process = platform.processes[host]
        process.kill()
        await process.wait()
        with pytest.raises(aiohttp.ClientError):
            await response.read()


# Guards against a version that only the killed instance knew.
async def test_stream_of_a_killed_instance_stays_at_its_software_version(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.events = EVENTS
    await async_begin_stream(platform, "a1", HOSTS[0])
    for name in ("i-3", "i-4", "i-5"):
        await platform.async_add_upstream(name, "v2")
    await asyncio.sleep(0.5)
    headers = {**PROMPT, "Last-Event-Id": "1", "Resumes": "a1"}
    for upstream in platform.upstreams.values():
        upstream.events = 3
    for number in range(TAKEN_UP):
        status, body, answered = await platform.async_call(
            "/stream/", f"b{number}", host=HOSTS[1], headers=headers
        )
        assert status == 200
        assert body == b"id: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
        assert answered["Server-Stamp"] in ("stamp-i-1", "stamp-i-2")
