"""Orders that upstreams carry out late, after they have started again."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
NEWEST = 3
HEARTBEAT_S = 0.4
UPSTREAMS = 6


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_beat(platform: Platform) -> None:
    """Write the entries of all upstreams at regular intervals."""
    while True:
        for name in platform.upstreams:
            await platform.async_register(name)
        await asyncio.sleep(HEARTBEAT_S)


async def async_wait_for_weights(platform: Platform, names: list[str]) -> None:
    async def async_are_newest() -> bool:
        return all(platform.upstreams[n].weight_version == NEWEST for n in names)

    await platform.async_wait_until(async_are_newest)


# Guards against upstreams that stay at older weights, and against refusals of all
# requests while others are idle.
@pytest.mark.parametrize("has_traffic", [True, False])
async def test_upstreams_that_fell_back_get_the_newest_weights_again(
    platform: Platform, has_traffic: bool
) -> None:
    for number in range(3, UPSTREAMS + 1):
        await platform.async_add_upstream(f"i-{number}", "v1")
    beats = asyncio.create_task(async_beat(platform))
    try:
        for version in range(2, NEWEST + 1):
            document = json.dumps({"model": "m", "version": version}).encode()
            await platform.store.async_put("op", "version/m", document)
        await async_wait_for_weights(platform, list(platform.upstreams))
        await asyncio.sleep(2 * HEARTBEAT_S)
        fallen = ["i-1", "i-2"]
        for name in fallen:
            platform.upstreams[name].carry_out_late(NEWEST - 1)
        statuses = []
        for number in range(30 if has_traffic else 0):
            status, _, _ = await platform.async_call(
                "/stream/", f"a{number}", host=HOSTS[number % 2], headers=PROMPT
            )
            statuses.append(status)
        # Each instance learns it from the first response of each of them.
        assert statuses.count(503) <= len(HOSTS)
        await async_wait_for_weights(platform, fallen)
    finally:
        beats.cancel()
