"""One seeded run: real processes, faults from outside, promises checked."""

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

from tests.process.platform_fleet import HOSTS, PROMPT, Platform, entry
from tests.soak.proxy import Proxy
from tests.soak.schedule import (
    Action,
    Fault,
    LinkFault,
    NewWeights,
    ProcessFault,
    draw_faults,
)

LENGTH_S = 6.0
WORKERS = 6
THINK_S = 0.02
BEAT_S = 0.5
CALL_TIMEOUT_S = 6.0
RESTART_S = 0.3
STOP_WAIT_S = 6.0
RECOVERY_S = 8.0
EVENTS = 6
MAX_ATTEMPTS = 2
DISCONNECTED = (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError)
SIGNALS = {
    Action.KILL: signal.SIGKILL,
    Action.STOP: signal.SIGTERM,
    Action.PAUSE: signal.SIGSTOP,
    Action.HANG_UP: signal.SIGHUP,
}


@dataclass
class Outcome:
    """What a run showed."""

    seed: int
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


class SoakPlatform(Platform):
    """Stand-ins behind proxies, and processes that are signalled and restarted."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.proxies: list[Proxy] = []
        self.is_ending = False
        self._replaced: set[int] = set()
        for upstream in self.upstreams.values():
            upstream.events = EVENTS

    async def async_beat(self) -> None:
        """Write each upstream's entry again when its weights have changed."""
        written = dict.fromkeys(self.upstreams, 1)
        while True:
            await asyncio.sleep(BEAT_S)
            for name, upstream in self.upstreams.items():
                if written[name] == upstream.weight_version:
                    continue
                written[name] = upstream.weight_version
                document = json.loads(entry(name, self._addresses[name]))
                document["models"][0]["version"] = upstream.weight_version
                content = json.dumps(document).encode()
                await self.store.async_put("servers", name, content)

    def logged_requests(self) -> set[str]:
        """Return the requests that the processes wrote lines about."""
        found: set[str] = set()
        for host in HOSTS:
            text = (self.folder / f"{host}.log").read_text()
            found.update(re.findall(r'"request":"([^"]*)"', text))
        return found

    async def async_apply(self, fault: Fault) -> None:
        """Let one fault happen; returns when it is over."""
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
                await asyncio.wait_for(process.wait(), STOP_WAIT_S)
            except TimeoutError:
                # A paused process does not end on request; the platform kills it.
                process.kill()
                await process.wait()
            # Signals in a row may end one process; it is started once.
            if process.pid in self._replaced or self.is_ending:
                return
            self._replaced.add(process.pid)
            await asyncio.sleep(RESTART_S)
            await self.async_start_process(host)

    async def _async_listen(self, app: web.Application) -> str:
        host, _, port = (await super()._async_listen(app)).rpartition(":")
        proxy = Proxy(host, int(port))
        self.proxies.append(proxy)
        return await proxy.async_start()

    async def async_stop(self) -> None:
        self.is_ending = True
        for proxy in self.proxies:
            proxy.stop()
        await super().async_stop()


class Soak:
    """Callers, faults and checks of one run."""

    def __init__(self, platform: SoakPlatform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self._seed = seed
        self._calls = 0
        self._is_over = False
        self._disconnected: set[str] = set()
        self.outcome = Outcome(seed)

    async def async_run(self) -> Outcome:
        """Run the load through all faults, then check that all is served again."""
        faults = draw_faults(
            self._seed,
            proxies=len(self._platform.proxies),
            processes=len(HOSTS),
            length_s=LENGTH_S,
        )
        self.outcome.faults = faults
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        beat = loop.create_task(self._platform.async_beat())
        workers = [loop.create_task(self._async_work()) for _ in range(WORKERS)]
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, began_at_s + fault.at_s - loop.time()))
            tasks.append(loop.create_task(self._platform.async_apply(fault)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, began_at_s + LENGTH_S - loop.time()))
        self._is_over = True
        await asyncio.gather(*workers)
        await self._async_check_recovery()
        self._check_runs()
        self._check_planned_stops(faults)
        beat.cancel()
        return self.outcome

    async def _async_work(self) -> None:
        while not self._is_over:
            kind = self._random.choice(("once", "again", "stream"))
            await self._async_call(kind, self._random.choice(HOSTS))
            await asyncio.sleep(THINK_S)

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
            if isinstance(error, DISCONNECTED):
                self._disconnected.add(attempt)
            return False
        self.outcome.statuses[str(status)] += 1
        stamp = received.get("Server-Stamp", "")
        if status == 200:
            self._check_answer(kind, attempt, body, stamp)
        elif status == 503 and not stamp:
            self._expect(
                self._platform.runs(attempt) == 0,
                f"{attempt}: refused as not run by {host}, and had run",
            )
        return status == 200

    def _check_answer(self, kind: str, attempt: str, body: bytes, stamp: str) -> None:
        self._expect(bool(stamp), f"{attempt}: an answer without its upstream's stamp")
        if kind != "stream":
            whole = b"answer of " + stamp.removeprefix("stamp-").encode()
            self._expect(body == whole, f"{attempt}: {body!r} has the stamp {stamp}")
            return
        events = b"".join(
            b"id: %d\ndata: event %d\n\n" % (number, number)
            for number in range(1, EVENTS + 1)
        )
        self._expect(body == events, f"{attempt}: stream {body!r}")

    def _check_runs(self) -> None:
        runs = Counter(
            seen.attempt
            for upstream in self._platform.upstreams.values()
            for seen in upstream.received
        )
        for attempt, count in runs.items():
            most = 1 if attempt.startswith("once") else MAX_ATTEMPTS
            self._expect(count <= most, f"{attempt}: ran {count} times")

    def _check_planned_stops(self, faults: list[Fault]) -> None:
        """Without kills and pauses, what a process has begun it also answers.

        A connection that it never took is reset when it listens no more.
        """
        actions = {fault.action for fault in faults if isinstance(fault, ProcessFault)}
        if actions & {Action.KILL, Action.PAUSE}:
            return
        begun = self._platform.logged_requests()
        lost = sorted(self._disconnected & begun)
        self._expect(not lost, f"lost around planned stops: {lost}")

    async def _async_check_recovery(self) -> None:
        """Every process serves every kind again, in a row, within a bounded time."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + RECOVERY_S
        for host in HOSTS:
            for kind in ("once", "again", "stream"):
                is_served = False
                while not is_served and loop.time() < ends_at_s:
                    is_served = await self._async_call(kind, host)
                    await asyncio.sleep(THINK_S)
                self._expect(is_served, f"{host} does not serve /{kind}/ again")
        for host, process in self._platform.processes.items():
            self._expect(process.returncode is None, f"{host} ended by itself")

    def _expect(self, holds: bool, finding: str) -> None:
        if not holds:
            self.outcome.violations.append(finding)


async def async_soak(folder: Path, seed: int) -> Outcome:
    """Play one seed."""
    platform = SoakPlatform(folder)
    try:
        await platform.async_start()
        return await Soak(platform, seed).async_run()
    finally:
        await platform.async_stop()
