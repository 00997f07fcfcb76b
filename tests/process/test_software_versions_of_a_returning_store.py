"""Software versions whose entries the store lacks when all instances start again."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
OLD = ("i-1", "i-2")
NEW = "i-3"
STREAMS = 12
STORED_AFTER_S = 2.0
"""Time after which the instances have stored the old version."""


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_begin_streams(platform: Platform) -> dict[str, str]:
    """Begin streams that break with their instances; return who began each one."""
    begun: dict[str, str] = {}
    for upstream in platform.upstreams.values():
        upstream.events = 400
    async with AsyncExitStack() as stack:
        for number in range(STREAMS):
            response = await stack.enter_async_context(
                platform.async_stream(
                    "/stream/", f"a{number}", host=HOSTS[number % 2], headers=PROMPT
                )
            )
            await response.content.readuntil(b"\n\n")
            begun[f"a{number}"] = response.headers["Server-Stamp"]
        await asyncio.sleep(0.5)
        for host in HOSTS:
            platform.processes[host].kill()
            await platform.processes[host].wait()
    for upstream in platform.upstreams.values():
        upstream.events = 3
    return begun


async def async_lose_entries(platform: Platform, has_era: bool) -> None:
    """Let the store return without the newer upstream's entry."""
    store = platform.store
    if has_era:
        store.go_away()
        await asyncio.sleep(0.3)
        await store.async_return_from_copy()
        return
    for name in platform.upstreams:
        await store.async_put("servers", name, None)
    for name in OLD:
        await platform.async_register(name)


async def async_start_all(platform: Platform) -> None:
    for host in HOSTS:
        await platform.async_start_process(host)
    for host in HOSTS:
        await platform.async_wait_until(lambda host=host: platform.async_is_ready(host))


async def async_take_up(
    platform: Platform, begun: dict[str, str], round_name: str, names_stream: bool
) -> dict[str, str | None]:
    """Take all streams up; return who went on with each one, if anybody did."""
    answered: dict[str, str | None] = {}
    for number, attempt in enumerate(begun):
        headers = {**PROMPT, "Last-Event-Id": "1"}
        if names_stream:
            headers["Resumes"] = attempt
        status, _, received = await platform.async_call(
            "/stream/", f"{round_name}{number}", host=HOSTS[number % 2], headers=headers
        )
        assert status in (200, 503)
        answered[attempt] = received["Server-Stamp"] if status == 200 else None
    return answered


# Guards against texts of two software versions after a power loss of all instances,
# while the store returns from an older copy, or its entries expire.
@pytest.mark.parametrize("names_stream", [True, False])
@pytest.mark.parametrize("has_era", [True, False])
async def test_stream_is_not_joined_while_the_entries_of_its_version_are_missing(
    platform: Platform, has_era: bool, names_stream: bool
) -> None:
    await asyncio.sleep(STORED_AFTER_S)
    platform.store.take_copy()
    await platform.async_add_upstream(NEW, "v2")
    await asyncio.sleep(0.3)
    begun = await async_begin_streams(platform)
    new = [attempt for attempt, stamp in begun.items() if stamp == f"stamp-{NEW}"]
    assert 0 < len(new) < STREAMS
    await async_lose_entries(platform, has_era)
    await async_start_all(platform)
    answered = await async_take_up(platform, begun, "b", names_stream)
    assert [answered[attempt] for attempt in new] == [None] * len(new)
    await platform.async_register(NEW)
    await asyncio.sleep(0.5)
    answered = await async_take_up(platform, begun, "c", names_stream)
    for attempt, stamp in answered.items():
        is_new = stamp == f"stamp-{NEW}"
        assert stamp is None or is_new == (attempt in new)
    # Without the return of an older copy, the origins of the streams are stored.
    if names_stream and not has_era:
        assert None not in answered.values()


# Guards against refusals of what can be known: the store has lost nothing.
@pytest.mark.parametrize("names_stream", [True, False])
async def test_streams_of_the_only_version_go_on_after_a_kill_of_all_instances(
    platform: Platform, names_stream: bool
) -> None:
    await asyncio.sleep(STORED_AFTER_S)
    begun = await async_begin_streams(platform)
    await async_start_all(platform)
    answered = await async_take_up(platform, begun, "b", names_stream)
    assert None not in answered.values()
