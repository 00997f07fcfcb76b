"""Isolated workspaces when all instances start beside a store that returns."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, configuration

pytestmark = pytest.mark.process
STORED_AFTER_S = 4.0
"""Time after which the instances have stored what they know."""


def two_workspaces(version: int, *, is_isolated: bool) -> bytes:
    document = json.loads(configuration(version, ("/once/", f"/v{version}/")))
    document["tenants"] = [
        {"name": "a", "apiKeys": ["key-1"], "priority": 1},
        {
            "name": "b",
            "apiKeys": ["key-2"],
            "priority": 1,
            "isolated": is_isolated,
        },
    ]
    return json.dumps(document).encode()


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_salt(platform: Platform, attempt: str, key: str) -> str:
    """Send a prompt, and return the salt under which an upstream caches it."""
    headers = {**PROMPT, "Authorization": f"Bearer {key}"}
    status, _, _ = await platform.async_call("/stream/", attempt, headers=headers)
    assert status == 200
    (seen,) = [
        request
        for upstream in platform.upstreams.values()
        for request in upstream.received
        if request.attempt == attempt
    ]
    return seen.headers["cache-salt"]


async def async_apply(platform: Platform, version: int, *, is_isolated: bool) -> None:
    document = two_workspaces(version, is_isolated=is_isolated)
    await platform.store.async_put("op", "config", document)

    async def async_is_active() -> bool:
        statuses = [
            (await platform.async_call(f"/v{version}/", f"v-{host}", host=host))[0]
            for host in HOSTS
        ]
        return statuses == [200] * len(HOSTS)

    await platform.async_wait_until(async_is_active)


async def async_restart_all(platform: Platform, *, loses_rows: bool) -> None:
    for host in HOSTS:
        platform.processes[host].kill()
        await platform.processes[host].wait()
    if loses_rows:
        platform.store.go_away()
        await platform.store.async_return_from_copy()
    for host in HOSTS:
        await platform.async_start_process(host)
    for host in HOSTS:
        await platform.async_wait_until(lambda host=host: platform.async_is_ready(host))


# Guards against the use of others' parts by a workspace that is isolated in the newest
# configuration, which the store has lost.
async def test_workspace_uses_no_parts_of_others_under_a_lost_configuration(
    platform: Platform,
) -> None:
    await async_apply(platform, 2, is_isolated=False)
    await asyncio.sleep(STORED_AFTER_S)
    shared = await async_salt(platform, "a1", "key-1")
    platform.store.take_copy()
    await async_apply(platform, 3, is_isolated=True)
    await async_restart_all(platform, loses_rows=True)
    assert await async_salt(platform, "b1", "key-2") != shared


# Guards against a cache that each start of all instances begins anew.
async def test_workspaces_find_their_parts_after_a_restart_of_all_instances(
    platform: Platform,
) -> None:
    await async_apply(platform, 2, is_isolated=True)
    await asyncio.sleep(STORED_AFTER_S)
    before = [await async_salt(platform, f"{key}1", key) for key in ("key-1", "key-2")]
    await async_restart_all(platform, loses_rows=False)
    await asyncio.sleep(1.0)
    after = [await async_salt(platform, f"{key}2", key) for key in ("key-1", "key-2")]
    assert after == before
