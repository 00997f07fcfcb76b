"""Two real processes on the users' platform, before stand-ins on loopback."""

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.process.platform_fleet import (
    GRACE_S,
    HOSTS,
    PROMPT,
    Platform,
    configuration,
)

pytestmark = pytest.mark.process


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


async def test_requests_reach_upstreams_unchanged(platform: Platform) -> None:
    status, body, headers = await platform.async_call(
        "/again/x?q=1", "a1", headers={"Tenant": "forged", "X-Own": "kept"}
    )
    assert status == 200
    assert body.startswith(b"answer of i-")
    assert headers["Server-Stamp"].startswith("stamp-")
    (seen,) = [s for u in platform.upstreams.values() for s in u.received]
    assert seen.target == "/again/x?q=1"
    assert seen.body == b"body"
    assert seen.headers["tenant"] == "ws"
    assert seen.headers["x-own"] == "kept"
    assert "authorization" not in seen.headers
    assert int(seen.headers["deadline-ms"]) <= 1500


async def test_what_the_configuration_does_not_allow_is_refused(
    platform: Platform,
) -> None:
    status, _, _ = await platform.async_call("/none/", "a1")
    assert status == 404
    status, _, _ = await platform.async_call(
        "/again/", "a2", headers={"Authorization": "Bearer other"}
    )
    assert status == 401
    assert platform.runs("a2") == 0


async def test_a_broken_stream_goes_on_without_a_seam(platform: Platform) -> None:
    for upstream in platform.upstreams.values():
        upstream.events = 6
        upstream.aborts_after = 3
    status, body, _ = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 200
    assert body.count(b"id: ") == 6
    positions = [body.index(b"id: %d\n" % number) for number in range(1, 7)]
    assert positions == sorted(positions)


async def test_a_call_that_runs_once_is_not_sent_again(platform: Platform) -> None:
    for upstream in platform.upstreams.values():
        upstream.fails = True
    status, _, _ = await platform.async_call("/once/", "a1")
    assert status == 500
    assert platform.runs("a1") == 1
    status, _, _ = await platform.async_call("/again/", "a2")
    assert platform.runs("a2") == 2


async def test_a_refused_call_goes_to_the_other_upstream(platform: Platform) -> None:
    platform.upstreams["i-1"].refuses = True
    for number in range(30):
        attempt = f"a{number}"
        status, body, _ = await platform.async_call("/once/", attempt)
        assert (status, body) == (200, b"answer of i-2")
        assert platform.runs(attempt) == 1


async def test_a_route_time_out_is_answered_and_ends_the_work(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    status, _, _ = await platform.async_call("/once/", "a1")
    assert status == 504

    async def async_is_cancelled() -> bool:
        return sum(upstream.cancelled for upstream in platform.upstreams.values()) == 1

    await platform.async_until(async_is_cancelled, 2.0)


async def test_a_request_that_no_upstream_can_take_is_refused_at_once(
    platform: Platform,
) -> None:
    for name in platform.upstreams:
        await platform.async_register(name, "draining")
    await asyncio.sleep(0.3)
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    status, _, headers = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) < 2.0
    assert loop.time() - began_at_s < 0.3
    assert platform.runs("a1") == 0


async def test_a_new_configuration_is_in_force_and_outlasts_an_outage(
    platform: Platform,
) -> None:
    await platform.store.async_put("op", "config", configuration(3, ("/new/",)))

    async def async_is_in_force() -> bool:
        answers = [
            await platform.async_call("/new/", f"a-{host}", host=host) for host in HOSTS
        ]
        return all(status == 200 for status, _, _ in answers)

    await platform.async_until(async_is_in_force, 2.0)
    platform.store.faults.is_down = True
    await asyncio.sleep(0.5)
    status, _, _ = await platform.async_call("/new/", "b1")
    assert status == 200


async def test_a_process_that_starts_in_an_outage_learns_from_the_other(
    platform: Platform,
) -> None:
    platform.store.faults.is_down = True
    process = platform.processes[HOSTS[1]]
    process.kill()
    await process.wait()
    await platform.async_start_process(HOSTS[1])
    await platform.async_until(lambda: platform.async_is_ready(HOSTS[1]))
    status, _, _ = await platform.async_call("/again/", "a1", host=HOSTS[1])
    assert status == 200


async def test_a_leaving_upstream_gets_no_new_work(platform: Platform) -> None:
    await platform.async_register("i-1", "draining")
    await asyncio.sleep(0.3)
    for number in range(6):
        _, body, _ = await platform.async_call("/again/", f"a{number}")
        assert body == b"answer of i-2"


async def test_named_weights_are_loaded_by_one_holder(platform: Platform) -> None:
    named = json.dumps({"model": "m", "version": 2}).encode()
    await platform.store.async_put("op", "version/m", named)

    async def async_is_loaded() -> bool:
        return all(u.weight_version == 2 for u in platform.upstreams.values())

    await platform.async_until(async_is_loaded)
    orders = [order for u in platform.upstreams.values() for order in u.orders]
    assert len({order["holder"] for order in orders}) == 1
    assert len({order["fencingToken"] for order in orders}) == 1
    status, _, _ = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 200


async def test_a_planned_stop_cuts_no_request(platform: Platform) -> None:
    async def async_is_joined() -> bool:
        return len(await platform.async_addresses(HOSTS[1])) == len(HOSTS)

    await platform.async_until(async_is_joined)
    statuses: list[int] = []
    stopped = asyncio.Event()

    async def async_load() -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            status, _, _ = await platform.async_call("/again/", f"l{number}")
            statuses.append(status)
            await asyncio.sleep(0.01)

    load = asyncio.create_task(async_load())
    await asyncio.sleep(0.3)
    process = platform.processes[HOSTS[0]]
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    assert not await platform.async_is_ready(HOSTS[0])
    assert await platform.async_addresses(HOSTS[1]) == [
        f"{HOSTS[1]}:{platform.ports['front']}"
    ]
    stopped.set()
    await load
    assert set(statuses) == {200}
    assert await asyncio.wait_for(process.wait(), GRACE_S) == 0


async def test_a_signal_during_the_start_ends_nothing(tmp_path: Path) -> None:
    """The settings file changes again and again while the process starts."""
    path = tmp_path / "node.toml"
    path.write_text('nodeName = "n"')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-X",
        "importtime",
        "-m",
        "banyanswitch.cli.forward",
        "--check_settings",
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    is_serving = False
    while line := await process.stderr.readline():
        # The first import of the process itself; the interpreter has started.
        is_serving = is_serving or b"uvloop" in line or b"structlog" in line
        if is_serving and process.returncode is None:
            process.send_signal(signal.SIGHUP)
    assert is_serving
    assert await process.wait() == 2


async def test_settings_are_checked(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('nodeName = "n"')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "banyanswitch.cli.forward",
        "--check_settings",
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert b"file: " in errors


def log_events(platform: Platform, host: str) -> list[dict[str, Any]]:
    lines = (platform.folder / f"{host}.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


async def test_a_request_is_explained_by_its_lines(platform: Platform) -> None:
    await platform.async_call("/again/", "a1")
    await asyncio.sleep(0.4)
    events = [
        line for line in log_events(platform, HOSTS[0]) if line.get("request") == "a1"
    ]
    assert [line["event"] for line in events] == ["request_placed", "request_served"]
    assert events[0]["upstream"] == events[1]["upstream"]
    assert events[0]["entry_age_s"] >= 0
    assert events[0]["configuration"] == 1
    text = (platform.folder / f"{HOSTS[0]}.log").read_text()
    assert "key-1" not in text
