"""Two ``banyanswitch-forward`` processes and stand-ins of the users' platform.

All of them listen on loopback.
"""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path

import aiohttp
from aiohttp import web
from bench.processes import reserve_ports

from banyanswitch_standins.users_platform.drill import StoreDrill
from banyanswitch_standins.users_platform.store import PlatformStore
from banyanswitch_standins.users_platform.upstream import (
    PlatformUpstream,
    shared_parts,
)
from tests.process.instance_links import InstanceLinks, async_link

NETWORK = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}"
"""Loopback addresses that no other run of tests uses at the same time."""

HOSTS = (f"{NETWORK}.2", f"{NETWORK}.3")
KEY = {"Authorization": "Bearer key-1"}
PROMPT = {
    "Model": "m",
    "Token-Usage": "17060,30",
    "Prompt-Prefix": "aa:12800,bb:4260",
    "Deadline-Ms": "5000",
}
GRACE_S = 3.0
PORTS = {"front": 1, "ready": 1, "directory": 1, "internal": 6}
"""Number of consecutive ports of each listener."""


def configuration(
    version: int, prefixes: tuple[str, ...] = ("/once/",), timeout_ms: int = 1500
) -> bytes:
    kinds = [(prefix, "non_idempotent", False) for prefix in prefixes]
    kinds += [("/again/", "idempotent", False), ("/stream/", "streaming", True)]
    routes = [
        {
            "name": f"r{prefix}",
            "host": "h.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": timeout_ms,
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


def registry_entry(
    name: str,
    address: str,
    state: str = "ready",
    version: str = "v1",
    *,
    weights: int = 1,
    sequence: int = 1,
) -> bytes:
    document = {
        "service": "llm",
        "address": address,
        "zone": "z1",
        "version": version,
        "slots": 8,
        "state": state,
        "sequence": sequence,
        "coldRemainingMs": 0,
        "models": [{"name": "m", "version": weights, "adapters": []}],
        "born": 1700000000000,
    }
    return json.dumps(document).encode()


class Platform:
    """Stand-ins and processes of one test.

    Parameters
    ----------
    version_propagation_ms : int or None
        Bound in the settings of the processes; ``None`` means their default.
    has_links : bool
        Whether each process has links of its own to the upstreams, which can be cut.
    has_store_link : bool
        Whether these links include the store's address.
    grace_s : float
        Grace period of the processes, in seconds.
    limits : str
        Lines of the section ``[limits]`` in the settings of the processes.

    Attributes
    ----------
    links : dict of str to InstanceLinks
        Links of the processes, by host.
    """

    def __init__(
        self,
        folder: Path,
        *,
        version_propagation_ms: int | None = None,
        has_links: bool = False,
        has_store_link: bool = False,
        grace_s: float = GRACE_S,
        limits: str = "",
    ) -> None:
        self.folder = folder
        self._grace_s = grace_s
        self._limits = limits
        self._has_links = has_links
        self._has_store_link = has_store_link
        self.store_address = ""
        self.links: dict[str, InstanceLinks] = {}
        self._version_propagation_ms = version_propagation_ms
        self.store = PlatformStore()
        self.store_drill = StoreDrill(self.store, seed=1)
        self.upstreams = {name: PlatformUpstream(name) for name in ("i-1", "i-2")}
        self.crashed: list[PlatformUpstream] = []
        self._reservations = ExitStack()
        first_ports = reserve_ports(HOSTS, tuple(PORTS.values()), self._reservations)
        self.ports = dict(zip(PORTS, first_ports, strict=True))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._runners: list[web.AppRunner] = []
        self._runners_by_name: dict[str, web.AppRunner] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._addresses: dict[str, str] = {}
        self._entries = 0
        self.session = aiohttp.ClientSession()

    async def async_start(self) -> None:
        self.store_address = await self._async_listen(self.store.make_app())
        for name in self.upstreams:
            await self._async_start_upstream(name)
        if self._has_links:
            paths = {host: self.folder / f"{host}.links" for host in HOSTS}
            addresses = list(self._addresses.values())
            if self._has_store_link:
                addresses.append(self.store_address)
            self.links = await async_link(paths, addresses)
        await self.store.async_put("op", "config", configuration(1))
        for host in HOSTS:
            await self.async_start_process(host)
        for host in HOSTS:
            await self.async_wait_until(lambda host=host: self.async_is_ready(host))

    async def async_register(self, name: str, state: str = "ready") -> None:
        upstream = self.upstreams[name]
        self._entries += 1
        entry = registry_entry(
            name,
            self._addresses[name],
            state,
            upstream.software_version,
            weights=upstream.weight_version,
            sequence=self._entries,
        )
        await self.store.async_put("servers", name, entry)

    async def async_add_upstream(self, name: str, software_version: str) -> None:
        """Start another upstream and register it."""
        upstream = PlatformUpstream(name, software_version=software_version)
        self.upstreams[name] = upstream
        await self._async_start_upstream(name)

    def crash(self, name: str, replacement: PlatformUpstream, down_s: float) -> None:
        """End an upstream at once; another one registers ``down_s`` seconds later."""
        self.crashed.append(self.upstreams.pop(name))
        task = asyncio.create_task(self._async_replace(name, replacement, down_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_replace(
        self, name: str, replacement: PlatformUpstream, down_s: float
    ) -> None:
        runner = self._runners_by_name.pop(name)
        for site in tuple(runner.sites):
            await site.stop()
        for connection in runner.server.connections if runner.server else ():
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(down_s)
        await self.store.async_put("servers", name, None)
        self.upstreams[replacement.name] = replacement
        await self._async_start_upstream(replacement.name)

    async def _async_start_upstream(self, name: str) -> None:
        self._addresses[name] = await self._async_listen(
            self.upstreams[name].make_app()
        )
        self._runners_by_name[name] = self._runners[-1]
        await self.async_register(name)

    async def async_run_drill(self, copy_age_s: float, down_s: float) -> None:
        await self.store_drill.async_run(copy_age_s, down_s)

    async def async_start_process(self, host: str) -> None:
        path = self.folder / f"{host}.toml"
        path.write_text(self._settings(host))
        program = ["banyanswitch.cli.forward"]
        if host in self.links:
            links = str(self.links[host].path)
            program = ["tests.process.linked_forward", links]
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *program,
            str(path),
            stdout=(self.folder / f"{host}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "UV_USE_IO_URING": "0"},
        )

    async def async_stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for links in self.links.values():
            links.stop()
        self._reservations.close()
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
        body: bytes = b"body",
    ) -> tuple[int, bytes, dict[str, str]]:
        async with self.async_stream(
            path, attempt, host=host, headers=headers, body=body
        ) as response:
            return response.status, await response.read(), dict(response.headers)

    @asynccontextmanager
    async def async_stream(
        self,
        path: str,
        attempt: str,
        *,
        host: str = HOSTS[0],
        headers: dict[str, str] | None = None,
        body: bytes = b"body",
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield its response, whose body may still be arriving."""
        request_headers = {
            "Host": "h.example",
            "Attempt-Id": attempt,
            **KEY,
            **(headers or {}),
        }
        url = f"http://{host}:{self.ports['front']}{path}"
        async with self.session.post(
            url, headers=request_headers, data=body
        ) as response:
            yield response

    async def async_wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 15.0
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.05)

    def address_of(self, name: str) -> str:
        """Return the address of an upstream."""
        return self._addresses[name]

    def all_upstreams(self) -> list[PlatformUpstream]:
        """Return the present upstreams and those that have crashed."""
        return [*self.upstreams.values(), *self.crashed]

    def arrivals_of(self, part: str) -> int:
        """Return the number of requests with a shared part that reached upstreams."""
        return sum(
            part in shared_parts(seen.headers["prompt-prefix"])
            for upstream in self.all_upstreams()
            for seen in upstream.received
            if "prompt-prefix" in seen.headers
        )

    def run_count(self, attempt: str) -> int:
        return sum(
            seen.attempt == attempt
            for upstream in self.all_upstreams()
            for seen in upstream.received
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
        propagation_ms = self._version_propagation_ms
        propagation = (
            f"versionPropagationMs = {propagation_ms}" if propagation_ms else ""
        )
        return f"""
nodeName = "node-{host}"
ip = "{host}"
zone = "z1"
internalPortRange = [{internal}, {internal + PORTS["internal"] - 1}]
seedAddresses = ["{HOSTS[0]}:1", "{HOSTS[1]}:1"]
[listen]
front = "{host}:{self.ports["front"]}"
readyAddr = "{host}:{self.ports["ready"]}"
directory = "{host}:{self.ports["directory"]}"
[bounds]
gracePeriodS = {self._grace_s}
leaseMs = 1000
{propagation}
[limits]
{self._limits}
[platform]
address = "{self.store_address}"
"""
