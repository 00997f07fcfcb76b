"""Requests that come while an instance is stopped as planned, before slow upstreams."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, configuration
from tests.process.test_passing_on import async_cut

pytestmark = pytest.mark.process
GRACE_S = 8.0
EXCUSED_S = 3.0
"""Time after the stop until which the platform excuses requests that are cut off."""
TIMEOUT_MS = 10_000
LEAD_S = 0.4
SENT_AT_S = (-0.3, 0.2, 2.5, 2.9, 3.01, 3.03, 3.2)
PATHS = ("/once/", "/again/", "/stream/")
NO_CONNECTION = 0


@pytest.fixture
async def platform(
    tmp_path: Path, request: pytest.FixtureRequest
) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, grace_s=GRACE_S, has_links=request.param)
    try:
        await platform.async_start()
        content = configuration(2, timeout_ms=TIMEOUT_MS)
        await platform.store.async_put("op", "config", content)
        if request.param:
            await async_cut(platform)
        else:
            await asyncio.sleep(0.5)
        yield platform
    finally:
        await platform.async_stop()


ON_BOTH_PATHS = pytest.mark.parametrize(
    "platform", [False, True], ids=["from_callers", "passed_on"], indirect=True
)
DIRECTLY = pytest.mark.parametrize("platform", [False], indirect=True)


# Guards against requests that a stopping instance accepts late, passes on, and cuts at
# the end of its grace period without an answer, among them calls that must not be
# repeated.
@ON_BOTH_PATHS
async def test_each_request_to_a_stopping_instance_is_answered(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    loop = asyncio.get_running_loop()
    began_at_s = loop.time() + LEAD_S

    async def async_call(path: str, at_s: float) -> tuple[str, float, int]:
        await asyncio.sleep(began_at_s + at_s - loop.time())
        attempt = f"{path.strip('/')}{at_s}"
        sent_s = loop.time() - began_at_s
        headers = PROMPT if path == "/stream/" else None
        try:
            status, _, _ = await platform.async_call(path, attempt, headers=headers)
        except aiohttp.ClientConnectorError:
            status = NO_CONNECTION
        return attempt, sent_s, status

    stopped = HOSTS[1] if platform.links else HOSTS[0]
    calls = [async_call(path, at_s) for path in PATHS for at_s in SENT_AT_S]
    # A connection that is cut raises an error of the client.
    answers = asyncio.gather(*calls)
    await asyncio.sleep(began_at_s - loop.time())
    platform.processes[stopped].send_signal(signal.SIGTERM)
    results = await answers
    for attempt, sent_s, status in results:
        has_run = platform.run_count(attempt) > 0
        assert has_run == (status in (502, 504)), (attempt, status)
        assert has_run or status in (503, NO_CONNECTION), (attempt, status)
        assert not (has_run and sent_s > EXCUSED_S), attempt
        assert not (has_run and sent_s > 0 and "once" in attempt), attempt
    assert any(status == 502 for _, _, status in results)
    await asyncio.wait_for(platform.processes[stopped].wait(), GRACE_S)
    assert platform.processes[stopped].returncode == 0


# Guards against refusals of calls that a stopping instance can still answer in time.
@DIRECTLY
async def test_calls_that_end_in_time_are_served(platform: Platform) -> None:
    platform.processes[HOSTS[0]].send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    for number, path in enumerate(PATHS):
        headers = {"Deadline-Ms": "4000", **(PROMPT if path == "/stream/" else {})}
        attempt = f"served{number}"
        status, _, _ = await platform.async_call(path, attempt, headers=headers)
        assert status == 200
        assert platform.run_count(attempt) == 1
