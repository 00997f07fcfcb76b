"""One seeded soak run: real processes, injected faults, checks of guarantees."""

import asyncio
import contextlib
import json
import random
import re
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, registry_entry
from tests.soak.proxy import Proxy
from tests.soak.schedule import (
    Action,
    Fault,
    LinkFault,
    NewWeights,
    ProcessFault,
    generate_faults,
)

RUN_LENGTH_S = 6.0
WORKERS = 6
CALL_PAUSE_S = 0.02
ENTRY_UPDATE_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 6.0
RESTART_DELAY_S = 0.3
STOP_TIMEOUT_S = 6.0
RECOVERY_TIMEOUT_S = 8.0
STREAM_EVENTS = 6
MAX_ATTEMPTS = 2
DISCONNECT_ERRORS = (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError)
SIGNALS = {
    Action.KILL: signal.SIGKILL,
    Action.STOP: signal.SIGTERM,
    Action.PAUSE: signal.SIGSTOP,
    Action.HANG_UP: signal.SIGHUP,
}


@dataclass
class Outcome:
    """Results of one run."""

    seed: int
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


class SoakPlatform(Platform):
    """Platform with a proxy before each stand-in; it can also inject process faults."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.proxies: list[Proxy] = []
        self.is_stopping = False
        self._restarted_pids: set[int] = set()
        for upstream in self.upstreams.values():
            upstream.events = STREAM_EVENTS

    async def async_update_entries(self) -> None:
        """Update each upstream's registry entry when its weight version changes."""
        written_versions = dict.fromkeys(self.upstreams, 1)
        while True:
            await asyncio.sleep(ENTRY_UPDATE_INTERVAL_S)
            for name, upstream in self.upstreams.items():
                if written_versions[name] == upstream.weight_version:
                    continue
                written_versions[name] = upstream.weight_version
                document = json.loads(registry_entry(name, self._addresses[name]))
                document["models"][0]["version"] = upstream.weight_version
                content = json.dumps(document).encode()
                await self.store.async_put("servers", name, content)

    def logged_requests(self) -> set[str]:
        """Return the IDs of the requests in the logs of the processes."""
        found: set[str] = set()
        for host in HOSTS:
            text = (self.folder / f"{host}.log").read_text()
            found.update(re.findall(r'"request":"([^"]*)"', text))
        return found

    async def async_apply(self, fault: Fault) -> None:
        """Apply one fault and wait until it is over."""
        match fault:
            case LinkFault(proxy=number, mode=None):
                self.proxies[number].reset()
            case LinkFault(proxy=number, mode=mode, for_s=for_s):
                self.proxies[number].mode = mode
                await asyncio.sleep(for_s)
                self.proxies[number].mode = type(mode).PASS
            case NewWeights(version=version):
                content = b'{"model": "m", "version": %d}' % version
                await self.store.async_put("op", "version/m", content)
            case ProcessFault():
                await self._async_signal(fault)

    async def _async_signal(self, fault: ProcessFault) -> None:
        host = HOSTS[fault.process]
        process = self.processes[host]
        if process.returncode is not None:
            return
        process.send_signal(SIGNALS[fault.action])
        if fault.action is Action.PAUSE:
            await asyncio.sleep(fault.for_s)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
        if fault.action in (Action.KILL, Action.STOP):
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                # A paused process does not handle SIGTERM; the users' platform then
                # kills it.
                process.kill()
                await process.wait()
            # Several signals may end the same process; it is restarted only once.
            if process.pid in self._restarted_pids or self.is_stopping:
                return
            self._restarted_pids.add(process.pid)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.async_start_process(host)

    async def _async_listen(self, app: web.Application) -> str:
        host, _, port = (await super()._async_listen(app)).rpartition(":")
        proxy = Proxy(host, int(port))
        self.proxies.append(proxy)
        return await proxy.async_start()

    async def async_stop(self) -> None:
        self.is_stopping = True
        for proxy in self.proxies:
            proxy.stop()
        await super().async_stop()


class SoakRun:
    """Load, faults and checks of one run.

    The kinds of requests are the routes of the test configuration: ``once`` is
    non-idempotent, ``again`` is idempotent and ``stream`` is resumable.
    """

    def __init__(self, platform: SoakPlatform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self._seed = seed
        self._calls = 0
        self._is_load_finished = False
        self._disconnected: set[str] = set()
        self.outcome = Outcome(seed)

    async def async_run(self) -> Outcome:
        """Run the load during all faults, then check recovery and the guarantees."""
        faults = generate_faults(
            self._seed,
            proxies=len(self._platform.proxies),
            processes=len(HOSTS),
            length_s=RUN_LENGTH_S,
        )
        self.outcome.faults = faults
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        entry_updates = loop.create_task(self._platform.async_update_entries())
        workers = [loop.create_task(self._async_work()) for _ in range(WORKERS)]
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at_s + fault.at_s - loop.time()))
            tasks.append(loop.create_task(self._platform.async_apply(fault)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, started_at_s + RUN_LENGTH_S - loop.time()))
        self._is_load_finished = True
        await asyncio.gather(*workers)
        await self._async_check_recovery()
        self._check_run_counts()
        self._check_graceful_stops(faults)
        entry_updates.cancel()
        return self.outcome

    async def _async_work(self) -> None:
        while not self._is_load_finished:
            kind = self._random.choice(("once", "again", "stream"))
            await self._async_call(kind, self._random.choice(HOSTS))
            await asyncio.sleep(CALL_PAUSE_S)

    async def _async_call(self, kind: str, host: str) -> bool:
        self._calls += 1
        attempt = f"{kind}-{self._calls}"
        headers = PROMPT if kind == "stream" else None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, body, received = await self._platform.async_call(
                    f"/{kind}/", attempt, host=host, headers=headers
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.outcome.statuses[type(error).__name__] += 1
            if isinstance(error, DISCONNECT_ERRORS):
                self._disconnected.add(attempt)
            return False
        self.outcome.statuses[str(status)] += 1
        stamp = received.get("Server-Stamp", "")
        if status == 200:
            self._check_answer(kind, attempt, body, stamp)
        elif status == 503 and not stamp:
            self._expect(
                self._platform.run_count(attempt) == 0,
                f"{attempt}: refused as not run by {host}, but an upstream ran it",
            )
        return status == 200

    def _check_answer(self, kind: str, attempt: str, body: bytes, stamp: str) -> None:
        self._expect(bool(stamp), f"{attempt}: answer without a Server-Stamp header")
        if kind != "stream":
            expected_body = b"answer of " + stamp.removeprefix("stamp-").encode()
            self._expect(
                body == expected_body, f"{attempt}: {body!r} does not match {stamp}"
            )
            return
        expected_events = b"".join(
            b"id: %d\ndata: event %d\n\n" % (number, number)
            for number in range(1, STREAM_EVENTS + 1)
        )
        self._expect(body == expected_events, f"{attempt}: stream {body!r}")

    def _check_run_counts(self) -> None:
        runs = Counter(
            seen.attempt
            for upstream in self._platform.upstreams.values()
            for seen in upstream.received
        )
        for attempt, count in runs.items():
            max_runs = 1 if attempt.startswith("once") else MAX_ATTEMPTS
            self._expect(count <= max_runs, f"{attempt}: ran {count} times")

    def _check_graceful_stops(self, faults: list[Fault]) -> None:
        """Check that graceful shutdowns aborted no request that a process had begun.

        This does not hold for runs with kills or pauses. Requests that no process
        has logged are not counted: a connection that was never accepted is reset
        when the listener closes.
        """
        actions = {fault.action for fault in faults if isinstance(fault, ProcessFault)}
        if actions & {Action.KILL, Action.PAUSE}:
            return
        logged = self._platform.logged_requests()
        lost = sorted(self._disconnected & logged)
        self._expect(not lost, f"lost during graceful shutdowns: {lost}")

    async def _async_check_recovery(self) -> None:
        """Check that every process serves each kind again within a bounded time."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + RECOVERY_TIMEOUT_S
        for host in HOSTS:
            for kind in ("once", "again", "stream"):
                is_served = False
                while not is_served and loop.time() < ends_at_s:
                    is_served = await self._async_call(kind, host)
                    await asyncio.sleep(CALL_PAUSE_S)
                self._expect(is_served, f"{host} does not serve /{kind}/ again")
        for host, process in self._platform.processes.items():
            self._expect(process.returncode is None, f"{host} ended unexpectedly")

    def _expect(self, condition: bool, violation: str) -> None:
        if not condition:
            self.outcome.violations.append(violation)


async def async_soak(folder: Path, seed: int) -> Outcome:
    """Run one seed and return its outcome."""
    platform = SoakPlatform(folder)
    try:
        await platform.async_start()
        return await SoakRun(platform, seed).async_run()
    finally:
        await platform.async_stop()
