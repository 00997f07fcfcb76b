"""Streams and upstreams of two software versions, with real processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
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


async def async_begin_and_keep(
    platform: Platform, attempt: str, host: str, stack: AsyncExitStack
) -> str:
    """Read the first event of a stream; return the upstream that sent it."""
    response = await stack.enter_async_context(
        platform.async_stream("/stream/", attempt, host=host, headers=PROMPT)
    )
    assert response.status == 200
    await response.content.readuntil(b"\n\n")
    return response.headers["Server-Stamp"]


async def async_restart_all(platform: Platform) -> None:
    for host in HOSTS:
        platform.processes[host].kill()
    for host in HOSTS:
        await platform.processes[host].wait()
        await platform.async_start_process(host)
    for host in HOSTS:
        await platform.async_wait_until(lambda host=host: platform.async_is_ready(host))


# Guards against origins that all instances have forgotten, and against texts of two
# software versions.
@pytest.mark.parametrize("old_version", ["serves", "is leaving", "is gone"])
async def test_streams_stay_at_their_version_after_a_kill_of_all_instances(
    platform: Platform, old_version: str
) -> None:
    for name in ("i-3", "i-4"):
        await platform.async_add_upstream(name, "v2")
    await asyncio.sleep(1.0)
    for upstream in platform.upstreams.values():
        upstream.events = EVENTS
    begun: dict[str, str] = {}
    async with AsyncExitStack() as stack:
        for number in range(12):
            attempt, host = f"a{number}", HOSTS[number % 2]
            begun[attempt] = await async_begin_and_keep(platform, attempt, host, stack)
        await asyncio.sleep(0.3)
        if old_version == "is leaving":
            for name in ("i-1", "i-2"):
                await platform.async_register(name, "draining")
        if old_version == "is gone":
            for name in ("i-1", "i-2"):
                await platform.store.async_put("servers", name, None)
        await async_restart_all(platform)
    for upstream in platform.upstreams.values():
        upstream.events = 3
    old = {"stamp-i-1", "stamp-i-2"}
    assert 0 < len([stamp for stamp in begun.values() if stamp in old]) < len(begun)
    for number, (attempt, stamp) in enumerate(begun.items()):
        headers = {**PROMPT, "Last-Event-Id": "1", "Resumes": attempt}
        status, _, answered = await platform.async_call(
            "/stream/", f"b{number}", host=HOSTS[number % 2], headers=headers
        )
        if stamp in old and old_version != "serves":
            assert status == 503
            assert "Server-Stamp" not in answered
            continue
        assert status == 200
        assert (answered["Server-Stamp"] in old) == (stamp in old)
