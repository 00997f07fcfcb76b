"""Whole processes while the store returns from an older copy."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, configuration

pytestmark = pytest.mark.process


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_name_weights(platform: Platform, version: int) -> None:
    document = json.dumps({"model": "m", "version": version}).encode()
    await platform.store.async_put("op", "version/m", document)

    async def async_is_loaded() -> bool:
        return all(u.weight_version == version for u in platform.upstreams.values())

    await platform.async_wait_until(async_is_loaded)


# Guards against processes that no longer follow the store after it has returned.
async def test_configuration_and_weights_are_followed_after_two_returns(
    platform: Platform,
) -> None:
    for number in (1, 2):
        await async_name_weights(platform, 2 * number)
        await platform.store.async_put(
            "op", "config", configuration(2 * number, (f"/before{number}/",))
        )
        await platform.async_run_drill(copy_age_s=1.0, down_s=0.5)
        await async_name_weights(platform, 2 * number + 1)
        after = configuration(2 * number + 1, (f"/after{number}/",))
        await platform.store.async_put("op", "config", after)

        async def async_is_active(number: int = number) -> bool:
            answers = [
                await platform.async_call(f"/after{number}/", f"a-{host}", host=host)
                for host in HOSTS
            ]
            return all(status == 200 for status, _, _ in answers)

        await platform.async_wait_until(async_is_active, 5.0)
    for upstream in platform.upstreams.values():
        tokens = [order["fencingToken"] for order in upstream.orders]
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == 3
    status, _, _ = await platform.async_call("/stream/", "s", headers=PROMPT)
    assert status == 200


# Guards against reading whole tables for ever, and a configuration that regresses.
async def test_feeds_continue_and_the_configuration_stays_in_the_new_era(
    platform: Platform,
) -> None:
    await platform.store.async_put("op", "config", configuration(2, ("/newer/",)))

    async def async_is_active() -> bool:
        statuses = [
            (await platform.async_call("/newer/", f"a-{host}", host=host))[0]
            for host in HOSTS
        ]
        return statuses == [200, 200]

    await platform.async_wait_until(async_is_active)
    drill = asyncio.create_task(platform.async_run_drill(copy_age_s=0.0, down_s=0.5))
    while not drill.done():
        assert await async_is_active()
        await asyncio.sleep(0.1)
    await drill
    # By then the duty is taken, and only one process still reads the lease record.
    await asyncio.sleep(6.0)
    calls = dict(platform.store.call_counts)
    await asyncio.sleep(3.5)
    feeds = platform.store.call_counts["feed"] - calls["feed"]
    reads = platform.store.call_counts["get"] - calls["get"]
    assert feeds >= 2 * len(HOSTS)
    # The process without the duty reads the lease record 1.25 to 1.4 times a second.
    assert reads <= 12
    assert await async_is_active()
