"""Limits that upstreams name, kept by all instances together, with real processes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
LIMIT_PER_S = 1.5
WINDOW_S = 4.0
STABLE_S = 3.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
"""The users' bound on the arrivals in one window."""
LOAD_S = 9.0
PAUSE_S = 0.1


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_load(platform: Platform, length_s: float) -> Counter[int]:
    """Send streams and calls to both instances and return their statuses."""
    statuses: Counter[int] = Counter()
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + length_s

    async def async_work(host: str, path: str) -> None:
        number = 0
        headers = PROMPT if path == "/stream/" else None
        while loop.time() < ends_at_s:
            number += 1
            status, _, _ = await platform.async_call(
                path, f"{host}{path}{number}", host=host, headers=headers
            )
            statuses[status] += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(
        *(async_work(host, path) for host in HOSTS for path in ("/stream/", "/again/"))
    )
    return statuses


# Guards against instances that each allow themselves all of a limit, or ignore it.
async def test_limit_holds_for_all_instances_together(platform: Platform) -> None:
    limited = platform.upstreams["i-1"]
    limited.limit_per_s = LIMIT_PER_S
    statuses = await async_load(platform, LOAD_S)
    since_s = limited.arrived_at_s[0] + STABLE_S
    assert limited.most_arrivals(WINDOW_S, since_s) <= ALLOWED
    assert limited.most_arrivals(WINDOW_S, since_s) > 0
    assert statuses[200] == statuses.total()


# Guards against requests that are held, or sent beyond the limit, as all are limited.
async def test_requests_beyond_all_limits_are_refused_at_once(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.limit_per_s = LIMIT_PER_S
    statuses = await async_load(platform, LOAD_S)
    for upstream in platform.upstreams.values():
        since_s = upstream.arrived_at_s[0] + STABLE_S
        assert upstream.most_arrivals(WINDOW_S, since_s) <= ALLOWED
    assert statuses[503] > statuses[200] > 0
    assert statuses[200] + statuses[503] == statuses.total()
    loop = asyncio.get_running_loop()
    refused_s = []
    for number in range(20):
        started_s = loop.time()
        status, _, headers = await platform.async_call("/again/", f"late{number}")
        if status == 503:
            refused_s.append(loop.time() - started_s)
            assert float(headers["Retry-After"]) > 0.0
    assert max(refused_s) < 0.5


# Guards against a limit that outlives its naming.
async def test_limit_ends_when_it_is_not_named_any_more(platform: Platform) -> None:
    limited = platform.upstreams["i-1"]
    limited.limit_per_s = 0.5
    await async_load(platform, 3.0)
    limited.limit_per_s = None
    await async_load(platform, 4.0)
    arrivals = len(limited.arrived_at_s)
    await async_load(platform, 2.0)
    assert len(limited.arrived_at_s) - arrivals > 10
