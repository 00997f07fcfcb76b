"""Two real processes on the users' platform, before stand-ins on loopback."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from banyanswitch_standins.users_platform.store import PlatformStore
from banyanswitch_standins.users_platform.upstream import PlatformUpstream

pytestmark = pytest.mark.process
HOSTS = ("127.0.0.2", "127.0.0.3")
KEY = {"Authorization": "Bearer key-1"}
PROMPT = {
    "Model": "m",
    "Token-Usage": "17060,30",
    "Prompt-Prefix": "aa:12800,bb:4260",
    "Deadline-Ms": "5000",
}
GRACE_S = 3.0


def configuration(version: int, prefixes: tuple[str, ...] = ("/once/",)) -> bytes:
    kinds = [(prefix, "non_idempotent", False) for prefix in prefixes]
    kinds += [("/again/", "idempotent", False), ("/stream/", "streaming", True)]
    routes = [
        {
            "name": f"r{prefix}",
            "host": "h.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": 1500,
            "service": "llm",
            "maxAttempts": 2,
            "resumable": is_resumable,
        }
        for prefix, kind, is_resumable in kinds
    ]
    engine = {
        "slots": 8,
        "kvCapacityTokens": 100000,
        "kvTokenBytes": 18432,
        "models": [{"name": "m"}],
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "llm", "maxConnections": 100, "engine": engine}],
        "tenants": [{"name": "ws", "apiKeys": ["key-1"], "priority": 1}],
    }
    return json.dumps(document).encode()


def entry(name: str, address: str, state: str = "ready") -> bytes:
    document = {
        "service": "llm",
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "sequence": 1,
        "coldRemainingMs": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "born": 1700000000000,
    }
    return json.dumps(document).encode()


def free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return int(probe.getsockname()[1])


class Platform:
    """Stand-ins and processes of one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = PlatformStore()
        self.upstreams = {name: PlatformUpstream(name) for name in ("i-1", "i-2")}
        self.ports = {
            name: free_port() for name in ("front", "ready", "directory", "internal")
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._runners: list[web.AppRunner] = []
        self._addresses: dict[str, str] = {}
        self.session = aiohttp.ClientSession()

    async def async_start(self) -> None:
        self._store_address = await self._async_listen(self.store.make_app())
        for name, upstream in self.upstreams.items():
            self._addresses[name] = await self._async_listen(upstream.make_app())
            await self.async_register(name)
        await self.store.async_put("op", "config", configuration(1))
        for host in HOSTS:
            await self.async_start_process(host)
        for host in HOSTS:
            await self.async_until(lambda host=host: self.async_is_ready(host))

    async def async_register(self, name: str, state: str = "ready") -> None:
        await self.store.async_put(
            "servers", name, entry(name, self._addresses[name], state)
        )

    async def async_start_process(self, host: str) -> None:
        path = self.folder / f"{host}.toml"
        path.write_text(self._settings(host))
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "banyanswitch.cli.forward",
            str(path),
            stdout=(self.folder / f"{host}.log").open("ab"),
            env={**os.environ, "UV_USE_IO_URING": "0"},
        )

    async def async_stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.session.close()
        for runner in self._runners:
            await runner.cleanup()

    async def async_is_ready(self, host: str) -> bool:
        url = f"http://{host}:{self.ports['ready']}/-/readiness"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def async_addresses(self, host: str) -> list[str]:
        url = f"http://{host}:{self.ports['directory']}/-/resolve?name=h.example&zone=z"
        async with self.session.get(url) as response:
            return list((await response.json())["addresses"])

    async def async_call(
        self,
        path: str,
        attempt: str,
        *,
        host: str = HOSTS[0],
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        sent = {"Host": "h.example", "Attempt-Id": attempt, **KEY, **(headers or {})}
        url = f"http://{host}:{self.ports['front']}{path}"
        async with self.session.post(url, headers=sent, data=b"body") as response:
            return response.status, await response.read(), dict(response.headers)

    async def async_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 15.0
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.05)

    def runs(self, attempt: str) -> int:
        return sum(
            seen.attempt == attempt
            for upstream in self.upstreams.values()
            for seen in upstream.seen
        )

    async def _async_listen(self, app: web.Application) -> str:
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    def _settings(self, host: str) -> str:
        internal = self.ports["internal"]
        return f"""
nodeName = "node-{host}"
ip = "{host}"
zone = "z1"
internalPortRange = [{internal}, {internal + 5}]
seedAddresses = ["{HOSTS[0]}:1", "{HOSTS[1]}:1"]
[listen]
front = "{host}:{self.ports["front"]}"
readyAddr = "{host}:{self.ports["ready"]}"
directory = "{host}:{self.ports["directory"]}"
[bounds]
gracePeriodS = {GRACE_S}
leaseMs = 1000
[platform]
address = "{self._store_address}"
"""


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
    (seen,) = [s for u in platform.upstreams.values() for s in u.seen]
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
        upstream.breaks_after = 3
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
