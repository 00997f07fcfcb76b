"""Requests that one process passes on through another one."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import nullcontext
from pathlib import Path

import aiohttp
import pytest

from tests.process.instance_links import Cut
from tests.process.platform_fleet import GRACE_S, HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
CUT_HOST, OTHER_HOST = HOSTS
WORK_S = 0.5
"""The users' bound on the work for a caller who has left."""


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, has_links=True)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def async_cut(platform: Platform, cut: Cut = Cut.RESET) -> None:
    """Cut a process off, and wait until it passes requests on."""
    platform.links[CUT_HOST].cut(cut)
    await asyncio.sleep(2.2)
    numbers = iter(range(1000))

    async def async_is_served() -> bool:
        attempt = f"probe{next(numbers)}"
        status, _, _ = await platform.async_call("/again/", attempt, host=CUT_HOST)
        return status == 200

    await platform.async_wait_until(async_is_served)


def passed_on_count(platform: Platform) -> int:
    log = (platform.folder / f"{CUT_HOST}.log").read_text()
    return log.count('"request_passed_on"')


# Guards against requests that change on their way through another instance.
async def test_upstream_gets_the_request_of_the_caller(platform: Platform) -> None:
    await async_cut(platform)
    headers = {**PROMPT, "Deadline-Ms": "3000", "Other": "kept", "Hold": "mine"}
    status, body, _ = await platform.async_call(
        "/stream/x?y=1", "whole", host=CUT_HOST, headers=headers, body=b"content"
    )
    assert status == 200
    assert body.endswith(b"id: 3\ndata: event 3\n\n")
    seen = [s for u in platform.upstreams.values() for s in u.received]
    (request,) = [s for s in seen if s.attempt == "whole"]
    assert (request.target, request.body) == ("/stream/x?y=1", b"content")
    assert request.headers["other"] == "kept"
    assert request.headers["tenant"] == "ws"
    assert 0 < int(request.headers["deadline-ms"]) < 3000
    assert not {"authorization", "passed-on", "hold"} & set(request.headers)


# Guards against work for callers who have left, through both instances.
async def test_work_ends_when_the_caller_leaves(platform: Platform) -> None:
    await async_cut(platform)
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await platform.async_call("/again/", "left", host=CUT_HOST)
    await asyncio.sleep(WORK_S)
    assert sum(upstream.cancelled for upstream in platform.upstreams.values()) == 1


# Guards against streams that are cut off as the instance in the middle stops.
async def test_streams_end_while_the_other_instance_stops(platform: Platform) -> None:
    await async_cut(platform)
    for upstream in platform.upstreams.values():
        upstream.events = 200
    calls = [
        asyncio.create_task(
            platform.async_call("/stream/", f"s{n}", host=CUT_HOST, headers=PROMPT)
        )
        for n in range(10)
    ]
    await asyncio.sleep(0.3)
    platform.processes[OTHER_HOST].send_signal(signal.SIGTERM)
    for call in calls:
        status, body, _ = await call
        assert status == 200
        assert body.endswith(b"id: 200\ndata: event 200\n\n")
    await asyncio.wait_for(platform.processes[OTHER_HOST].wait(), GRACE_S)


# Guards against requests that run twice, or a false "not run", as the other one dies.
@pytest.mark.parametrize("kind", ["once", "again"])
async def test_outcome_is_unknown_when_the_other_instance_dies(
    platform: Platform, kind: str
) -> None:
    await async_cut(platform)
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    call = asyncio.create_task(platform.async_call(f"/{kind}/", "dies", host=CUT_HOST))
    await asyncio.sleep(0.3)
    platform.processes[OTHER_HOST].kill()
    status, _, _ = await asyncio.wait_for(call, 1.0)
    assert status == 502
    assert platform.run_count("dies") == 1


# Guards against requests that are held, or a second hop, as no instance reaches any.
async def test_requests_are_refused_at_once_if_no_instance_reaches_upstreams(
    platform: Platform,
) -> None:
    await async_cut(platform)
    platform.links[OTHER_HOST].cut(Cut.RESET)
    await asyncio.sleep(2.5)
    for number in range(6):
        await platform.async_call("/again/", f"known{number}", host=OTHER_HOST)
    await asyncio.sleep(1.0)
    loop = asyncio.get_running_loop()
    for host in HOSTS:
        started_s = loop.time()
        status, _, headers = await platform.async_call(
            "/once/", f"none{host}", host=host
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0
        assert "Refusal" not in headers
        assert loop.time() - started_s < 0.2
        assert platform.run_count(f"none{host}") == 0


# Guards against a second hop that outlives the cut.
async def test_requests_are_sent_directly_after_the_cut(platform: Platform) -> None:
    await async_cut(platform, Cut.SILENT)
    platform.links[CUT_HOST].heal()
    # Checks find the links, and the log has been written.
    await asyncio.sleep(2.0)
    before = passed_on_count(platform)
    for number in range(20):
        status, _, _ = await platform.async_call(
            "/once/", f"healed{number}", host=CUT_HOST
        )
        assert status == 200
    await asyncio.sleep(1.0)
    assert passed_on_count(platform) == before > 0


# Guards against requests of strangers at the port between instances.
async def test_unsigned_requests_are_rejected(platform: Platform) -> None:
    port = platform.ports["internal"] + 1
    url = f"http://{OTHER_HOST}:{port}/again/"
    headers = {"Host": "h.example", "Attempt-Id": "stranger", "Passed-On": "x 0 00"}
    for sent in ({}, headers):
        async with platform.session.post(url, headers=sent, data=b"") as response:
            assert response.status == 403
    assert platform.run_count("stranger") == 0


# Guards against a false "not run" at the deadline of a request that was passed on.
async def test_outcome_is_unknown_at_the_deadline(platform: Platform) -> None:
    await async_cut(platform)
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    status, _, _ = await platform.async_call("/once/", "late", host=CUT_HOST)
    assert status in (502, 504)
    assert platform.run_count("late") == 1


# Guards against the text of an error inside a stream that broke off behind the
# other instance, and against its end as if it were complete.
@pytest.mark.parametrize("fails", [False, True], ids=["continued", "failed"])
async def test_broken_stream_behind_the_other_instance(
    platform: Platform, fails: bool
) -> None:
    await async_cut(platform)
    for upstream in platform.upstreams.values():
        upstream.events = 100
        upstream.aborts_after = 50
    body = b""
    with pytest.raises(aiohttp.ClientPayloadError) if fails else nullcontext():
        async with platform.async_stream(
            "/stream/", "broken", host=CUT_HOST, headers=PROMPT
        ) as response:
            body = await response.content.readuntil(b"id: 3\ndata: event 3\n\n")
            for upstream in platform.upstreams.values():
                upstream.fails = fails
            async for part in response.content.iter_any():
                body += part
    events = [b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 101)]
    assert body == b"".join(events[:50] if fails else events)
    assert platform.run_count("broken") == 2


# Guards against requests to an upstream that has said that it leaves, after an answer
# that another instance relayed, while the store can't tell.
async def test_departure_in_a_relayed_answer_is_kept(platform: Platform) -> None:
    await async_cut(platform)
    platform.store.faults.is_down = True
    leaving = platform.upstreams["i-1"]
    leaving.is_leaving = True
    for number in range(50):
        _, _, headers = await platform.async_call(
            "/again/", f"relayed{number}", host=CUT_HOST
        )
        assert "Response-Source" not in headers
        if headers.get("Server-Leaving") == "1":
            break
    else:
        pytest.fail("the leaving upstream got no request")
    platform.links[CUT_HOST].heal()
    await asyncio.sleep(2.5)
    for number in range(20):
        status, _, _ = await platform.async_call(
            "/again/", f"after{number}", host=CUT_HOST
        )
        assert status == 200
    assert not [s for s in leaving.received if s.attempt.startswith("after")]
