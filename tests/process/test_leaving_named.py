"""Upstreams that say in their responses that they leave."""

import asyncio
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
DRAIN_S = 2.0


# Guards against requests to an upstream that only its own responses call leaving.
async def test_leaving_upstream_gets_no_later_requests(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    loop = asyncio.get_running_loop()
    try:
        await platform.async_start()
        leaving = platform.upstreams["i-1"]
        leaving.is_leaving = True
        started_s = loop.time()
        while loop.time() < started_s + 5.0:
            for host in HOSTS:
                for path in ("/once/", "/again/", "/stream/"):
                    status, _, _ = await platform.async_call(
                        path,
                        f"{host}{path}{loop.time()}",
                        host=host,
                        headers=PROMPT if path == "/stream/" else None,
                    )
                    assert status == 200
            await asyncio.sleep(0.02)
        for host in HOSTS:
            times_s = [t for t, name in leaving.arrivals if name.startswith(host)]
            assert times_s
            assert max(times_s) <= times_s[0] + DRAIN_S
    finally:
        await platform.async_stop()
