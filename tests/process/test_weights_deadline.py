"""Requests that wait at an upstream while its weights are superseded."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.process.platform_fleet import PROMPT, Platform, configuration

pytestmark = pytest.mark.process
WEIGHTS_DEADLINE_S = 2.0
ROUTE_TIMEOUT_MS = 4500


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(
        tmp_path, version_propagation_ms=int(WEIGHTS_DEADLINE_S * 1000.0)
    )
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


# Guards against a request that stays in an upstream's queue beyond the deadline.
@pytest.mark.parametrize("sends_head_first", [False, True], ids=["late", "early"])
@pytest.mark.parametrize("prefix", ["/wait/", "/stream/"])
async def test_queued_request_on_superseded_weights_is_cancelled_before_the_deadline(
    platform: Platform, prefix: str, sends_head_first: bool
) -> None:
    document = configuration(2, ("/wait/",), ROUTE_TIMEOUT_MS)
    await platform.store.async_put("op", "config", document)

    async def async_is_active() -> bool:
        return (await platform.async_call("/wait/", "a0", headers=PROMPT))[0] == 200

    await platform.async_wait_until(async_is_active)
    for upstream in platform.upstreams.values():
        upstream.refuses_orders = True
        upstream.hangs = True
        upstream.sends_head_first = sends_head_first
    call = asyncio.create_task(platform.async_call(prefix, "a1", headers=PROMPT))

    async def async_is_queued() -> bool:
        return platform.run_count("a1") == 1

    await platform.async_wait_until(async_is_queued)
    target_version = json.dumps({"model": "m", "version": 2}).encode()
    await platform.store.async_put("op", "version/m", target_version)
    superseded_at_s = asyncio.get_running_loop().time()
    status, _, _ = await call
    upstreams = platform.upstreams.values()

    async def async_is_cancelled() -> bool:
        return sum(u.cancelled for u in upstreams) == platform.run_count("a1")

    await platform.async_wait_until(async_is_cancelled)
    assert [upstream.weight_version for upstream in upstreams] == [1, 1]
    last_at_s = max(at_s for u in upstreams for at_s in u.cancelled_at_s)
    assert last_at_s - superseded_at_s < WEIGHTS_DEADLINE_S
    assert status == 502
