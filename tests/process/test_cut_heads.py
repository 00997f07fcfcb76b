"""Upstreams that stop in the middle of a head, with real processes."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.fakes.cut_heads import HEADS, CutServer, cuts
from tests.process.instance_links import Cut
from tests.process.platform_fleet import HOSTS, PROMPT, Platform, registry_entry

pytestmark = pytest.mark.process
STEP_BYTES = 31
PATHS = (("/once/", None), ("/again/", None), ("/stream/", PROMPT))


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, has_links=True)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


@pytest.fixture
async def server() -> AsyncIterator[CutServer]:
    server = CutServer()
    yield server
    server.stop()


async def async_replace_upstreams(platform: Platform, server: CutServer) -> str:
    """Let the server be the only upstream; return its address."""
    address = await server.async_start()
    for name in platform.upstreams:
        await platform.store.async_put("servers", name, None)
    await platform.store.async_put("servers", "i-9", registry_entry("i-9", address))
    await asyncio.sleep(0.5)
    return address


# Guards against an empty or short answer that an upstream didn't give, also through an
# instance that reaches the upstream.
@pytest.mark.parametrize("is_passed_on", [False, True], ids=["direct", "passed on"])
async def test_caller_gets_no_answer_of_the_upstream(
    platform: Platform, server: CutServer, is_passed_on: bool
) -> None:
    address = await async_replace_upstreams(platform, server)
    if is_passed_on:
        links = platform.links[HOSTS[0]]
        await links.async_add(address)
        links.cut(Cut.RESET, [address])
        await asyncio.sleep(1.0)
    number = 0
    for head in HEADS.values():
        for server.resets, server.pieces in ((False, 1), (True, 1), (False, 3)):
            for server.answer in cuts(head, STEP_BYTES):
                number += 1
                path, prompt = PATHS[number % len(PATHS)]
                status, body, headers = await platform.async_call(
                    path, f"a{number}", headers=prompt
                )
                assert status in (502, 503), server.answer
                assert body == b""
                assert "Server-Stamp" not in headers
    assert server.requests >= number / 2
    log = (platform.folder / f"{HOSTS[0]}.log").read_text()
    assert ("request_passed_on" in log or "passed_on_request_failed" in log) == (
        is_passed_on
    )


# Guards against a stream that appears complete when its next upstream stops in a head.
async def test_resumed_stream_is_not_completed(
    platform: Platform, server: CutServer
) -> None:
    address = await server.async_start()
    first = platform.upstreams["i-1"]
    first.events = 60
    await platform.store.async_put("servers", "i-2", None)
    number = 0
    for head in HEADS.values():
        for server.resets, server.pieces in ((False, 1), (True, 1), (False, 3)):
            for server.answer in cuts(head, 4 * STEP_BYTES):
                number += 1
                name, first.aborts_after = f"c-{number}", 30
                # Requests with the same parts as broken ones are withheld.
                parts = f"{number:x}:12800,ff{number:x}:4260"
                async with platform.async_stream(
                    "/stream/",
                    f"a{number}",
                    headers={**PROMPT, "Prompt-Prefix": parts},
                ) as response:
                    assert response.status == 200
                    await response.content.readuntil(b"\n\n")
                    entry = registry_entry(name, address)
                    await platform.store.async_put("servers", name, entry)
                    with pytest.raises(aiohttp.ClientPayloadError):
                        await response.content.read()
                await platform.store.async_put("servers", name, None)
                await asyncio.sleep(0.02)
    # The retry budget allows some of the attempts.
    assert server.requests >= 8
