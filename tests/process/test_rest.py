"""Upstreams that ask an instance for rest, with real processes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from banyanswitch_standins.users_platform.upstream import PlatformUpstream
from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
REST_S = 3.0
GRACE_S = 0.5
MAX_REQUESTS = 2
"""The users' bound on the requests of one instance from `GRACE_S` after an upstream has
asked it for rest until the end of the rest."""
PAUSE_S = 0.1
PATHS = ("/once/", "/again/", "/stream/")


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_load(platform: Platform, length_s: float) -> Counter[int]:
    """Send all kinds of requests to both instances and return their statuses."""
    statuses: Counter[int] = Counter()
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + length_s

    async def async_work(host: str, path: str) -> None:
        headers = PROMPT if path == "/stream/" else None
        while loop.time() < ends_at_s:
            attempt = f"{host}{path}{loop.time()}"
            status, _, _ = await platform.async_call(
                path, attempt, host=host, headers=headers
            )
            statuses[status] += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(async_work(host, path) for host in HOSTS for path in PATHS))
    return statuses


def arrivals_in_rest(upstream: PlatformUpstream, host: str) -> int:
    """Return the most requests of an instance in one time of rest."""
    times_s = [at_s for at_s, attempt in upstream.arrivals if attempt.startswith(host)]
    return max(
        sum(asked_s + GRACE_S < at_s < asked_s + REST_S for at_s in times_s)
        for asked_s in times_s
    )


# Guards against requests to an upstream in the rest that it has asked for.
async def test_upstream_gets_the_rest_that_it_asks_for(platform: Platform) -> None:
    resting = platform.upstreams["i-1"]
    resting.rest_s = REST_S
    statuses = await async_load(platform, 7.0)
    for host in HOSTS:
        assert arrivals_in_rest(resting, host) <= MAX_REQUESTS
    assert statuses[200] >= 0.9 * statuses.total()


# Guards against requests to all resting upstreams as fewer than half are healthy.
async def test_requests_are_refused_at_once_while_all_upstreams_rest(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.rest_s = REST_S
    statuses = await async_load(platform, 5.0)
    for upstream in platform.upstreams.values():
        for host in HOSTS:
            assert arrivals_in_rest(upstream, host) <= MAX_REQUESTS
    assert set(statuses) == {503}
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    _, _, headers = await platform.async_call("/again/", "late", headers={})
    assert loop.time() - started_s < 0.2
    assert float(headers["Retry-After"]) > 0.0


# Guards against reports and orders to an upstream that rests.
async def test_rest_holds_for_orders_too(platform: Platform) -> None:
    resting = platform.upstreams["i-1"]
    resting.rest_s = REST_S
    await platform.store.async_put("op", "version/m", b'{"model":"m","version":2}')
    # Without requests, the upstream asks for rest in its responses to reports.
    await asyncio.sleep(6.0)
    times_s = resting.reported_at_s
    assert times_s
    for asked_s in times_s:
        in_rest = [t for t in times_s if asked_s + GRACE_S < t < asked_s + REST_S]
        assert len(in_rest) <= MAX_REQUESTS


# Guards against upstreams that stay unused after their rest.
async def test_upstream_is_used_again_after_its_rest(platform: Platform) -> None:
    resting = platform.upstreams["i-1"]
    resting.rest_s = 1.0
    await async_load(platform, 1.0)
    resting.rest_s = None
    served = len(resting.received)
    await async_load(platform, 3.0)
    assert len(resting.received) - served > 10
