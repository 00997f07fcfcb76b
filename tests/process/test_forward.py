"""Two ``banyanswitch-forward`` processes and stand-ins of the users' platform."""

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


async def test_unknown_route_and_unknown_key_are_refused(
    platform: Platform,
) -> None:
    status, _, _ = await platform.async_call("/none/", "a1")
    assert status == 404
    status, _, _ = await platform.async_call(
        "/again/", "a2", headers={"Authorization": "Bearer other"}
    )
    assert status == 401
    assert platform.run_count("a2") == 0


async def test_broken_stream_is_resumed_without_gap(platform: Platform) -> None:
    for upstream in platform.upstreams.values():
        upstream.events = 6
        upstream.aborts_after = 3
    status, body, _ = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 200
    assert body.count(b"id: ") == 6
    positions = [body.index(b"id: %d\n" % number) for number in range(1, 7)]
    assert positions == sorted(positions)


# Guards against a broken stream without a length that reaches its caller as complete.
async def test_stream_without_a_length_is_resumed_when_it_ends_inside_an_event(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.events = 6
        upstream.is_unframed = True
        upstream.aborts_after = 3
    status, body, _ = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 200
    assert body == b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 7))
    assert platform.run_count("a1") == 2


async def test_non_idempotent_call_is_not_retried(platform: Platform) -> None:
    for upstream in platform.upstreams.values():
        upstream.fails = True
    status, _, _ = await platform.async_call("/once/", "a1")
    assert status == 500
    assert platform.run_count("a1") == 1
    status, _, _ = await platform.async_call("/again/", "a2")
    assert platform.run_count("a2") == 2


async def test_refused_call_goes_to_the_other_upstream(platform: Platform) -> None:
    platform.upstreams["i-1"].refuses = True
    for number in range(30):
        attempt = f"a{number}"
        status, body, _ = await platform.async_call("/once/", attempt)
        assert (status, body) == (200, b"answer of i-2")
        assert platform.run_count(attempt) == 1


async def test_route_timeout_cancels_the_upstream_request(
    platform: Platform,
) -> None:
    for upstream in platform.upstreams.values():
        upstream.hangs = True
    status, _, _ = await platform.async_call("/once/", "a1")
    assert status == 504

    async def async_is_cancelled() -> bool:
        return sum(upstream.cancelled for upstream in platform.upstreams.values()) == 1

    await platform.async_wait_until(async_is_cancelled, 2.0)


async def test_request_without_available_upstream_is_refused_immediately(
    platform: Platform,
) -> None:
    for name in platform.upstreams:
        await platform.async_register(name, "draining")
    await asyncio.sleep(0.3)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    status, _, headers = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) < 2.0
    assert loop.time() - started_at_s < 0.3
    assert platform.run_count("a1") == 0


async def test_new_configuration_becomes_active_and_survives_store_outage(
    platform: Platform,
) -> None:
    await platform.store.async_put("op", "config", configuration(3, ("/new/",)))

    async def async_is_active() -> bool:
        answers = [
            await platform.async_call("/new/", f"a-{host}", host=host) for host in HOSTS
        ]
        return all(status == 200 for status, _, _ in answers)

    await platform.async_wait_until(async_is_active, 2.0)
    platform.store.faults.is_down = True
    await asyncio.sleep(0.5)
    status, _, _ = await platform.async_call("/new/", "b1")
    assert status == 200


async def test_process_started_in_outage_gets_configuration_from_peer(
    platform: Platform,
) -> None:
    platform.store.faults.is_down = True
    process = platform.processes[HOSTS[1]]
    process.kill()
    await process.wait()
    await platform.async_start_process(HOSTS[1])
    await platform.async_wait_until(lambda: platform.async_is_ready(HOSTS[1]))
    status, _, _ = await platform.async_call("/again/", "a1", host=HOSTS[1])
    assert status == 200


async def test_leaving_upstream_gets_no_new_requests(platform: Platform) -> None:
    await platform.async_register("i-1", "draining")
    await asyncio.sleep(0.3)
    for number in range(6):
        _, body, _ = await platform.async_call("/again/", f"a{number}")
        assert body == b"answer of i-2"


async def test_target_weights_are_ordered_by_one_lease_holder(
    platform: Platform,
) -> None:
    target_version = json.dumps({"model": "m", "version": 2}).encode()
    await platform.store.async_put("op", "version/m", target_version)

    async def async_is_loaded() -> bool:
        return all(u.weight_version == 2 for u in platform.upstreams.values())

    await platform.async_wait_until(async_is_loaded)
    orders = [order for u in platform.upstreams.values() for order in u.orders]
    assert len({order["holder"] for order in orders}) == 1
    assert len({order["fencingToken"] for order in orders}) == 1
    status, _, _ = await platform.async_call("/stream/", "a1", headers=PROMPT)
    assert status == 200


async def test_graceful_shutdown_aborts_no_request(platform: Platform) -> None:
    async def async_is_joined() -> bool:
        return len(await platform.async_addresses(HOSTS[1])) == len(HOSTS)

    await platform.async_wait_until(async_is_joined)
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


async def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP signals a changed settings file; its default action ends a process.

    Here it arrives at each import during startup. The process must ignore it and exit
    with the status of the settings check.
    """
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
    is_initialized = False
    while line := await process.stderr.readline():
        # The interpreter is initialized; the process ignores SIGHUP before it imports
        # these modules.
        is_initialized = is_initialized or b"uvloop" in line or b"structlog" in line
        if is_initialized and process.returncode is None:
            process.send_signal(signal.SIGHUP)
    assert is_initialized
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


async def test_request_log_names_upstream_and_configuration(platform: Platform) -> None:
    await platform.async_call("/again/", "a1")
    await asyncio.sleep(0.4)
    events = [
        line for line in log_events(platform, HOSTS[0]) if line.get("request") == "a1"
    ]
    assert [line["event"] for line in events] == ["request_placed", "request_served"]
    assert events[0]["upstream"] == events[1]["upstream"]
    assert events[0]["entry_age_s"] >= 0
    assert events[0]["configuration"] == 1
    assert events[1]["framing"] == "length"
    text = (platform.folder / f"{HOSTS[0]}.log").read_text()
    assert "key-1" not in text
