"""Streams at an instance that can't know of a software version, with real processes."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from banyanswitch.components.forwarding.const import MAX_CONTACT_AGE_S
from tests.process.instance_links import Cut
from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
HISTORY_S = 31.0
"""Time after which an instance no longer needs the stored software versions."""

TAKEN_UP = {**PROMPT, "Last-Event-Id": "1"}
"""Headers of a caller that doesn't name the attempt that began its stream."""

REFUSED_WITHIN_S = 1.0


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, has_links=True, has_store_link=True)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_take_up(platform: Platform, attempt: str) -> int:
    async with asyncio.timeout(REFUSED_WITHIN_S):
        status, _, _ = await platform.async_call(
            "/stream/", attempt, host=HOSTS[1], headers=TAKEN_UP
        )
    return status


# Guards against a guess by an instance that has lost the store and all others, before
# any of its calls has failed.
async def test_stream_is_refused_while_a_new_version_can_not_be_known(
    platform: Platform,
) -> None:
    await asyncio.sleep(HISTORY_S)
    assert await async_take_up(platform, "a1") == 200
    platform.processes[HOSTS[0]].kill()
    platform.links[HOSTS[1]].cut(Cut.SILENT, [platform.store_address])
    await platform.async_add_upstream("i-3", "v2")
    assert await async_take_up(platform, "a2") == 503
    platform.links[HOSTS[1]].heal()


# Guards against a guess after a suspension in which a version has come and gone.
async def test_stream_is_refused_after_a_version_that_came_and_went_unseen(
    platform: Platform,
) -> None:
    await asyncio.sleep(HISTORY_S)
    process = platform.processes[HOSTS[1]]
    process.send_signal(signal.SIGSTOP)
    try:
        await platform.async_add_upstream("i-3", "v2")
        await asyncio.sleep(MAX_CONTACT_AGE_S)
        await platform.store.async_put("servers", "i-3", None)
        await asyncio.sleep(1.0)
    finally:
        process.send_signal(signal.SIGCONT)
    for number in range(20):
        assert await async_take_up(platform, f"a{number}") == 503
        await asyncio.sleep(0.25)


# Guards against a guess from entries that were read before a suspension.
async def test_stream_is_refused_at_the_end_of_a_suspension(platform: Platform) -> None:
    await asyncio.sleep(HISTORY_S)
    process = platform.processes[HOSTS[1]]
    process.send_signal(signal.SIGSTOP)
    try:
        call = asyncio.create_task(
            platform.async_call("/stream/", "a1", host=HOSTS[1], headers=TAKEN_UP)
        )
        await asyncio.sleep(0.2)
        await platform.async_add_upstream("i-3", "v2")
        await asyncio.sleep(0.2)
    finally:
        process.send_signal(signal.SIGCONT)
    status, _, _ = await call
    assert status == 503
