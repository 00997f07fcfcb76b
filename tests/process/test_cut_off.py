"""Instances that have lost their links to upstreams, with real processes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.process.instance_links import Cut
from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
STABLE_S = 3.0
LOAD_S = 4.0
PAUSE_S = 0.05
PATHS = ("/once/", "/again/", "/stream/")
STREAM = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in (1, 2, 3))
MIN_SHARE = 2 / 3
"""The users' bound on the served share at cut instances, relative to the others."""


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, has_links=True)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_load(platform: Platform, length_s: float) -> dict[str, Counter[int]]:
    """Send all kinds of requests to both instances; return the statuses by host.

    A connection that ends without a whole response counts as status 0.
    """
    statuses: dict[str, Counter[int]] = {host: Counter() for host in HOSTS}
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + length_s

    async def async_work(host: str, path: str) -> None:
        while loop.time() < ends_at_s:
            status = await async_first_try(platform, host, path)
            statuses[host][status] += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(async_work(host, path) for host in HOSTS for path in PATHS))
    return statuses


async def async_first_try(platform: Platform, host: str, path: str) -> int:
    attempt = f"{host}{path}{asyncio.get_running_loop().time()}"
    prompt = PROMPT if path == "/stream/" else None
    try:
        status, body, headers = await platform.async_call(
            path, attempt, host=host, headers=prompt
        )
    except aiohttp.ClientError:
        return 0
    if status == 200:
        name = headers["Server-Stamp"].removeprefix("stamp-")
        expected = STREAM if prompt else f"answer of {name}".encode()
        assert body == expected
    return status


def share(statuses: Counter[int]) -> float:
    return statuses[200] / statuses.total()


# Guards against instances that refuse what another instance could send on.
@pytest.mark.parametrize("cut", list(Cut))
async def test_instance_cut_off_from_all_upstreams_serves(
    platform: Platform, cut: Cut
) -> None:
    await async_load(platform, 1.0)
    platform.links[HOSTS[0]].cut(cut)
    await async_load(platform, 0.5)
    # Idle connections, which may have outlived the cut, expire.
    await asyncio.sleep(STABLE_S - 0.5)
    statuses = await async_load(platform, LOAD_S)
    assert share(statuses[HOSTS[1]]) > 0.95
    assert share(statuses[HOSTS[0]]) >= MIN_SHARE * share(statuses[HOSTS[1]])
